//! Engines that moved to another owner while orders of this daemon may still take
//! effect.

use ward_protocol::{BackendId, FenceNumber, MonoTime, PeerMessage, TimeSpan};
use ward_state::FormerOwner;

use super::OwnedEngine;
use crate::core::ControlCore;

/// Interval between release notices to the new owner.
const NOTICE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Number of release notices sent per engine, since each may be lost.
const MAX_NOTICES: u32 = 5;

/// What this daemon still has to do for an engine that it owned before.
#[derive(Debug)]
pub(crate) struct EngineHandover {
    backend: BackendId,
    /// Fencing number under which this daemon owned the engine.
    fence: FenceNumber,
    /// When this daemon sent its last order to the engine; `None` if it remembers none.
    last_order: Option<MonoTime>,
    /// Whether this daemon's takeover was complete: orders of earlier owners had expired.
    takeover_complete: bool,
    /// When the last release notice was sent.
    last_notice: Option<MonoTime>,
    /// Number of release notices sent.
    notices: u32,
}

impl EngineHandover {
    pub(super) fn new(backend: BackendId, engine: &OwnedEngine) -> Self {
        Self {
            backend,
            fence: engine.fence,
            last_order: engine.orders.values().map(|order| order.sent).max(),
            takeover_complete: engine.takeover_completed.is_some(),
            last_notice: None,
            notices: 0,
        }
    }

    /// Whether none of this daemon's orders can take effect any more.
    pub(crate) fn orders_expired(&self, now: MonoTime, order_life: TimeSpan) -> bool {
        self.last_order
            .is_none_or(|sent| now.since(sent) >= order_life)
    }
}

impl ControlCore {
    /// Notifies new owners that this daemon's orders have expired, and drops handovers that
    /// need no more notices.
    pub(super) fn run_handovers(&mut self) {
        let (now, order_life) = (self.now, self.config.order_life());
        let mut notices = Vec::new();
        for handover in &mut self.engines.handovers {
            let notice_due = handover
                .last_notice
                .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
            if !handover.takeover_complete
                || !handover.orders_expired(now, order_life)
                || !notice_due
            {
                continue;
            }
            handover.last_notice = Some(now);
            handover.notices += 1;
            notices.push((handover.backend.clone(), handover.fence));
        }
        for (backend, fence) in notices {
            self.send_notice(backend, fence);
        }
        self.engines.handovers.retain(|handover| {
            let notified = handover.notices >= MAX_NOTICES || !handover.takeover_complete;
            !(notified && handover.orders_expired(now, order_life))
        });
    }

    /// Sends a release notice to the engine's current owner, if that directly follows this
    /// ownership.
    fn send_notice(&mut self, backend: BackendId, own_fence: FenceNumber) {
        let Some(state) = self.state.backends().get(&backend) else {
            return;
        };
        // Only the owner that directly follows this ownership may rely on the notice.
        // This daemon may have owned the engine again since then, without knowing that
        // the orders of the owner in between had expired.
        let was_this_ownership =
            |former: &FormerOwner| former.daemon == *self.own_id() && former.fence == own_fence;
        if !state.former.as_ref().is_some_and(was_this_ownership) {
            return;
        }
        let fence = state.fence;
        let Some(owner) = state.owner.clone() else {
            return;
        };
        self.send(&owner, PeerMessage::Released { backend, fence });
    }
}
