//! Issues permits for requests to limited engines to the connected daemons.

use slog::{debug, warn};
use ward_fleet::number::usize_to_f64;
use ward_fleet::placement::MemberKey;
use ward_fleet::{CoordinatorMessage, PermitBatch};

use super::active::{ActiveCoordinator, MemberLink};
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::encode_message;

/// Issues the permits that daemons need and the limits allow now.
pub(crate) fn issue_permits(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    let share = connected_share(gateway, coordinator);
    let rates = coordinator.state.borrow().limited_rates();
    let mut issuer = coordinator.issuer.borrow_mut();
    let batches = issuer.issue(&rates, share, clock::now());
    drop(issuer);
    for (member, batch) in batches {
        send_batch(gateway, coordinator, member, batch);
    }
}

/// Fraction of the daemons that are connected. The others may send in turns of their own.
fn connected_share(gateway: &Gateway, coordinator: &ActiveCoordinator) -> f64 {
    let links = coordinator.links.borrow();
    let connected = links.values().filter(|link| link.member.is_some()).count();
    let all = gateway.budget_daemons().max(connected).max(1);
    usize_to_f64(connected) / usize_to_f64(all)
}

fn send_batch(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    member: MemberKey,
    batch: PermitBatch,
) {
    let links = coordinator.links.borrow();
    let Some(link) = links.get(&member) else {
        return;
    };
    for grant in batch.grants.iter().filter(|grant| grant.count > 0) {
        gateway.metrics.permits.inc_by(u64::from(grant.count));
        debug!(
            gateway.logger, "limits: permits issued"; "engine" => %grant.engine,
            "daemon" => link.member.as_ref().map(|member| member.daemon.to_string()),
            "count" => grant.count, "wait" => grant.wait.millis(),
        );
    }
    send_message(gateway, link, &CoordinatorMessage::Permits(batch));
}

/// Queues a message of the coordinator for a daemon.
pub(super) fn send_message(gateway: &Gateway, link: &MemberLink, message: &CoordinatorMessage) {
    let frame = match encode_message(message) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "coordinator: message cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    if link.frames.try_send(frame).is_err() {
        // The next view finds the queue full, too, and closes the connection.
        warn!(
            gateway.logger,
            "coordinator: message not sent, the daemon reads none";
            "daemon" => link.member.as_ref().map(|member| member.daemon.to_string()),
        );
    }
}
