//! Runs that ended without a whole answer, until it shows whether their engines
//! ended with them.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::{CrashReport, EngineIncarnation};
use crate::table::EngineTable;

/// Heartbeats after which it has shown whether an engine still lives: the store
/// keeps an entry for three, then it must be read.
const HEARTBEATS_WATCHED: u64 = 5;
const MAX_RUNS: usize = 1_024;

/// A run that ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnfinishedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Where it ran.
    pub incarnation: EngineIncarnation,
    /// When it ended.
    pub ended_at: MonoTime,
}

impl UnfinishedRun {
    /// The report of a run whose engine ended.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation.clone(),
            age: now.since(self.ended_at),
        }
    }
}

/// What the table of engines says of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationState {
    Listed,
    /// It ends as planned.
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

/// Unfinished runs that are watched.
#[derive(Debug, Clone, Default)]
pub struct CrashDetector {
    runs: VecDeque<UnfinishedRun>,
    /// Lives whose address is being connected to.
    probed: Vec<EngineIncarnation>,
}

impl CrashDetector {
    /// Watches a run from now on; returns whether its engine should be connected
    /// to. A connection that ends at an engine that leaves as planned, or that the
    /// store has dropped before, is no sign of a crash.
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

    /// Notes how a connection to an engine went; takes its runs if it was refused.
    pub fn record_probe(
        &mut self,
        incarnation: &EngineIncarnation,
        refused: bool,
    ) -> Vec<UnfinishedRun> {
        self.probed.retain(|other| other != incarnation);
        if !refused {
            return Vec::new();
        }
        let runs = std::mem::take(&mut self.runs);
        let (ended, others) = runs
            .into_iter()
            .partition(|run| run.incarnation == *incarnation);
        self.runs = others;
        ended.into()
    }

    /// Takes the runs whose engines have ended by what is known of engines, and
    /// forgets those that have been watched for long enough.
    pub fn take_ended(
        &mut self,
        table: &EngineTable,
        heartbeat: TimeSpan,
        now: MonoTime,
    ) -> Vec<UnfinishedRun> {
        let watched = TimeSpan::from_millis(heartbeat.millis() * HEARTBEATS_WATCHED);
        let mut ended = Vec::new();
        self.runs.retain(|run| {
            let state = incarnation_state(table, &run.incarnation);
            if state == IncarnationState::Ended {
                ended.push(run.clone());
            }
            state == IncarnationState::Listed && now.since(run.ended_at) <= watched
        });
        ended
    }
}
