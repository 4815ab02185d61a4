//! The coordinator's end of the links to all daemons.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use ward_fleet::{CoordinatorMessage, HostMember, MemberMessage};

use super::brief::briefing;
use super::frame::{FrameError, encode_frame, read_frame};
use crate::clock;
use crate::coordinator::{ActiveCoordinator, ViewFrame};
use crate::crash::learn_crash;
use crate::gateway::Gateway;

/// Silence after which a daemon is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts daemons. Any daemon says what it knows; only the coordinator keeps
/// connections.
pub(crate) async fn accept_members(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_daemon(Rc::clone(&gateway), stream));
            }
            Err(cause) => {
                warn!(gateway.logger, "peers: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_daemon(gateway: Rc<Gateway>, mut stream: TcpStream) {
    let first = read_frame::<MemberMessage>(&mut stream);
    match tokio::time::timeout(SILENCE, first).await {
        Ok(Ok(Some(MemberMessage::Hello(member)))) => {
            if let Some(coordinator) = gateway.coordinator.active() {
                serve_member(gateway, coordinator, member, stream).await;
            }
        }
        Ok(Ok(Some(MemberMessage::SnapshotRequest))) => {
            let message = CoordinatorMessage::Snapshot(briefing(&gateway));
            answer_once(&gateway, message, stream).await;
        }
        Ok(Ok(Some(MemberMessage::Crashes(marks)))) => {
            for mark in &marks {
                learn_crash(&gateway, mark);
            }
            let known = gateway.crashes.borrow().reports(clock::now());
            answer_once(&gateway, CoordinatorMessage::Crashes(known), stream).await;
        }
        // A daemon that only looks whether this one runs says nothing.
        _ => {}
    }
}

/// Answers a question that is the only message on its connection.
async fn answer_once(gateway: &Gateway, message: CoordinatorMessage, mut stream: TcpStream) {
    let frame = match encode_frame(&message) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "peers: answer cannot be encoded"; "cause" => %cause);
            return;
        }
    };
    let sent = tokio::time::timeout(SILENCE, stream.write_all(&frame)).await;
    if !matches!(sent, Ok(Ok(()))) {
        warn!(gateway.logger, "peers: answer was not taken");
    }
}

async fn serve_member(
    gateway: Rc<Gateway>,
    coordinator: Rc<ActiveCoordinator>,
    member: HostMember,
    stream: TcpStream,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        warn!(gateway.logger, "peers: no immediate sends"; "cause" => %cause);
    }
    let (reader, writer) = stream.into_split();
    let (key, frames) = coordinator.add_link();
    coordinator.note_member(key, member);
    let ended = tokio::select! {
        result = read_reports(&gateway, &coordinator, key, reader) => result,
        result = write_views(frames, writer) => result,
        () = coordinator.ended() => Ok(()),
    };
    let member = coordinator.remove_link(key);
    info!(
        gateway.logger, "coordinator: daemon lost";
        "daemon" => member.map(|member| member.daemon.to_string()),
        "why" => ended.err().map(|cause| cause.to_string()),
    );
}

async fn read_reports(
    gateway: &Gateway,
    coordinator: &ActiveCoordinator,
    key: ward_fleet::placement::MemberKey,
    reader: OwnedReadHalf,
) -> Result<(), FrameError> {
    let mut reader = BufReader::new(reader);
    loop {
        let next = read_frame::<MemberMessage>(&mut reader);
        let message = tokio::time::timeout(SILENCE, next).await;
        match message.map_err(|_| FrameError::Silent)?? {
            Some(MemberMessage::Report(report)) => {
                gateway.hear_manifest(report.manifest);
                coordinator.note_report(key, report, clock::now());
            }
            Some(MemberMessage::Leaving) => coordinator.note_leaving(key),
            Some(
                MemberMessage::Hello(_)
                | MemberMessage::SnapshotRequest
                | MemberMessage::Crashes(_),
            ) => {
                return Err(FrameError::Refused);
            }
            None => return Ok(()),
        }
    }
}

async fn write_views(
    mut frames: mpsc::Receiver<ViewFrame>,
    mut writer: OwnedWriteHalf,
) -> Result<(), FrameError> {
    while let Some(frame) = frames.recv().await {
        match tokio::time::timeout(SILENCE, writer.write_all(&frame)).await {
            Ok(result) => result?,
            Err(_) => return Err(FrameError::Silent),
        }
    }
    Ok(())
}
