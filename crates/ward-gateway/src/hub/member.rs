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

use super::check::check_members;
use super::frame::{FrameError, encode_frame, read_frame};
use super::tell::reaches_all;
use crate::clock;
use crate::coordinator::{newest_term, stored_fleet, take_over};
use crate::crash::{clear_crashes, confirm_crashes, learn_crash};
use crate::gateway::Gateway;
use crate::leaving::contradict_view;

/// Time between reports while nothing urgent happens.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// Least time between two reports.
const LEAST_PAUSE: Duration = Duration::from_millis(4);
/// Silence after which the coordinator is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_200);
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time between looks for a coordinator of a host that is not among the largest;
/// each look is a call to the store.
const SMALL_LOOK_PAUSE: Duration = Duration::from_millis(1_600);
/// Tries to connect to a coordinator from which no view ever came, and the pause
/// between them; costs less than a look.
const FIRST_CONNECTS: u32 = 5;
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Least time between looks for a coordinator.
const LEAST_LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Time between looks for a coordinator.
const LOOK_PAUSE: Duration = Duration::from_millis(700);
/// Age of the coordinator's news from the store from which on it is taken to be
/// cut off, if others do hear the store.
const CUT_OFF_AGE: TimeSpan = TimeSpan::from_millis(2_000);
/// Own reads in a row that show that the store can be reached.
const READS_TO_JUDGE: u32 = 3;
/// Extra wait of a host that is not among the largest before it takes over.
const SMALL_DELAY: TimeSpan = TimeSpan::from_millis(2_000);
/// A host is among the largest from this part of the largest one's size on.
const LARGE_NUMERATOR: u64 = 3;
const LARGE_DENOMINATOR: u64 = 4;
/// Size of a large host while no other is known.
const LARGE_SIZE: u64 = 250;
const RANDOM_DELAY_MILLIS: u64 = 150;
/// Extra wait of a daemon that has not had its turn in a rolling restart.
const TURN_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Difference up to which two daemons count as started together.
const SAME_START_MILLIS: u64 = 1_000;

/// Follows the coordinator, or becomes it, until the process ends.
pub(crate) async fn follow_coordinator(gateway: Rc<Gateway>) {
    let mut watch = TermObserver::default();
    let started = clock::now();
    loop {
        if let Some(address) = find_coordinator(&gateway, &mut watch, started).await {
            let linked = Instant::now();
            let ended = follow_patiently(&gateway, address, &mut watch).await;
            let was_followed = gateway.view_time.take().is_some();
            gateway.followed_since.set(None);
            if let Err(FrameError::Resync) = ended {
                continue;
            }
            warn!(
                gateway.logger, "coordinator: link lost";
                "address" => %address, "why" => ended.err().map(|cause| cause.to_string()),
            );
            if was_followed && linked.elapsed() > LOOK_PAUSE {
                // Whether the term was released decides how long to wait.
                continue;
            }
        }
        check_members(&gateway).await;
        gateway.wait_for_store(look_pause(&gateway, &watch)).await;
    }
}

/// Time until the next look for a coordinator; a large host looks when it may
/// take over.
fn look_pause(gateway: &Gateway, watch: &TermObserver) -> Duration {
    if !is_large(gateway) {
        return SMALL_LOOK_PAUSE;
    }
    if watch.offset().is_none() {
        return LOOK_PAUSE;
    }
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let due = watch.take_over_in(&window, clock::now());
    due.duration().clamp(LEAST_LOOK_PAUSE, LOOK_PAUSE)
}

/// Whether this host is among the largest of those known; the coordinator's link
/// carries the views of all daemons.
fn is_large(gateway: &Gateway) -> bool {
    let members = gateway.members.borrow();
    let largest = members.iter().map(|member| member.capacity.size()).max();
    let own = gateway.settings().capacity.size();
    own * LARGE_DENOMINATOR >= largest.unwrap_or(LARGE_SIZE) * LARGE_NUMERATOR
}

/// Larger hosts take over first, and not all of a size at once.
fn candidate_delay(gateway: &Gateway) -> TimeSpan {
    let size = if is_large(gateway) {
        TimeSpan::ZERO
    } else {
        SMALL_DELAY
    };
    size + TimeSpan::from_millis(rand::random_range(0..RANDOM_DELAY_MILLIS))
}

/// When hosts are restarted one after another, those that have had their turn
/// take over first: they are likely to stay.
fn turn_delay(gateway: &Gateway, term: &TermRecord) -> TimeSpan {
    let had_turn = gateway.incarnation.0 > term.incarnation.0 + SAME_START_MILLIS;
    if term.released && !had_turn {
        TURN_DELAY
    } else {
        TimeSpan::ZERO
    }
}

/// Where the coordinator is, after taking over if there is none.
async fn find_coordinator(
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
        learn_fleet(gateway, fleet);
    }
    let seen = newest_term(&tail, &gateway.logger);
    let now = clock::now();
    if let Some(seen) = &seen {
        watch.record(seen.offset, seen.term.released, now);
    }
    let term = seen.map(|seen| seen.term);
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let candidate = !gateway.stopping.get() && !gateway.coordinator.is_active();
    let turn = term
        .as_ref()
        .map_or(TimeSpan::ZERO, |term| turn_delay(gateway, term));
    let delay = candidate_delay(gateway);
    let resumes = term.as_ref().is_some_and(|term| {
        let settings = gateway.settings();
        term.is_held_by(&settings.daemon, settings.peers)
    });
    let has_waited = now.since(started) >= delay;
    let may_begin = has_waited && watch.may_take_over(&window, now - (delay + turn));
    if candidate && (resumes || may_begin) {
        let former = term.as_ref().map(|term| &term.daemon);
        return take_over(gateway, former, tail.end).await;
    }
    term.filter(|term| !term.released).map(|term| term.peers)
}

/// Takes over what an earlier coordinator kept in the store.
fn learn_fleet(gateway: &Gateway, fleet: FleetRecord) {
    gateway.note_daemons(fleet.daemons);
    for mark in fleet.into_crashes(WallTime::now()) {
        learn_crash(gateway, &mark);
    }
}

/// Follows a coordinator; one that has started together with this daemon may not
/// listen yet.
async fn follow_patiently(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    watch: &mut TermObserver,
) -> Result<(), FrameError> {
    for _ in 0..FIRST_CONNECTS {
        let begun = Instant::now();
        let ended = follow(gateway, address, watch).await;
        let was_refused = matches!(ended, Err(FrameError::Io(_)));
        if !was_refused || begun.elapsed() > FIRST_PAUSE || gateway.view_time.get().is_some() {
            return ended;
        }
        tokio::time::sleep(FIRST_PAUSE).await;
    }
    follow(gateway, address, watch).await
}

async fn follow(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    watch: &mut TermObserver,
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
    gateway.coordinator_address.set(Some(address));
    let reports = send_reports(gateway, writer);
    let views = async {
        // A view that was not taken over whole must come again.
        let mut was_outdated = false;
        loop {
            let next = read_frame::<CoordinatorMessage>(&mut reader);
            let message = tokio::time::timeout(SILENCE, next).await;
            match message.map_err(|_| FrameError::Silent)?? {
                Some(CoordinatorMessage::ProbeStore(probe)) => {
                    tokio::task::spawn_local(call_store(Rc::clone(gateway), probe));
                }
                Some(CoordinatorMessage::View(view)) => {
                    if view.store_outage {
                        watch.record_outage();
                    } else {
                        watch.record(view.renewal_offset, false, clock::now());
                    }
                    let outdated = apply_view(gateway, &view);
                    if was_outdated && !outdated {
                        return Err(FrameError::Resync);
                    }
                    was_outdated |= outdated;
                    if is_cut_off(gateway, &view) {
                        return Err(FrameError::CutOff);
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
async fn call_store(gateway: Rc<Gateway>, probe: ProbeNumber) {
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let call = gateway.store.newest(StoreTopic::Coordinator);
    let away = match tokio::time::timeout(window.probe_timeout.duration(), call).await {
        Ok(Ok(_)) => false,
        Ok(Err(cause)) => cause.is_unavailable(),
        Err(_) => true,
    };
    info!(gateway.logger, "store: asked for the coordinator"; "probe" => probe.0, "away" => away);
    if away {
        gateway.notes.borrow_mut().store_away = Some(probe);
        gateway.report_wanted.notify_one();
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
        leaving: notes.leaving,
        cleared: notes.cleared,
        misplaced: notes.misplaced,
        failed_probe: notes.store_away,
    }
}

/// Takes over a view; returns whether the store itself has told more since.
fn apply_view(gateway: &Gateway, view: &FleetView) -> bool {
    let now = clock::now();
    let view_time = now - view.store_age;
    let read_later = gateway.read_time.get().is_some_and(|time| time > view_time);
    let outdated = read_later && !gateway.coordinator.is_active();
    // While the store is away for everyone, reading it oneself tells no more.
    let heard_time = if view.store_outage { now } else { view_time };
    gateway.view_time.set(Some(heard_time));
    let since = gateway.followed_since.get().unwrap_or(now);
    gateway.followed_since.set(Some(since));
    gateway.told_away.set(view.store_outage);
    gateway.table.borrow_mut().apply(view, outdated);
    view.apply_members(&mut gateway.members.borrow_mut());
    gateway.note_daemons(gateway.members.borrow().len());
    contradict_view(gateway, view);
    gateway.told_end.set(view.engines_offset);
    gateway.loads_at_once.set(Some(view.load_concurrency_limit));
    if view.loads.is_some() {
        gateway.queue.note_slow(&view.slow, now);
    }
    gateway.hear_manifest(view.manifest);
    for fingerprint in &view.cleared {
        clear_crashes(gateway, fingerprint);
    }
    for mark in &view.crashes {
        learn_crash(gateway, mark);
    }
    if reaches_all(gateway) {
        confirm_crashes(gateway, &view.crashes);
    }
    if view.complete {
        // The coordinator may be new, or reports may have been lost with a link.
        let beyond = gateway
            .crashes
            .borrow()
            .reports_missing_from(&view.crashes, now);
        if !beyond.is_empty() {
            gateway.report_wanted.notify_one();
        }
        gateway.notes.borrow_mut().crashes = beyond;
    }
    if !gateway.engines_known.replace(true) {
        info!(gateway.logger, "engines: known from the coordinator"; "count" => view.engines.len());
    }
    gateway.queue.changed();
    outdated
}
