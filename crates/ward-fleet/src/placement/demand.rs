//! Demand for each model, computed from the daemons' reports.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{AdapterName, ModelName, MonoTime, ServiceName, SoftwareVersion, TimeSpan};

use crate::message::LoadReport;

/// Time constant for smoothing a rise in concurrency.
const RISE_TIME: TimeSpan = TimeSpan::from_millis(700);
/// Time constant for smoothing a fall in concurrency.
const FALL_TIME: TimeSpan = TimeSpan::from_secs(6);
/// Time over which arrivals are averaged. Requests for rare models arrive
/// seconds apart.
const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(15);

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelKey {
    /// Service that the model belongs to.
    pub service: ServiceName,
    /// Name of the model.
    pub model: ModelName,
}

/// A model that must be held by an engine of one software version, because streams that
/// the version began wait to go on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VersionedModel {
    /// The model.
    pub key: ModelKey,
    /// Software version that began the streams.
    pub software: SoftwareVersion,
}

/// Demand for one model, over all daemons.
#[derive(Debug, Clone, Default)]
pub struct ModelDemand {
    /// Requests that engines are running.
    pub running: u32,
    /// Requests that are waiting for an engine.
    pub waiting: u32,
    /// Running and waiting requests, smoothed.
    pub concurrency: f64,
    /// Arrivals per second, smoothed.
    pub rate: f64,
    /// Time since which requests have been waiting without a break; `None` if
    /// none is waiting.
    pub waiting_since: Option<MonoTime>,
    /// Waiting requests that need an adapter, by adapter.
    pub adapters: IndexMap<AdapterName, u32>,
}

/// Demand for all models.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    models: IndexMap<ModelKey, ModelDemand>,
    /// Models that streams wait for at a software version.
    versioned: IndexSet<VersionedModel>,
    updated: MonoTime,
}

impl DemandTable {
    /// Demand for a model; `None` if the model was never requested.
    #[must_use]
    pub fn get(&self, key: &ModelKey) -> Option<&ModelDemand> {
        self.models.get(key)
    }

    /// Demand for all models that were ever requested.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelKey, &ModelDemand)> {
        self.models.iter()
    }

    /// Models that streams wait for at the software version that began them.
    pub fn versioned(&self) -> impl Iterator<Item = &VersionedModel> {
        self.versioned.iter()
    }

    /// Adds newly arrived requests to a model's rate of arrivals.
    pub fn record_arrivals(&mut self, key: ModelKey, count: u32) {
        let demand = self.models.entry(key).or_default();
        demand.rate += f64::from(count) / RATE_WINDOW.seconds();
    }

    /// Recomputes demand from the latest report of each daemon and the number
    /// of `running` requests of each model.
    pub fn update<'a>(
        &mut self,
        reports: impl Iterator<Item = &'a LoadReport>,
        running: &IndexMap<ModelKey, u32>,
        now: MonoTime,
    ) {
        for demand in self.models.values_mut() {
            demand.running = 0;
            demand.waiting = 0;
            demand.adapters.clear();
        }
        self.versioned.clear();
        for waiting in reports.flat_map(|report| &report.waiting) {
            let key = ModelKey {
                service: waiting.service.clone(),
                model: waiting.model.clone(),
            };
            if let Some(software) = waiting.software.clone() {
                let key = key.clone();
                self.versioned.insert(VersionedModel { key, software });
            }
            let demand = self.models.entry(key).or_default();
            demand.waiting += waiting.count;
            if let Some(adapter) = &waiting.adapter {
                *demand.adapters.entry(adapter.clone()).or_default() += waiting.count;
            }
        }
        for (key, count) in running {
            self.models.entry(key.clone()).or_default().running = *count;
        }
        let span = now.since(self.updated);
        self.updated = now;
        for demand in self.models.values_mut() {
            demand.smooth(span, now);
        }
    }
}

impl ModelDemand {
    fn smooth(&mut self, span: TimeSpan, now: MonoTime) {
        let current = f64::from(self.running + self.waiting);
        let time_constant = if current > self.concurrency {
            RISE_TIME
        } else {
            FALL_TIME
        };
        let weight = 1.0 - (-span.seconds() / time_constant.seconds()).exp();
        self.concurrency += weight * (current - self.concurrency);
        self.rate *= (-span.seconds() / RATE_WINDOW.seconds()).exp();
        self.waiting_since = match (self.waiting, self.waiting_since) {
            (0, _) => None,
            (_, None) => Some(now),
            (_, since) => since,
        };
    }
}
