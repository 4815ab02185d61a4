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
const MIN_PRELOAD_VALUE: f64 = 0.01;

/// An idle replica on an engine.
#[derive(Debug, Clone, Copy)]
pub struct IdleReplica<'a> {
    /// Its model's gaps.
    pub history: &'a GapHistory,
    /// Time since its model's last request.
    pub age: TimeSpan,
    /// Time until it would answer if it were ordered now; where the quickest engine rests, with
    /// the way back.
    pub load_time: TimeSpan,
}

/// Idle accelerator seconds that a loaded replica is expected to be worth per second.
#[must_use]
pub fn keep_value(replica: &IdleReplica<'_>, values: &PolicyValues) -> f64 {
    let terms = KeepTerms {
        load_time: replica.load_time,
        share: 1.0,
    };
    terms.break_even(values) * replica.history.hazard(values, replica.age)
}

/// Whether an engine with these idle replicas is kept from standby.
#[must_use]
pub fn keeps_engine_awake<'a>(
    replicas: impl IntoIterator<Item = IdleReplica<'a>>,
    values: &PolicyValues,
) -> bool {
    let value: f64 = replicas
        .into_iter()
        .map(|replica| IdleReplica {
            // A resting engine has to come back before it can load.
            load_time: replica.load_time + values.standby_back,
            ..replica
        })
        .map(|replica| keep_value(&replica, values))
        .sum();
    value >= 1.0
}

/// A model to make ready ahead of its next request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreloadChoice {
    /// Its place in the list.
    pub index: usize,
    /// Whether it is worth an engine's way back from standby.
    pub worth_waking: bool,
}

/// Models worth making ready, most wanted first.
///
/// Free memory of an engine that is awake costs nothing, so even a small worth
/// is taken there; the worth is taken at the time when the load would end.
#[must_use]
pub fn rank_preloads(models: &[IdleReplica<'_>], values: &PolicyValues) -> Vec<PreloadChoice> {
    let value = |replica: &IdleReplica<'_>| {
        let age = replica.age + replica.load_time + values.ahead_slack;
        keep_value(&IdleReplica { age, ..*replica }, values)
    };
    let mut ranked: Vec<(usize, f64)> = models.iter().map(value).enumerate().collect();
    ranked.retain(|(_, value)| *value >= MIN_PRELOAD_VALUE);
    ranked.sort_by(|(_, left), (_, right)| right.total_cmp(left));
    let choice = |(index, value)| PreloadChoice {
        index,
        worth_waking: value >= 1.0,
    };
    ranked.into_iter().map(choice).collect()
}
