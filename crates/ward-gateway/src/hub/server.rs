//! The coordinator's end of the links to all daemons.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use ward_fleet::MemberMessage;

use super::frame::{FrameError, read_frame};
use crate::clock;
use crate::coordinator::{ActiveCoordinator, ViewFrame};
use crate::gateway::Gateway;

/// Silence after which a daemon is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts daemons; only the coordinator keeps their connections.
pub(crate) async fn accept_members(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(coordinator) = gateway.coordinator.active() {
                    tokio::task::spawn_local(serve_member(
                        Rc::clone(&gateway),
                        coordinator,
                        stream,
                    ));
                }
            }
            Err(cause) => {
                warn!(gateway.logger, "peers: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_member(gateway: Rc<Gateway>, coordinator: Rc<ActiveCoordinator>, stream: TcpStream) {
    if let Err(cause) = stream.set_nodelay(true) {
        warn!(gateway.logger, "peers: no immediate sends"; "cause" => %cause);
    }
    let (reader, writer) = stream.into_split();
    let (key, frames) = coordinator.add_link();
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
            Some(MemberMessage::Hello(member)) => coordinator.note_member(key, member),
            Some(MemberMessage::Report(report)) => {
                gateway.hear_manifest(report.manifest);
                coordinator.note_report(key, report, clock::now());
            }
            Some(MemberMessage::Leaving) => coordinator.note_leaving(key),
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
