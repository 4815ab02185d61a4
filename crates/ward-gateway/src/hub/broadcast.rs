//! Telling other daemons of crashes while no coordinator does.
//!
//! A crash that this daemon saw is told to the coordinator, whose views confirm
//! it. Until a view has, and while none is heard or the coordinator is new, the
//! daemon tells all others itself, and they answer with what they know. Whoever
//! cannot be reached learns it from the next coordinator.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use indexmap::IndexSet;
use slog::{info, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use ward_fleet::{CoordinatorMessage, CrashReport, MemberMessage};
use ward_protocol::TimeSpan;

use super::frame::{FrameError, encode_frame, read_frame};
use crate::clock;
use crate::crash::record_crash;
use crate::gateway::Gateway;

/// Time in which the view of a coordinator confirms a crash, and in which crashes
/// are gathered that are told together.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Looks at a coordinator that is heard before a crash counts as told.
const MAX_CONFIRM_WAITS: u32 = 20;
/// Time in which all daemons find a new coordinator; small hosts look seldom.
const DISCOVERY_TIME: TimeSpan = TimeSpan::from_millis(2_000);
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Daemons told at a time.
const MAX_CONCURRENT_SENDS: usize = 16;

/// Tells other daemons of crashes, until the process ends.
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
            let marks = gateway.unconfirmed_crashes.take();
            send_to_all(&gateway, marks).await;
        } else if waits >= MAX_CONFIRM_WAITS {
            // The coordinator has its reports; it may know better by now.
            gateway.unconfirmed_crashes.take();
        }
    }
}

/// Whether the coordinator is heard and all others have had time to find it.
pub(super) fn coordinator_reaches_all(gateway: &Gateway) -> bool {
    let since = gateway.followed_since.get();
    let is_discovered = since.is_some_and(|since| clock::now().since(since) >= DISCOVERY_TIME);
    is_discovered && gateway.has_current_view()
}

async fn send_to_all(gateway: &Gateway, marks: Vec<CrashReport>) {
    let count = marks.len();
    let frame = match encode_frame(&MemberMessage::Crashes(marks)) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "crash: marks cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    let addresses = peer_addresses(gateway);
    let sends = addresses.iter().map(|address| send_marks(*address, &frame));
    let mut replies = stream::iter(sends).buffer_unordered(MAX_CONCURRENT_SENDS);
    let mut delivered = 0;
    while let Some(reply) = replies.next().await {
        match reply {
            Ok(known) => {
                delivered += 1;
                for mark in &known {
                    record_crash(gateway, mark);
                }
            }
            Err(cause) => info!(gateway.logger, "crash: not told"; "cause" => %cause),
        }
    }
    info!(
        gateway.logger, "crash: told without a coordinator";
        "crashes" => count, "daemons" => addresses.len(), "told" => delivered,
    );
}

/// Tells one daemon; returns the crashes that it knows of.
async fn send_marks(address: SocketAddr, frame: &[u8]) -> Result<Vec<CrashReport>, FrameError> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(frame).await?;
        match read_frame(&mut stream).await? {
            Some(CoordinatorMessage::Crashes(known)) => Ok(known),
            _ => Err(FrameError::Refused),
        }
    };
    let known = tokio::time::timeout(SEND_TIMEOUT, exchange).await;
    known.unwrap_or(Err(FrameError::Timeout))
}

/// Where other daemons may listen: those known and those that the settings name.
pub(super) fn peer_addresses(gateway: &Gateway) -> IndexSet<SocketAddr> {
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    let known = members.iter().map(|member| member.peers);
    let mut addresses: IndexSet<SocketAddr> = settings.seeds.iter().copied().chain(known).collect();
    addresses.shift_remove(&settings.peers);
    addresses
}
