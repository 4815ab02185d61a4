//! Sizes of an emulated site, and what happens to its engines.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use quick_error::quick_error;
use ward_protocol::TimeSpan;

quick_error! {
    /// A day that cannot be emulated.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DayError {
        /// Its name is not known.
        Unknown(name: String) {
            display("there is no day {name:?}; use calm, release, twice, shift, rare or scale-in")
        }
    }
}

/// A day by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EmulatedDay {
    /// Nothing happens.
    Calm,
    /// Each engine is replaced once, one a second.
    Release,
    /// Half of the engines are replaced, then all within a few seconds.
    Twice,
    /// Demand moves to other models twice.
    Shift,
    /// Rare models are asked for five times as often for some seconds.
    Rare,
    /// A third of the engines leave at once; empty ones come later.
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

/// Sizes of a site with model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteConfig {
    /// Engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Models.
    pub models: usize,
    /// Copies of each model on engines' disks at the start.
    pub disk_copies: usize,
    /// Load time from the weight store at full speed.
    pub store_load: TimeSpan,
    /// Loads that the weight store serves at once at full speed.
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

/// One engine that makes way for an empty one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// When the engine begins to drain, and the new one comes.
    pub drains_at: TimeSpan,
    /// Time between the two; the new one is late by it.
    pub delay: TimeSpan,
}

/// What happens on a day.
#[derive(Debug, Clone, PartialEq)]
pub struct DayPlan {
    /// Engines that are replaced, the oldest first.
    pub replacements: Vec<Replacement>,
    /// When demand moves to other models.
    pub shifts: Vec<TimeSpan>,
    /// When rare models are asked for more often, and until when.
    pub rare_peak: Option<(TimeSpan, TimeSpan)>,
}

/// Time between two engines of a planned replacement.
const ROLL_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// The same where two replacements overlap.
const FAST_ROLL_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
const FIRST_AT: TimeSpan = TimeSpan::from_secs(5);
const SECOND_AT: TimeSpan = TimeSpan::from_secs(12);

impl DayPlan {
    /// The plan of a day for a site.
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
