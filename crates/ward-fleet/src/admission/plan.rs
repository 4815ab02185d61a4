//! Chooses the waiting requests that are deferred so that the others are on time.
//!
//! Load pattern: more work waits than the engines can begin on time. The request that must
//! start first still goes first. Where one would start too late behind those before it,
//! the least urgent of them gives way, and of these the one with the most work, until the
//! rest fit (Moore and Hodgson's rule for the fewest late jobs, with priority before work).
//! While all can be on time, none is deferred, and the order is that of `QueueRank`.
//!
//! Weighed: strict priority starves what is less urgent, and makes it late when there was
//! time for both; weighted fair shares make urgent requests late in proportion, too; the
//! shortest first starves large ones; the earliest deadline first makes nearly all late.

use std::collections::BinaryHeap;
use std::hash::Hash;

use indexmap::IndexSet;
use ward_protocol::{MonoTime, TimeSpan};

use super::flow::WorkRate;
use super::share::{ServedShares, ShareClass};
use super::work::RequestWork;
use crate::queue::RequestTimes;

/// Part of the measured rate that the plan counts on, in percent: what is planned to start
/// just in time would often start just too late.
const PLANNED_RATE_PERCENT: u64 = 65;

/// A waiting request, as far as the order depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<R, K> {
    /// Urgency; the smallest is the most urgent.
    pub urgency: R,
    /// Times within which it must start.
    pub times: RequestTimes,
    /// Work that it needs.
    pub work: RequestWork,
    /// Its kind and size.
    pub class: ShareClass<K>,
}

/// How readily a request gives way: the greatest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GiveWay<R> {
    is_unprotected: bool,
    urgency: R,
    work: RequestWork,
    /// Position in the order of latest starts: the later one has more time to wait.
    position: usize,
    index: usize,
}

/// Tells for each of the requests that the same engines can serve whether it is deferred
/// behind those that can be on time. Requests that are already late are not: they come
/// last anyway. Of each class that is served too seldom, one does not give way.
pub fn plan_deferrals<R: Ord + Copy, K: Hash + Eq + Clone>(
    requests: &[QueuedRequest<R, K>],
    shares: &ServedShares<K>,
    rate: WorkRate,
    now: MonoTime,
) -> Vec<bool> {
    let mut deferred = vec![false; requests.len()];
    let mut kept = BinaryHeap::new();
    let mut kept_tokens: u64 = 0;
    let mut protected = IndexSet::new();
    for (position, index) in by_latest_start(requests, now).into_iter().enumerate() {
        let Some(request) = requests.get(index) else {
            continue;
        };
        let class = &request.class;
        let is_protected = shares.is_short(class) && protected.insert(class);
        kept.push(GiveWay {
            is_unprotected: !is_protected,
            urgency: request.urgency,
            work: request.work,
            position,
            index,
        });
        let work = request.work.tokens();
        kept_tokens = kept_tokens.saturating_add(work);
        let latest = request.times.latest_start_on_time();
        while now + planned_time(rate, kept_tokens.saturating_sub(work)) > latest {
            let Some(victim) = kept.pop() else {
                break;
            };
            kept_tokens = kept_tokens.saturating_sub(victim.work.tokens());
            if let Some(flag) = deferred.get_mut(victim.index) {
                *flag = true;
            }
            if victim.index == index {
                break;
            }
        }
    }
    deferred
}

fn planned_time(rate: WorkRate, tokens: u64) -> TimeSpan {
    rate.time_for(tokens.saturating_mul(100) / PLANNED_RATE_PERCENT)
}

/// Indexes of the requests that are not late, the one that must start first at the front.
fn by_latest_start<R: Ord + Copy, K>(
    requests: &[QueuedRequest<R, K>],
    now: MonoTime,
) -> Vec<usize> {
    let mut ranked: Vec<_> = requests
        .iter()
        .enumerate()
        .filter(|(_, request)| !request.times.is_late(now))
        .map(|(index, request)| {
            let latest = request.times.latest_start_on_time();
            (latest, request.urgency, index)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, index)| index).collect()
}
