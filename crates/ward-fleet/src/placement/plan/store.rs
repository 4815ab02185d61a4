//! Plans loads from the weight store.
//!
//! An engine takes no other order during such a load. So only the loads in the
//! [`FetchList`] run concurrently; while there are requests, all others start
//! only when no load from the weight store is running.

use ward_protocol::{BackendId, ModelName};

use super::{Candidate, MIN_REPLICA_CONCURRENCY, Planner};
use crate::number::usize_to_f64;
use crate::placement::demand::{ModelDemand, ModelKey};
use crate::placement::engine::{AuditState, LoadSource, PlacedEngine};
use crate::placement::fetch::{FetchList, PendingFetch, pending_fetches};
use crate::placement::outlook::{LossOutlook, is_new};
use crate::placement::task::LoadReason;
use crate::placement::victim::RATE_COST_MILLIS;

/// Minimum gain, in requests per second, for a model that still has a copy to
/// use all of the store's concurrent loads.
const MIN_URGENT_GAIN: f64 = 1.0;

impl Planner<'_> {
    /// Starts the pending loads from the weight store with the highest gain.
    pub(super) fn plan_fetches(&mut self) {
        if self.state.fetches.is_due(self.now) {
            let pending = pending_fetches(self.state, self.manifest, &self.outlooks, self.now);
            self.state.fetches = FetchList::new(pending, self.now);
        }
        for fetch in std::mem::take(&mut self.state.fetches.pending) {
            let started = self.store_has_capacity(&fetch) && self.start_fetch(&fetch);
            if !started {
                self.state.fetches.pending.push(fetch);
            }
        }
    }

    /// Whether the store can serve a load. A model with little gain that still
    /// has a copy leaves half of the concurrent loads free, for models whose
    /// copies may be lost next.
    fn store_has_capacity(&self, fetch: &PendingFetch) -> bool {
        let may_use_all = fetch.absent || fetch.gain >= MIN_URGENT_GAIN;
        let half = self.state.load_limiter.concurrency_limit().div_ceil(2);
        self.store_allows(&fetch.key) && (may_use_all || self.state.store_load_count() < half)
    }

    /// Loads a model from the weight store on the engine with the lowest cost.
    /// A model that still has a copy is loaded only into the free memory of a
    /// new engine; for a model that no request waits for, only models are
    /// evicted whose cost is no higher than its gain. Returns false if there is
    /// no such engine.
    fn start_fetch(&mut self, fetch: &PendingFetch) -> bool {
        let waiting = self
            .state
            .demand
            .get(&fetch.key)
            .is_some_and(|demand| demand.waiting > 0);
        let reason = if waiting && fetch.absent {
            LoadReason::Missing
        } else {
            LoadReason::Leaving
        };
        let candidates = self.state.engines.iter().filter_map(|(id, engine)| {
            let candidate = self.candidate(&fetch.key, id, engine, reason)?;
            let fits = if fetch.absent {
                waiting || candidate.victims.cost <= fetch.gain * RATE_COST_MILLIS
            } else {
                candidate.victims.models.is_empty() && is_new(engine, self.now)
            };
            (candidate.source == LoadSource::Store && fits).then_some(candidate)
        });
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let Some(candidate) = best else {
            return false;
        };
        self.add_load(&fetch.key, candidate, reason);
        true
    }

    /// Plans loads of the model with the most requests per replica on engines
    /// that hold no model; from the weight store only while it is idle.
    pub(super) fn plan_empty(&mut self) {
        let is_empty = |engine: &PlacedEngine| {
            engine.is_free(self.now) && engine.held.is_empty() && !self.state.is_limited(engine)
        };
        let engines = self.state.engines.iter();
        let empty = engines.filter(|(_, engine)| is_empty(engine));
        let empty: Vec<_> = empty.map(|(id, _)| id.clone()).collect();
        for id in empty {
            if let Some((key, candidate)) = self.empty_candidate(&id) {
                self.add_load(&key, candidate, LoadReason::Busy);
            }
        }
    }

    fn empty_candidate(&self, id: &BackendId) -> Option<(ModelKey, Candidate)> {
        let key = self.busiest_model(id)?;
        let idle = self.state.store_loads().next().is_none() && self.store_allows(&key);
        let engine = self.state.engines.get(id)?;
        let candidate = self.candidate(&key, id, engine, LoadReason::Busy)?;
        (idle || candidate.source != LoadSource::Store).then_some((key, candidate))
    }

    /// The model with the most requests per replica among those of an engine's
    /// service.
    fn busiest_model(&self, id: &BackendId) -> Option<ModelKey> {
        let service = &self.state.engines.get(id)?.info.service;
        let demands = self.state.demand.iter();
        let demands = demands.filter(|(key, demand)| {
            key.service == *service && demand.concurrency >= MIN_REPLICA_CONCURRENCY
        });
        let share = |key: &ModelKey, demand: &ModelDemand| {
            demand.concurrency / usize_to_f64(self.counts.get(key).max(1))
        };
        let busiest =
            demands.max_by(|left, right| share(left.0, left.1).total_cmp(&share(right.0, right.1)));
        busiest.map(|(key, _)| key.clone())
    }

    /// Plans loads of models that no engine has a copy of, before they are
    /// requested: one per service whose engines are all audited and none of
    /// which has just left. Once any model has been requested, none is planned
    /// while the weight store serves a load, since an engine takes no other
    /// order during one.
    pub(super) fn plan_absent(&mut self) {
        let has_demand = self.state.demand.iter().next().is_some();
        let fetching = self.state.store_load_count() > 0;
        if has_demand && fetching {
            return;
        }
        let services = self.manifest.services.iter();
        let absent = services.filter_map(|(service, class)| {
            let mut models = class.engine.as_ref()?.models.keys();
            let key = |model: &ModelName| ModelKey {
                service: service.clone(),
                model: model.clone(),
            };
            let known = self.state.engines.values();
            let mut audited = known.filter(|engine| engine.info.service == *service);
            let all_audited = audited.all(|engine| engine.audit == AuditState::Done);
            let stable = self
                .outlooks
                .get(service)
                .is_some_and(LossOutlook::is_stable);
            let model = models.find(|model| {
                let key = key(model);
                self.counts.get(&key) == 0 && self.copy_count(&key) == 0
            })?;
            (all_audited && stable).then(|| key(model))
        });
        let absent: Vec<_> = absent.collect();
        for key in absent {
            self.load_on_cheapest(&key, LoadReason::Absent, true);
        }
    }
}
