//! Decides when a new owner may send orders to an engine.

use ward_protocol::{
    BackendId, BackendStatus, DaemonId, FenceNumber, FencingSupport, Incarnation, OrderKind,
};

use super::OwnedEngine;
use crate::core::ControlCore;
use crate::defect::DefectKind;

impl ControlCore {
    /// Records, once, that orders of earlier owners have expired: the log shows it, the
    /// former owner reported it, or the takeover wait has passed.
    pub(super) fn check_takeover(&mut self, backend: &BackendId) {
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let clean = state.former.as_ref().is_some_and(|former| former.clean);
        let shown_in_log = state.takeover_complete || clean;
        let wait = self.config.takeover_wait();
        let skip = self.config.defects.has(DefectKind::SkipTakeoverWait);
        let now = self.now;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        let waited = now.since(engine.owned_since) >= wait;
        if engine.takeover_completed.is_none()
            && (shown_in_log || engine.former_released || waited || skip)
        {
            engine.takeover_completed = Some(now);
        }
    }

    /// Handles the former owner's notice that its orders to an engine have expired. Notices
    /// of other daemons or incarnations, or with a fencing number that isn't the current
    /// owner's, are ignored.
    pub(crate) fn handle_released(
        &mut self,
        sender: &DaemonId,
        incarnation: Incarnation,
        backend: &BackendId,
        fence: FenceNumber,
    ) {
        let accept_any = self.config.defects.has(DefectKind::AnyNotice);
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let from_former = state
            .former
            .as_ref()
            .is_some_and(|former| former.daemon == *sender && former.incarnation == incarnation);
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        if accept_any || (from_former && engine.fence == fence) {
            engine.former_released = true;
        }
    }

    /// Sends a touch order to an engine that checks fencing numbers and hasn't seen this
    /// owner's number: until then its status can't be used.
    pub(super) fn touch_if_unseen(&mut self, backend: &BackendId) {
        if self.fencing(backend) != Some(FencingSupport::Checks) {
            return;
        }
        let Some(engine) = self.engines.owned.get(backend) else {
            return;
        };
        let seen = engine
            .status
            .as_ref()
            .is_some_and(|(_, status)| status.fence >= engine.fence);
        let touching = engine
            .orders
            .values()
            .any(|order| order.kind == OrderKind::Touch && !order.expired(self.now, &self.config));
        let answered = engine.touch_answered.is_some_and(|at| {
            let status = engine.status.as_ref();
            status.is_none_or(|(started, _)| *started <= at)
        });
        if !seen && !touching && !answered {
            self.send_order(backend, OrderKind::Touch);
        }
    }

    fn fencing(&self, backend: &BackendId) -> Option<FencingSupport> {
        let state = self.state.backends().get(backend)?;
        Some(state.info.fencing)
    }

    /// The last status, if orders may be based on it: it shows this owner's fencing number, so
    /// that the engine refuses orders of earlier owners, or those had expired before the
    /// status was requested.
    pub(super) fn valid_status(&self, backend: &BackendId) -> Option<BackendStatus> {
        let engine = self.engines.owned.get(backend)?;
        let (started, status) = engine.status.as_ref()?;
        let valid = match self.fencing(backend)? {
            FencingSupport::Checks => {
                status.fence == engine.fence || self.config.defects.has(DefectKind::SkipTouch)
            }
            FencingSupport::Ignores => engine.takeover_completed.is_some_and(|at| *started >= at),
        };
        valid.then(|| status.clone())
    }
}

impl OwnedEngine {
    /// Whether the last status was requested after orders of earlier owners had expired.
    pub(super) fn status_after_takeover(&self) -> bool {
        let started = self.status.as_ref().map(|(started, _)| *started);
        match (self.takeover_completed, started) {
            (Some(completed), Some(started)) => started >= completed,
            (None, _) | (_, None) => false,
        }
    }
}
