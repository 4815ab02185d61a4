//! Faults that can be injected.

use std::fmt;

/// A fault that is injected into the deployment for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// A daemon is killed and restarts later without state.
    DaemonKilled,
    /// A daemon is frozen for longer than its lease.
    DaemonFrozen,
    /// A daemon cannot reach any other daemon.
    CutFromPeers,
    /// A daemon cannot reach the log.
    CutFromLog,
    /// A daemon cannot reach any engine.
    CutFromEngines,
    /// No daemon can reach the log.
    LogDown,
    /// Each call to the log takes about a second.
    LogSlow,
    /// Some appends take effect but their answers are lost.
    AnswerLost,
    /// One daemon's reads are stale: they end below an offset that it has already read.
    LogStale,
    /// The host list lags by several seconds.
    ListBehind,
    /// Loads take ten times as long.
    StoreSlow,
    /// A host is reclaimed: it is listed as leaving, then removed.
    HostReclaimed,
    /// An engine restarts without replicas.
    EngineCrash,
    /// Orders arrive near the end of their lifetime.
    OrderDelayed,
    /// Orders arrive twice.
    OrderDoubled,
    /// Two operators submit plans concurrently on the same base.
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
