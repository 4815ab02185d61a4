//! Orderly stop: waits until this daemon's orders have expired, then leaves.

use ward_protocol::{ControlRecord, MonoTime, TimeSpan};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::engines::OwnedEngine;
use crate::proposer::ProposalSubject;

/// Maximum duration of a stop: after this time the daemon stops without having left.
const LEAVE_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// Progress of a stop.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    begun_at: Option<MonoTime>,
    /// Whether `Stopped` was emitted.
    ended: bool,
}

impl StopState {
    pub(crate) fn begin(&mut self, now: MonoTime) {
        self.begun_at.get_or_insert(now);
    }

    pub(crate) const fn is_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether orders may still be sent; not once a stop has begun.
    pub(crate) const fn may_order(&self) -> bool {
        self.begun_at.is_none()
    }
}

impl ControlCore {
    /// Proposes `Leave` once no order of this daemon can take effect any more, and emits
    /// `Stopped` when this daemon is no longer a member or the timeout has passed.
    pub(crate) fn run_stop(&mut self) {
        let Some(begun_at) = self.stop.begun_at else {
            return;
        };
        if self.stop.ended {
            return;
        }
        let timed_out = self.now.since(begun_at) >= LEAVE_TIMEOUT;
        if !self.is_member() || timed_out {
            self.stop.ended = true;
            self.actions.push(ControlAction::Stopped);
            return;
        }
        if self.own_orders_expired() {
            self.propose(ProposalSubject::Leave, ControlRecord::Leave);
        }
    }

    /// Whether no order of this daemon can take effect any more.
    fn own_orders_expired(&self) -> bool {
        let (now, order_life) = (self.now, self.config.order_life());
        let owned = self.engines.owned.values();
        let handovers = self.engines.handovers.iter();
        owned
            .flat_map(OwnedEngine::order_times)
            .all(|sent| now.since(sent) >= order_life)
            && handovers
                .into_iter()
                .all(|handover| handover.orders_expired(now, order_life))
    }
}
