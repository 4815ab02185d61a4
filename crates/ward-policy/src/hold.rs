//! How long an engine is kept awake for its idle replicas, and which models are
//! preloaded.
//!
//! An accelerator costs the same with one idle replica as with five, so the
//! decision is made per engine: it stays awake while the cold starts that its
//! replicas are expected to save per second are worth more than a second of the
//! accelerator. Unloading one replica of an engine that stays awake would save
//! nothing; its memory is freed by eviction when another replica needs it.

use ward_protocol::{PolicyValues, TimeSpan};

use crate::keep::{GapHistory, KeepTerms};

/// Minimum [`keep_value`] for which a model is preloaded into free memory of an engine that
/// is awake.
const MIN_PRELOAD_VALUE: f64 = 0.01;

/// An idle replica, or a model that could be preloaded.
#[derive(Debug, Clone, Copy)]
pub struct IdleReplica<'a> {
    /// Gaps between the requests for the model.
    pub history: &'a GapHistory,
    /// Time since the last request for the model.
    pub age: TimeSpan,
    /// Time until a replica would answer if it were ordered now; includes the return from
    /// standby if the engine that would be fastest is in standby.
    pub load_time: TimeSpan,
}

/// Expected saving of keeping a replica loaded: the cold-start cost avoided per second, in
/// seconds of idle accelerator.
#[must_use]
pub fn keep_value(replica: &IdleReplica<'_>, values: &PolicyValues) -> f64 {
    let terms = KeepTerms {
        load_time: replica.load_time,
        share: 1.0,
    };
    terms.break_even(values) * replica.history.hazard(values, replica.age)
}

/// Whether the total value of an engine's idle replicas justifies keeping it out of standby.
#[must_use]
pub fn keeps_engine_awake<'a>(
    replicas: impl IntoIterator<Item = IdleReplica<'a>>,
    values: &PolicyValues,
) -> bool {
    let value: f64 = replicas
        .into_iter()
        .map(|replica| IdleReplica {
            // An engine in standby has to return from it before it can load.
            load_time: replica.load_time + values.standby_back,
            ..replica
        })
        .map(|replica| keep_value(&replica, values))
        .sum();
    value >= 1.0
}

/// A model to preload before its next request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreloadChoice {
    /// Index of the model in the list given to [`rank_preloads`].
    pub index: usize,
    /// Whether the model's value justifies bringing an engine back from standby.
    pub worth_waking: bool,
}

/// Selects the models to preload, in descending order of value.
///
/// Free memory of an engine that is awake costs nothing, so a small value is
/// enough to use it. The value is calculated for `ahead_slack` after the time when
/// the load would be finished.
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
