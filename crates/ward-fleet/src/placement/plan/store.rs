//! Loads from the weight store.
//!
//! An engine takes no other order for as long as such a load takes, so beside what
//! is needed most only one runs at a time.

use ward_protocol::{BackendId, ModelName};

use super::{Candidate, LEAST_BUSY, Planner};
use crate::number::real;
use crate::placement::demand::{ModelDemand, ModelKey};
use crate::placement::engine::{AuditState, LoadSource, PlacedEngine};
use crate::placement::fetch::{FetchList, FetchWish, fetch_wishes};
use crate::placement::outlook::{LossOutlook, is_new};
use crate::placement::victim::RATE_COST_MILLIS;
use crate::placement::work::LoadReason;

/// Requests per second from which on a model is fetched with all of the store.
const URGENT_GAIN: f64 = 1.0;

impl Planner<'_> {
    /// Brings from the weight store what is needed most.
    pub(super) fn plan_fetches(&mut self) {
        if self.state.fetches.is_due(self.now) {
            let wishes = fetch_wishes(self.state, self.manifest, &self.outlooks, self.now);
            self.state.fetches = FetchList::new(wishes, self.now);
        }
        for wish in std::mem::take(&mut self.state.fetches.wishes) {
            let begun = self.has_place(&wish) && self.fetch(&wish);
            if !begun {
                self.state.fetches.wishes.push(wish);
            }
        }
    }

    /// Whether the store has a place for a wish. What few ask for and still has a
    /// copy leaves half of the places free, for models whose copies may go next.
    fn has_place(&self, wish: &FetchWish) -> bool {
        let spare = wish.absent || wish.gain >= URGENT_GAIN;
        let half = self.state.ceiling.concurrency_limit().div_ceil(2);
        self.store_allows(&wish.key) && (spare || self.state.store_load_count() < half)
    }

    /// Loads one model from the weight store on the cheapest engine. What has a
    /// copy still goes only to a new engine's free memory; what nobody waits for
    /// takes no more away than it brings. Returns whether there is such an engine.
    fn fetch(&mut self, wish: &FetchWish) -> bool {
        let waiting = self
            .state
            .demand
            .get(&wish.key)
            .is_some_and(|demand| demand.waiting > 0);
        let reason = if waiting && wish.absent {
            LoadReason::Missing
        } else {
            LoadReason::Leaving
        };
        let candidates = self.state.engines.iter().filter_map(|(id, engine)| {
            let candidate = self.candidate(&wish.key, id, engine, reason)?;
            let fits = if wish.absent {
                waiting || candidate.victims.cost <= wish.gain * RATE_COST_MILLIS
            } else {
                candidate.victims.models.is_empty() && is_new(engine, self.now)
            };
            (candidate.source == LoadSource::Store && fits).then_some(candidate)
        });
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let Some(candidate) = best else {
            return false;
        };
        self.add(&wish.key, candidate, reason);
        true
    }

    /// Gives engines that hold nothing the model with most requests per replica.
    pub(super) fn plan_empty(&mut self) {
        let is_empty = |engine: &PlacedEngine| engine.is_free(self.now) && engine.held.is_empty();
        let engines = self.state.engines.iter();
        let empty = engines.filter(|(_, engine)| is_empty(engine));
        let empty: Vec<_> = empty.map(|(id, _)| id.clone()).collect();
        for id in empty {
            if let Some((key, candidate)) = self.empty_candidate(&id) {
                self.add(&key, candidate, LoadReason::Busy);
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

    /// The model of an engine's service with most requests per replica.
    fn busiest_model(&self, id: &BackendId) -> Option<ModelKey> {
        let service = &self.state.engines.get(id)?.info.service;
        let demands = self.state.demand.iter();
        let demands = demands
            .filter(|(key, demand)| key.service == *service && demand.concurrency >= LEAST_BUSY);
        let share = |key: &ModelKey, demand: &ModelDemand| {
            demand.concurrency / real(self.counts.get(key).max(1))
        };
        let busiest =
            demands.max_by(|left, right| share(left.0, left.1).total_cmp(&share(right.0, right.1)));
        busiest.map(|(key, _)| key.clone())
    }

    /// Fetches models that lie nowhere, before they are asked for: one at a time
    /// once there are requests, since an engine takes no other order meanwhile.
    pub(super) fn plan_absent(&mut self) {
        let asked_for = self.state.demand.iter().next().is_some();
        let fetching = self.state.store_load_count() > 0;
        if asked_for && fetching {
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
            let sure = audited.all(|engine| engine.audit == AuditState::Done);
            let calm = self.outlooks.get(service).is_some_and(LossOutlook::is_calm);
            let model = models.find(|model| {
                let key = key(model);
                self.counts.get(&key) == 0 && self.copies(&key) == 0
            })?;
            (sure && calm).then(|| key(model))
        });
        let absent: Vec<_> = absent.collect();
        for key in absent {
            self.load_somewhere(&key, LoadReason::Absent, true);
        }
    }
}
