//! Stopping on purpose.

use ward_protocol::{ControlRecord, MonoTime, TimeSpan};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::engines::EngineDuty;
use crate::proposer::ProposalSubject;

/// Longest time that a stop waits for the log.
const LEAVE_LIMIT: TimeSpan = TimeSpan::from_secs(10);

/// How far a stop has come.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    begun: Option<MonoTime>,
    ended: bool,
}

impl StopState {
    pub(crate) fn begin(&mut self, now: MonoTime) {
        self.begun.get_or_insert(now);
    }

    pub(crate) const fn is_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether orders may still be sent.
    pub(crate) const fn may_order(&self) -> bool {
        self.begun.is_none()
    }
}

impl ControlCore {
    /// Waits for own orders to end, leaves, and says so.
    pub(crate) fn run_stop(&mut self) {
        let Some(begun) = self.stop.begun else {
            return;
        };
        if self.stop.ended {
            return;
        }
        let gave_up = self.now.since(begun) >= LEAVE_LIMIT;
        if !self.is_member() || gave_up {
            self.stop.ended = true;
            self.actions.push(ControlAction::Stopped);
            return;
        }
        if self.orders_are_over() {
            self.propose(ProposalSubject::Leave, ControlRecord::Leave);
        }
    }

    fn orders_are_over(&self) -> bool {
        let (now, life) = (self.now, self.config.order_life());
        let owned = self.engines.owned.values();
        let ending = self.engines.ending.iter();
        owned
            .flat_map(EngineDuty::order_times)
            .all(|sent| now.since(sent) >= life)
            && ending.into_iter().all(|ending| ending.is_over(now, life))
    }
}
