//! Broadcasts crashes to all other daemons while no coordinator does.
//!
//! A crash that this daemon detected is reported to the coordinator, whose views
//! confirm it. If no view has confirmed it yet, and there is no current view or the
//! coordinator is new, the daemon sends it to all others itself, and they reply
//! with the crashes that they know. Daemons that cannot be reached receive it from
//! the next coordinator.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use indexmap::IndexSet;
use slog::{info, warn};
use ward_fleet::{CoordinatorMessage, CrashNews, MemberMessage};
use ward_protocol::TimeSpan;

use super::call::call_daemon;
use super::frame::{PeerError, encode_frame};
use crate::clock;
use crate::crash::{TimedReport, current_reports, record_news};
use crate::gateway::Gateway;

/// Time in which a view of the coordinator confirms a crash, and in which crashes
/// are collected to be sent together.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Confirmation intervals with a coordinator that reaches all daemons, after which
/// a crash counts as broadcast even if no view confirmed it.
const MAX_CONFIRM_WAITS: u32 = 20;
/// Time within which all daemons find a new coordinator; small hosts search for one
/// only every `SMALL_HOST_POLL_INTERVAL`.
const DISCOVERY_TIME: TimeSpan = TimeSpan::from_millis(2_000);
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of daemons to which crashes are sent at the same time.
const MAX_CONCURRENT_SENDS: usize = 16;

/// Broadcasts unconfirmed crashes to other daemons; never returns.
pub(crate) async fn broadcast_crashes(gateway: Rc<Gateway>) {
    let mut waits = 0;
    loop {
        if gateway.unconfirmed_crashes.borrow().is_empty() {
            gateway.crash_recorded.notified().await;
            waits = 0;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        waits += 1;
        if !coordinator_reaches_all(&gateway) {
            let reports = gateway.unconfirmed_crashes.take();
            send_to_all(&gateway, reports).await;
        } else if waits >= MAX_CONFIRM_WAITS {
            // The coordinator has this daemon's reports and may have cleared the crash.
            gateway.unconfirmed_crashes.take();
        }
    }
}

/// Whether there is a current view and all other daemons have had time to find the
/// coordinator.
pub(super) fn coordinator_reaches_all(gateway: &Gateway) -> bool {
    let since = gateway.followed_since.get();
    let is_discovered = since.is_some_and(|since| clock::now().since(since) >= DISCOVERY_TIME);
    is_discovered && gateway.has_current_view()
}

/// Sends crashes to all other daemons, and records the crashes that they know.
async fn send_to_all(gateway: &Gateway, reports: Vec<TimedReport>) {
    let count = reports.len();
    let now = clock::now();
    let news = CrashNews {
        crashes: current_reports(&reports, now),
        cleared_parts: gateway.crashes.borrow().parts().cleared_parts(now),
    };
    let frame = match encode_frame(&MemberMessage::Crashes(news)) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "crash: message cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    let addresses = peer_addresses(gateway);
    let sends = addresses
        .iter()
        .map(|address| send_reports(*address, &frame));
    let mut replies = stream::iter(sends).buffer_unordered(MAX_CONCURRENT_SENDS);
    let mut delivered = 0;
    while let Some(reply) = replies.next().await {
        match reply {
            Ok(known) => {
                delivered += 1;
                record_news(gateway, &known.crashes, &known.cleared_parts);
            }
            Err(cause) => info!(gateway.logger, "crash: daemon not reached"; "cause" => %cause),
        }
    }
    info!(
        gateway.logger, "crash: told without a coordinator";
        "crashes" => count, "daemons" => addresses.len(), "told" => delivered,
    );
}

/// Sends encoded crashes to one daemon; returns what it knows of crashes.
async fn send_reports(address: SocketAddr, frame: &[u8]) -> Result<CrashNews, PeerError> {
    match call_daemon(address, frame, SEND_TIMEOUT).await? {
        CoordinatorMessage::Crashes(known) => Ok(known),
        _ => Err(PeerError::Unexpected),
    }
}

/// Addresses of other daemons: the known ones and those named in the settings.
pub(crate) fn peer_addresses(gateway: &Gateway) -> IndexSet<SocketAddr> {
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    let known = members.iter().map(|member| member.peers);
    let mut addresses: IndexSet<SocketAddr> = settings.seeds.iter().copied().chain(known).collect();
    addresses.shift_remove(&settings.peers);
    addresses
}
