//! Detects requests, and parts of prompts, that crash the engines that run them.
//!
//! Load pattern: one request crashes each engine that starts to run it, and its
//! caller sends it again with other ids, to any daemon. Engines also end for
//! other reasons, together with all the requests that they are running. So what
//! counts is the number of engines that ended while they were running a
//! request, with no complete answer in between. A request to which this
//! happened more than once is blocked for a while.

mod answered;
mod detector;
mod ledger;
mod parts;

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, PartId, RequestFingerprint, TimeSpan};

pub use self::answered::{AnsweredParts, AnsweredRequests};
pub use self::detector::{CrashDetector, ProbeResult, UnfinishedRun};
pub use self::ledger::{BlockRevision, CrashEffect, CrashLedger};
pub use self::parts::{BlockChange, PartCrashes};
use crate::entry::{EngineBirth, EngineEntry};
use crate::message::EngineInfo;

/// The lifetime of one engine process, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// Identifier of the engine; the same after a restart.
    pub engine: BackendId,
    /// Start time of this incarnation; `None` if the engine reports none.
    pub birth: Option<EngineBirth>,
}

impl From<&EngineInfo> for EngineIncarnation {
    fn from(info: &EngineInfo) -> Self {
        Self {
            engine: info.id.clone(),
            birth: info.birth,
        }
    }
}

impl From<&EngineEntry> for EngineIncarnation {
    fn from(entry: &EngineEntry) -> Self {
        Self {
            engine: entry.id.clone(),
            birth: entry.birth,
        }
    }
}

/// Report that an engine incarnation ended while it was running a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Engine incarnation that ended.
    pub incarnation: EngineIncarnation,
    /// Time between the end of the run and the sending of this report.
    pub age: TimeSpan,
    /// Parts of the request's prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// How long the engine had been writing an answer; `None` if it had not begun.
    pub answered_for: Option<TimeSpan>,
    /// Whether the request itself is suspect. False if it was answered completely of
    /// late, so that only its parts are.
    pub blames_request: bool,
}

impl CrashReport {
    /// The report as sent some time later.
    #[must_use]
    pub fn aged(&self, span: TimeSpan) -> Self {
        let millis = self.age.millis().saturating_add(span.millis());
        Self {
            age: TimeSpan::from_millis(millis),
            ..self.clone()
        }
    }

    /// Whether both report the same crash, whatever their ages.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.incarnation == other.incarnation
    }
}

/// A suspect part of a prompt that an engine answered on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedPart {
    /// Id of the part.
    pub part: PartId,
    /// Time between the beginning of that answer and the sending of this message.
    pub age: TimeSpan,
}

/// What one daemon tells another of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Runs that ended with their engines.
    pub crashes: Vec<CrashReport>,
    /// Suspect parts that were answered.
    pub cleared_parts: Vec<ClearedPart>,
}
