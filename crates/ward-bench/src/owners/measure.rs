//! Measures moved keys, balance and lookup time of ownership rules.

use std::hint::black_box;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;

use super::rule::{OwnerKey, OwnerMember, OwnerRule, numbered_key};

/// Sizes of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerTask {
    /// Number of members.
    pub members: usize,
    /// Number of availability zones, to which members and keys are assigned in turn.
    pub zones: usize,
    /// Number of keys.
    pub keys: usize,
    /// Number of random sets of members.
    pub trials: usize,
    /// Seed of the members' names.
    pub seed: u64,
}

/// Measurements of one rule; all but the worst cases are means over the trials.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnerRow {
    /// The rule's name.
    pub rule: &'static str,
    /// Number of members before a join or leave.
    pub members: usize,
    /// Mean share of the keys that one join moves.
    pub join: f64,
    /// Maximum share that one join moves.
    pub join_worst: f64,
    /// Mean share of the keys that one leave from the middle of the sorted members moves.
    pub leave: f64,
    /// Maximum share that one such leave moves.
    pub leave_worst: f64,
    /// Minimum share that any balanced rule moves on a leave.
    pub ideal: f64,
    /// Maximum number of keys of one member, divided by the mean over the members.
    pub balance: f64,
    /// Share of the keys whose owner is in another availability zone.
    pub far: f64,
    /// Time to find the owner of a key, in nanoseconds.
    pub nanos: f64,
}

/// Measures every rule.
#[must_use]
pub fn measure_owners(task: &OwnerTask) -> Vec<OwnerRow> {
    let keys: Vec<OwnerKey> = (0..task.keys)
        .map(|number| numbered_key(number, task.zones))
        .collect();
    OwnerRule::ALL
        .into_iter()
        .map(|rule| measure_rule(rule, task, &keys))
        .collect()
}

fn draw_members(generator: &mut ChaCha8Rng, task: &OwnerTask) -> Vec<OwnerMember> {
    let mut members: Vec<OwnerMember> = (0..task.members)
        .map(|number| draw_member(generator, number % task.zones))
        .collect();
    sort_by_name(&mut members);
    members
}

fn draw_member(generator: &mut ChaCha8Rng, zone: usize) -> OwnerMember {
    OwnerMember {
        name: format!("entry-{:08x}", generator.random::<u32>()),
        zone,
    }
}

fn sort_by_name(members: &mut [OwnerMember]) {
    members.sort_by(|left, right| left.name.cmp(&right.name));
}

#[allow(clippy::cast_precision_loss)]
fn measure_rule(rule: OwnerRule, task: &OwnerTask, keys: &[OwnerKey]) -> OwnerRow {
    let mut generator = ChaCha8Rng::seed_from_u64(task.seed);
    let mut joins = Vec::new();
    let mut leaves = Vec::new();
    let mut balances = Vec::new();
    let mut far = Vec::new();
    let mut nanos = Vec::new();
    for trial in 0..task.trials {
        let members = draw_members(&mut generator, task);
        let started = Instant::now();
        let before = all_owners(rule, &members, keys);
        nanos.push(started.elapsed().as_nanos() as f64 / keys.len() as f64);
        balances.push(balance(&members, &before));
        far.push(share_of_keys(keys, |index| {
            before[index].is_some_and(|owner| members[owner].zone != keys[index].zone)
        }));
        let mut joined = members.clone();
        joined.push(draw_member(&mut generator, trial % task.zones));
        sort_by_name(&mut joined);
        joins.push(moved_share(rule, keys, (&members, &before), &joined));
        let mut remaining = members.clone();
        remaining.remove(members.len() / 2);
        leaves.push(moved_share(rule, keys, (&members, &before), &remaining));
    }
    OwnerRow {
        rule: rule.name(),
        members: task.members,
        join: mean_of(&joins),
        join_worst: max_of(&joins),
        leave: mean_of(&leaves),
        leave_worst: max_of(&leaves),
        ideal: 1.0 / task.members as f64,
        balance: mean_of(&balances),
        far: mean_of(&far),
        nanos: mean_of(&nanos),
    }
}

fn all_owners(rule: OwnerRule, members: &[OwnerMember], keys: &[OwnerKey]) -> Vec<Option<usize>> {
    keys.iter()
        .map(|key| black_box(rule.owner(black_box(members), *key)))
        .collect()
}

fn moved_share(
    rule: OwnerRule,
    keys: &[OwnerKey],
    (members, before): (&[OwnerMember], &[Option<usize>]),
    changed: &[OwnerMember],
) -> f64 {
    let after = all_owners(rule, changed, keys);
    share_of_keys(keys, |index| {
        let old = before[index].map(|owner| &members[owner]);
        let new = after[index].map(|owner| &changed[owner]);
        old != new
    })
}

#[allow(clippy::cast_precision_loss)]
fn share_of_keys(keys: &[OwnerKey], holds: impl Fn(usize) -> bool) -> f64 {
    let count = (0..keys.len()).filter(|index| holds(*index)).count();
    count as f64 / keys.len() as f64
}

#[allow(clippy::cast_precision_loss)]
fn balance(members: &[OwnerMember], owners: &[Option<usize>]) -> f64 {
    let mut counts = vec![0_usize; members.len()];
    for owner in owners.iter().flatten() {
        counts[*owner] += 1;
    }
    let max = counts.iter().copied().max().unwrap_or(0);
    max as f64 * members.len() as f64 / owners.len() as f64
}

#[allow(clippy::cast_precision_loss)]
fn mean_of(figures: &[f64]) -> f64 {
    figures.iter().sum::<f64>() / figures.len() as f64
}

fn max_of(figures: &[f64]) -> f64 {
    figures.iter().copied().fold(0.0, f64::max)
}
