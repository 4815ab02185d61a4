//! Steps of a session at which a fault can be injected.

use std::fmt;

use ward_control::ControlAction;
use ward_protocol::{ControlRecord, OrderKind, PeerMessage};

use crate::script::ScriptStep;

/// A step of normal operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MatrixStep {
    /// A plan is adopted.
    Adopt,
    /// A replica is reserved.
    Reserve,
    /// A replica is unloaded.
    Unload,
    /// A load is ordered.
    Load,
    /// A replica becomes ready.
    Ready,
    /// A hint about waiting requests is sent to a model's owner.
    Hint,
    /// Ownership of engines moves to another daemon.
    Move,
    /// A snapshot is written.
    Snapshot,
    /// A daemon starts.
    Start,
    /// A daemon leaves in an orderly way.
    Leave,
    /// Operators return to an earlier plan.
    Retreat,
}

impl MatrixStep {
    /// All steps.
    pub const ALL: &[Self] = &[
        Self::Adopt,
        Self::Reserve,
        Self::Unload,
        Self::Load,
        Self::Ready,
        Self::Hint,
        Self::Move,
        Self::Snapshot,
        Self::Start,
        Self::Leave,
        Self::Retreat,
    ];

    /// Whether an action of a daemon is this step.
    #[must_use]
    pub fn matches(self, action: &ControlAction) -> bool {
        match action {
            ControlAction::Append { envelope } => self.matches_record(&envelope.body),
            ControlAction::Order { order, .. } => match order.kind {
                OrderKind::Load { .. } => self == Self::Load,
                OrderKind::Unload { .. } => self == Self::Unload,
                OrderKind::Touch | OrderKind::Role { .. } => false,
            },
            ControlAction::WriteSnapshot { .. } => self == Self::Snapshot,
            ControlAction::Send { message, .. } => {
                let wake = matches!(message, PeerMessage::Wake(hint) if hint.waiting > 0);
                wake && self == Self::Hint
            }
            ControlAction::Read { .. }
            | ControlAction::ReadSnapshot
            | ControlAction::FetchState { .. }
            | ControlAction::FetchStatus { .. }
            | ControlAction::FetchHosts
            | ControlAction::Publish
            | ControlAction::Stopped => false,
        }
    }

    fn matches_record(self, body: &ControlRecord) -> bool {
        match body {
            ControlRecord::Adopt { .. } => self == Self::Adopt,
            ControlRecord::Reserve { .. } => self == Self::Reserve,
            ControlRecord::Ready { .. } => self == Self::Ready,
            ControlRecord::Leave => self == Self::Leave,
            _ => false,
        }
    }

    /// Whether a step of the script triggers this step.
    #[must_use]
    pub fn matches_script(self, step: ScriptStep) -> bool {
        match step {
            ScriptStep::Join => self == Self::Start || self == Self::Move,
            ScriptStep::Retreat => self == Self::Retreat,
            ScriptStep::FirstPlan | ScriptStep::SecondPlan | ScriptStep::Stop => false,
        }
    }
}

impl fmt::Display for MatrixStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
