//! Finds parts of prompts that crash the engines that begin to answer them.
//!
//! Load pattern: each engine that begins to write an answer on one part of a prompt
//! ends, whatever else the request holds. No two requests with the part are alike,
//! they reach every daemon, and harmless ones share their other parts.
//!
//! An engine ends with all its runs, so all parts of these are suspect, except of runs
//! that the engine had been writing an answer to for a while. Two things single out the
//! cause. A part that is answered after the crash is cleared and no longer suspect; other
//! parts have to crash engines one after the other, each under a run whose answer began
//! after the crash before it. Engines that end at the same moment may have any common
//! cause, so they count as one crash, and only against parts that each of them had
//! begun to answer on. And a crash that one part explains says nothing against the
//! others: the part that explains most crashes is blocked first, the narrowest if there
//! are several.

mod cause;
mod run;

use indexmap::IndexMap;
use ward_protocol::{MonoTime, PartId, TimeSpan};

use self::cause::best_cause;
use self::run::{EngineCrash, SuspectRun};
use super::{ClearedPart, CrashReport, EngineIncarnation};

/// Time for which a crash counts.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// Age from which a crash counts. Until then daemons report their runs on the engine,
/// and harmless parts are answered elsewhere.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(400);
/// An engine that has been writing an answer for this long doesn't end because of it.
const MIN_ANSWER_TIME: TimeSpan = TimeSpan::from_millis(100);
const MAX_ENGINES: usize = 256;
const MAX_RUNS_PER_ENGINE: usize = 128;
/// Maximum number of parts that are remembered as cleared.
const MAX_CLEARED: usize = 512;

/// Parts that were blocked or cleared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BlockChange {
    /// Parts that are blocked now and were not before.
    pub blocked: Vec<PartId>,
    /// Parts that are no longer blocked.
    pub cleared: Vec<PartId>,
}

/// Crashes of engines and the parts that are blocked for them. Reports may arrive in
/// any order and more than once.
#[derive(Debug, Clone, Default)]
pub struct PartCrashes {
    engines: IndexMap<EngineIncarnation, EngineCrash>,
    /// Suspect parts that an engine answered on, with the latest time at which such an
    /// answer began; the most recently cleared last.
    cleared: IndexMap<PartId, MonoTime>,
    /// Blocked parts, with the end of each block, as of the last refresh.
    blocked: IndexMap<PartId, MonoTime>,
    /// Time from which [`Self::refresh`] may change the blocks; `None` for never.
    refresh_at: Option<MonoTime>,
    changes: u64,
}

impl PartCrashes {
    /// Records the run in a crash report; returns whether it was new and any of its
    /// parts is suspect.
    pub(super) fn record(&mut self, report: &CrashReport, now: MonoTime) -> bool {
        if report.age > CRASH_RETENTION || report.parts.is_empty() {
            return false;
        }
        let ended_at = now - report.age;
        self.add_engine(&report.incarnation, ended_at);
        let answered_for = report.answered_for.unwrap_or_default();
        let run = SuspectRun {
            fingerprint: report.fingerprint,
            parts: self.suspect_parts(&report.parts, ended_at),
            began_at: ended_at - answered_for,
            ended_at,
        };
        let is_suspect = answered_for < MIN_ANSWER_TIME && !run.parts.is_empty();
        if !is_suspect || !self.add_run(&report.incarnation, run) {
            return false;
        }
        self.refresh_at = Some(now);
        true
    }

    fn add_engine(&mut self, incarnation: &EngineIncarnation, ended_at: MonoTime) {
        if !self.engines.contains_key(incarnation) {
            self.evict();
        }
        let crash = EngineCrash {
            ended_at,
            runs: Vec::new(),
        };
        let crash = self.engines.entry(incarnation.clone()).or_insert(crash);
        crash.ended_at = crash.ended_at.min(ended_at);
    }

    /// Adds a run unless it is known or a blocked part explains the engine's end.
    fn add_run(&mut self, incarnation: &EngineIncarnation, run: SuspectRun) -> bool {
        let Some(crash) = self.engines.get_mut(incarnation) else {
            return false;
        };
        let is_known = |known: &SuspectRun| known.fingerprint == run.fingerprint;
        let is_explained = crash.has_any(&self.blocked);
        let has_blocked = self.blocked.keys().any(|part| run.has(part));
        if crash.runs.len() >= MAX_RUNS_PER_ENGINE
            || crash.runs.iter().any(is_known)
            || (is_explained && !has_blocked)
        {
            return false;
        }
        crash.runs.push(run);
        true
    }

    /// The parts that were not cleared after a time.
    fn suspect_parts(&self, parts: &[PartId], ended_at: MonoTime) -> Vec<PartId> {
        let is_cleared = |part: &PartId| self.cleared.get(part).is_some_and(|at| *at >= ended_at);
        parts
            .iter()
            .filter(|part| !is_cleared(part))
            .cloned()
            .collect()
    }

    /// Makes room for one more engine. Those whose end no blocked part explains are
    /// dropped first.
    fn evict(&mut self) {
        if self.engines.len() < MAX_ENGINES {
            return;
        }
        let mut crashes = self.engines.values();
        let index = crashes.position(|crash| !crash.has_any(&self.blocked));
        self.engines.shift_remove_index(index.unwrap_or(0));
    }

    /// Whether an answer that began at a time clears a part of earlier crashes;
    /// `answered_for` is how long the engine has been writing it, `None` if it is
    /// complete.
    #[must_use]
    pub fn would_clear(
        &self,
        part: &PartId,
        began_at: MonoTime,
        answered_for: Option<TimeSpan>,
    ) -> bool {
        let mut crashes = self.engines.values();
        answered_for.is_none_or(|span| span >= MIN_ANSWER_TIME)
            && crashes.any(|crash| crash.ended_at <= began_at && crash.has(part))
    }

    /// Records that an engine answered on a part from a time on, so that earlier
    /// crashes don't count against it; returns whether this is news.
    pub fn clear_part(&mut self, part: &PartId, began_at: MonoTime, now: MonoTime) -> bool {
        if self
            .cleared
            .get(part)
            .is_some_and(|known| *known >= began_at)
        {
            return false;
        }
        self.cleared.shift_remove(part);
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.shift_remove_index(0);
        }
        self.cleared.insert(part.clone(), began_at);
        for crash in self.engines.values_mut() {
            for run in &mut crash.runs {
                if run.ended_at <= began_at {
                    run.parts.retain(|other| other != part);
                }
            }
            crash.runs.retain(|run| !run.parts.is_empty());
        }
        self.refresh_at = Some(now);
        true
    }

    /// Whether any part is suspect.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.engines.values().any(|crash| !crash.runs.is_empty())
    }

    /// Time from which [`Self::refresh`] may change the blocks; `None` for never.
    #[must_use]
    pub const fn refresh_at(&self) -> Option<MonoTime> {
        self.refresh_at
    }

    /// Decides again which parts are blocked.
    pub fn refresh(&mut self, now: MonoTime) -> BlockChange {
        self.engines
            .retain(|_, crash| now.since(crash.ended_at) <= CRASH_RETENTION);
        let blocked = self.find_causes(now);
        let change = BlockChange {
            blocked: missing_keys(&blocked, &self.blocked),
            cleared: missing_keys(&self.blocked, &blocked),
        };
        if change != BlockChange::default() {
            self.changes += 1;
        }
        self.blocked = blocked;
        self.drop_explained_runs();
        self.refresh_at = self.next_refresh(now);
        change
    }

    /// The parts that explain the crashes that count, each with the end of its block.
    fn find_causes(&self, now: MonoTime) -> IndexMap<PartId, MonoTime> {
        let mut unexplained: Vec<&EngineCrash> = self
            .engines
            .values()
            .filter(|crash| crash.ended_at + SETTLE_TIME <= now)
            .collect();
        let mut causes = IndexMap::new();
        while let Some((part, until)) = best_cause(&unexplained) {
            unexplained.retain(|crash| !crash.has(&part));
            causes.insert(part, until);
        }
        causes
    }

    /// Drops the runs without blocked parts on engines whose end a blocked part
    /// explains.
    fn drop_explained_runs(&mut self) {
        let blocked = &self.blocked;
        for crash in self.engines.values_mut() {
            if crash.has_any(blocked) {
                let has_blocked = |run: &SuspectRun| blocked.keys().any(|part| run.has(part));
                crash.runs.retain(has_blocked);
            }
        }
    }

    /// When the next crash begins to count or the next block ends.
    fn next_refresh(&self, now: MonoTime) -> Option<MonoTime> {
        let settling = self
            .engines
            .values()
            .map(|crash| crash.ended_at + SETTLE_TIME);
        let settling = settling.filter(|at| *at > now);
        settling.chain(self.blocked.values().copied()).min()
    }

    /// The first blocked part of a prompt, with the time for which it stays blocked.
    #[must_use]
    pub fn blocked_part<'a>(
        &self,
        parts: &'a [PartId],
        now: MonoTime,
    ) -> Option<(&'a PartId, TimeSpan)> {
        parts.iter().find_map(|part| {
            let until = self.blocked.get(part)?;
            Some((part, until.since(now)))
        })
    }

    /// Number of times so far that the blocks changed.
    pub(super) const fn changes(&self) -> u64 {
        self.changes
    }

    /// Reports of all runs with suspect parts.
    pub(super) fn reports(&self, now: MonoTime) -> impl Iterator<Item = CrashReport> {
        self.engines.iter().flat_map(move |(incarnation, crash)| {
            let runs = crash.runs.iter();
            runs.map(move |run| run_report(incarnation, run, run.parts.clone(), now))
        })
    }

    /// The fewest reports that block the same parts, and no others.
    pub(super) fn blocked_reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for part in self.blocked.keys() {
            let crashes = self.engines.iter().rev();
            let runs = crashes.filter_map(|(incarnation, crash)| {
                let latest = crash.runs_with(part).max_by_key(|run| run.began_at)?;
                Some(run_report(incarnation, latest, vec![part.clone()], now))
            });
            reports.extend(runs);
        }
        reports
    }

    /// Suspect parts that were cleared.
    #[must_use]
    pub fn cleared_parts(&self, now: MonoTime) -> Vec<ClearedPart> {
        let cleared = self.cleared.iter().map(|(part, began_at)| ClearedPart {
            part: part.clone(),
            age: now.since(*began_at),
        });
        cleared.collect()
    }
}

fn run_report(
    incarnation: &EngineIncarnation,
    run: &SuspectRun,
    parts: Vec<PartId>,
    now: MonoTime,
) -> CrashReport {
    CrashReport {
        fingerprint: run.fingerprint,
        incarnation: incarnation.clone(),
        age: now.since(run.ended_at),
        parts,
        answered_for: Some(run.ended_at.since(run.began_at)),
        blames_request: false,
    }
}

fn missing_keys(
    parts: &IndexMap<PartId, MonoTime>,
    others: &IndexMap<PartId, MonoTime>,
) -> Vec<PartId> {
    let missing = parts.keys().filter(|part| !others.contains_key(*part));
    missing.cloned().collect()
}
