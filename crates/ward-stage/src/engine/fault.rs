//! Faults that tests can set on a stand-in engine.

use std::time::Duration;

use ward_fleet::RequestRate;

use crate::proxy::LinkFault;

/// Fault of an engine or backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// No fault.
    None,
    /// Closes the connection after two events of each stream, and midway through each
    /// other answer.
    BreakOff,
    /// Sends answers with neither a length nor chunks, which end with their connection.
    Unframed,
    /// Like [`Self::Unframed`], but streams end inside their third event; the connection
    /// is closed, not reset.
    UnframedCut,
    /// Like [`Self::Unframed`], but plain answers stop in the middle of their body; the
    /// connection stays open.
    UnframedHalf,
    /// Sends plain answers in chunks, and streams with a content length.
    OtherFraming,
    /// Stops after two events of each stream, and writes the answer once more, its head
    /// included; the stream ends with its connection.
    SecondCopy,
    /// Begins again after two events of each stream, which has a content length.
    RepeatedEvents,
    /// Like [`Self::BreakOff`], but the events of streams have no id.
    NoEventIds,
    /// Like [`Self::BreakOff`], but streams that are resumed have this fault instead.
    Resumed(ResumeFault),
    /// Runs requests, then closes the connection without an answer.
    LoseAnswers,
    /// Refuses all requests with status 503 as not executed, as if all slots of the
    /// engine were taken.
    Full,
    /// Refuses each request like [`Self::Full`] when it first comes, and runs it when it
    /// comes again.
    FullOnce,
    /// Runs requests and answers them with the id of another request.
    WrongId,
    /// Runs requests and answers them with a refusal of another request.
    CrossedRefusal,
    /// Like [`Self::CrossedRefusal`], and the refusal asks for a pause, announces that the
    /// engine is leaving and names a limit.
    CrossedPause,
    /// Runs requests and answers them with status 500.
    Fail,
    /// Runs requests and answers them with this status, with or without a signature.
    FailWith(u16, bool),
    /// Runs requests and never answers; the connection stays open.
    Hang,
    /// Carries out orders, then closes the connection without an answer.
    LoseOrderAnswers,
    /// Takes this time to unload a model, and refuses orders meanwhile.
    SlowUnload(Duration),
    /// Sends answers that never end; a stream consists of one endless event.
    Endless,
    /// Refuses all requests with status 503 as not executed, with a body that never
    /// ends.
    EndlessRefusal,
    /// After two events of a stream, sends single bytes at intervals, which never
    /// complete an event.
    Trickle,
    /// Refuses all requests with status 503 as not executed, with a Retry-After of
    /// this time.
    RetryAfter(Duration),
    /// Sends the beginning of a long event in each stream, and nothing more.
    LongEvent,
    /// Begins each answer after this time.
    SlowHead(Duration),
    /// Preempts each stream for this time before its third event.
    Preempt(Duration),
    /// Announces in a header of each answer that the engine is leaving, but not in
    /// heartbeats.
    Leaving,
    /// Names in a header of each answer how many requests it takes from all daemons
    /// together, and serves all that come.
    Limited(RequestRate),
    /// Crashes while running a request whose path contains [`CRASHING_PATH`].
    Crash(CrashKind),
    /// Crashes while running a request whose prompt has the part [`CRASHING_PART`],
    /// other than as its last part.
    CrashOnPart(CrashKind),
}

impl EngineFault {
    /// How a crash appears, if the fault is one that crashes engines.
    pub(super) const fn crash_kind(self) -> Option<CrashKind> {
        match self {
            Self::Crash(kind) | Self::CrashOnPart(kind) => Some(kind),
            _ => None,
        }
    }
}

/// Fault of the answer to a request that resumes a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeFault {
    /// A whole answer with this status; 204 has no body.
    Status(u16),
    /// A refusal with status 503, as not executed.
    Refusal,
    /// The events, with this content type; without one if it is empty.
    ContentType(&'static str),
    /// No event, in an answer with a content length.
    Empty,
    /// No event, in an answer in chunks.
    EmptyChunked,
    /// No event, in an answer that ends with its connection.
    EmptyUnframed,
    /// One event that never ends.
    Endless,
    /// The beginning of an event, then single bytes at intervals.
    Trickle,
    /// The events from the first one on, as if the caller had none.
    FromStart,
    /// The events, with lines that end with carriage returns and line feeds.
    ReturnFeeds,
}

/// Part of the path of requests that crash an engine with [`EngineFault::Crash`].
pub const CRASHING_PATH: &str = "crashing";

/// Part of the prompt of requests that crash an engine with [`EngineFault::CrashOnPart`].
pub const CRASHING_PART: &str = "badbad";

/// How a crash appears to clients that are connected to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashKind {
    /// Connections end before the answer begins; new ones are refused.
    BeforeHead,
    /// Connections end after two events of a stream, or midway through another
    /// answer; new ones are refused.
    AfterHead,
    /// Connections stay open and carry no bytes, as when the whole host fails.
    Silent,
}

impl CrashKind {
    /// Fault of the proxy in front of a crashed engine until it has restarted.
    pub(super) const fn link_fault(self) -> LinkFault {
        match self {
            Self::BeforeHead | Self::AfterHead => LinkFault::Refuse,
            Self::Silent => LinkFault::HoldAll,
        }
    }
}
