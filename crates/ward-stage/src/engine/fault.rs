//! How engines misbehave.

use std::time::Duration;

use crate::proxy::LinkFault;

/// How an engine misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// It does not.
    None,
    /// It breaks off each stream after two events and each other answer midway.
    BreakOff,
    /// It runs requests and closes the connection without an answer.
    LoseAnswers,
    /// It refuses all requests as if it were full.
    Full,
    /// It answers with the id of another request.
    WrongId,
    /// It answers all requests with a failure of its own.
    Fail,
    /// It runs requests and never answers.
    Hang,
    /// Orders are carried out and not answered.
    LoseOrderAnswers,
    /// Its answers go on without end, in one event where they are streams.
    Endless,
    /// After two events of a stream it sends a byte now and then, and no event.
    Trickle,
    /// It refuses all requests and wants nothing for a time.
    RetryAfter(Duration),
    /// It says in each answer that it leaves, and nowhere else.
    Leaving,
    /// It crashes when it begins a request whose path has [`CRASHING_PATH`].
    Crash(CrashKind),
}

/// Part of the path of requests that crash engines.
pub const CRASHING_PATH: &str = "crashing";

/// What callers see of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashKind {
    /// Its connections end before the answer begins.
    BeforeHead,
    /// Its connections end after two events, or midway in another answer.
    AfterHead,
    /// Nothing any more: the host is gone.
    Silent,
}

impl CrashKind {
    /// What is left of the link to an engine that crashed.
    pub(super) const fn link(self) -> LinkFault {
        match self {
            Self::BeforeHead | Self::AfterHead => LinkFault::Refuse,
            Self::Silent => LinkFault::HoldAll,
        }
    }
}
