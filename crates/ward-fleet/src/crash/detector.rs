//! Tracks runs of requests on engines that ended without a complete answer,
//! until it is known whether the engine process ended, too.

use std::collections::VecDeque;
use std::io;

use ward_protocol::{MonoTime, PartId, RequestFingerprint, TimeSpan};

use super::{CrashReport, EngineIncarnation};
use crate::table::EngineTable;

/// Heartbeat intervals for which an unfinished run is tracked. The store keeps
/// an engine's entry for three intervals after its last heartbeat, and a daemon
/// must then read that the entry was removed.
const TRACKED_HEARTBEATS: u64 = 5;
const MAX_RUNS: usize = 1_024;

/// A run of a request that ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnfinishedRun {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// Engine incarnation that the request ran on.
    pub incarnation: EngineIncarnation,
    /// Time at which the run ended.
    pub ended_at: MonoTime,
    /// How long the engine had been writing an answer; `None` if it had not begun.
    pub answered_for: Option<TimeSpan>,
}

impl UnfinishedRun {
    /// The crash report to send if the engine has ended.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation.clone(),
            age: now.since(self.ended_at),
            parts: self.parts.clone(),
            answered_for: self.answered_for,
            blames_request: true,
        }
    }
}

/// State of an engine incarnation according to the engine table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationState {
    Listed,
    /// The engine is draining, so its end is no crash.
    Leaving,
    Ended,
}

fn incarnation_state(table: &EngineTable, incarnation: &EngineIncarnation) -> IncarnationState {
    match table.get(&incarnation.engine) {
        Some(engine) if engine.info.birth != incarnation.birth => IncarnationState::Ended,
        Some(engine) if engine.info.draining => IncarnationState::Leaving,
        Some(_) => IncarnationState::Listed,
        None => IncarnationState::Ended,
    }
}

/// What the attempt to connect to an engine says about its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// Nothing listens at the address: the process has ended.
    Ended,
    /// The engine accepts connections, or the attempt failed for another reason, such
    /// as a cut network or a lack of descriptors on this host.
    Unknown,
}

impl From<io::Result<()>> for ProbeResult {
    fn from(connected: io::Result<()>) -> Self {
        match connected {
            Err(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => Self::Ended,
            _ => Self::Unknown,
        }
    }
}

/// Unfinished runs that are being tracked.
#[derive(Debug, Clone, Default)]
pub struct CrashDetector {
    runs: VecDeque<UnfinishedRun>,
    /// Incarnations that are being probed by opening a connection.
    probed: Vec<EngineIncarnation>,
}

impl CrashDetector {
    /// Tracks a run; returns whether its engine should be probed by opening a
    /// connection. `broke_off` is whether the connection of the run was closed
    /// before the answer was complete. A run is ignored if its engine is
    /// draining, or if its connection was closed when the table no longer
    /// listed the incarnation: neither is a sign of a crash.
    pub fn add_run(&mut self, run: UnfinishedRun, broke_off: bool, table: &EngineTable) -> bool {
        match incarnation_state(table, &run.incarnation) {
            IncarnationState::Leaving => return false,
            IncarnationState::Ended if broke_off => return false,
            IncarnationState::Listed | IncarnationState::Ended => {}
        }
        let needs_probe = broke_off && !self.probed.contains(&run.incarnation);
        if needs_probe {
            self.probed.push(run.incarnation.clone());
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        needs_probe
    }

    /// Records the result of probing an engine. Returns its runs, which are no
    /// longer tracked, if the engine has ended.
    pub fn record_probe(
        &mut self,
        incarnation: &EngineIncarnation,
        result: ProbeResult,
    ) -> Vec<UnfinishedRun> {
        self.probed.retain(|other| other != incarnation);
        if result == ProbeResult::Unknown {
            return Vec::new();
        }
        let runs = std::mem::take(&mut self.runs);
        let (ended, others) = runs
            .into_iter()
            .partition(|run| run.incarnation == *incarnation);
        self.runs = others;
        ended.into()
    }

    /// Returns the runs whose engines have ended according to the table, and
    /// drops those whose engines are draining or that have been tracked for
    /// long enough.
    pub fn take_ended(
        &mut self,
        table: &EngineTable,
        heartbeat: TimeSpan,
        now: MonoTime,
    ) -> Vec<UnfinishedRun> {
        let tracked = TimeSpan::from_millis(heartbeat.millis() * TRACKED_HEARTBEATS);
        let mut ended = Vec::new();
        self.runs.retain(|run| {
            let state = incarnation_state(table, &run.incarnation);
            if state == IncarnationState::Ended {
                ended.push(run.clone());
            }
            state == IncarnationState::Listed && now.since(run.ended_at) <= tracked
        });
        ended
    }
}
