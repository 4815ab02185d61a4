//! One row of a replay's results.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::outcome::{PriorityCounts, ReplayOutcome, WaitCause, WaitQuantiles};
use super::rule::{KeepRule, ReplayPolicy, StoreOrder};
use super::trouble::ReplayTrouble;

const HOUR: f64 = 3_600.0;

/// Family of policies; those of one family differ in at most one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyFamily {
    /// The project's policy.
    Ours,
    /// A fixed keep time.
    Fixed,
    /// A fixed keep time and a store without priorities.
    FirstCome,
    /// Never unloads, except for evictions.
    Never,
    /// Unloads idle replicas at once.
    AtOnce,
    /// Knows the next request and decides whether to keep the replica.
    Clairvoyant,
    /// Knows the next request and loads the replica in time for it.
    Ahead,
}

/// Result of one policy with one trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplayRow {
    /// The workload's name.
    pub workload: String,
    /// Fault that was injected.
    pub trouble: ReplayTrouble,
    /// The policy's name.
    pub policy: String,
    /// Family of the policy.
    pub family: PolicyFamily,
    /// Seed of the trace.
    pub seed: u64,
    /// Waits of requests whose loads may not be put off; a refused request counts with its whole
    /// time limit.
    pub waits: WaitQuantiles,
    /// Waits of requests whose loads may be put off.
    pub slack: WaitQuantiles,
    /// Waits of served requests by cause.
    pub causes: IndexMap<WaitCause, WaitQuantiles>,
    /// Accelerator hours held by replicas that run nothing.
    pub held_hours: f64,
    /// Idle accelerator hours: engines that are not on standby and run nothing.
    pub idle_hours: f64,
    /// Loads of base models.
    pub loads: u64,
    /// Loads of adapters.
    pub adapter_loads: u64,
    /// Replicas evicted for others.
    pub evictions: u64,
    /// Loads made ahead of a request.
    pub ahead: u64,
    /// Counts by priority.
    pub counts: IndexMap<u8, PriorityCounts>,
}

impl ReplayRow {
    /// The row of an outcome.
    #[must_use]
    pub fn new(
        workload: &str,
        trouble: ReplayTrouble,
        policy: &ReplayPolicy,
        seed: u64,
        outcome: &ReplayOutcome,
    ) -> Self {
        let causes = outcome.causes.iter();
        let mut counts = outcome.counts.clone();
        counts.sort_keys();
        Self {
            workload: workload.to_owned(),
            trouble,
            policy: policy.to_string(),
            family: family_of(policy),
            seed,
            waits: outcome.waits.quantiles(),
            slack: outcome.slack.quantiles(),
            causes: causes
                .map(|(cause, waits)| (*cause, waits.quantiles()))
                .collect(),
            held_hours: outcome.held_seconds / HOUR,
            idle_hours: outcome.idle_seconds / HOUR,
            loads: outcome.loads,
            adapter_loads: outcome.adapter_loads,
            evictions: outcome.evictions,
            ahead: outcome.preloads,
            counts,
        }
    }
}

fn family_of(policy: &ReplayPolicy) -> PolicyFamily {
    match policy.keep {
        KeepRule::Gaps => PolicyFamily::Ours,
        KeepRule::Fixed(_) if policy.order == StoreOrder::FirstCome => PolicyFamily::FirstCome,
        KeepRule::Fixed(_) => PolicyFamily::Fixed,
        KeepRule::Forever => PolicyFamily::Never,
        KeepRule::UnloadAtOnce => PolicyFamily::AtOnce,
        KeepRule::Clairvoyant => PolicyFamily::Clairvoyant,
        KeepRule::ClairvoyantPreload => PolicyFamily::Ahead,
    }
}
