//! Which daemons still run, while there is no coordinator to tell.
//!
//! Callers are told to use the daemons known last. Without a coordinator nobody
//! notices when more of them stop, so each daemon tries to connect to those of
//! its own availability zone and drops the ones that fail twice in a row.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;
use tokio::net::TcpStream;
use ward_fleet::HostMember;
use ward_protocol::DaemonId;

use crate::gateway::Gateway;

const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Daemons tried at a time.
const MOST_CHECKED: usize = 16;

/// Drops daemons that cannot be connected to.
pub(super) async fn check_members(gateway: &Rc<Gateway>) {
    let settings = gateway.settings();
    let mut members = gateway.members.borrow().clone();
    members.retain(|member| member.daemon != settings.daemon);
    members.sort_by_key(|member| member.zone != settings.zone);
    members.truncate(MOST_CHECKED);
    let checks = members.iter().map(check_twice);
    let lost: Vec<DaemonId> = join_all(checks).await.into_iter().flatten().collect();
    for daemon in lost {
        info!(gateway.logger, "members: daemon cannot be reached"; "lost" => %daemon);
        let mut members = gateway.members.borrow_mut();
        members.retain(|member| member.daemon != daemon);
    }
}

/// The daemon's name if it cannot be connected to.
async fn check_twice(member: &HostMember) -> Option<DaemonId> {
    let reached = reach(member).await || reach(member).await;
    (!reached).then(|| member.daemon.clone())
}

async fn reach(member: &HostMember) -> bool {
    let connect = TcpStream::connect(member.peers);
    matches!(tokio::time::timeout(CONNECT_TIME, connect).await, Ok(Ok(_)))
}
