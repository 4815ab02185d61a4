//! Configuration of an emulated site, and the events of a day.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use quick_error::quick_error;
use ward_protocol::TimeSpan;

quick_error! {
    /// A day that cannot be emulated.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DayError {
        /// No day has this name.
        Unknown(name: String) {
            display("there is no day {name:?}; use calm, release, twice, shift, rare or scale-in")
        }
    }
}

/// A scenario, chosen by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EmulatedDay {
    /// No engine is replaced and demand does not change.
    Calm,
    /// Each engine is replaced once, one per second.
    Release,
    /// Half of the engines are replaced, then all within a few seconds.
    Twice,
    /// Demand shifts to other models twice.
    Shift,
    /// Rare models are requested five times as often for some seconds.
    Rare,
    /// A third of the engines leave at the same time; empty ones join some seconds later.
    ScaleIn,
}

impl EmulatedDay {
    /// All days.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::Release,
        Self::Twice,
        Self::Shift,
        Self::Rare,
        Self::ScaleIn,
    ];
}

impl Display for EmulatedDay {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Calm => "calm",
            Self::Release => "release",
            Self::Twice => "twice",
            Self::Shift => "shift",
            Self::Rare => "rare",
            Self::ScaleIn => "scale-in",
        })
    }
}

impl FromStr for EmulatedDay {
    type Err = DayError;

    fn from_str(text: &str) -> Result<Self, DayError> {
        let mut days = Self::ALL.into_iter();
        let day = days.find(|day| day.to_string() == text);
        day.ok_or_else(|| DayError::Unknown(text.to_owned()))
    }
}

/// Size and load of an emulated site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteConfig {
    /// Number of engines at the start.
    pub engines: usize,
    /// Number of requests that an engine runs at the same time.
    pub slots: u32,
    /// Number of models.
    pub models: usize,
    /// Number of engines with a copy of each model on their disks at the start.
    pub disk_copies: usize,
    /// Load time from the weight store at full speed.
    pub store_load: TimeSpan,
    /// Number of concurrent loads that the weight store serves at full speed; more loads share
    /// that rate.
    pub full_speed_loads: u32,
    /// Requests per second for busy models.
    pub busy_rate: f64,
    /// Requests per second for rare models.
    pub rare_rate: f64,
    /// Length of the day.
    pub length: TimeSpan,
}

impl Default for SiteConfig {
    fn default() -> Self {
        Self {
            engines: 9,
            slots: 64,
            models: 50,
            disk_copies: 3,
            store_load: TimeSpan::from_secs(6),
            full_speed_loads: 4,
            busy_rate: 60.0,
            rare_rate: 5.0,
            length: TimeSpan::from_secs(35),
        }
    }
}

/// Replacement of one engine by an empty one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// Time of day at which the old engine begins to drain.
    pub drains_at: TimeSpan,
    /// Time from then until the new engine joins.
    pub delay: TimeSpan,
}

/// Events of a day; times count from its start.
#[derive(Debug, Clone, PartialEq)]
pub struct DayPlan {
    /// Replacements of engines in the order in which these joined; the index is the number of the
    /// replaced engine.
    pub replacements: Vec<Replacement>,
    /// Times at which demand shifts to other models.
    pub shifts: Vec<TimeSpan>,
    /// Start and end of the time in which rare models are requested more often; `None` without one.
    pub rare_peak: Option<(TimeSpan, TimeSpan)>,
}

/// Time between the replacements of two engines in a planned rollout.
const ROLL_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Time between the replacements of two engines in a second rollout, which may overlap the first.
const FAST_ROLL_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time of day of the first event.
const FIRST_AT: TimeSpan = TimeSpan::from_secs(5);
/// Time of day of the second event, or of the end of a peak.
const SECOND_AT: TimeSpan = TimeSpan::from_secs(12);

impl DayPlan {
    /// Returns the events of a day at a site.
    #[must_use]
    pub fn new(day: EmulatedDay, config: &SiteConfig) -> Self {
        let mut plan = Self {
            replacements: Vec::new(),
            shifts: Vec::new(),
            rare_peak: None,
        };
        match day {
            EmulatedDay::Calm => {}
            EmulatedDay::Release => plan.replace_in_turn(FIRST_AT, config.engines, ROLL_INTERVAL),
            EmulatedDay::Twice => {
                plan.replace_in_turn(FIRST_AT, config.engines / 2, ROLL_INTERVAL);
                plan.replace_in_turn(SECOND_AT, config.engines, FAST_ROLL_INTERVAL);
            }
            EmulatedDay::Shift => plan.shifts = vec![FIRST_AT, SECOND_AT],
            EmulatedDay::Rare => plan.rare_peak = Some((FIRST_AT, SECOND_AT)),
            EmulatedDay::ScaleIn => {
                let leaving = Replacement {
                    drains_at: FIRST_AT,
                    delay: TimeSpan::from_secs(4),
                };
                plan.replacements = vec![leaving; config.engines / 3];
            }
        }
        plan
    }

    fn replace_in_turn(&mut self, first: TimeSpan, count: usize, interval: TimeSpan) {
        let mut drains_at = first;
        for _ in 0..count {
            self.replacements.push(Replacement {
                drains_at,
                delay: TimeSpan::ZERO,
            });
            drains_at = drains_at + interval;
        }
    }
}
