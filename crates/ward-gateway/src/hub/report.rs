//! A daemon's reports to the coordinator.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;
use ward_fleet::{HostMember, HostSettings, LoadReport, MemberMessage, ReportEncoder};

use super::frame::{FrameSize, PeerError, encode_frame};
use super::member::COORDINATOR_TIMEOUT;
use super::traffic::{MessageKind, ZoneRelation, count_sent};
use crate::clock;
use crate::crash::current_reports;
use crate::gateway::Gateway;
use crate::limit::limit_sightings;
use crate::quota::quota_needs;

/// Time between two reports unless one is requested.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(4);

/// Sends reports at intervals, or when one is requested; returns only with an error.
pub(super) async fn send_reports(
    gateway: &Gateway,
    address: SocketAddr,
    mut writer: OwnedWriteHalf,
    mut encoder: ReportEncoder,
) -> Result<(), PeerError> {
    let mut leaving_sent = false;
    loop {
        let earliest = Instant::now() + MIN_REPORT_INTERVAL;
        // Waits for the interval or until a report is requested.
        let requested = gateway.report_requested.notified();
        drop(tokio::time::timeout(REPORT_INTERVAL, requested).await);
        tokio::time::sleep_until(earliest).await;
        if gateway.is_stopping() && !leaving_sent {
            send(gateway, address, &mut writer, &MemberMessage::Leaving).await?;
            leaving_sent = true;
        }
        send_report(gateway, address, &mut writer, &mut encoder).await?;
    }
}

/// Sends a report with what changed since the last one.
pub(super) async fn send_report(
    gateway: &Gateway,
    address: SocketAddr,
    writer: &mut OwnedWriteHalf,
    encoder: &mut ReportEncoder,
) -> Result<(), PeerError> {
    let report = Box::new(encoder.encode(build_report(gateway)));
    send(gateway, address, writer, &MemberMessage::Report(report)).await
}

pub(super) async fn send(
    gateway: &Gateway,
    address: SocketAddr,
    writer: &mut OwnedWriteHalf,
    message: &MemberMessage,
) -> Result<(), PeerError> {
    let frame = encode_frame(message)?;
    match tokio::time::timeout(COORDINATOR_TIMEOUT, writer.write_all(&frame)).await {
        Ok(result) => result?,
        Err(_) => return Err(PeerError::Timeout),
    }
    let relation = ZoneRelation::to_address(gateway, address.ip());
    let size = FrameSize(frame.len());
    count_sent(gateway, MessageKind::from(message), relation, size);
    Ok(())
}

/// The description of this daemon that it sends to the coordinator.
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
    let now = clock::now();
    LoadReport {
        running: gateway.table.borrow().running_counts(),
        manifest: gateway
            .manifest()
            .map(|manifest| manifest.version)
            .unwrap_or_default(),
        waiting: gateway.queue.waiting_counts(),
        arrivals: events.arrivals,
        crashes: current_reports(&events.crashes, now),
        leaving: events.leaving,
        cleared: events.cleared,
        cleared_parts: events
            .cleared_parts
            .iter()
            .map(|clearance| clearance.cleared_part(now))
            .collect(),
        misplaced: events.misplaced,
        failed_probe: events.failed_probe,
        supported_probe: events.supported_probe,
        limits: limit_sightings(gateway, &events.limits),
        permit_needs: gateway.table.borrow().permits.needs(now),
        quota_needs: quota_needs(gateway),
        sent_at: now,
    }
}
