//! Priorities of loads from the weight store.
//!
//! Load pattern: more models lack a local copy than the weight store can
//! deliver in time, because engines were replaced by empty ones or many rare
//! models are requested at once. Models are loaded in the order of their gain:
//! a model's requests per second plus, with less weight, its waiting requests,
//! multiplied by the chance that all its copies are gone before a load could be
//! repeated. So a busy model whose last copies are about to be lost goes before
//! a rare one that a single request waits for, and a model whose copies stay is
//! not fetched at all. The order changes slowly, so that retry delays given to
//! callers stay accurate.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{ModelName, MonoTime, ServiceName, TimeSpan};

use super::demand::{ModelDemand, ModelKey};
use super::engine::PlacedEngine;
use super::outlook::LossOutlook;
use super::state::PlacementState;
use crate::manifest::ServingManifest;

/// Minimum time between two computations of the list of pending loads, which go
/// over all copies of all models.
const FETCH_LIST_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Time by which the number of waiting requests is divided, to add it to the
/// rate of arrivals.
const WAITING_WINDOW: TimeSpan = TimeSpan::from_secs(30);
/// Requests per second added for each second of the longest wait, so that among
/// equally requested models the one waited for longest goes first.
const GAIN_PER_WAITED_SECOND: f64 = 0.002;
/// Minimum gain, in requests per second, of loading a model that has a copy or
/// that no request waits for.
const MIN_PRELOAD_GAIN: f64 = 0.1;

/// A model to load from the weight store.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PendingFetch {
    pub(super) key: ModelKey,
    /// Gain of the load, in requests per second.
    pub(super) gain: f64,
    /// Whether no engine that is not draining has a copy or is loading the
    /// model.
    pub(super) absent: bool,
}

/// Pending loads from the weight store as last computed, without those that
/// were started since.
#[derive(Debug, Clone, Default)]
pub(super) struct FetchList {
    /// Pending loads, highest gain first.
    pub(super) pending: Vec<PendingFetch>,
    computed: Option<MonoTime>,
}

impl FetchList {
    /// Whether the list is old enough to be recomputed.
    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        self.computed
            .is_none_or(|time| now.since(time) >= FETCH_LIST_INTERVAL)
    }

    /// A list that was computed at `now`.
    pub(super) fn new(pending: Vec<PendingFetch>, now: MonoTime) -> Self {
        Self {
            pending,
            computed: Some(now),
        }
    }
}

/// Risk of losing all copies of a model.
#[derive(Debug, Clone, Copy)]
struct CopyOutlook {
    /// Chance that all copies are lost within the time of one load.
    loss: f64,
    /// Whether an engine that is not draining has a copy.
    on_staying_engine: bool,
    /// Whether an engine that joined in the current replacement has a copy.
    on_fresh_engine: bool,
}

/// Risk of losing all copies, by model of a service.
type ServiceCopies<'a> = IndexMap<&'a ModelName, CopyOutlook>;

/// Models to load from the weight store, highest gain first.
pub(super) fn pending_fetches(
    state: &PlacementState,
    manifest: &ServingManifest,
    outlooks: &IndexMap<ServiceName, LossOutlook>,
    now: MonoTime,
) -> Vec<PendingFetch> {
    let copies = copies_by_service(state, outlooks);
    let pending = state.demand.iter().filter_map(|(key, demand)| {
        let class = manifest.engine_class(&key.service)?;
        class.models.get(&key.model)?;
        let copy = copies.get(&key.service)?.get(&key.model);
        pending_fetch(key, demand, copy, now)
    });
    let mut pending: Vec<_> = pending.collect();
    pending.sort_by(|left, right| right.gain.total_cmp(&left.gain));
    pending
}

/// The load of a model with its gain; `None` if the gain is too low and no
/// request waits for an absent model.
fn pending_fetch(
    key: &ModelKey,
    demand: &ModelDemand,
    copy: Option<&CopyOutlook>,
    now: MonoTime,
) -> Option<PendingFetch> {
    let age = demand
        .waiting_since
        .map_or(0.0, |since| now.since(since).seconds());
    let waiting =
        f64::from(demand.waiting) / WAITING_WINDOW.seconds() + GAIN_PER_WAITED_SECOND * age;
    let use_rate = demand.rate + waiting;
    let absent = copy.is_none_or(|copy| !copy.on_staying_engine);
    let gain = copy.map_or(use_rate, |copy| use_rate * copy.loss);
    let needed = demand.waiting > 0 && absent || gain >= MIN_PRELOAD_GAIN;
    needed.then(|| PendingFetch {
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
        let loss = outlook.loss_chance(engine);
        for model in models_on(engine) {
            let copy = copies.entry(model).or_insert(CopyOutlook {
                loss: 1.0,
                on_staying_engine: false,
                on_fresh_engine: false,
            });
            copy.loss *= loss;
            copy.on_staying_engine |= !engine.info.draining;
            copy.on_fresh_engine |= outlook.is_fresh(engine);
        }
    }
    for copy in copies.values_mut() {
        copy.loss = outlook.joint_loss(copy.loss, copy.on_fresh_engine);
    }
    copies
}

/// Models that an engine holds and is not unloading, has a local copy of, or is
/// loading.
fn models_on(engine: &PlacedEngine) -> IndexSet<&ModelName> {
    let held = engine.held.iter().filter(|(_, held)| !held.unloading);
    let held = held.map(|(name, _)| name);
    let local_copies = engine.in_memory.iter().chain(&engine.on_disk);
    let loading = engine.task.iter().map(|task| &task.model);
    held.chain(local_copies).chain(loading).collect()
}
