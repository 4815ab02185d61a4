//! Keys moved, balance and look-up time of ownership rules.

use std::hint::black_box;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;

use super::rule::{OwnerKey, OwnerMember, OwnerRule, numbered_key};

/// How many members, zones, keys and trials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerTask {
    /// Members.
    pub members: usize,
    /// Zones, filled in turn.
    pub zones: usize,
    /// Keys.
    pub keys: usize,
    /// Sets of members drawn.
    pub trials: usize,
    /// Seed.
    pub seed: u64,
}

/// What a rule costs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnerRow {
    /// The rule's name.
    pub rule: &'static str,
    /// Members.
    pub members: usize,
    /// Mean part of the keys moved by one join.
    pub join: f64,
    /// Greatest part moved by one join.
    pub join_worst: f64,
    /// Mean part of the keys moved by one leave from the middle of the sorted members.
    pub leave: f64,
    /// Greatest part moved by one such leave.
    pub leave_worst: f64,
    /// Least part that any balanced rule moves on a leave.
    pub ideal: f64,
    /// Most keys of a member against the mean.
    pub balance: f64,
    /// Part of the keys owned in another zone than their own.
    pub far: f64,
    /// Time per look-up in nanoseconds.
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
