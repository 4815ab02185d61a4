//! The server for connections of other daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use ward_fleet::callers::EndpointKind;
use ward_fleet::placement::MemberKey;
use ward_fleet::{CoordinatorMessage, HostMember, MemberMessage, ReportDecoder};

use super::frame::{
    MessageFrame, PeerError, encode_message, read_first_frame, read_sized_frame, write_paced,
};
use super::manifest::newer_manifest;
use super::snapshot::build_snapshot;
use super::traffic::{MessageKind, ZoneRelation, count_received, count_sent};
use super::vote::grant_vote;
use crate::clock;
use crate::coordinator::{ActiveCoordinator, issue_credit, issue_permits};
use crate::crash::record_news;
use crate::front::{CloseReason, TrackedConnection};
use crate::gateway::Gateway;
use crate::streams::wait_until_listed;

/// Time after which a daemon counts as lost if it sends or reads no message.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of other daemons. Any daemon answers single requests; only
/// the coordinator keeps connections open.
pub(crate) async fn accept_members(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                accept_member(&gateway, stream, source);
                tokio::task::yield_now().await;
            }
            Err(cause) => {
                warn!(gateway.logger, "peers: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept_member(gateway: &Rc<Gateway>, stream: TcpStream, source: SocketAddr) {
    let registry = &gateway.connections;
    let Some(connection) = registry.open(EndpointKind::Peers, source.ip(), 0) else {
        return;
    };
    let key = connection.key();
    let task = spawn_local(serve_connection(Rc::clone(gateway), stream, connection));
    registry.set_task(key, task.abort_handle());
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    mut stream: TcpStream,
    connection: TrackedConnection,
) {
    let first = read_first_frame::<MemberMessage>(&mut stream, &gateway.peer_buffers);
    let first = tokio::time::timeout(MEMBER_TIMEOUT, first).await;
    if let Ok(Err(PeerError::Full)) = &first {
        gateway.connections.count_close(CloseReason::Memory);
    }
    let key = connection.key();
    if !gateway.connections.record_whole_request(Some(&key)) {
        return;
    }
    // A daemon that only checks whether this one is running sends no message.
    let Ok(Ok(Some((message, size)))) = first else {
        return;
    };
    let relation = relation_to_peer(&gateway, &message, &stream);
    count_received(&gateway, MessageKind::from(&message), relation, size);
    match message {
        MemberMessage::Hello(member) => {
            if let Some(coordinator) = gateway.coordinator.active() {
                serve_member(gateway, coordinator, member, stream).await;
            }
        }
        MemberMessage::SnapshotRequest => {
            let message = CoordinatorMessage::Snapshot(build_snapshot(&gateway));
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::ManifestRequest(version) => {
            let message = CoordinatorMessage::Manifest(newer_manifest(&gateway, version));
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::Crashes(news) => {
            record_news(&gateway, &news.crashes, &news.cleared_parts);
            let known = gateway.crashes.borrow().news(clock::now());
            let message = CoordinatorMessage::Crashes(known);
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::RecordStreams(news) => {
            gateway.streams.record_news(news);
            wait_until_listed(&gateway).await;
            let message = CoordinatorMessage::StreamsRecorded;
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::FindStream(key) => {
            let news = gateway.streams.news_of(key);
            let message = CoordinatorMessage::FoundStream(news);
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::VoteRequest(position) => {
            let message = CoordinatorMessage::Vote(grant_vote(&gateway, position));
            send_reply(&gateway, &message, relation, stream).await;
        }
        MemberMessage::Report(_) | MemberMessage::Leaving => {}
    }
}

/// Where the daemon at the other end of a connection runs.
fn relation_to_peer(gateway: &Gateway, first: &MemberMessage, stream: &TcpStream) -> ZoneRelation {
    if let MemberMessage::Hello(member) = first {
        return ZoneRelation::to_zone(gateway, &member.zone);
    }
    match stream.peer_addr() {
        Ok(address) => ZoneRelation::to_address(gateway, address.ip()),
        Err(_) => ZoneRelation::Unknown,
    }
}

/// Sends the only reply on a connection.
async fn send_reply(
    gateway: &Gateway,
    message: &CoordinatorMessage,
    relation: ZoneRelation,
    mut stream: TcpStream,
) {
    let frame = match encode_message(message) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "peers: reply cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    if let Err(cause) = write_paced(&mut stream, &frame.bytes, MEMBER_TIMEOUT).await {
        warn!(gateway.logger, "peers: reply failed"; "cause" => %cause, "bytes" => frame.size().0);
        return;
    }
    count_sent(gateway, frame.kind, relation, frame.size());
}

async fn serve_member(
    gateway: Rc<Gateway>,
    coordinator: Rc<ActiveCoordinator>,
    member: HostMember,
    stream: TcpStream,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        warn!(gateway.logger, "peers: TCP_NODELAY not set"; "cause" => %cause);
    }
    let relation = ZoneRelation::to_zone(&gateway, &member.zone);
    let (reader, writer) = stream.into_split();
    let (key, frames) = coordinator.add_link();
    coordinator.record_member(key, member);
    let outcome = tokio::select! {
        result = read_reports(&gateway, &coordinator, key, relation, reader) => result,
        result = write_frames(&gateway, relation, frames, writer) => result,
        () = coordinator.ended() => Ok(()),
    };
    let member = coordinator.remove_link(key);
    info!(
        gateway.logger, "coordinator: daemon disconnected";
        "daemon" => member.map(|member| member.daemon.to_string()),
        "why" => outcome.err().map(|cause| cause.to_string()),
    );
}

async fn read_reports(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    key: MemberKey,
    relation: ZoneRelation,
    reader: OwnedReadHalf,
) -> Result<(), PeerError> {
    let mut reader = BufReader::new(reader);
    let mut decoder = ReportDecoder::default();
    loop {
        let next = read_sized_frame::<MemberMessage>(&mut reader);
        let next = tokio::time::timeout(MEMBER_TIMEOUT, next).await;
        let Some((message, size)) = next.map_err(|_| PeerError::Timeout)?? else {
            return Ok(());
        };
        count_received(gateway, MessageKind::from(&message), relation, size);
        match message {
            MemberMessage::Report(report) => {
                let report = decoder.decode(*report)?;
                gateway.manifests.record_version(report.manifest);
                // Spare permits, and credit for later requests, are issued with the next
                // plan.
                let waits_for_permits = report.permit_needs.iter().any(|need| need.waiting > 0);
                let waits_for_credit = report.quota_needs.iter().any(|need| need.waiting.0 > 0);
                coordinator.apply_report(key, report, clock::now());
                if waits_for_permits {
                    issue_permits(gateway, coordinator);
                }
                if waits_for_credit {
                    issue_credit(gateway, coordinator);
                }
            }
            MemberMessage::Leaving => coordinator.mark_leaving(key),
            MemberMessage::Hello(_)
            | MemberMessage::SnapshotRequest
            | MemberMessage::ManifestRequest(_)
            | MemberMessage::Crashes(_)
            | MemberMessage::RecordStreams(_)
            | MemberMessage::FindStream(_)
            | MemberMessage::VoteRequest(_) => return Err(PeerError::Unexpected),
        }
    }
}

async fn write_frames(
    gateway: &Gateway,
    relation: ZoneRelation,
    mut frames: mpsc::Receiver<MessageFrame>,
    mut writer: OwnedWriteHalf,
) -> Result<(), PeerError> {
    while let Some(frame) = frames.recv().await {
        match tokio::time::timeout(MEMBER_TIMEOUT, writer.write_all(&frame.bytes)).await {
            Ok(result) => result?,
            Err(_) => return Err(PeerError::Timeout),
        }
        count_sent(gateway, frame.kind, relation, frame.size());
    }
    Ok(())
}
