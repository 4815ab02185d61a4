//! How likely it is that an engine leaves before a load could be repeated.
//!
//! Load pattern: the engines of a service are replaced one after another or
//! several at a time, each by one that has no copy of any model. Whatever lies
//! only on engines that have not been replaced yet will be gone; fetched again
//! only when somebody waits for it, it comes too late. The pace at which engines
//! left lately tells how many of the others leave during one load; engines that
//! came empty are counted apart, since most are not replaced a second time. While
//! several leave and several come, the losses are not independent: all engines
//! but the newest may be replaced, however many hold a model.

use std::collections::VecDeque;

use indexmap::IndexMap;
use ward_protocol::{BackendId, MonoTime, ServiceName, TimeSpan};

use super::engine::PlacedEngine;
use super::state::PlacementState;
use crate::manifest::ServingManifest;
use crate::number::real;

/// Time over which engines that leave are counted.
const LOSS_SPAN: TimeSpan = TimeSpan::from_secs(3);
/// Time for which an engine that came empty counts as new.
const NEW_SPAN: TimeSpan = TimeSpan::from_secs(30);
/// Time for which an engine that came empty counts as part of the replacement
/// that is under way.
const FRESH_SPAN: TimeSpan = TimeSpan::from_secs(8);
/// Engines that leave, and that come empty, from which on a replacement of all is
/// likely.
const LEAST_REPLACED: usize = 2;
/// Chance that a replacement under way goes on to all engines.
const ROLL_CHANCE: f64 = 0.5;

/// Engines that began to drain or vanished, by service.
#[derive(Debug, Clone, Default)]
pub(super) struct LossHistory {
    losses: IndexMap<ServiceName, VecDeque<EngineLoss>>,
}

/// An engine that began to drain or vanished.
#[derive(Debug, Clone, Copy)]
struct EngineLoss {
    time: MonoTime,
    /// Whether it was new.
    new: bool,
}

impl LossHistory {
    /// Notes that an engine leaves.
    pub(super) fn note(&mut self, engine: &PlacedEngine, now: MonoTime) {
        let service = engine.info.service.clone();
        let losses = self.losses.entry(service).or_default();
        losses.retain(|loss| now.since(loss.time) <= LOSS_SPAN);
        losses.push_back(EngineLoss {
            time: now,
            new: is_new(engine, now),
        });
    }

    /// Engines of a service that left of late.
    fn recent(&self, service: &ServiceName, now: MonoTime) -> impl Iterator<Item = &EngineLoss> {
        let losses = self.losses.get(service).into_iter().flatten();
        losses.filter(move |loss| now.since(loss.time) <= LOSS_SPAN)
    }

    /// New or old engines of a service that leave per second.
    fn rate(&self, service: &ServiceName, new: bool, now: MonoTime) -> f64 {
        let recent = self.recent(service, now).filter(|loss| loss.new == new);
        real(recent.count()) / LOSS_SPAN.seconds()
    }
}

/// What a service's engines have before them.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossOutlook {
    /// Chance that an old engine leaves within the time of one load.
    old: f64,
    /// The same for a new engine.
    new: f64,
    /// Whether engines are being replaced, perhaps all of them.
    rolling: bool,
    now: MonoTime,
}

impl LossOutlook {
    /// The outlook for a service whose models take `load` from the weight store.
    fn new(
        history: &LossHistory,
        service: &ServiceName,
        engines: &IndexMap<BackendId, PlacedEngine>,
        load: TimeSpan,
        now: MonoTime,
    ) -> Self {
        let chance = |new: bool| {
            let staying = engines.values().filter(|engine| {
                engine.info.service == *service
                    && !engine.info.draining
                    && is_new(engine, now) == new
            });
            let expected = history.rate(service, new, now) * load.seconds();
            (expected / real(staying.count().max(1))).min(1.0)
        };
        let came = engines.values().filter(|engine| {
            engine.info.service == *service && came_within(engine, FRESH_SPAN, now)
        });
        let left = history.recent(service, now);
        Self {
            old: chance(false),
            new: chance(true),
            rolling: left.count() >= LEAST_REPLACED && came.count() >= LEAST_REPLACED,
            now,
        }
    }

    /// Whether an engine belongs to the replacement that is under way.
    pub(super) fn is_fresh(&self, engine: &PlacedEngine) -> bool {
        !engine.info.draining && came_within(engine, FRESH_SPAN, self.now)
    }

    /// Chance that copies are lost which would be with `apart` if engines left
    /// independently; `fresh` is whether one lies on a fresh engine.
    pub(super) fn joint_loss(&self, apart: f64, fresh: bool) -> f64 {
        if self.rolling && !fresh {
            apart.max(ROLL_CHANCE)
        } else {
            apart
        }
    }

    /// Whether no engine has left of late.
    pub(super) fn is_calm(&self) -> bool {
        self.old <= 0.0 && self.new <= 0.0
    }

    /// Chance that an engine leaves within the time of one load.
    pub(super) fn chance(&self, engine: &PlacedEngine) -> f64 {
        if engine.info.draining {
            1.0
        } else if is_new(engine, self.now) {
            self.new
        } else {
            self.old
        }
    }
}

/// The outlook for each service with models.
pub(super) fn loss_outlooks(
    state: &PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> IndexMap<ServiceName, LossOutlook> {
    let services = manifest.services.iter();
    let outlooks = services.filter_map(|(service, class)| {
        let models = class.engine.as_ref()?.models.values();
        let load = models.map(|model| model.store_load).max()?;
        let outlook = LossOutlook::new(&state.losses, service, &state.engines, load, now);
        Some((service.clone(), outlook))
    });
    outlooks.collect()
}

/// Whether an engine came without any copy of a model a short time ago.
pub(super) fn is_new(engine: &PlacedEngine, now: MonoTime) -> bool {
    came_within(engine, NEW_SPAN, now)
}

fn came_within(engine: &PlacedEngine, span: TimeSpan, now: MonoTime) -> bool {
    engine
        .joined_empty
        .is_some_and(|came| now.since(came) <= span)
}
