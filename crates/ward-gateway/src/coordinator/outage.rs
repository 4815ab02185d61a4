//! Detects a store outage: while the coordinator's lease cannot be renewed, other
//! daemons probe the store, and the lease is extended if none of them reaches it and
//! enough of all daemons support the term.

use slog::{info, warn};
use ward_fleet::placement::MemberKey;
use ward_fleet::{
    CoordinatorMessage, LoadReport, ProbeNumber, SupportRequest, WitnessCandidate, choose_witnesses,
};
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
            probe_witnesses(coordinator);
        }
        tokio::time::sleep(coordinator.window.probe_interval.duration()).await;
    }
}

/// Asks witnesses in all availability zones to probe the store. Asks none if a daemon
/// that was known at the last renewal is no longer connected, since it may reach the
/// store.
fn probe_witnesses(coordinator: &ActiveCoordinator) {
    let links = coordinator.links.borrow();
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
    drop(links);
    send_probe(
        coordinator,
        witnesses,
        &CoordinatorMessage::ProbeStore(probe),
    );
}

/// Applies what a daemon's report says of probes. Once all witnesses of a probe have
/// failed to reach the store, asks all daemons to support the term.
pub(super) fn record_probe_replies(
    coordinator: &ActiveCoordinator,
    key: MemberKey,
    report: &LoadReport,
) {
    if let Some(probe) = report.failed_probe {
        let mut detector = coordinator.outage_detector.borrow_mut();
        if detector.record_failed_call(key, probe) {
            request_support(coordinator, probe);
        }
    }
    if let Some(probe) = report.supported_probe {
        record_support(coordinator, key, probe);
    }
}

fn request_support(coordinator: &ActiveCoordinator, probe: ProbeNumber) {
    if coordinator.is_resigned() {
        return;
    }
    let request = SupportRequest {
        probe,
        fence: coordinator.fence(),
    };
    let daemons: Vec<_> = coordinator.links.borrow().keys().copied().collect();
    let message = CoordinatorMessage::SupportTerm(request);
    send_probe(coordinator, daemons, &message);
}

fn record_support(coordinator: &ActiveCoordinator, key: MemberKey, probe: ProbeNumber) {
    let links = coordinator.links.borrow();
    let member = links.get(&key).and_then(|link| link.member.as_ref());
    let Some(supporter) = member.map(|member| member.peers) else {
        return;
    };
    let mut detector = coordinator.outage_detector.borrow_mut();
    let outage_time = detector.record_support(supporter, probe, &coordinator.quorum.borrow());
    if let Some(outage_time) = outage_time {
        coordinator.lease.borrow_mut().record_outage(outage_time);
    }
}

/// Sends a message about a probe to some daemons.
fn send_probe(
    coordinator: &ActiveCoordinator,
    daemons: Vec<MemberKey>,
    message: &CoordinatorMessage,
) {
    let frame = match encode_message(message) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(coordinator.logger, "coordinator: store probe cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    let links = coordinator.links.borrow();
    for key in daemons {
        let sent = links
            .get(&key)
            .map(|link| link.frames.try_send(frame.clone()));
        if let Some(Err(cause)) = sent {
            warn!(coordinator.logger, "coordinator: store probe not sent"; "cause" => %cause);
        }
    }
}
