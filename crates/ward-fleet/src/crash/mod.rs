//! Requests that crash the engines that run them.
//!
//! Load pattern: one request crashes each engine that begins it, and its caller
//! sends it again under other ids, to any daemon. Engines also end for reasons of
//! their own, with all their other requests at work. So what counts is on how
//! many engines a request was running when they ended, with no whole answer in
//! between; one that this happened to more than once is not sent to engines for a
//! while.

mod answered;
mod ledger;
mod watch;

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, RequestFingerprint, TimeSpan};

pub use self::answered::AnsweredRequests;
pub use self::ledger::{BlockRevision, CrashEffect, CrashLedger};
pub use self::watch::{CrashDetector, UnfinishedRun};
use crate::entry::EngineBirth;
use crate::message::EngineInfo;

/// One life of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// The engine.
    pub engine: BackendId,
    /// Start of this life.
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

/// An engine's life that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The life that ended.
    pub incarnation: EngineIncarnation,
    /// Time since then, when this is told.
    pub age: TimeSpan,
}

impl CrashReport {
    /// Whether it tells of the same crash, now or earlier.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.incarnation == other.incarnation
    }
}
