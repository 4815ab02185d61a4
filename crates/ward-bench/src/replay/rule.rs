//! The policies that a replay compares.

use std::fmt;

use ward_policy::{WarmSchedule, WarmSpan};
use ward_protocol::{PolicyValues, TimeSpan};

/// How long idle replicas are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeepRule {
    /// As long as the gaps between the model's past requests suggest.
    Gaps,
    /// For a fixed time.
    Fixed(TimeSpan),
    /// Until they are evicted.
    Forever,
    /// Not at all: unloaded as soon as they are idle.
    UnloadAtOnce,
    /// Knows the next request and keeps the replica when that is cheaper than a cold start.
    Clairvoyant,
    /// Knows the next request and loads the replica in time for it.
    ClairvoyantPreload,
}

/// Order of waiting loads at the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOrder {
    /// Priority, then deadline.
    Urgency,
    /// First come, first served.
    FirstCome,
}

/// A policy with its settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplayPolicy {
    /// Rule for idle replicas.
    pub keep: KeepRule,
    /// Order of waiting loads at the weight store.
    pub order: StoreOrder,
    /// Whether loads are put off while requests have slack, and admission depends on priority.
    pub urgency: bool,
    /// Settings of the decisions, as daemons use them.
    pub values: PolicyValues,
}

/// Input of a keep rule.
#[derive(Debug)]
pub struct KeepContext {
    /// Shortest time in which the model could be loaded again.
    pub load: TimeSpan,
    /// Time since the model's last request.
    pub age: TimeSpan,
    /// Time since the replica went idle.
    pub idle: TimeSpan,
    /// Time until the model's next request, only for clairvoyant rules; `None` after the last one.
    pub next: Option<TimeSpan>,
}

/// Time after which an empty engine goes on standby under the baselines.
const STANDBY_AFTER: TimeSpan = TimeSpan::from_secs(30);
/// Keep time longer than any trace.
const YEAR: TimeSpan = TimeSpan::from_secs(365 * 24 * 3_600);
/// Time for which a replica that was loaded just in time is kept.
const PRELOAD_KEEP_TIME: TimeSpan = TimeSpan::from_secs(5);

impl ReplayPolicy {
    /// The project's policy with a weight between cold starts and idle time.
    #[must_use]
    pub fn ours(cold_weight: f64) -> Self {
        Self {
            keep: KeepRule::Gaps,
            order: StoreOrder::Urgency,
            urgency: true,
            values: PolicyValues {
                cold_weight,
                // Engines are emptied only when they may go on standby.
                standby_after: TimeSpan::ZERO,
                ..PolicyValues::default()
            },
        }
    }

    /// A baseline with a keep rule and nothing else of the project's policy.
    #[must_use]
    pub fn baseline(keep: KeepRule) -> Self {
        Self {
            keep,
            order: StoreOrder::Urgency,
            urgency: false,
            values: PolicyValues {
                standby_after: STANDBY_AFTER,
                ..PolicyValues::default()
            },
        }
    }

    /// Whether replicas are kept until their whole engine may go on standby.
    #[must_use]
    pub const fn holds_engines(&self) -> bool {
        matches!(self.keep, KeepRule::Gaps | KeepRule::Clairvoyant)
    }

    /// Times since the model's last request at which a replica should be loaded.
    #[must_use]
    pub fn schedule(&self, context: &KeepContext) -> WarmSchedule {
        match self.keep {
            // A fixed keep time starts when the replica goes idle, not at the last request.
            KeepRule::Fixed(keep) => {
                let lag = context.age.micros().saturating_sub(context.idle.micros());
                WarmSchedule::keep(keep + TimeSpan::from_micros(lag))
            }
            // `Gaps` and `Clairvoyant` unload whole engines, in `hold_check`.
            KeepRule::Forever | KeepRule::Gaps | KeepRule::Clairvoyant => WarmSchedule::keep(YEAR),
            KeepRule::UnloadAtOnce => WarmSchedule::default(),
            KeepRule::ClairvoyantPreload => clairvoyant_preload(context),
        }
    }
}

fn clairvoyant_preload(context: &KeepContext) -> WarmSchedule {
    let Some(next) = context.next else {
        return WarmSchedule::default();
    };
    let reload = context.load + PRELOAD_KEEP_TIME;
    if next <= reload + reload {
        return WarmSchedule::keep(YEAR);
    }
    let from = context.age + next;
    let until = from + PRELOAD_KEEP_TIME;
    WarmSchedule::new(vec![WarmSpan { from, until }])
}

impl fmt::Display for ReplayPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.keep {
            KeepRule::Gaps => write!(formatter, "ours {}", self.values.cold_weight),
            KeepRule::Fixed(keep) if self.order == StoreOrder::FirstCome => {
                write!(formatter, "first-come {keep}")
            }
            KeepRule::Fixed(keep) => write!(formatter, "fixed {keep}"),
            KeepRule::Forever => formatter.write_str("never unload"),
            KeepRule::UnloadAtOnce => formatter.write_str("unload at once"),
            KeepRule::Clairvoyant => write!(formatter, "clairvoyant {}", self.values.cold_weight),
            KeepRule::ClairvoyantPreload => formatter.write_str("clairvoyant ahead"),
        }
    }
}
