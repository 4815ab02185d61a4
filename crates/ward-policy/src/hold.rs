//! How long a whole engine is kept from standby.
//!
//! An accelerator costs the same with one idle replica or with five, so the
//! decision is the engine's: it is held while the cold starts that its
//! replicas are expected to save, second by second, are worth more than the
//! accelerator's time. Dropping one replica of a held engine would save
//! nothing; its memory is taken by eviction when it is needed.

use ward_protocol::{PolicyValues, TimeSpan};

use crate::keep::{GapHistory, KeepTerms};

/// Least worth, in accelerators, for which a load ahead takes free memory.
const AHEAD_LEAST: f64 = 0.01;

/// An idle replica on an engine.
#[derive(Debug, Clone, Copy)]
pub struct HoldView<'a> {
    /// Its model's gaps.
    pub history: &'a GapHistory,
    /// Time since its model's last request.
    pub age: TimeSpan,
    /// Time until it would answer if it were ordered now; where the quickest engine rests, with
    /// the way back.
    pub load: TimeSpan,
}

/// Idle accelerator seconds that a loaded replica is expected to be worth per second.
#[must_use]
pub fn hold_worth(view: &HoldView<'_>, values: &PolicyValues) -> f64 {
    let terms = KeepTerms {
        load: view.load,
        share: 1.0,
    };
    terms.break_even(values) * view.history.hazard(values, view.age)
}

/// Whether an engine with these idle replicas is kept from standby.
#[must_use]
pub fn holds_engine<'a>(
    replicas: impl IntoIterator<Item = HoldView<'a>>,
    values: &PolicyValues,
) -> bool {
    let worth: f64 = replicas
        .into_iter()
        .map(|view| HoldView {
            // A resting engine has to come back before it can load.
            load: view.load + values.standby_back,
            ..view
        })
        .map(|view| hold_worth(&view, values))
        .sum();
    worth >= 1.0
}

/// A model to make ready ahead of its next request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AheadPick {
    /// Its place in the list.
    pub index: usize,
    /// Whether it is worth an engine's way back from standby.
    pub wakes: bool,
}

/// Models worth making ready, most wanted first.
///
/// Free memory of an engine that is awake costs nothing, so even a small worth
/// is taken there; the worth is taken at the time when the load would end.
#[must_use]
pub fn rank_ahead(models: &[HoldView<'_>], values: &PolicyValues) -> Vec<AheadPick> {
    let worth = |view: &HoldView<'_>| {
        let age = view.age + view.load + values.ahead_slack;
        hold_worth(&HoldView { age, ..*view }, values)
    };
    let mut ranked: Vec<(usize, f64)> = models.iter().map(worth).enumerate().collect();
    ranked.retain(|(_, worth)| *worth >= AHEAD_LEAST);
    ranked.sort_by(|(_, left), (_, right)| right.total_cmp(left));
    let pick = |(index, worth)| AheadPick {
        index,
        wakes: worth >= 1.0,
    };
    ranked.into_iter().map(pick).collect()
}
