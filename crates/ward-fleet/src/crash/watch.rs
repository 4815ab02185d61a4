//! Runs that ended without a whole answer, until it shows whether their engines
//! ended with them.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::{CrashReport, EngineIncarnation};
use crate::table::EngineTable;

/// Heartbeats after which it has shown whether an engine still lives: the store
/// keeps an entry for three, then it must be read.
const HEARTBEATS_WATCHED: u64 = 5;
const MOST_RUNS: usize = 1_024;

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
    /// The mark of a run whose engine ended.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation.clone(),
            age: now.since(self.ended_at),
        }
    }
}

/// What the table of engines says of one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifeState {
    Listed,
    /// It ends as planned.
    Leaving,
    Ended,
}

fn life_state(table: &EngineTable, life: &EngineIncarnation) -> LifeState {
    match table.get(&life.engine) {
        Some(engine) if engine.info.birth != life.birth => LifeState::Ended,
        Some(engine) if engine.info.draining => LifeState::Leaving,
        Some(_) => LifeState::Listed,
        None => LifeState::Ended,
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
        match life_state(table, &run.incarnation) {
            LifeState::Leaving => return false,
            LifeState::Ended if broke_off => return false,
            LifeState::Listed | LifeState::Ended => {}
        }
        let is_due = broke_off && !self.probed.contains(&run.incarnation);
        if is_due {
            self.probed.push(run.incarnation.clone());
        }
        if self.runs.len() >= MOST_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        is_due
    }

    /// Notes how a connection to an engine went; takes its runs if it was refused.
    pub fn record_probe(&mut self, life: &EngineIncarnation, refused: bool) -> Vec<UnfinishedRun> {
        self.probed.retain(|other| other != life);
        if !refused {
            return Vec::new();
        }
        let runs = std::mem::take(&mut self.runs);
        let (ended, others) = runs.into_iter().partition(|run| run.incarnation == *life);
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
            let state = life_state(table, &run.incarnation);
            if state == LifeState::Ended {
                ended.push(run.clone());
            }
            state == LifeState::Listed && now.since(run.ended_at) <= watched
        });
        ended
    }
}
