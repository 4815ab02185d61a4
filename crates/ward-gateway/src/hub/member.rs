//! A daemon's connection to the coordinator.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::Instant;
use ward_adapter::StoreTopic;
use ward_fleet::{
    CoordinatorMessage, FleetView, LeaseWindow, MemberMessage, ProbeNumber, ReportEncoder,
    TermObserver, ViewDecoder,
};
use ward_protocol::TimeSpan;

use super::check::drop_unreachable_members;
use super::frame::{PeerError, read_sized_frame};
use super::report::{own_member, send, send_report, send_reports};
use super::search::{MAX_POLL_INTERVAL, find_or_become_coordinator, poll_interval};
use super::traffic::{MessageKind, ZoneRelation, count_received};
use super::view::apply_view;
use super::vote::support_term;
use crate::clock;
use crate::gateway::Gateway;
use crate::limit::receive_permits;
use crate::quota::{begin_quota_link, end_quota_link, receive_grants};

/// Time after which the coordinator counts as lost if it sends or reads no message.
pub(super) const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of retries of the connection to a coordinator that has not sent a
/// view yet; a retry costs less than reading its address from the store again.
const MAX_INITIAL_CONNECT_RETRIES: u32 = 5;
/// Delay before each of these retries; an attempt that took longer is not retried.
const INITIAL_CONNECT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Age of the coordinator's last store read above which the coordinator counts as
/// isolated from the store, if this daemon can read the store.
const MAX_STORE_AGE: TimeSpan = TimeSpan::from_millis(2_000);
/// Successful reads in a row that show that this daemon can reach the store.
const MIN_CONSECUTIVE_READS: u32 = 3;

/// Follows the coordinator, or takes over the term when there is none; never
/// returns.
pub(crate) async fn follow_coordinator(gateway: Rc<Gateway>) {
    let mut observer = TermObserver::default();
    let started = clock::now();
    loop {
        let search = find_or_become_coordinator(&gateway, &mut observer, started).await;
        if let Some(address) = search.coordinator {
            let connect_time = Instant::now();
            let outcome = follow_with_retries(&gateway, address, &mut observer).await;
            let was_followed = gateway.view_store_time.take().is_some();
            gateway.followed_since.set(None);
            end_quota_link(&gateway);
            if was_followed {
                gateway.unfollowed_since.set(Some(clock::now()));
            }
            if let Err(PeerError::Resync) = outcome {
                continue;
            }
            warn!(
                gateway.logger, "coordinator: link lost";
                "address" => %address, "why" => outcome.err().map(|cause| cause.to_string()),
            );
            if was_followed && connect_time.elapsed() > MAX_POLL_INTERVAL {
                // Search at once: whether the term was released decides how long to
                // wait before taking over.
                continue;
            }
        }
        drop_unreachable_members(&gateway).await;
        gateway
            .sleep_or_store_recovery(poll_interval(&gateway, &observer, search.has_lost_vote))
            .await;
    }
}

/// Follows a coordinator, and retries the first connection: a coordinator that
/// started at the same time as this daemon may not be listening yet, and one that has
/// just begun its term closes connections until it has read the engines. One that has
/// ended never listens, so there are no retries once it may have a successor.
async fn follow_with_retries(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    observer: &mut TermObserver,
) -> Result<(), PeerError> {
    for _ in 0..MAX_INITIAL_CONNECT_RETRIES {
        let start = Instant::now();
        let outcome = follow(gateway, address, observer).await;
        let is_not_ready = matches!(outcome, Err(PeerError::Io(_) | PeerError::Unexpected));
        let delay = TimeSpan::from(INITIAL_CONNECT_RETRY_DELAY);
        let window = LeaseWindow::new(gateway.settings().bounds.lease);
        if !is_not_ready
            || observer.may_be_succeeded(&window, clock::now(), delay)
            || start.elapsed() > INITIAL_CONNECT_RETRY_DELAY
            || gateway.view_store_time.get().is_some()
        {
            return outcome;
        }
        tokio::time::sleep(INITIAL_CONNECT_RETRY_DELAY).await;
    }
    follow(gateway, address, observer).await
}

async fn follow(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    observer: &mut TermObserver,
) -> Result<(), PeerError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect.await.map_err(|_| PeerError::Timeout)??;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let hello = MemberMessage::Hello(own_member(&gateway.settings()));
    send(gateway, address, &mut writer, &hello).await?;
    gateway.table.borrow_mut().permits.begin_link();
    begin_quota_link(gateway);
    let mut encoder = ReportEncoder::default();
    send_report(gateway, address, &mut writer, &mut encoder).await?;
    info!(gateway.logger, "coordinator: connected"; "address" => %address);
    gateway.coordinator_address.set(Some(address));
    let reports = send_reports(gateway, address, writer, encoder);
    let views = async {
        // Once a view was applied only in part, a complete one is needed.
        let mut was_outdated = false;
        let mut decoder = ViewDecoder::default();
        loop {
            let next = read_sized_frame::<CoordinatorMessage>(&mut reader);
            let next = tokio::time::timeout(COORDINATOR_TIMEOUT, next).await;
            let next = next.map_err(|_| PeerError::Timeout)??;
            let (message, size) = next.ok_or(PeerError::Unexpected)?;
            let relation = ZoneRelation::to_address(gateway, address.ip());
            count_received(gateway, MessageKind::from(&message), relation, size);
            match message {
                CoordinatorMessage::ProbeStore(probe) => {
                    tokio::task::spawn_local(probe_store(Rc::clone(gateway), probe));
                }
                CoordinatorMessage::SupportTerm(request) => support_term(gateway, request),
                CoordinatorMessage::View(view) => {
                    let view = decoder.decode(*view)?;
                    gateway
                        .term_voter
                        .borrow_mut()
                        .record_renewal(view.term, view.renewal);
                    if view.store_outage {
                        observer.record_outage();
                    } else {
                        observer.record(view.renewal, false, clock::now());
                    }
                    let is_outdated = apply_view(gateway, &view);
                    if was_outdated && !is_outdated {
                        return Err(PeerError::Resync);
                    }
                    was_outdated |= is_outdated;
                    if is_coordinator_isolated(gateway, &view) {
                        return Err(PeerError::StoreUnavailable);
                    }
                }
                CoordinatorMessage::Permits(batch) => receive_permits(gateway, &batch),
                CoordinatorMessage::QuotaGrants(batch) => receive_grants(gateway, &batch),
                CoordinatorMessage::Snapshot(_)
                | CoordinatorMessage::Manifest(_)
                | CoordinatorMessage::Crashes(_)
                | CoordinatorMessage::StreamsRecorded
                | CoordinatorMessage::FoundStream(_)
                | CoordinatorMessage::Vote(_) => return Err(PeerError::Unexpected),
            }
        }
    };
    tokio::select! {
        result = reports => result,
        result = views => result,
    }
}

/// Probes the store on the coordinator's request; reports only a failed probe.
async fn probe_store(gateway: Rc<Gateway>, probe: ProbeNumber) {
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let call = gateway.store.newest(StoreTopic::Coordinator);
    let is_unavailable = match tokio::time::timeout(window.probe_timeout.duration(), call).await {
        Ok(Ok(_)) => false,
        Ok(Err(cause)) => cause.is_unavailable(),
        Err(_) => true,
    };
    info!(gateway.logger, "store: asked for the coordinator"; "probe" => probe.0, "away" => is_unavailable);
    if is_unavailable {
        gateway.report_events.borrow_mut().failed_probe = Some(probe);
        gateway.report_requested.notify_one();
    }
}

/// Whether the coordinator cannot reach the store although this daemon can.
fn is_coordinator_isolated(gateway: &Gateway, view: &FleetView) -> bool {
    view.store_age > MAX_STORE_AGE && gateway.consecutive_reads.get() >= MIN_CONSECUTIVE_READS
}
