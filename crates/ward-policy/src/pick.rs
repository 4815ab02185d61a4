//! Which ready replica gets a request.
//!
//! Equal prompt heads go to the same replica by rendezvous hashing, so that
//! its prefix cache is used, unless that replica is over its load bound; then
//! the next in the hash order is asked. With one to three replicas per model
//! the engines' cache events could add little, so they are not used.

use std::cmp::Reverse;

use ward_protocol::BackendId;

use crate::rendezvous::rendezvous_score;

/// Load bound of a replica in percent of the mean.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Requests that a replica may have above its bound, so that a nearly idle model keeps affinity.
const LOAD_BOUND_MARGIN: u64 = 1;

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

impl PickCandidate {
    fn load(&self) -> u64 {
        u64::from(self.outstanding.max(self.reported))
    }
}

/// Chooses a replica, or nothing when every one is at `limit`.
///
/// `prefix` is a hash of the prompt's head; equal heads go to the same replica
/// as long as that is not much busier than the others.
#[must_use]
pub fn pick_replica(candidates: &[PickCandidate], limit: u32, prefix: u64) -> Option<usize> {
    let bound = load_bound(candidates);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.outstanding < limit)
        .min_by_key(|(_, candidate)| {
            let excess = candidate.load().saturating_sub(bound);
            let score = rendezvous_score(candidate.backend.as_str(), prefix);
            (excess, Reverse(score), !candidate.same_zone)
        })
        .map(|(index, _)| index)
}

fn load_bound(candidates: &[PickCandidate]) -> u64 {
    let count = candidates.len().max(1) as u64;
    let total: u64 = candidates.iter().map(PickCandidate::load).sum();
    (total * LOAD_BOUND_PERCENT).div_ceil(count * 100) + LOAD_BOUND_MARGIN
}
