//! What a daemon that cannot reach the store learns from another daemon.
//!
//! A daemon that starts during an outage of the store has neither manifest nor
//! engines. It asks the hosts that its settings name and the daemons it knows;
//! any of them tells all it has. A manifest is taken only if it is newer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use ward_adapter::decode_manifest;
use ward_fleet::{CoordinatorMessage, FleetSnapshot, MemberMessage};

use super::broadcast::peer_addresses;
use super::frame::{FrameError, encode_frame, read_frame};
use crate::clock;
use crate::crash::record_crash;
use crate::gateway::Gateway;

const BRIEFING_TIMEOUT: Duration = Duration::from_millis(600);
/// Daemons asked at a time, one after another.
const MAX_QUERIED_DAEMONS: usize = 4;

/// What this daemon tells others.
pub(super) fn build_briefing(gateway: &Gateway) -> FleetSnapshot {
    let table = gateway.table.borrow();
    FleetSnapshot {
        manifest: gateway.manifest_text(),
        engines: table.iter().map(|engine| engine.info.clone()).collect(),
        members: gateway.members.borrow().clone(),
        crashes: gateway.crashes.borrow().reports(clock::now()),
        coordinator: gateway.coordinator_address.get(),
    }
}

/// Asks other daemons until one tells something new.
pub(crate) async fn request_briefing(gateway: &Rc<Gateway>) {
    for address in pick_addresses(gateway) {
        match tokio::time::timeout(BRIEFING_TIMEOUT, fetch_briefing(address)).await {
            Ok(Ok(briefing)) if briefing.manifest.is_some() => {
                apply_briefing(gateway, address, briefing);
                return;
            }
            Ok(Ok(_)) => {}
            Ok(Err(cause)) => {
                warn!(gateway.logger, "peers: no briefing"; "address" => %address, "cause" => %cause);
            }
            Err(_) => {
                warn!(gateway.logger, "peers: no briefing in time"; "address" => %address);
            }
        }
    }
}

/// Some of the daemons that may know more, in random order.
fn pick_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut remaining = peer_addresses(gateway);
    let mut picked = Vec::new();
    while picked.len() < MAX_QUERIED_DAEMONS && !remaining.is_empty() {
        let index = rand::random_range(0..remaining.len());
        picked.extend(remaining.swap_remove_index(index));
    }
    picked
}

async fn fetch_briefing(address: SocketAddr) -> Result<FleetSnapshot, FrameError> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(&encode_frame(&MemberMessage::SnapshotRequest)?)
        .await?;
    match read_frame(&mut stream).await? {
        Some(CoordinatorMessage::Snapshot(briefing)) => Ok(briefing),
        _ => Err(FrameError::Refused),
    }
}

fn apply_briefing(gateway: &Gateway, address: SocketAddr, briefing: FleetSnapshot) {
    info!(
        gateway.logger, "peers: briefing"; "address" => %address,
        "engines" => briefing.engines.len(), "members" => briefing.members.len(),
    );
    let text = briefing.manifest.unwrap_or_default();
    match decode_manifest(&text) {
        Ok(manifest) => gateway.adopt_manifest(manifest, &text),
        Err(cause) => warn!(gateway.logger, "manifest: briefing ignored"; "cause" => %cause),
    }
    for mark in &briefing.crashes {
        record_crash(gateway, mark);
    }
    if gateway.members.borrow().is_empty() {
        gateway.record_daemon_count(briefing.members.len());
        *gateway.members.borrow_mut() = briefing.members;
    }
    if gateway.coordinator_address.get().is_none() {
        gateway.coordinator_address.set(briefing.coordinator);
    }
    // Whoever has read the engines itself knows them better.
    if gateway.engine_read_time.get().is_none() && !briefing.engines.is_empty() {
        let mut table = gateway.table.borrow_mut();
        for engine in briefing.engines {
            table.insert(engine);
        }
        gateway.engines_known.set(true);
    }
    gateway.queue.changed();
}
