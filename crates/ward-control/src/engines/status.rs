//! Polls the status of the engines that this daemon owns.

use ward_protocol::{BackendId, BackendStatus, ControlRecord, MonoTime, TimeSpan};

use ward_state::ReservationPhase;

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Time after which an unanswered status request is retried.
const STATUS_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);
/// Factor by which the status is polled more often while an engine loads or unloads.
const CHANGE_SPEEDUP: u64 = 10;
/// Time since the first of a run of failed status requests after which an owner yields an
/// engine.
const YIELD_AFTER: TimeSpan = TimeSpan::from_secs(4);

impl ControlCore {
    /// Requests the engine's status if the interval has passed and no request is open.
    pub(super) fn fetch_status_if_due(&mut self, backend: &BackendId) {
        let mut interval = self.config.lease.status_interval;
        if self.has_pending_change(backend) {
            interval = TimeSpan::from_micros(interval.micros() / CHANGE_SPEEDUP);
        }
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let address = state.info.address;
        let now = self.now;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        let waiting = engine
            .pending_fetch
            .is_some_and(|at| now.since(at) < STATUS_TIMEOUT);
        let recent = engine.last_fetch.is_some_and(|at| now.since(at) < interval);
        if waiting || recent {
            return;
        }
        engine.pending_fetch = Some(now);
        engine.last_fetch = Some(now);
        self.actions.push(ControlAction::FetchStatus {
            backend: backend.clone(),
            address,
        });
    }

    /// Whether a replica on an engine is being loaded or unloaded.
    fn has_pending_change(&self, backend: &BackendId) -> bool {
        let Some(state) = self.state.backends().get(backend) else {
            return false;
        };
        state.reservations.iter().any(|id| {
            let reservation = self.state.reservations().get(id);
            reservation.is_some_and(|reservation| {
                reservation.draining || reservation.phase == ReservationPhase::Loading
            })
        })
    }

    pub(crate) fn handle_status(&mut self, started: MonoTime, status: BackendStatus) {
        let Some(engine) = self.engines.owned.get_mut(&status.backend) else {
            return;
        };
        engine.pending_fetch = None;
        engine.silent_since = None;
        let older = engine
            .status
            .as_ref()
            .is_some_and(|(last, _)| started < *last);
        if older {
            return;
        }
        if engine.boot.is_some_and(|boot| boot != status.boot) {
            engine.restart_seen = Some(started);
            engine.touch_answered = None;
        }
        engine.boot = Some(status.boot);
        let leaving_before = engine.status.as_ref().is_some_and(|(_, last)| last.leaving);
        self.changed |= status.leaving != leaving_before;
        engine.status = Some((started, status));
        self.views.mark_stale();
    }

    pub(crate) fn handle_status_failed(&mut self, backend: &BackendId) {
        let now = self.now;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        engine.pending_fetch = None;
        engine.silent_since.get_or_insert(now);
    }

    /// Whether this daemon owns an engine whose status requests have failed for `span`.
    pub(crate) fn is_silent_for(&self, backend: &BackendId, span: TimeSpan) -> bool {
        let engine = self.engines.owned.get(backend);
        let silent = engine.and_then(|engine| engine.silent_since);
        silent.is_some_and(|at| self.now.since(at) >= span)
    }

    /// Whether this daemon owns an engine that answered the last completed status request.
    pub(crate) fn is_reachable(&self, backend: &BackendId) -> bool {
        let engine = self.engines.owned.get(backend);
        engine.is_some_and(|engine| engine.silent_since.is_none() && engine.status.is_some())
    }

    /// Whether an engine of this daemon doesn't answer, or is leaving according to the state.
    pub(crate) fn has_silent_or_leaving_engine(&self) -> bool {
        self.engines.owned.iter().any(|(backend, engine)| {
            let state = self.state.backends().get(backend);
            engine.silent_since.is_some() || state.is_some_and(|state| state.leaving)
        })
    }

    /// Yields an engine that doesn't answer, since another daemon may be able to reach it.
    pub(super) fn yield_if_silent(&mut self, backend: &BackendId) {
        let Some(engine) = self.engines.owned.get(backend) else {
            return;
        };
        let silent = engine
            .silent_since
            .is_some_and(|at| self.now.since(at) >= YIELD_AFTER);
        // An engine that is missing from the host list is not yielded: it is removed as
        // gone instead.
        if !silent || self.state.members().len() < 2 || self.hosts.is_unlisted(backend) {
            return;
        }
        let body = ControlRecord::Yield {
            backend: backend.clone(),
        };
        self.propose(ProposalSubject::Yield(backend.clone()), body);
    }
}
