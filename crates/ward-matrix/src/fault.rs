//! Faults that can strike.

use std::fmt;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// A daemon dies and starts again later with nothing.
    DaemonKilled,
    /// A daemon stands still for longer than its lease.
    DaemonFrozen,
    /// A daemon reaches no other daemon.
    CutFromPeers,
    /// A daemon doesn't reach the log.
    CutFromLog,
    /// A daemon reaches no engine.
    CutFromEngines,
    /// Nobody reaches the log.
    LogDown,
    /// The log takes a second for everything.
    LogSlow,
    /// Appends take effect but their answers are lost.
    AnswerLost,
    /// One daemon's reads end below what it has seen.
    LogStale,
    /// The host list is seconds behind.
    ListBehind,
    /// Loads take ten times as long.
    StoreSlow,
    /// A host is reclaimed: it leaves, then goes.
    HostReclaimed,
    /// An engine restarts with nothing.
    EngineCrash,
    /// Orders arrive near the end of their lives.
    OrderDelayed,
    /// Orders arrive twice.
    OrderDoubled,
    /// Two operators submit on the same base.
    OperatorRace,
    /// A daemon's clock runs five percent fast.
    ClockFast,
    /// A daemon's clock runs five percent slow.
    ClockSlow,
}

impl FaultKind {
    /// All faults.
    pub const ALL: &[Self] = &[
        Self::DaemonKilled,
        Self::DaemonFrozen,
        Self::CutFromPeers,
        Self::CutFromLog,
        Self::CutFromEngines,
        Self::LogDown,
        Self::LogSlow,
        Self::AnswerLost,
        Self::LogStale,
        Self::ListBehind,
        Self::StoreSlow,
        Self::HostReclaimed,
        Self::EngineCrash,
        Self::OrderDelayed,
        Self::OrderDoubled,
        Self::OperatorRace,
        Self::ClockFast,
        Self::ClockSlow,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
