//! A daemon's link to the coordinator, and taking over when there is none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;
use ward_adapter::{StoreClient, StoreTopic};
use ward_fleet::{
    CoordinatorMessage, FleetView, HostMember, HostSettings, LeaseWindow, LoadReport,
    MemberMessage, TermRecord, TermWatch,
};
use ward_protocol::TimeSpan;
use ward_protocol::codec::decode;

use super::check::check_members;
use super::frame::{FrameError, encode_frame, read_frame};
use crate::clock;
use crate::coordinator::take_over;
use crate::gateway::Gateway;

/// Time between reports while nothing urgent happens.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// Least time between two reports.
const LEAST_PAUSE: Duration = Duration::from_millis(4);
/// Silence after which the coordinator is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_200);
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time between looks for a coordinator.
const LOOK_PAUSE: Duration = Duration::from_millis(700);
/// Age of the store's news up to which a view stands for the store's.
const FRESH_STORE: TimeSpan = TimeSpan::from_millis(900);
/// Age of the coordinator's news from the store from which on it is taken to be
/// cut off, if others do hear the store.
const CUT_OFF_AGE: TimeSpan = TimeSpan::from_millis(2_000);
/// Own reads in a row that show that the store can be reached.
const READS_TO_JUDGE: u32 = 3;
/// Longest extra wait of the smallest host before it takes over.
const SIZE_DELAY_MILLIS: u64 = 400;
/// Cores, in thousandths, from which on a host waits least.
const LARGE_CORES: u64 = 500;
const RANDOM_DELAY_MILLIS: u64 = 150;

/// Follows the coordinator, or becomes it, until the process ends.
pub(crate) async fn follow_coordinator(gateway: Rc<Gateway>) {
    let mut watch = TermWatch::default();
    tokio::time::sleep(candidate_delay(&gateway.settings())).await;
    loop {
        if let Some(address) = find_coordinator(&gateway, &mut watch).await {
            let ended = follow(&gateway, address, &mut watch).await;
            gateway.view_fresh.set(None);
            gateway.manifest_wanted.notify_one();
            warn!(
                gateway.logger, "coordinator: link lost";
                "address" => %address, "why" => ended.err().map(|cause| cause.to_string()),
            );
        }
        check_members(&gateway).await;
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Larger hosts take over first, and not all of a size at once.
fn candidate_delay(settings: &HostSettings) -> Duration {
    let cores = u64::from(settings.capacity.cores.0).min(LARGE_CORES);
    let size = SIZE_DELAY_MILLIS - SIZE_DELAY_MILLIS * cores / LARGE_CORES;
    Duration::from_millis(size + rand::random_range(0..RANDOM_DELAY_MILLIS))
}

/// Where the coordinator is, after taking over if there is none.
async fn find_coordinator(gateway: &Rc<Gateway>, watch: &mut TermWatch) -> Option<SocketAddr> {
    let tail = match gateway.store.newest(StoreTopic::Coordinator).await {
        Ok(tail) => tail,
        Err(cause) => {
            warn!(gateway.logger, "coordinator: unknown"; "cause" => %cause);
            return None;
        }
    };
    let key = StoreClient::coordinator_key();
    let newest = tail.records.iter().rfind(|record| record.key == key);
    let term = newest.and_then(|record| match decode::<TermRecord>(&record.value) {
        Ok(term) => Some((term, record.offset)),
        Err(cause) => {
            warn!(gateway.logger, "coordinator: bad record"; "cause" => %cause);
            None
        }
    });
    let now = clock::now();
    if let Some((term, offset)) = &term {
        watch.note(*offset, term.released, now);
    }
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let candidate = !gateway.stopping.get() && !gateway.coordinator.is_active();
    if candidate && watch.may_take_over(&window, now) {
        return take_over(gateway, tail.end).await;
    }
    term.filter(|(term, _)| !term.released)
        .map(|(term, _)| term.peers)
}

async fn follow(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    watch: &mut TermWatch,
) -> Result<(), FrameError> {
    let connect = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| FrameError::Silent)??;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    send(
        &mut writer,
        &MemberMessage::Hello(own_member(&gateway.settings())),
    )
    .await?;
    send(&mut writer, &MemberMessage::Report(report(gateway))).await?;
    info!(gateway.logger, "coordinator: connected"; "address" => %address);
    let reports = send_reports(gateway, writer);
    let views = async {
        loop {
            let next = read_frame::<CoordinatorMessage>(&mut reader);
            let message = tokio::time::timeout(SILENCE, next).await;
            match message.map_err(|_| FrameError::Silent)?? {
                Some(CoordinatorMessage::View(view)) => {
                    watch.note(view.renewal, false, clock::now());
                    apply_view(gateway, &view);
                    if is_cut_off(gateway, &view) {
                        return Err(FrameError::CutOff);
                    }
                }
                None => return Err(FrameError::Refused),
            }
        }
    };
    tokio::select! {
        result = reports => result,
        result = views => result,
    }
}

async fn send_reports(gateway: &Gateway, mut writer: OwnedWriteHalf) -> Result<(), FrameError> {
    let mut told_leaving = false;
    loop {
        let earliest = Instant::now() + LEAST_PAUSE;
        // Either the pause or a wish for a report ends the wait.
        let wanted = gateway.report_wanted.notified();
        drop(tokio::time::timeout(REPORT_PAUSE, wanted).await);
        tokio::time::sleep_until(earliest).await;
        if gateway.stopping.get() && !told_leaving {
            send(&mut writer, &MemberMessage::Leaving).await?;
            told_leaving = true;
        }
        send(&mut writer, &MemberMessage::Report(report(gateway))).await?;
    }
}

async fn send(writer: &mut OwnedWriteHalf, message: &MemberMessage) -> Result<(), FrameError> {
    let frame = encode_frame(message)?;
    match tokio::time::timeout(SILENCE, writer.write_all(&frame)).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(FrameError::Silent),
    }
}

/// Whether the coordinator cannot reach the store while this daemon can.
fn is_cut_off(gateway: &Gateway, view: &FleetView) -> bool {
    view.store_age > CUT_OFF_AGE && gateway.store_streak.get() >= READS_TO_JUDGE
}

/// This daemon as others see it.
pub(super) fn own_member(settings: &HostSettings) -> HostMember {
    HostMember {
        daemon: settings.daemon.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        peers: settings.peers,
        capacity: settings.capacity,
    }
}

fn report(gateway: &Gateway) -> LoadReport {
    let notes = gateway.take_notes();
    LoadReport {
        running: gateway.table.borrow().running_counts(),
        manifest: gateway
            .manifest()
            .map(|manifest| manifest.version)
            .unwrap_or_default(),
        waiting: gateway.queue.waiting_counts(),
        arrivals: notes.arrivals,
        crashes: notes.crashes,
        misplaced: notes.misplaced,
    }
}

fn apply_view(gateway: &Gateway, view: &FleetView) {
    let now = clock::now();
    if view.store_age < FRESH_STORE {
        gateway.view_fresh.set(Some(now));
    }
    gateway.table.borrow_mut().apply(view);
    if let Some(members) = &view.members {
        gateway.members.borrow_mut().clone_from(members);
    }
    gateway.hear_manifest(view.manifest);
    for fingerprint in &view.poisoned {
        gateway.crashes.borrow_mut().block(*fingerprint, now);
    }
    if !gateway.engines_known.replace(true) {
        info!(gateway.logger, "engines: known from the coordinator"; "count" => view.engines.len());
    }
    gateway.queue.changed();
}
