//! Detects a store outage: while the coordinator's lease cannot be renewed, other
//! daemons probe the store, and the lease is extended if none of them reaches it.

use slog::{info, warn};
use ward_fleet::{CoordinatorMessage, WitnessCandidate, choose_witnesses};
use ward_protocol::TimeSpan;

use super::active::ActiveCoordinator;
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::encode_message;

/// Asks other daemons to probe the store whenever a renewal is overdue; never returns.
pub(super) async fn monitor_store(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    let mut was_extended = false;
    loop {
        let now = clock::now();
        let lease = *coordinator.lease.borrow();
        let is_extended = lease.is_extended(&coordinator.window, now);
        if is_extended != was_extended {
            info!(
                gateway.logger, "coordinator: store away for everyone";
                "fence" => lease.fence.0, "orders_go_on" => is_extended,
                "unrenewed_millis" => now.since(lease.renewal_started).millis(),
            );
            was_extended = is_extended;
        }
        let overdue_in = lease.overdue_in(&coordinator.window, now);
        if overdue_in > TimeSpan::ZERO {
            tokio::time::sleep(overdue_in.duration()).await;
            continue;
        }
        if !coordinator.is_resigned() {
            probe_witnesses(gateway, coordinator);
        }
        tokio::time::sleep(coordinator.window.probe_interval.duration()).await;
    }
}

/// Asks witnesses in all availability zones to probe the store. Asks none if a daemon
/// that was known at the last renewal is no longer connected, since it may reach the
/// store.
fn probe_witnesses(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    let mut links = coordinator.links.borrow_mut();
    let connected = links.iter().filter(|(_, link)| !link.leaving);
    let candidates: Vec<_> = connected
        .filter_map(|(key, link)| {
            let member = link.member.as_ref()?;
            Some(WitnessCandidate { key: *key, member })
        })
        .collect();
    let witnesses = choose_witnesses(&coordinator.members_at_renewal.borrow(), &candidates);
    if witnesses.is_empty() {
        return;
    }
    let mut detector = coordinator.outage_detector.borrow_mut();
    let probe = detector.begin_probe(witnesses.iter().copied(), clock::now());
    let frame = match encode_message(&CoordinatorMessage::ProbeStore(probe)) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "coordinator: store probe cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    for key in witnesses {
        let sent = links
            .get_mut(&key)
            .map(|link| link.frames.try_send(frame.clone()));
        if let Some(Err(cause)) = sent {
            warn!(gateway.logger, "coordinator: store probe not sent"; "cause" => %cause);
        }
    }
}
