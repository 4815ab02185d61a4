//! Health checks between daemons while there is no coordinator.
//!
//! The directory keeps returning the last known daemons to callers. Without a
//! coordinator, no view reports when more of them stop, so each daemon tries to
//! connect to others, those of its own availability zone first, and drops those
//! to which two attempts in a row fail.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use tokio::net::TcpStream;
use ward_fleet::HostMember;
use ward_protocol::DaemonId;

use crate::gateway::Gateway;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of daemons that are checked in one round.
const MAX_CHECKED_MEMBERS: usize = 16;

/// Removes daemons that do not accept connections from the known ones.
pub(super) async fn drop_unreachable_members(gateway: &Rc<Gateway>) {
    let settings = gateway.settings();
    let mut members = gateway.members.borrow().clone();
    members.retain(|member| member.daemon != settings.daemon);
    members.sort_by_key(|member| member.zone != settings.zone);
    members.truncate(MAX_CHECKED_MEMBERS);
    let probes = members.iter().map(probe_twice);
    let unreachable: Vec<DaemonId> = join_all(probes).await.into_iter().flatten().collect();
    for daemon in unreachable {
        info!(gateway.logger, "members: daemon cannot be reached"; "lost" => %daemon);
        let mut members = gateway.members.borrow_mut();
        members.retain(|member| member.daemon != daemon);
    }
}

/// Tries to connect up to twice; returns the daemon's id if both attempts fail.
async fn probe_twice(member: &HostMember) -> Option<DaemonId> {
    let is_reachable = can_connect(member).await || can_connect(member).await;
    (!is_reachable).then(|| member.daemon.clone())
}

async fn can_connect(member: &HostMember) -> bool {
    let connect = TcpStream::connect(member.peers);
    matches!(
        tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
        Ok(Ok(_))
    )
}
