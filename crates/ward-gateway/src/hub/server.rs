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
use ward_fleet::{CoordinatorMessage, HostMember, MemberMessage};

use super::frame::{PeerError, encode_frame, read_first_frame, read_frame};
use super::snapshot::build_snapshot;
use crate::clock;
use crate::coordinator::{ActiveCoordinator, MessageFrame, issue_permits};
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
    match first {
        Ok(Ok(Some(MemberMessage::Hello(member)))) => {
            if let Some(coordinator) = gateway.coordinator.active() {
                serve_member(gateway, coordinator, member, stream).await;
            }
        }
        Ok(Ok(Some(MemberMessage::SnapshotRequest))) => {
            let message = CoordinatorMessage::Snapshot(build_snapshot(&gateway));
            send_reply(&gateway, message, stream).await;
        }
        Ok(Ok(Some(MemberMessage::Crashes(news)))) => {
            record_news(&gateway, &news.crashes, &news.cleared_parts);
            let known = gateway.crashes.borrow().news(clock::now());
            send_reply(&gateway, CoordinatorMessage::Crashes(known), stream).await;
        }
        Ok(Ok(Some(MemberMessage::RecordStreams(news)))) => {
            gateway.streams.record_news(news);
            wait_until_listed(&gateway).await;
            send_reply(&gateway, CoordinatorMessage::StreamsRecorded, stream).await;
        }
        Ok(Ok(Some(MemberMessage::FindStream(key)))) => {
            let news = gateway.streams.news_of(key);
            send_reply(&gateway, CoordinatorMessage::FoundStream(news), stream).await;
        }
        // A daemon that only checks whether this one is running sends no message.
        _ => {}
    }
}

/// Sends the only reply on a connection.
async fn send_reply(gateway: &Gateway, message: CoordinatorMessage, mut stream: TcpStream) {
    let frame = match encode_frame(&message) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "peers: reply cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    let sent = tokio::time::timeout(MEMBER_TIMEOUT, stream.write_all(&frame)).await;
    if !matches!(sent, Ok(Ok(()))) {
        warn!(gateway.logger, "peers: reply failed");
    }
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
    let (reader, writer) = stream.into_split();
    let (key, frames) = coordinator.add_link();
    coordinator.record_member(key, member);
    let outcome = tokio::select! {
        result = read_reports(&gateway, &coordinator, key, reader) => result,
        result = write_frames(frames, writer) => result,
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
    key: ward_fleet::placement::MemberKey,
    reader: OwnedReadHalf,
) -> Result<(), PeerError> {
    let mut reader = BufReader::new(reader);
    loop {
        let next = read_frame::<MemberMessage>(&mut reader);
        let message = tokio::time::timeout(MEMBER_TIMEOUT, next).await;
        match message.map_err(|_| PeerError::Timeout)?? {
            Some(MemberMessage::Report(report)) => {
                gateway.record_manifest_version(report.manifest);
                // Spare permits are issued with the next plan.
                let waits_for_permits = report.permit_needs.iter().any(|need| need.waiting > 0);
                coordinator.apply_report(key, report, clock::now());
                if waits_for_permits {
                    issue_permits(gateway, coordinator);
                }
            }
            Some(MemberMessage::Leaving) => coordinator.mark_leaving(key),
            Some(
                MemberMessage::Hello(_)
                | MemberMessage::SnapshotRequest
                | MemberMessage::Crashes(_)
                | MemberMessage::RecordStreams(_)
                | MemberMessage::FindStream(_),
            ) => {
                return Err(PeerError::Unexpected);
            }
            None => return Ok(()),
        }
    }
}

async fn write_frames(
    mut frames: mpsc::Receiver<MessageFrame>,
    mut writer: OwnedWriteHalf,
) -> Result<(), PeerError> {
    while let Some(frame) = frames.recv().await {
        match tokio::time::timeout(MEMBER_TIMEOUT, writer.write_all(&frame)).await {
            Ok(result) => result?,
            Err(_) => return Err(PeerError::Timeout),
        }
    }
    Ok(())
}
