//! Estimates how likely an engine is to leave before a load could be repeated.
//!
//! Load pattern: the engines of a service are replaced one after another or
//! several at a time, each by one without a copy of any model. Models that are
//! only on engines not yet replaced will be lost, and fetching them when a
//! request waits is too late. The rate at which engines recently left predicts
//! how many of the others leave during one load. Engines that joined empty are
//! counted separately, since most of them are not replaced a second time. While
//! several engines leave and several join, losses are not independent: all
//! engines but the newest may be replaced, however many hold a model.

use std::collections::VecDeque;

use indexmap::IndexMap;
use ward_protocol::{BackendId, MonoTime, ServiceName, TimeSpan};

use super::engine::PlacedEngine;
use super::state::PlacementState;
use crate::manifest::ServingManifest;
use crate::number::usize_to_f64;

/// Time over which leaving engines are counted.
const LOSS_WINDOW: TimeSpan = TimeSpan::from_secs(3);
/// Time for which an engine that joined empty counts as new.
const MAX_NEW_AGE: TimeSpan = TimeSpan::from_secs(30);
/// Time for which an engine that joined empty counts as part of the current
/// replacement.
const MAX_FRESH_AGE: TimeSpan = TimeSpan::from_secs(8);
/// Minimum number of leaving engines, and of engines that joined empty, for a
/// replacement of all engines to be likely.
const MIN_REPLACED: usize = 2;
/// Chance that a replacement in progress continues to all engines.
const ROLLOUT_CHANCE: f64 = 0.5;

/// Recent engine losses by service.
#[derive(Debug, Clone, Default)]
pub(super) struct LossHistory {
    losses: IndexMap<ServiceName, VecDeque<EngineLoss>>,
}

/// An engine that began to drain or disappeared.
#[derive(Debug, Clone, Copy)]
struct EngineLoss {
    time: MonoTime,
    /// Whether the engine had joined empty a short time before.
    was_new: bool,
}

impl LossHistory {
    /// Records that an engine leaves, and whether it was new.
    pub(super) fn record_loss(&mut self, engine: &PlacedEngine, now: MonoTime) {
        let service = engine.info.service.clone();
        let losses = self.losses.entry(service).or_default();
        losses.retain(|loss| now.since(loss.time) <= LOSS_WINDOW);
        losses.push_back(EngineLoss {
            time: now,
            was_new: is_new(engine, now),
        });
    }

    /// Losses of a service within the window.
    fn recent(&self, service: &ServiceName, now: MonoTime) -> impl Iterator<Item = &EngineLoss> {
        let losses = self.losses.get(service).into_iter().flatten();
        losses.filter(move |loss| now.since(loss.time) <= LOSS_WINDOW)
    }

    /// Rate, per second, at which engines of a service left within the window:
    /// new ones if `new` is set, else old ones.
    fn loss_rate(&self, service: &ServiceName, new: bool, now: MonoTime) -> f64 {
        let recent = self.recent(service, now).filter(|loss| loss.was_new == new);
        usize_to_f64(recent.count()) / LOSS_WINDOW.seconds()
    }
}

/// Expected engine losses of a service within the time of one load.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossOutlook {
    /// Chance that an old engine leaves within the time of one load.
    old_chance: f64,
    /// Chance that a new engine leaves within the time of one load.
    new_chance: f64,
    /// Whether engines are being replaced, possibly all of them.
    is_rolling: bool,
    now: MonoTime,
}

impl LossOutlook {
    /// Estimates the losses of a service within `load_time`, the longest time
    /// that one of its models takes to load from the weight store.
    fn new(
        history: &LossHistory,
        service: &ServiceName,
        engines: &IndexMap<BackendId, PlacedEngine>,
        load_time: TimeSpan,
        now: MonoTime,
    ) -> Self {
        let chance = |new: bool| {
            let staying = engines.values().filter(|engine| {
                engine.info.service == *service
                    && !engine.info.draining
                    && is_new(engine, now) == new
            });
            let expected = history.loss_rate(service, new, now) * load_time.seconds();
            (expected / usize_to_f64(staying.count().max(1))).min(1.0)
        };
        let joined = engines.values().filter(|engine| {
            engine.info.service == *service && joined_within(engine, MAX_FRESH_AGE, now)
        });
        let losses = history.recent(service, now);
        Self {
            old_chance: chance(false),
            new_chance: chance(true),
            is_rolling: losses.count() >= MIN_REPLACED && joined.count() >= MIN_REPLACED,
            now,
        }
    }

    /// Whether an engine is not draining and joined empty recently enough to be
    /// part of the current replacement.
    pub(super) fn is_fresh(&self, engine: &PlacedEngine) -> bool {
        !engine.info.draining && joined_within(engine, MAX_FRESH_AGE, self.now)
    }

    /// Chance that all copies of a model are lost. `independent` is that chance
    /// if engines leave independently; `on_fresh_engine` is whether an engine
    /// that joined in the current replacement has a copy.
    pub(super) fn joint_loss(&self, independent: f64, on_fresh_engine: bool) -> f64 {
        if self.is_rolling && !on_fresh_engine {
            independent.max(ROLLOUT_CHANCE)
        } else {
            independent
        }
    }

    /// Whether no engine has left within the window.
    pub(super) fn is_stable(&self) -> bool {
        self.old_chance <= 0.0 && self.new_chance <= 0.0
    }

    /// Chance that an engine leaves within the time of one load; 1 if it is
    /// draining.
    pub(super) fn loss_chance(&self, engine: &PlacedEngine) -> f64 {
        if engine.info.draining {
            1.0
        } else if is_new(engine, self.now) {
            self.new_chance
        } else {
            self.old_chance
        }
    }
}

/// Expected losses for each service with models.
pub(super) fn loss_outlooks(
    state: &PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> IndexMap<ServiceName, LossOutlook> {
    let services = manifest.services.iter();
    let outlooks = services.filter_map(|(service, class)| {
        let models = class.engine.as_ref()?.models.values();
        let load_time = models.map(|model| model.store_load).max()?;
        let outlook = LossOutlook::new(&state.losses, service, &state.engines, load_time, now);
        Some((service.clone(), outlook))
    });
    outlooks.collect()
}

/// Whether an engine joined a short time ago without any copy of a model.
pub(super) fn is_new(engine: &PlacedEngine, now: MonoTime) -> bool {
    joined_within(engine, MAX_NEW_AGE, now)
}

fn joined_within(engine: &PlacedEngine, span: TimeSpan, now: MonoTime) -> bool {
    engine
        .joined_empty
        .is_some_and(|joined| now.since(joined) <= span)
}
