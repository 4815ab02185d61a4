//! Engines that moved to another owner while orders may be on their way.

use ward_protocol::{BackendId, FenceNumber, MonoTime, PeerMessage, TimeSpan};
use ward_state::FormerOwner;

use super::EngineDuty;
use crate::core::ControlCore;

/// Time between notices to the new owner.
const NOTICE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Notices sent, since each may be lost.
const NOTICE_COUNT: u32 = 5;

/// What is left to do for an engine that moved.
#[derive(Debug)]
pub(crate) struct EndingDuty {
    backend: BackendId,
    /// Fencing number under which this daemon owned it.
    fence: FenceNumber,
    /// When the last order was sent.
    last_order: Option<MonoTime>,
    /// Whether orders of owners before this daemon were known to be over.
    settled: bool,
    noticed: Option<MonoTime>,
    notices: u32,
}

impl EndingDuty {
    pub(super) fn new(backend: BackendId, duty: &EngineDuty) -> Self {
        Self {
            backend,
            fence: duty.fence,
            last_order: duty.orders.values().map(|order| order.sent).max(),
            settled: duty.settled.is_some(),
            noticed: None,
            notices: 0,
        }
    }

    /// Whether all orders are over.
    pub(crate) fn is_over(&self, now: MonoTime, life: TimeSpan) -> bool {
        self.last_order.is_none_or(|sent| now.since(sent) >= life)
    }
}

impl ControlCore {
    /// Tells new owners that orders are over; forgets an engine once told.
    pub(super) fn run_endings(&mut self) {
        let (now, life) = (self.now, self.config.order_life());
        let mut notices = Vec::new();
        for ending in &mut self.engines.ending {
            let due = ending
                .noticed
                .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
            if !ending.settled || !ending.is_over(now, life) || !due {
                continue;
            }
            ending.noticed = Some(now);
            ending.notices += 1;
            notices.push((ending.backend.clone(), ending.fence));
        }
        for (backend, fence) in notices {
            self.send_notice(backend, fence);
        }
        self.engines.ending.retain(|ending| {
            let told = ending.notices >= NOTICE_COUNT || !ending.settled;
            !(told && ending.is_over(now, life))
        });
    }

    fn send_notice(&mut self, backend: BackendId, own: FenceNumber) {
        let Some(state) = self.state.backends().get(&backend) else {
            return;
        };
        // Only the owner right after this very ownership may rely on it. This
        // daemon may have owned the engine again since, without knowing that
        // the orders of the owner in between were over.
        let ended = |former: &FormerOwner| former.daemon == *self.me() && former.fence == own;
        if !state.former.as_ref().is_some_and(ended) {
            return;
        }
        let fence = state.fence;
        let Some(owner) = state.owner.clone() else {
            return;
        };
        self.send(&owner, PeerMessage::Released { backend, fence });
    }
}
