//! Snapshots of the fleet's state from peers, for a daemon that cannot reach the
//! store.
//!
//! A daemon that starts during a store outage has neither a manifest nor engines. It
//! requests snapshots from a few daemons, chosen at random among those that it knows
//! and those named in its settings, until one contains a manifest; each sends all of
//! the state that it has. A manifest is adopted only if it is newer.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::SliceRandom;
use slog::{info, warn};
use ward_fleet::{CoordinatorMessage, FleetSnapshot, MemberMessage};

use super::broadcast::peer_addresses;
use super::call::{MAX_QUERIED_DAEMONS, query_daemon};
use super::frame::PeerError;
use crate::clock;
use crate::crash::record_news;
use crate::gateway::Gateway;
use crate::limit::record_told_limits;
use crate::manifest::{ManifestOrigin, adopt_manifest};

/// The state that this daemon sends to a peer on request.
pub(super) fn build_snapshot(gateway: &Gateway) -> FleetSnapshot {
    let table = gateway.table.borrow();
    FleetSnapshot {
        manifest: gateway.manifests.text(),
        engines: table.iter().map(|engine| engine.info.clone()).collect(),
        members: gateway.members.borrow().clone(),
        crashes: gateway.crashes.borrow().news(clock::now()),
        coordinator: gateway.coordinator_address.get(),
        versions: gateway.streams.sightings(),
        limits: table.limits.sightings(clock::now()),
    }
}

/// Requests snapshots from some peers, one after another, and applies the first
/// that contains a manifest.
pub(crate) async fn request_snapshot(gateway: &Rc<Gateway>) {
    for address in pick_addresses(gateway) {
        match fetch_snapshot(address).await {
            Ok(snapshot) if snapshot.manifest.is_some() => {
                apply_snapshot(gateway, address, snapshot);
                return;
            }
            Ok(_) => {}
            Err(cause) => {
                warn!(gateway.logger, "peers: no briefing"; "address" => %address, "cause" => %cause);
            }
        }
    }
}

/// Addresses of some peers, in random order.
fn pick_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut addresses: Vec<_> = peer_addresses(gateway).into_iter().collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_QUERIED_DAEMONS);
    addresses
}

async fn fetch_snapshot(address: SocketAddr) -> Result<FleetSnapshot, PeerError> {
    match query_daemon(address, &MemberMessage::SnapshotRequest).await? {
        CoordinatorMessage::Snapshot(snapshot) => Ok(snapshot),
        _ => Err(PeerError::Unexpected),
    }
}

fn apply_snapshot(gateway: &Gateway, address: SocketAddr, snapshot: FleetSnapshot) {
    info!(
        gateway.logger, "peers: snapshot received"; "address" => %address,
        "engines" => snapshot.engines.len(), "members" => snapshot.members.len(),
    );
    let text = snapshot.manifest.unwrap_or_default();
    adopt_manifest(gateway, &text, ManifestOrigin::Peer);
    record_news(
        gateway,
        &snapshot.crashes.crashes,
        &snapshot.crashes.cleared_parts,
    );
    record_told_limits(gateway, &snapshot.limits, false);
    gateway.streams.record_sightings(&snapshot.versions);
    gateway.streams.record_engines(&snapshot.engines);
    gateway.streams.complete_history();
    if gateway.members.borrow().is_empty() {
        gateway.record_daemon_count(snapshot.members.len());
        *gateway.members.borrow_mut() = snapshot.members;
    }
    if gateway.coordinator_address.get().is_none() {
        gateway.coordinator_address.set(snapshot.coordinator);
    }
    // Engines that this daemon has read from the store itself are more recent.
    if gateway.last_read.get().is_none() && !snapshot.engines.is_empty() {
        let mut table = gateway.table.borrow_mut();
        for engine in snapshot.engines {
            table.insert(engine);
        }
        gateway.engines_known.set(true);
    }
    gateway.queue.notify_change();
}
