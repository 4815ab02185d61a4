//! A daemon's link to the coordinator, and taking over when there is none.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;
use ward_adapter::StoreTopic;
use ward_fleet::{
    CoordinatorMessage, FleetRecord, FleetView, HostMember, HostSettings, LeaseWindow, LoadReport,
    MemberMessage, ProbeNumber, TermObserver, TermRecord,
};
use ward_protocol::{MonoTime, TimeSpan, WallTime};

use super::broadcast::coordinator_reaches_all;
use super::check::drop_unreachable_members;
use super::frame::{FrameError, encode_frame, read_frame};
use crate::clock;
use crate::coordinator::{newest_term, stored_fleet, take_over};
use crate::crash::{clear_crashes, confirm_crashes, record_crash};
use crate::gateway::Gateway;
use crate::leaving::report_missed_leaving;

/// Time between reports while nothing urgent happens.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(4);
/// Silence after which the coordinator is taken for lost.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between looks for a coordinator of a host that is not among the largest;
/// each look is a call to the store.
const SMALL_HOST_POLL_INTERVAL: Duration = Duration::from_millis(1_600);
/// Tries to connect to a coordinator from which no view ever came, and the pause
/// between them; costs less than a look.
const INITIAL_CONNECT_ATTEMPTS: u32 = 5;
const INITIAL_CONNECT_DELAY: Duration = Duration::from_millis(150);
/// Least time between looks for a coordinator.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between looks for a coordinator.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Age of the coordinator's news from the store from which on it is taken to be
/// cut off, if others do hear the store.
const MAX_STORE_AGE: TimeSpan = TimeSpan::from_millis(2_000);
/// Own reads in a row that show that the store can be reached.
const MIN_CONSECUTIVE_READS: u32 = 3;
/// Extra wait of a host that is not among the largest before it takes over.
const SMALL_HOST_DELAY: TimeSpan = TimeSpan::from_millis(2_000);
/// A host is among the largest from this part of the largest one's size on.
const LARGE_HOST_NUMERATOR: u64 = 3;
const LARGE_HOST_DENOMINATOR: u64 = 4;
/// Size of a large host while no other is known.
const DEFAULT_LARGEST_SIZE: u64 = 250;
const MAX_JITTER_MILLIS: u64 = 150;
/// Extra wait of a daemon that has not had its turn in a rolling restart.
const PENDING_RESTART_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Difference up to which two daemons count as started together.
const SIMULTANEOUS_START_MILLIS: u64 = 1_000;

/// Follows the coordinator, or becomes it, until the process ends.
pub(crate) async fn follow_coordinator(gateway: Rc<Gateway>) {
    let mut watch = TermObserver::default();
    let started = clock::now();
    loop {
        if let Some(address) = find_or_become_coordinator(&gateway, &mut watch, started).await {
            let connect_time = Instant::now();
            let ended = follow_with_retries(&gateway, address, &mut watch).await;
            let was_followed = gateway.view_store_time.take().is_some();
            gateway.followed_since.set(None);
            if let Err(FrameError::Resync) = ended {
                continue;
            }
            warn!(
                gateway.logger, "coordinator: link lost";
                "address" => %address, "why" => ended.err().map(|cause| cause.to_string()),
            );
            if was_followed && connect_time.elapsed() > MAX_POLL_INTERVAL {
                // Whether the term was released decides how long to wait.
                continue;
            }
        }
        drop_unreachable_members(&gateway).await;
        gateway
            .sleep_or_store_recovery(poll_interval(&gateway, &watch))
            .await;
    }
}

/// Time until the next look for a coordinator; a large host looks when it may
/// take over.
fn poll_interval(gateway: &Gateway, watch: &TermObserver) -> Duration {
    if !is_large_host(gateway) {
        return SMALL_HOST_POLL_INTERVAL;
    }
    if watch.offset().is_none() {
        return MAX_POLL_INTERVAL;
    }
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let takeover_in = watch.take_over_in(&window, clock::now());
    takeover_in
        .duration()
        .clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

/// Whether this host is among the largest of those known; the coordinator's link
/// carries the views of all daemons.
fn is_large_host(gateway: &Gateway) -> bool {
    let members = gateway.members.borrow();
    let largest = members.iter().map(|member| member.capacity.size()).max();
    let own = gateway.settings().capacity.size();
    own * LARGE_HOST_DENOMINATOR >= largest.unwrap_or(DEFAULT_LARGEST_SIZE) * LARGE_HOST_NUMERATOR
}

/// Larger hosts take over first, and not all of a size at once.
fn takeover_delay(gateway: &Gateway) -> TimeSpan {
    let size_delay = if is_large_host(gateway) {
        TimeSpan::ZERO
    } else {
        SMALL_HOST_DELAY
    };
    size_delay + TimeSpan::from_millis(rand::random_range(0..MAX_JITTER_MILLIS))
}

/// When hosts are restarted one after another, those that have had their turn
/// take over first: they are likely to stay.
fn pending_restart_delay(gateway: &Gateway, term: &TermRecord) -> TimeSpan {
    let has_restarted = gateway.incarnation.0 > term.incarnation.0 + SIMULTANEOUS_START_MILLIS;
    if term.released && !has_restarted {
        PENDING_RESTART_DELAY
    } else {
        TimeSpan::ZERO
    }
}

/// Where the coordinator is, after taking over if there is none.
async fn find_or_become_coordinator(
    gateway: &Rc<Gateway>,
    watch: &mut TermObserver,
    started: MonoTime,
) -> Option<SocketAddr> {
    let tail = match gateway.store.newest(StoreTopic::Coordinator).await {
        Ok(tail) => tail,
        Err(cause) => {
            watch.record_outage();
            warn!(gateway.logger, "coordinator: unknown"; "cause" => %cause);
            return gateway.coordinator_address.get();
        }
    };
    if let Some(fleet) = stored_fleet(&tail, &gateway.logger) {
        apply_fleet_record(gateway, fleet);
    }
    let stored = newest_term(&tail, &gateway.logger);
    let now = clock::now();
    if let Some(stored) = &stored {
        watch.record(stored.offset, stored.term.released, now);
    }
    let term = stored.map(|stored| stored.term);
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let is_candidate = !gateway.stopping.get() && !gateway.coordinator.is_active();
    let restart_delay = term
        .as_ref()
        .map_or(TimeSpan::ZERO, |term| pending_restart_delay(gateway, term));
    let delay = takeover_delay(gateway);
    let holds_term = term.as_ref().is_some_and(|term| {
        let settings = gateway.settings();
        term.is_held_by(&settings.daemon, settings.peers)
    });
    let has_waited = now.since(started) >= delay;
    let may_take_over_now =
        has_waited && watch.may_take_over(&window, now - (delay + restart_delay));
    if is_candidate && (holds_term || may_take_over_now) {
        let former = term.as_ref().map(|term| &term.daemon);
        return take_over(gateway, former, tail.end).await;
    }
    term.filter(|term| !term.released).map(|term| term.peers)
}

/// Takes over what an earlier coordinator kept in the store.
fn apply_fleet_record(gateway: &Gateway, fleet: FleetRecord) {
    gateway.record_daemon_count(fleet.daemons);
    for mark in fleet.into_crashes(WallTime::now()) {
        record_crash(gateway, &mark);
    }
}

/// Follows a coordinator; one that has started together with this daemon may not
/// listen yet.
async fn follow_with_retries(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    watch: &mut TermObserver,
) -> Result<(), FrameError> {
    for _ in 0..INITIAL_CONNECT_ATTEMPTS {
        let start = Instant::now();
        let ended = follow(gateway, address, watch).await;
        let was_refused = matches!(ended, Err(FrameError::Io(_)));
        if !was_refused
            || start.elapsed() > INITIAL_CONNECT_DELAY
            || gateway.view_store_time.get().is_some()
        {
            return ended;
        }
        tokio::time::sleep(INITIAL_CONNECT_DELAY).await;
    }
    follow(gateway, address, watch).await
}

async fn follow(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    watch: &mut TermObserver,
) -> Result<(), FrameError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| FrameError::Timeout)??;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    send(
        &mut writer,
        &MemberMessage::Hello(own_member(&gateway.settings())),
    )
    .await?;
    send(&mut writer, &MemberMessage::Report(build_report(gateway))).await?;
    info!(gateway.logger, "coordinator: connected"; "address" => %address);
    gateway.coordinator_address.set(Some(address));
    let reports = send_reports(gateway, writer);
    let views = async {
        // A view that was not taken over whole must come again.
        let mut was_outdated = false;
        loop {
            let next = read_frame::<CoordinatorMessage>(&mut reader);
            let message = tokio::time::timeout(COORDINATOR_TIMEOUT, next).await;
            match message.map_err(|_| FrameError::Timeout)?? {
                Some(CoordinatorMessage::ProbeStore(probe)) => {
                    tokio::task::spawn_local(probe_store(Rc::clone(gateway), probe));
                }
                Some(CoordinatorMessage::View(view)) => {
                    if view.store_outage {
                        watch.record_outage();
                    } else {
                        watch.record(view.renewal_offset, false, clock::now());
                    }
                    let is_outdated = apply_view(gateway, &view);
                    if was_outdated && !is_outdated {
                        return Err(FrameError::Resync);
                    }
                    was_outdated |= is_outdated;
                    if is_coordinator_isolated(gateway, &view) {
                        return Err(FrameError::StoreUnavailable);
                    }
                }
                Some(CoordinatorMessage::Snapshot(_) | CoordinatorMessage::Crashes(_)) | None => {
                    return Err(FrameError::Refused);
                }
            }
        }
    };
    tokio::select! {
        result = reports => result,
        result = views => result,
    }
}

/// Calls the store because the coordinator asks; reports when it does not answer.
async fn probe_store(gateway: Rc<Gateway>, probe: ProbeNumber) {
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let call = gateway.store.newest(StoreTopic::Coordinator);
    let is_away = match tokio::time::timeout(window.probe_timeout.duration(), call).await {
        Ok(Ok(_)) => false,
        Ok(Err(cause)) => cause.is_unavailable(),
        Err(_) => true,
    };
    info!(gateway.logger, "store: asked for the coordinator"; "probe" => probe.0, "away" => is_away);
    if is_away {
        gateway.report_events.borrow_mut().store_away = Some(probe);
        gateway.report_requested.notify_one();
    }
}

async fn send_reports(gateway: &Gateway, mut writer: OwnedWriteHalf) -> Result<(), FrameError> {
    let mut leaving_sent = false;
    loop {
        let earliest = Instant::now() + MIN_REPORT_INTERVAL;
        // Either the pause or a wish for a report ends the wait.
        let requested = gateway.report_requested.notified();
        drop(tokio::time::timeout(REPORT_INTERVAL, requested).await);
        tokio::time::sleep_until(earliest).await;
        if gateway.stopping.get() && !leaving_sent {
            send(&mut writer, &MemberMessage::Leaving).await?;
            leaving_sent = true;
        }
        send(&mut writer, &MemberMessage::Report(build_report(gateway))).await?;
    }
}

async fn send(writer: &mut OwnedWriteHalf, message: &MemberMessage) -> Result<(), FrameError> {
    let frame = encode_frame(message)?;
    match tokio::time::timeout(COORDINATOR_TIMEOUT, writer.write_all(&frame)).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(FrameError::Timeout),
    }
}

/// Whether the coordinator cannot reach the store while this daemon can.
fn is_coordinator_isolated(gateway: &Gateway, view: &FleetView) -> bool {
    view.store_age > MAX_STORE_AGE && gateway.consecutive_reads.get() >= MIN_CONSECUTIVE_READS
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

fn build_report(gateway: &Gateway) -> LoadReport {
    let events = gateway.take_report_events();
    LoadReport {
        running: gateway.table.borrow().running_counts(),
        manifest: gateway
            .manifest()
            .map(|manifest| manifest.version)
            .unwrap_or_default(),
        waiting: gateway.queue.waiting_counts(),
        arrivals: events.arrivals,
        crashes: events.crashes,
        leaving: events.leaving,
        cleared: events.cleared,
        misplaced: events.misplaced,
        failed_probe: events.store_away,
    }
}

/// Takes over a view; returns whether the store itself has told more since.
fn apply_view(gateway: &Gateway, view: &FleetView) -> bool {
    let now = clock::now();
    let view_store_time = now - view.store_age;
    let has_read_since = gateway
        .engine_read_time
        .get()
        .is_some_and(|time| time > view_store_time);
    let is_outdated = has_read_since && !gateway.coordinator.is_active();
    // While the store is away for everyone, reading it oneself tells no more.
    let store_time = if view.store_outage {
        now
    } else {
        view_store_time
    };
    gateway.view_store_time.set(Some(store_time));
    let since = gateway.followed_since.get().unwrap_or(now);
    gateway.followed_since.set(Some(since));
    gateway.store_outage.set(view.store_outage);
    gateway.table.borrow_mut().apply(view, is_outdated);
    view.apply_members(&mut gateway.members.borrow_mut());
    gateway.record_daemon_count(gateway.members.borrow().len());
    report_missed_leaving(gateway, view);
    gateway.coordinator_offset.set(view.engines_offset);
    gateway
        .max_concurrent_loads
        .set(Some(view.load_concurrency_limit));
    if view.loads.is_some() {
        gateway.queue.set_slow_models(&view.slow, now);
    }
    gateway.record_manifest_version(view.manifest);
    for fingerprint in &view.cleared {
        clear_crashes(gateway, fingerprint);
    }
    for mark in &view.crashes {
        record_crash(gateway, mark);
    }
    if coordinator_reaches_all(gateway) {
        confirm_crashes(gateway, &view.crashes);
    }
    if view.complete {
        // The coordinator may be new, or reports may have been lost with a link.
        let unlisted = gateway
            .crashes
            .borrow()
            .reports_missing_from(&view.crashes, now);
        if !unlisted.is_empty() {
            gateway.report_requested.notify_one();
        }
        gateway.report_events.borrow_mut().crashes = unlisted;
    }
    if !gateway.engines_known.replace(true) {
        info!(gateway.logger, "engines: known from the coordinator"; "count" => view.engines.len());
    }
    gateway.queue.changed();
    is_outdated
}
