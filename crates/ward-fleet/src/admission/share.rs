//! Keeps every kind and size of request served while others are more urgent.
//!
//! Load pattern: for as long as urgent requests fill the engines, what is less urgent or
//! larger gives way each time. A class of requests that is served much less often than all
//! requests of its service does not give way until it has caught up. Counts fade, so that
//! an overload of minutes ago does not decide.

use std::hash::Hash;

use indexmap::IndexMap;
use ward_protocol::{MonoTime, TimeSpan};

use super::work::RequestWork;
use crate::number::u64_to_f64;

/// Share of a kind, in percent of the share of all requests, below which it is protected.
const MIN_KIND_PERCENT: f64 = 40.0;
/// Share of large requests, in percent of the share of the others of their kind, below which
/// they are protected.
const MIN_LARGE_PERCENT: f64 = 75.0;
/// Time after which counts are halved.
const HALVING_INTERVAL: TimeSpan = TimeSpan::from_secs(5);
/// Minimum number of decided requests of a class.
const MIN_DECIDED: f64 = 4.0;
/// Multiple of the mean work of its kind from which a request is large.
const LARGE_MULTIPLE: f64 = 1.5;
/// Weight of the latest request in the mean work of its kind.
const NEWEST_WEIGHT: f64 = 0.05;
/// Maximum number of kinds; beyond it, all are forgotten.
const MAX_KINDS: usize = 1_000;

/// Size of a request beside others of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SizeBand {
    /// Usual or small.
    Usual,
    /// Much larger than the mean.
    Large,
}

/// Requests of one kind and size that must not be starved.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShareClass<K> {
    /// The kind of request.
    pub kind: K,
    /// Its size.
    pub band: SizeBand,
}

/// Requests whose wait has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct DecidedCount {
    served: f64,
    decided: f64,
}

impl DecidedCount {
    fn record(&mut self, is_served: bool) {
        self.decided += 1.0;
        if is_served {
            self.served += 1.0;
        }
    }

    fn halve(&mut self) {
        self.served /= 2.0;
        self.decided /= 2.0;
    }

    fn share(&self) -> f64 {
        self.served / self.decided.max(1.0)
    }
}

/// How often requests of each class are served at one service.
#[derive(Debug, Clone)]
pub struct ServedShares<K: Hash + Eq + Clone> {
    classes: IndexMap<ShareClass<K>, DecidedCount>,
    all: DecidedCount,
    mean_tokens: IndexMap<K, f64>,
    halved_at: MonoTime,
}

impl<K: Hash + Eq + Clone> Default for ServedShares<K> {
    fn default() -> Self {
        Self {
            classes: IndexMap::new(),
            all: DecidedCount::default(),
            mean_tokens: IndexMap::new(),
            halved_at: MonoTime::default(),
        }
    }
}

impl<K: Hash + Eq + Clone> ServedShares<K> {
    /// Records the arrival of a request, and returns its class.
    pub fn classify(&mut self, kind: K, work: RequestWork) -> ShareClass<K> {
        if self.mean_tokens.len() > MAX_KINDS {
            self.mean_tokens.clear();
            self.classes.clear();
        }
        let tokens = u64_to_f64(work.tokens());
        let mean = self.mean_tokens.entry(kind.clone()).or_insert(tokens);
        let band = if tokens > LARGE_MULTIPLE * *mean {
            SizeBand::Large
        } else {
            SizeBand::Usual
        };
        *mean += NEWEST_WEIGHT * (tokens - *mean);
        ShareClass { kind, band }
    }

    /// Records that a request got an engine, or was refused or ran out of time.
    pub fn record(&mut self, class: &ShareClass<K>, is_served: bool, now: MonoTime) {
        if now.since(self.halved_at) >= HALVING_INTERVAL {
            self.halved_at = now;
            self.all.halve();
            self.classes.values_mut().for_each(DecidedCount::halve);
        }
        self.all.record(is_served);
        let count = self.classes.entry(class.clone()).or_default();
        count.record(is_served);
    }

    /// Whether a class is served so seldom that its requests do not give way.
    #[must_use]
    pub fn is_short(&self, class: &ShareClass<K>) -> bool {
        let Some(count) = self.classes.get(class) else {
            return false;
        };
        let share = count.share() * 100.0;
        let is_known = count.decided >= MIN_DECIDED;
        is_known
            && (share < MIN_KIND_PERCENT * self.all.share() || share < self.min_large_share(class))
    }

    /// The share in percent below which large requests of a kind are protected; zero for others.
    fn min_large_share(&self, class: &ShareClass<K>) -> f64 {
        if class.band == SizeBand::Usual {
            return 0.0;
        }
        let usual = ShareClass {
            kind: class.kind.clone(),
            band: SizeBand::Usual,
        };
        let usual = self.classes.get(&usual);
        MIN_LARGE_PERCENT * usual.map_or(0.0, DecidedCount::share)
    }
}
