//! Manifests from other daemons, for a daemon that gets no answer from the store.
//!
//! It asks a few daemons, one after another. One that has nothing newer says so at once.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use slog::{info, warn};
use ward_fleet::{CoordinatorMessage, ManifestVersion, MemberMessage};

use super::broadcast::peer_addresses;
use super::call::{MAX_QUERIED_DAEMONS, query_daemon};
use super::frame::PeerError;
use super::traffic::ZoneRelation;
use crate::gateway::Gateway;
use crate::manifest::{ManifestOrigin, adopt_manifest};

/// The manifest in force, in the operators' format, if it is newer than a version.
pub(super) fn newer_manifest(gateway: &Gateway, version: ManifestVersion) -> Option<Vec<u8>> {
    let state = &gateway.manifests;
    let is_newer = state.version() > version;
    is_newer.then(|| state.text()).flatten()
}

/// Which daemons are asked first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerOrder {
    /// Those of the own availability zone, since bytes between zones cost more.
    Nearest,
    /// Any, since all of a zone may have lost the store together.
    Random,
}

/// Asks other daemons for a manifest newer than the one in force, until one has it and it is
/// in force.
pub(crate) async fn fetch_manifest(gateway: &Gateway, order: PeerOrder) {
    let version = gateway.manifests.version();
    for address in pick_addresses(gateway, order) {
        match request_manifest(address, version).await {
            Ok(Some(text)) => adopt_manifest(gateway, &text, ManifestOrigin::Peer),
            Ok(None) => {
                info!(gateway.logger, "peers: no newer manifest"; "address" => %address);
            }
            Err(cause) => {
                warn!(gateway.logger, "peers: no manifest"; "address" => %address, "cause" => %cause);
            }
        }
        if gateway.manifests.version() > version {
            return;
        }
    }
}

/// Addresses of some daemons.
fn pick_addresses(gateway: &Gateway, order: PeerOrder) -> Vec<SocketAddr> {
    let mut addresses: Vec<_> = peer_addresses(gateway).into_iter().collect();
    addresses.shuffle(&mut rand::rng());
    if order == PeerOrder::Nearest {
        addresses.sort_by_key(|address| {
            ZoneRelation::to_address(gateway, address.ip()) != ZoneRelation::Same
        });
    }
    addresses.truncate(MAX_QUERIED_DAEMONS);
    addresses
}

async fn request_manifest(
    address: SocketAddr,
    version: ManifestVersion,
) -> Result<Option<Vec<u8>>, PeerError> {
    match query_daemon(address, &MemberMessage::ManifestRequest(version)).await? {
        CoordinatorMessage::Manifest(text) => Ok(text),
        _ => Err(PeerError::Unexpected),
    }
}
