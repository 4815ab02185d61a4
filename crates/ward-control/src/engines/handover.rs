//! Engines that moved to another owner while orders may be on their way.

use ward_protocol::{BackendId, FenceNumber, MonoTime, PeerMessage, TimeSpan};
use ward_state::FormerOwner;

use super::EngineDuty;
use crate::core::ControlCore;

/// Time between notices to the new owner.
const NOTICE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Notices sent, since each may be lost.
const MAX_NOTICES: u32 = 5;

/// What is left to do for an engine that moved.
#[derive(Debug)]
pub(crate) struct HandoverDuty {
    backend: BackendId,
    /// Fencing number under which this daemon owned it.
    fence: FenceNumber,
    /// When the last order was sent.
    last_order: Option<MonoTime>,
    /// Whether orders of owners before this daemon were known to be over.
    former_orders_expired: bool,
    last_notice: Option<MonoTime>,
    notices: u32,
}

impl HandoverDuty {
    pub(super) fn new(backend: BackendId, duty: &EngineDuty) -> Self {
        Self {
            backend,
            fence: duty.fence,
            last_order: duty.orders.values().map(|order| order.sent).max(),
            former_orders_expired: duty.former_orders_expired.is_some(),
            last_notice: None,
            notices: 0,
        }
    }

    /// Whether all orders are over.
    pub(crate) fn expired(&self, now: MonoTime, order_life: TimeSpan) -> bool {
        self.last_order
            .is_none_or(|sent| now.since(sent) >= order_life)
    }
}

impl ControlCore {
    /// Tells new owners that orders are over; forgets an engine once told.
    pub(super) fn run_handovers(&mut self) {
        let (now, order_life) = (self.now, self.config.order_life());
        let mut notices = Vec::new();
        for handover in &mut self.engines.handovers {
            let due = handover
                .last_notice
                .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
            if !handover.former_orders_expired || !handover.expired(now, order_life) || !due {
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
            let notified = handover.notices >= MAX_NOTICES || !handover.former_orders_expired;
            !(notified && handover.expired(now, order_life))
        });
    }

    fn send_notice(&mut self, backend: BackendId, own: FenceNumber) {
        let Some(state) = self.state.backends().get(&backend) else {
            return;
        };
        // Only the owner right after this very ownership may rely on it. This
        // daemon may have owned the engine again since, without knowing that
        // the orders of the owner in between were over.
        let was_this_ownership =
            |former: &FormerOwner| former.daemon == *self.own_id() && former.fence == own;
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
