//! Waits of requests that only engines with a rate limit have room for.

use indexmap::IndexMap;
use ward_fleet::choice::LimitedEngines;
use ward_protocol::{BackendId, TimeSpan};

use super::ticket::WaitTicket;
use crate::clock;
use crate::gateway::Gateway;
use crate::limit::permit_wait;

/// Numbers of waiting requests for which permits are asked, by engine.
#[derive(Default)]
pub(super) struct PermitDemand {
    waiting: IndexMap<BackendId, u32>,
}

impl PermitDemand {
    /// Adds a request with `ahead` others of the same kind before it; these are spread over
    /// the engines.
    pub(super) fn add(&mut self, limited: &LimitedEngines, ahead: usize) {
        let count = limited.engines.len().max(1);
        if let Some(engine) = limited.engines.get(ahead % count) {
            *self.waiting.entry(engine.clone()).or_default() += 1;
        }
    }

    /// Asks the coordinator for the permits, at once if more are needed than before.
    pub(super) fn request(self, gateway: &Gateway) {
        let mut table = gateway.table.borrow_mut();
        if table.permits.set_waiting(&self.waiting) {
            gateway.report_requested.notify_one();
        }
    }
}

/// Keeps asking the coordinator for permits and estimates although the request is refused.
pub(super) fn want_spare_permits(gateway: &Gateway, limited: &LimitedEngines) {
    let mut table = gateway.table.borrow_mut();
    for engine in &limited.engines {
        table.permits.want_spare(engine, clock::now());
    }
}

/// Time until a request gets a permit for an engine, if only engines with a rate limit can
/// serve it and that is too late for it.
pub(super) fn permit_wait_if_late(
    gateway: &Gateway,
    ticket: &WaitTicket,
    limited: &LimitedEngines,
    ahead: usize,
) -> Option<TimeSpan> {
    let wait = permit_wait(gateway, limited, ahead).filter(|_| limited.are_only)?;
    let is_late = clock::now() + wait > ticket.times.latest_start();
    is_late.then_some(wait)
}
