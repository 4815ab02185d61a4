//! Changes the roles of engines and puts idle ones into standby.

use ward_protocol::{BackendId, BackendStatus, ControlRecord, EngineRole, OrderKind, TimeSpan};

use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Minimum time between two role orders to the same engine.
const ROLE_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(2);

impl ControlCore {
    /// Proposes the role that an engine reports if the state has none and it isn't serving,
    /// orders the state's role if the engine has another, and otherwise proposes standby when
    /// the engine has been idle for long enough.
    pub(super) fn reconcile_role(&mut self, backend: &BackendId, status: &BackendStatus) {
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let (role, empty, leaving) = (state.role, state.reservations.is_empty(), state.leaving);
        if self
            .proposer
            .is_open(&ProposalSubject::Role(backend.clone()))
        {
            return;
        }
        match role {
            None if status.role != EngineRole::Serving => self.propose_role(backend, status.role),
            Some(role) if role != status.role => self.order_role(backend, role),
            None | Some(_) => {
                let idle = empty && status.resident.is_empty() && !leaving;
                self.propose_standby_if_idle(backend, idle && status.role != EngineRole::Standby);
            }
        }
    }

    fn order_role(&mut self, backend: &BackendId, role: EngineRole) {
        let Some(engine) = self.engines.owned.get(backend) else {
            return;
        };
        let recent = engine.orders.values().any(|order| {
            matches!(order.kind, OrderKind::Role { .. })
                && self.now.since(order.sent) < ROLE_RETRY_DELAY
        });
        if !recent {
            self.send_order(backend, OrderKind::Role { role });
        }
    }

    fn propose_standby_if_idle(&mut self, backend: &BackendId, idle: bool) {
        let now = self.now;
        let limit = self.config.policy.standby_after;
        let Some(engine) = self.engines.owned.get_mut(backend) else {
            return;
        };
        if !idle {
            engine.idle_since = None;
            return;
        }
        let idle_since = *engine.idle_since.get_or_insert(now);
        if now.since(idle_since) >= limit {
            self.propose_role(backend, EngineRole::Standby);
        }
    }

    pub(crate) fn propose_role(&mut self, backend: &BackendId, role: EngineRole) {
        let body = ControlRecord::Role {
            backend: backend.clone(),
            role,
        };
        self.propose(ProposalSubject::Role(backend.clone()), body);
    }
}
