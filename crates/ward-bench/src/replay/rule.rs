//! The policies that a replay compares.

use std::fmt;

use ward_policy::{WarmSchedule, WarmSpan};
use ward_protocol::{PolicyValues, TimeSpan};

/// How long idle replicas are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeepRule {
    /// By each model's own gaps.
    Gaps,
    /// For a fixed time.
    Fixed(TimeSpan),
    /// For ever.
    Forever,
    /// Unload at once.
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
    /// Keep rule.
    pub keep: KeepRule,
    /// Order at the weight store.
    pub order: StoreOrder,
    /// Whether slack and priority limits are used.
    pub urgency: bool,
    /// Settings.
    pub values: PolicyValues,
}

/// What a keep rule may look at.
#[derive(Debug)]
pub struct KeepContext {
    /// Time of a cold load.
    pub load: TimeSpan,
    /// Age of the model's last request.
    pub age: TimeSpan,
    /// Time since the replica went idle.
    pub idle: TimeSpan,
    /// Time until the model's next request; for rules that know it.
    pub next: Option<TimeSpan>,
}

/// Time that an empty engine waits before it rests, under every policy.
const STANDBY_AFTER: TimeSpan = TimeSpan::from_secs(30);
/// Longer than any trace.
const YEAR: TimeSpan = TimeSpan::from_secs(365 * 24 * 3_600);
/// Time for which a replica that was loaded just in time stays.
const JUST_IN_TIME: TimeSpan = TimeSpan::from_secs(5);

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
                // Its engines are emptied only when they may rest.
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

    /// Whether replicas stay until their whole engine rests.
    #[must_use]
    pub const fn holds_engines(&self) -> bool {
        matches!(self.keep, KeepRule::Gaps | KeepRule::Clairvoyant)
    }

    /// The ages at which a replica should be loaded.
    #[must_use]
    pub fn schedule(&self, context: &KeepContext) -> WarmSchedule {
        match self.keep {
            // The spans of a fixed rule start when the replica goes idle.
            KeepRule::Fixed(keep) => {
                let lag = context.age.micros().saturating_sub(context.idle.micros());
                WarmSchedule::keep(keep + TimeSpan::from_micros(lag))
            }
            // Held engines are cleared as a whole, elsewhere.
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
    let reload = context.load + JUST_IN_TIME;
    if next <= reload + reload {
        return WarmSchedule::keep(YEAR);
    }
    let from = context.age + next;
    let until = from + JUST_IN_TIME;
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
