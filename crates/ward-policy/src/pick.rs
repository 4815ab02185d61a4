//! Which ready replica gets a request.
//!
//! Rendezvous hashing sends prompts with the same prefix to the same replica, so
//! that its prefix cache is used. If that replica has more requests than its bound, the
//! next one in the hash order is chosen. With one to three replicas per model,
//! the engines' cache events could improve little, so they are not used.

use std::cmp::Reverse;

use ward_protocol::BackendId;

use crate::rendezvous::rendezvous_score;

/// Bound of a replica's requests, in percent of the mean over the replicas.
const MAX_REQUESTS_PERCENT_OF_MEAN: u64 = 125;
/// Requests that are added to the bound, so that a nearly idle model keeps its affinity.
const MAX_REQUESTS_MARGIN: u64 = 1;

/// A ready replica as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickCandidate {
    /// The engine that holds the replica.
    pub backend: BackendId,
    /// Requests of this daemon that are in flight at the replica.
    pub outstanding: u32,
    /// Requests at the engine as it last reported them; lags behind.
    pub reported: u32,
    /// Whether the engine's host is in the availability zone of this daemon.
    pub same_zone: bool,
}

impl PickCandidate {
    /// Requests at the replica, as far as this daemon knows.
    fn requests(&self) -> u64 {
        u64::from(self.outstanding.max(self.reported))
    }
}

/// Index of the replica that gets the request; `None` when each has `limit` requests of this
/// daemon or more.
///
/// `prefix` is a hash of the prompt's prefix. Equal prefixes give the same
/// replica as long as it is not much busier than the others.
#[must_use]
pub fn pick_replica(candidates: &[PickCandidate], limit: u32, prefix: u64) -> Option<usize> {
    let bound = max_requests(candidates);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.outstanding < limit)
        .min_by_key(|(_, candidate)| {
            let excess = candidate.requests().saturating_sub(bound);
            let score = rendezvous_score(candidate.backend.as_str(), prefix);
            (excess, Reverse(score), !candidate.same_zone)
        })
        .map(|(index, _)| index)
}

/// Number of requests above which a replica is chosen only if the others have more.
fn max_requests(candidates: &[PickCandidate]) -> u64 {
    let count = candidates.len().max(1) as u64;
    let total: u64 = candidates.iter().map(PickCandidate::requests).sum();
    (total * MAX_REQUESTS_PERCENT_OF_MEAN).div_ceil(count * 100) + MAX_REQUESTS_MARGIN
}
