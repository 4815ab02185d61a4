//! Formats events and actions as trace lines.

use ward_control::{ControlAction, ControlEvent};
use ward_protocol::{ControlRecord, OrderKind, PeerMessage};

/// One line for an event; `None` for frequent events that would flood the trace.
#[must_use]
pub fn render_event(event: &ControlEvent) -> Option<String> {
    match event {
        ControlEvent::Read {
            stream,
            records,
            end,
            ..
        } => {
            let count = records.len();
            (count > 0).then(|| format!("read {stream}: {count} to {end}"))
        }
        ControlEvent::ReadFailed { stream } => Some(format!("read {stream} failed")),
        ControlEvent::Snapshot { .. } => Some("snapshot".to_owned()),
        ControlEvent::NoSnapshot => Some("no snapshot".to_owned()),
        ControlEvent::Appended { result, .. } => Some(format!("appended: {result:?}")),
        ControlEvent::SnapshotWritten { control, stored } => {
            Some(format!("snapshot of {control} written: {stored}"))
        }
        ControlEvent::OrderEnded {
            backend, result, ..
        } => Some(format!("order to {backend}: {result:?}")),
        ControlEvent::StatusFailed { backend } => Some(format!("no status from {backend}")),
        ControlEvent::HostsFailed => Some("no host list".to_owned()),
        ControlEvent::Peer { envelope } => render_message(&envelope.message)
            .map(|message| format!("{message} from {}", envelope.sender)),
        ControlEvent::Wanted { hint } => Some(format!("wanted {}", hint.key)),
        ControlEvent::Crashed { backend, .. } => Some(format!("crashed {backend}")),
        ControlEvent::Stop => Some("stop".to_owned()),
        ControlEvent::Tick
        | ControlEvent::PeerRecords { .. }
        | ControlEvent::Status { .. }
        | ControlEvent::Hosts { .. }
        | ControlEvent::Used { .. } => None,
    }
}

/// One line for an action; `None` for frequent actions that would flood the trace.
#[must_use]
pub fn render_action(action: &ControlAction) -> Option<String> {
    match action {
        ControlAction::Append { envelope } => {
            Some(format!("append {}", render_record(&envelope.body)))
        }
        ControlAction::ReadSnapshot => Some("read snapshot".to_owned()),
        ControlAction::FetchState { peer, .. } => Some(format!("fetch state from {peer}")),
        ControlAction::WriteSnapshot { control, .. } => {
            Some(format!("write snapshot of {control}"))
        }
        ControlAction::Order { backend, order, .. } => {
            let fence = order.fence;
            Some(format!(
                "order {backend} fence {fence}: {}",
                render_order(&order.kind)
            ))
        }
        ControlAction::Send {
            daemon, message, ..
        } => render_message(message).map(|message| format!("{message} to {daemon}")),
        ControlAction::Stopped => Some("stopped".to_owned()),
        ControlAction::Read { .. }
        | ControlAction::FetchStatus { .. }
        | ControlAction::FetchHosts
        | ControlAction::Publish => None,
    }
}

fn render_message(message: &PeerMessage) -> Option<String> {
    match message {
        PeerMessage::Wake(hint) if hint.waiting > 0 => Some(format!("wake {}", hint.key)),
        PeerMessage::Released { backend, fence } => {
            Some(format!("released {backend} fence {fence}"))
        }
        PeerMessage::ProbeRelay { target, .. } => Some(format!("probe {target} for me")),
        PeerMessage::RelayAck { target, .. } => Some(format!("{target} is alive")),
        PeerMessage::Wake(_)
        | PeerMessage::Probe { .. }
        | PeerMessage::ProbeAck { .. }
        | PeerMessage::Fresh { .. }
        | PeerMessage::Cancel { .. } => None,
    }
}

fn render_order(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Touch => "touch".to_owned(),
        OrderKind::Load { key, memory } => format!("load {key} {memory}"),
        OrderKind::Unload { key } => format!("unload {key}"),
        OrderKind::Role { role } => format!("role {role:?}"),
    }
}

/// Short text of a control record.
#[must_use]
pub fn render_record(body: &ControlRecord) -> String {
    match body {
        ControlRecord::Limits { limits, .. } => format!("limits {limits:?}"),
        ControlRecord::Join { member } => format!("join {}", member.daemon),
        ControlRecord::Leave => "leave".to_owned(),
        ControlRecord::Expire { daemon, .. } => format!("expire {daemon}"),
        ControlRecord::Adopt { revision } => format!("adopt {revision}"),
        ControlRecord::BackendSeen { info } => format!("seen {}", info.backend),
        ControlRecord::BackendLeaving { backend } => format!("leaving {backend}"),
        ControlRecord::BackendGone { backend } => format!("gone {backend}"),
        ControlRecord::Yield { backend } => format!("yield {backend}"),
        ControlRecord::Reserve { key, backend, .. } => format!("reserve {key} on {backend}"),
        ControlRecord::Ready { reservation } => format!("ready {reservation}"),
        ControlRecord::Drain { reservation } => format!("drain {reservation}"),
        ControlRecord::Release {
            reservation,
            reason,
        } => format!("release {reservation} {reason:?}"),
        ControlRecord::Found { backend, key, .. } => format!("found {key} on {backend}"),
        ControlRecord::Role { backend, role } => format!("role {backend} {role:?}"),
        ControlRecord::Suspect { backend, .. } => format!("suspect on {backend}"),
    }
}
