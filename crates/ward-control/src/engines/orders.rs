//! Sends orders to engines and records their results.

use ward_protocol::{
    BackendId, BackendOrder, MonoTime, OrderKind, OrderResult, RecordId, ReservationId,
};

use super::LoadAttempts;
use crate::action::ControlAction;
use crate::config::ControlConfig;
use crate::core::ControlCore;

/// An order that was sent, kept until it can no longer take effect.
#[derive(Debug, Clone)]
pub(super) struct OpenOrder {
    pub(super) kind: OrderKind,
    pub(super) sent: MonoTime,
    pub(super) result: Option<OrderResult>,
}

impl OpenOrder {
    /// Whether the order can no longer take effect.
    pub(super) fn expired(&self, now: MonoTime, config: &ControlConfig) -> bool {
        now.since(self.sent) >= config.order_life()
    }

    /// Whether the engine may still act on the order without having answered it.
    pub(super) fn is_pending(&self, now: MonoTime, config: &ControlConfig) -> bool {
        match self.result {
            None | Some(OrderResult::Unknown) => !self.expired(now, config),
            Some(OrderResult::Taken | OrderResult::Refused(_)) => false,
        }
    }
}

impl ControlCore {
    /// Sends an order if this daemon has authority and isn't stopping. A load order is also
    /// counted as an attempt.
    pub(super) fn send_order(&mut self, backend: &BackendId, kind: OrderKind) {
        if !self.has_authority() || !self.stop.may_order() {
            return;
        }
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let address = state.info.address;
        let not_after = self.lease_end();
        let id = self.ids.next();
        let now = self.now;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        let order = BackendOrder {
            order: id,
            fence: engine.fence,
            kind: kind.clone(),
        };
        if let OrderKind::Load { key, .. } = &kind {
            let reservation = self
                .state
                .reservation_on(key, backend)
                .unwrap_or(ReservationId(engine.fence.0));
            let count = engine
                .loads
                .get(key)
                .filter(|attempts| attempts.reservation == reservation)
                .map_or(0, |attempts| attempts.count);
            let attempts = LoadAttempts {
                reservation,
                last: now,
                count: count + 1,
            };
            engine.loads.insert(key.clone(), attempts);
        }
        let open = OpenOrder {
            kind,
            sent: now,
            result: None,
        };
        engine.orders.insert(id, open);
        self.actions.push(ControlAction::Order {
            backend: backend.clone(),
            address,
            order,
            not_after,
        });
    }

    /// When the current read lease ends.
    fn lease_end(&self) -> MonoTime {
        self.reader
            .lease_start
            .map_or(self.now, |start| start + self.config.lease.lease)
    }

    pub(crate) fn handle_order_ended(
        &mut self,
        backend: &BackendId,
        order: RecordId,
        result: OrderResult,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        // The next status shows the effect of the order: request it at once.
        engine.last_fetch = None;
        if let Some(open) = engine.orders.get_mut(&order) {
            if open.kind == OrderKind::Touch && result == OrderResult::Taken {
                engine.touch_answered = Some(now);
            }
            open.result = Some(result);
        }
    }

    /// Removes orders that can no longer take effect.
    pub(super) fn remove_expired_orders(&mut self, backend: &BackendId) {
        let now = self.now;
        let config = &self.config;
        if let Some(engine) = self.engines.owned.get_mut(backend) {
            engine.orders.retain(|_, order| !order.expired(now, config));
        }
    }
}
