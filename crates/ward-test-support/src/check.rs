//! Peak numbers of replicas and run counts, computed from the histories of several
//! engines.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{ReplicaKey, RequestId, ResidentPhase};
use ward_standin::EngineHistory;
use ward_standin::engine::HoldingEntry;

/// Peak number of replicas of a key that were loaded at the same time, over all
/// engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaPeak {
    /// What the replicas hold: a model version, or an adapter on top of one.
    pub key: ReplicaKey,
    /// Peak number of replicas.
    pub replicas: usize,
    /// Time at which the peak was first reached, in microseconds since 1970.
    pub at_micros: u64,
}

/// How often a request ran, over all engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunCount {
    /// Id of the request, which stays the same over retries.
    pub request: RequestId,
    /// Number of times that it began to run.
    pub runs: u32,
    /// Number of times that it ran to its end.
    pub finished: u32,
}

/// Returns the peak of each key that was ever loaded, in the order of first loads.
///
/// A replica counts from the order to load it until it is unloaded; failed loads
/// don't count. All engines must run on one host, or share a clock.
#[must_use]
pub fn replica_peaks(histories: &[EngineHistory]) -> Vec<ReplicaPeak> {
    let mut timeline: Vec<_> = histories
        .iter()
        .enumerate()
        .flat_map(|(engine, history)| history.holdings.iter().map(move |entry| (engine, entry)))
        .collect();
    timeline.sort_by_key(|(_, entry)| entry.at_micros);
    let mut loaded = vec![IndexSet::new(); histories.len()];
    let mut peaks: IndexMap<ReplicaKey, ReplicaPeak> = IndexMap::new();
    for (engine, entry) in timeline {
        loaded[engine] = loaded_keys(entry);
        for key in &loaded[engine] {
            let replicas = loaded.iter().filter(|keys| keys.contains(*key)).count();
            let peak = peaks.entry((*key).clone()).or_insert(ReplicaPeak {
                key: (*key).clone(),
                replicas: 0,
                at_micros: 0,
            });
            if replicas > peak.replicas {
                peak.replicas = replicas;
                peak.at_micros = entry.at_micros;
            }
        }
    }
    peaks.into_values().collect()
}

/// Returns the number of runs of each request that any engine received.
#[must_use]
pub fn run_counts(histories: &[EngineHistory]) -> Vec<RunCount> {
    let mut counts: IndexMap<RequestId, RunCount> = IndexMap::new();
    for (request, entry) in histories.iter().flat_map(|history| &history.requests) {
        let count = counts.entry(*request).or_insert(RunCount {
            request: *request,
            runs: 0,
            finished: 0,
        });
        count.runs += entry.runs;
        count.finished += entry.finished;
    }
    counts.into_values().collect()
}

fn loaded_keys(entry: &HoldingEntry) -> IndexSet<&ReplicaKey> {
    entry
        .replicas
        .iter()
        .filter(|replica| replica.phase != ResidentPhase::Failed)
        .map(|replica| &replica.key)
        .collect()
}
