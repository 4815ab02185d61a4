//! Counts of the bytes between daemons, by message and by availability zone.

use std::net::IpAddr;

use ward_fleet::{CoordinatorMessage, MemberMessage};
use ward_protocol::ZoneName;

use super::frame::FrameSize;
use crate::gateway::Gateway;

/// Kind of a message between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// What introduces a daemon, or says that it stops.
    Membership,
    Report,
    View,
    CompleteView,
    Permits,
    Quotas,
    Probe,
    Snapshot,
    Manifest,
    Crashes,
    Streams,
    Vote,
}

impl MessageKind {
    /// The kind in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Report => "report",
            Self::View => "view",
            Self::CompleteView => "complete_view",
            Self::Permits => "permits",
            Self::Quotas => "quotas",
            Self::Probe => "probe",
            Self::Snapshot => "snapshot",
            Self::Manifest => "manifest",
            Self::Crashes => "crashes",
            Self::Streams => "streams",
            Self::Vote => "vote",
        }
    }
}

impl From<&MemberMessage> for MessageKind {
    fn from(message: &MemberMessage) -> Self {
        match message {
            MemberMessage::Hello(_) | MemberMessage::Leaving => Self::Membership,
            MemberMessage::Report(_) => Self::Report,
            MemberMessage::SnapshotRequest => Self::Snapshot,
            MemberMessage::ManifestRequest(_) => Self::Manifest,
            MemberMessage::Crashes(_) => Self::Crashes,
            MemberMessage::RecordStreams(_) | MemberMessage::FindStream(_) => Self::Streams,
            MemberMessage::VoteRequest(_) => Self::Vote,
        }
    }
}

impl From<&CoordinatorMessage> for MessageKind {
    fn from(message: &CoordinatorMessage) -> Self {
        match message {
            CoordinatorMessage::View(view) if view.rest.complete => Self::CompleteView,
            CoordinatorMessage::View(_) => Self::View,
            CoordinatorMessage::Permits(_) => Self::Permits,
            CoordinatorMessage::QuotaGrants(_) => Self::Quotas,
            CoordinatorMessage::ProbeStore(_) | CoordinatorMessage::SupportTerm(_) => Self::Probe,
            CoordinatorMessage::Vote(_) => Self::Vote,
            CoordinatorMessage::Snapshot(_) => Self::Snapshot,
            CoordinatorMessage::Manifest(_) => Self::Manifest,
            CoordinatorMessage::Crashes(_) => Self::Crashes,
            CoordinatorMessage::StreamsRecorded | CoordinatorMessage::FoundStream(_) => {
                Self::Streams
            }
        }
    }
}

/// Where the other daemon of a connection runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneRelation {
    /// In the availability zone of this daemon.
    Same,
    /// In another availability zone.
    Other,
    /// Unknown, since no view has named the daemon yet.
    Unknown,
}

impl ZoneRelation {
    /// Relation to a daemon in a zone.
    pub(crate) fn to_zone(gateway: &Gateway, zone: &ZoneName) -> Self {
        if gateway.settings().zone == *zone {
            Self::Same
        } else {
            Self::Other
        }
    }

    /// Relation to a daemon with an address.
    pub(crate) fn to_address(gateway: &Gateway, address: IpAddr) -> Self {
        if gateway.settings().peers.ip() == address {
            return Self::Same;
        }
        let members = gateway.members.borrow();
        let member = members.iter().find(|member| member.peers.ip() == address);
        member.map_or(Self::Unknown, |member| Self::to_zone(gateway, &member.zone))
    }

    /// The relation in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// Counts a message that was sent.
pub(crate) fn count_sent(
    gateway: &Gateway,
    kind: MessageKind,
    relation: ZoneRelation,
    size: FrameSize,
) {
    count(gateway, "sent", kind, relation, size);
}

/// Counts a message that was received.
pub(crate) fn count_received(
    gateway: &Gateway,
    kind: MessageKind,
    relation: ZoneRelation,
    size: FrameSize,
) {
    count(gateway, "received", kind, relation, size);
}

fn count(
    gateway: &Gateway,
    direction: &str,
    kind: MessageKind,
    relation: ZoneRelation,
    size: FrameSize,
) {
    let labels = [direction, kind.label(), relation.label()];
    let bytes = u64::try_from(size.0).unwrap_or(u64::MAX);
    let counter = &gateway.metrics.peer_bytes;
    counter.with_label_values(&labels).inc_by(bytes);
}
