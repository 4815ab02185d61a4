//! Chooses backend servers for requests and counts this daemon's outstanding ones.

use indexmap::IndexMap;
use tokio::time::Instant;
use ward_policy::{PickCandidate, pick_replica};
use ward_protocol::{BackendId, RoutingView, RowTarget, ZoneName};

/// Outstanding requests of this daemon per replica, and backend servers that it
/// avoids for a short time.
#[derive(Debug, Default)]
pub struct ReplicaSlots {
    outstanding: IndexMap<RowTarget, IndexMap<BackendId, u32>>,
    /// Number of outstanding requests that are suspected of crashing backend servers, by
    /// the server that runs them.
    suspects: IndexMap<BackendId, u32>,
    /// Backend servers that could not be reached, and until when they get no requests.
    avoided: IndexMap<BackendId, Instant>,
    /// Replicas that refused a request as not ready, and until when they get none.
    unready: IndexMap<RowTarget, IndexMap<BackendId, Instant>>,
}

/// Criteria for choosing a backend server, besides its load.
#[derive(Debug, Clone, Copy)]
pub struct SlotCriteria<'a> {
    /// Row of the plan that the request is for.
    pub target: &'a RowTarget,
    /// Hash of the beginning of the prompt; prefers replicas that may have it cached.
    pub prefix_hash: u64,
    /// Whether the request is suspected of crashing backend servers; this daemon sends
    /// a backend server only one such request at a time.
    pub suspect: bool,
    /// Backend server that failed an earlier attempt; chosen only if there is no other.
    pub failed_backend: Option<&'a BackendId>,
    /// Availability zone of this daemon.
    pub zone: &'a ZoneName,
    /// Maximum number of concurrent requests of this daemon on one replica.
    pub limit: u32,
    /// Current time, compared with the times until which servers are avoided.
    pub now: Instant,
}

impl ReplicaSlots {
    /// Chooses a backend server and takes a slot on it; `None` if no slot is free.
    pub fn take(&mut self, view: &RoutingView, criteria: &SlotCriteria<'_>) -> Option<BackendId> {
        let mut candidates: Vec<PickCandidate> = ready_backends(view, criteria.target)
            .filter(|backend| self.is_allowed(backend, criteria))
            .filter_map(|backend| self.candidate(view, backend, criteria))
            .collect();
        if let Some(failed_backend) = criteria.failed_backend
            && candidates.len() > 1
        {
            candidates.retain(|candidate| candidate.backend != *failed_backend);
        }
        let index = pick_replica(&candidates, criteria.limit, criteria.prefix_hash)?;
        let backend = candidates.into_iter().nth(index)?.backend;
        self.add(criteria, &backend);
        Some(backend)
    }

    /// Returns a slot that [`take`](Self::take) gave.
    pub fn release(&mut self, target: &RowTarget, backend: &BackendId, suspect: bool) {
        if let Some(counts) = self.outstanding.get_mut(target) {
            decrease(counts, backend);
            if counts.is_empty() {
                self.outstanding.swap_remove(target);
            }
        }
        if suspect {
            decrease(&mut self.suspects, backend);
        }
    }

    /// Sends no new requests to a backend server before `until`.
    pub fn avoid(&mut self, backend: &BackendId, until: Instant) {
        self.avoided.insert(backend.clone(), until);
    }

    /// Sends no new requests to one replica before `until`.
    pub fn avoid_replica(&mut self, target: &RowTarget, backend: &BackendId, until: Instant) {
        let replicas = self.unready.entry(target.clone()).or_default();
        replicas.insert(backend.clone(), until);
    }

    /// Ends the avoidance of backend servers and replicas whose time has passed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        self.unready.retain(|_, replicas| {
            replicas.retain(|_, until| *until > now);
            !replicas.is_empty()
        });
    }

    fn add(&mut self, criteria: &SlotCriteria<'_>, backend: &BackendId) {
        if !self.outstanding.contains_key(criteria.target) {
            self.outstanding
                .insert(criteria.target.clone(), IndexMap::new());
        }
        if let Some(counts) = self.outstanding.get_mut(criteria.target) {
            *counts.entry(backend.clone()).or_default() += 1;
        }
        if criteria.suspect {
            *self.suspects.entry(backend.clone()).or_default() += 1;
        }
    }

    fn is_allowed(&self, backend: &BackendId, criteria: &SlotCriteria<'_>) -> bool {
        let is_current = |until: &Instant| *until > criteria.now;
        let unready = self.unready.get(criteria.target);
        let unready = unready.and_then(|replicas| replicas.get(backend));
        let avoided =
            self.avoided.get(backend).is_some_and(is_current) || unready.is_some_and(is_current);
        let second_suspect = criteria.suspect && self.suspects.contains_key(backend);
        !avoided && !second_suspect
    }

    fn candidate(
        &self,
        view: &RoutingView,
        backend: &BackendId,
        criteria: &SlotCriteria<'_>,
    ) -> Option<PickCandidate> {
        let route = view.backends.get(backend)?;
        let outstanding = self
            .outstanding
            .get(criteria.target)
            .and_then(|counts| counts.get(backend));
        Some(PickCandidate {
            backend: backend.clone(),
            outstanding: outstanding.copied().unwrap_or(0),
            reported: route.load,
            same_zone: route.zone == *criteria.zone,
        })
    }
}

/// Backend servers that serve a target and are not leaving.
pub(super) fn ready_backends<'a>(
    view: &'a RoutingView,
    target: &RowTarget,
) -> impl Iterator<Item = &'a BackendId> {
    let (replicas, services) = match target {
        RowTarget::Replica(key) => (view.ready.get(key), None),
        RowTarget::Service(name) => (None, view.services.get(name)),
    };
    let replicas = replicas
        .into_iter()
        .flatten()
        .map(|replica| &replica.backend);
    let services = services.into_iter().flat_map(|entry| &entry.backends);
    replicas
        .chain(services)
        .filter(|backend| is_staying(view, backend))
}

fn is_staying(view: &RoutingView, backend: &BackendId) -> bool {
    view.backends
        .get(backend)
        .is_some_and(|route| !route.leaving)
}

fn decrease(counts: &mut IndexMap<BackendId, u32>, backend: &BackendId) {
    let Some(count) = counts.get_mut(backend) else {
        return;
    };
    *count = count.saturating_sub(1);
    if *count == 0 {
        counts.swap_remove(backend);
    }
}
