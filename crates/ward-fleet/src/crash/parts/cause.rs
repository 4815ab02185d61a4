//! Decides which part of prompts explains the ends of engines best.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, PartId, TimeSpan};

use super::CRASH_RETENTION;
use super::run::EngineCrash;

/// Crashes one after the other that block a part.
const CRASHES_TO_BLOCK: usize = 4;
/// Engines that end within this time of the first count as one crash.
const MIN_CRASH_GAP: TimeSpan = TimeSpan::from_millis(50);

/// Engines that ended at the same moment.
struct CrashEvent<'a> {
    ended_at: MonoTime,
    engines: Vec<&'a EngineCrash>,
}

impl CrashEvent<'_> {
    fn is_on_each_engine(&self, part: &PartId) -> bool {
        self.engines.iter().all(|crash| crash.has(part))
    }
}

/// What speaks against one part.
#[derive(Default)]
struct Suspicion {
    /// Time of each crash, with the latest beginning of an answer on the part on the
    /// engines that ended.
    crashes: Vec<(MonoTime, MonoTime)>,
    runs: usize,
    /// Greatest index of the part in the prompts of these runs.
    depth: usize,
}

impl Suspicion {
    /// Ends of engines one after the other, each under a run whose answer began after
    /// the end before it.
    fn sequence(&self) -> Vec<MonoTime> {
        let mut sequence: Vec<MonoTime> = Vec::new();
        for (ended, began) in &self.crashes {
            let follows = |last: &MonoTime| *began >= *last + MIN_CRASH_GAP;
            if sequence.last().is_none_or(follows) {
                sequence.push(*ended);
            }
        }
        sequence
    }

    /// Until when the crashes block the part; `None` if they are too few.
    fn blocked_until(&self) -> Option<MonoTime> {
        let sequence = self.sequence();
        let first = sequence.len().checked_sub(CRASHES_TO_BLOCK)?;
        Some(sequence[first] + CRASH_RETENTION)
    }
}

/// The part that explains most of the crashes, and until when they block it.
pub(super) fn best_cause(crashes: &[&EngineCrash]) -> Option<(PartId, MonoTime)> {
    let events = crash_events(crashes);
    let suspicions = suspicions(&events);
    let causes = suspicions.iter().filter_map(|(part, suspicion)| {
        let until = suspicion.blocked_until()?;
        let narrowness = std::cmp::Reverse(suspicion.runs);
        let rank = (suspicion.crashes.len(), narrowness, suspicion.depth, *part);
        Some((rank, until))
    });
    let ((.., part), until) = causes.max()?;
    Some((part.clone(), until))
}

/// The crashes in order of time, with engines that ended together as one.
fn crash_events<'a>(crashes: &[&'a EngineCrash]) -> Vec<CrashEvent<'a>> {
    let mut crashes = crashes.to_vec();
    crashes.sort_by_key(|crash| crash.ended_at);
    let mut events: Vec<CrashEvent<'_>> = Vec::new();
    for crash in crashes {
        match events.last_mut() {
            Some(event) if crash.ended_at < event.ended_at + MIN_CRASH_GAP => {
                event.engines.push(crash);
            }
            _ => events.push(CrashEvent {
                ended_at: crash.ended_at,
                engines: vec![crash],
            }),
        }
    }
    events
}

fn suspicions<'a>(events: &[CrashEvent<'a>]) -> IndexMap<&'a PartId, Suspicion> {
    let mut suspicions: IndexMap<&PartId, Suspicion> = IndexMap::new();
    for event in events {
        let mut latest: IndexMap<&PartId, MonoTime> = IndexMap::new();
        for run in event.engines.iter().flat_map(|crash| &crash.runs) {
            for (depth, part) in run.parts.iter().enumerate() {
                let suspicion = suspicions.entry(part).or_default();
                suspicion.runs += 1;
                suspicion.depth = suspicion.depth.max(depth);
                let began = latest.entry(part).or_default();
                *began = run.began_at.max(*began);
            }
        }
        latest.retain(|part, _| event.is_on_each_engine(part));
        for (part, began) in latest {
            let suspicion = suspicions.entry(part).or_default();
            suspicion.crashes.push((event.ended_at, began));
        }
    }
    suspicions
}
