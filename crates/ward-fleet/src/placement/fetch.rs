//! What the weight store should bring next.
//!
//! Load pattern: more models without a copy at hand than the weight store can
//! bring in time, since engines were replaced by empty ones or many rare models
//! are asked for at once. The store brings first what serves most requests for
//! its time: a model counts by its requests per second and, less, by those that
//! wait, times the chance that all its copies are gone before a load could be
//! repeated. So a busy model whose last copies are about to leave goes before a
//! rare one that a single request waits for, and one whose copies stay is not
//! fetched at all. The order changes slowly, so that a time named to a caller
//! holds.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{ModelName, MonoTime, ServiceName, TimeSpan};

use super::demand::{ModelDemand, ModelKey};
use super::engine::PlacedEngine;
use super::outlook::LossOutlook;
use super::state::PlacementState;
use crate::manifest::ServingManifest;

/// Least time between two looks at all copies of all models.
const FETCH_PAUSE: TimeSpan = TimeSpan::from_millis(100);
/// Time over which a waiting request counts, beside its arrival.
const WAITING_SPAN: TimeSpan = TimeSpan::from_secs(30);
/// Requests per second for each second of the longest wait, so that of models
/// asked for equally often the one waited for longest goes first.
const AGE_GAIN: f64 = 0.002;
/// Least requests per second that a fetch ahead of need should save.
const LEAST_GAIN: f64 = 0.1;

/// A model that the weight store should bring.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct FetchWish {
    pub(super) key: ModelKey,
    /// Requests per second that the load is expected to save.
    pub(super) gain: f64,
    /// Whether no engine that stays has a copy or fetches one.
    pub(super) absent: bool,
}

/// The wishes as they were last worked out.
#[derive(Debug, Clone, Default)]
pub(super) struct FetchList {
    /// The most useful first.
    pub(super) wishes: Vec<FetchWish>,
    worked_out: Option<MonoTime>,
}

impl FetchList {
    /// Whether it is time to work the wishes out anew.
    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        self.worked_out
            .is_none_or(|time| now.since(time) >= FETCH_PAUSE)
    }

    /// Wishes worked out now.
    pub(super) fn new(wishes: Vec<FetchWish>, now: MonoTime) -> Self {
        Self {
            wishes,
            worked_out: Some(now),
        }
    }
}

/// The copies of a model.
#[derive(Debug, Clone, Copy)]
struct CopyOutlook {
    /// Chance that all are lost within the time of one load.
    loss: f64,
    /// Whether one lies on an engine that does not drain.
    stays: bool,
    /// Whether one lies on an engine that came with the replacement under way.
    fresh: bool,
}

type ServiceCopies<'a> = IndexMap<&'a ModelName, CopyOutlook>;

/// The models that the weight store should bring, the most useful first.
pub(super) fn fetch_wishes(
    state: &PlacementState,
    manifest: &ServingManifest,
    outlooks: &IndexMap<ServiceName, LossOutlook>,
    now: MonoTime,
) -> Vec<FetchWish> {
    let copies = copies_by_service(state, outlooks);
    let wishes = state.demand.iter().filter_map(|(key, demand)| {
        let class = manifest.engine_class(&key.service)?;
        class.models.get(&key.model)?;
        let copy = copies.get(&key.service)?.get(&key.model);
        fetch_wish(key, demand, copy, now)
    });
    let mut wishes: Vec<_> = wishes.collect();
    wishes.sort_by(|left, right| right.gain.total_cmp(&left.gain));
    wishes
}

fn fetch_wish(
    key: &ModelKey,
    demand: &ModelDemand,
    copy: Option<&CopyOutlook>,
    now: MonoTime,
) -> Option<FetchWish> {
    let age = demand
        .waiting_since
        .map_or(0.0, |since| now.since(since).seconds());
    let waiting = f64::from(demand.waiting) / WAITING_SPAN.seconds() + AGE_GAIN * age;
    let use_rate = demand.rate + waiting;
    let absent = copy.is_none_or(|copy| !copy.stays);
    let gain = copy.map_or(use_rate, |copy| use_rate * copy.loss);
    let needed = demand.waiting > 0 && absent || gain >= LEAST_GAIN;
    needed.then(|| FetchWish {
        key: key.clone(),
        gain,
        absent,
    })
}

fn copies_by_service<'a>(
    state: &'a PlacementState,
    outlooks: &'a IndexMap<ServiceName, LossOutlook>,
) -> IndexMap<&'a ServiceName, ServiceCopies<'a>> {
    let copies = outlooks.iter().map(|(service, outlook)| {
        let engines = state.engines.values();
        let engines = engines.filter(|engine| engine.info.service == *service);
        (service, service_copies(engines, outlook))
    });
    copies.collect()
}

fn service_copies<'a>(
    engines: impl Iterator<Item = &'a PlacedEngine>,
    outlook: &LossOutlook,
) -> ServiceCopies<'a> {
    let mut copies = ServiceCopies::new();
    for engine in engines {
        let loss = outlook.chance(engine);
        for model in models_on(engine) {
            let copy = copies.entry(model).or_insert(CopyOutlook {
                loss: 1.0,
                stays: false,
                fresh: false,
            });
            copy.loss *= loss;
            copy.stays |= !engine.info.draining;
            copy.fresh |= outlook.is_fresh(engine);
        }
    }
    for copy in copies.values_mut() {
        copy.loss = outlook.joint_loss(copy.loss, copy.fresh);
    }
    copies
}

/// Models that an engine holds, has at hand or is fetching.
fn models_on(engine: &PlacedEngine) -> IndexSet<&ModelName> {
    let held = engine.held.iter().filter(|(_, held)| !held.unloading);
    let held = held.map(|(name, _)| name);
    let at_hand = engine.in_memory.iter().chain(&engine.on_disk);
    let coming = engine.task.iter().map(|task| &task.model);
    held.chain(at_hand).chain(coming).collect()
}
