//! How much each model is wanted.

use indexmap::IndexMap;
use ward_protocol::{AdapterName, ModelName, MonoTime, ServiceName, TimeSpan};

use crate::message::LoadReport;

/// Time over which a rise of concurrency is taken over.
const RISE: TimeSpan = TimeSpan::from_millis(700);
/// Time over which concurrency that fell is forgotten.
const FALL: TimeSpan = TimeSpan::from_secs(6);
/// Time over which arrivals are averaged; rare models are asked for seconds apart.
const RATE_SPAN: TimeSpan = TimeSpan::from_secs(15);

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelKey {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
}

/// Demand for one model.
#[derive(Debug, Clone, Default)]
pub struct ModelDemand {
    /// Requests at engines now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests at engines or waiting, smoothed.
    pub concurrency: f64,
    /// Requests per second, smoothed.
    pub rate: f64,
    /// When requests began to wait, if any do.
    pub waiting_since: Option<MonoTime>,
    /// Waiting requests by adapter.
    pub adapters: IndexMap<AdapterName, u32>,
}

/// Demand for all models.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    models: IndexMap<ModelKey, ModelDemand>,
    updated: MonoTime,
}

impl DemandTable {
    /// Demand for a model.
    #[must_use]
    pub fn get(&self, key: &ModelKey) -> Option<&ModelDemand> {
        self.models.get(key)
    }

    /// Demand for all models that were ever asked for.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelKey, &ModelDemand)> {
        self.models.iter()
    }

    /// Counts requests that arrived.
    pub fn record_arrivals(&mut self, key: ModelKey, count: u32) {
        let demand = self.models.entry(key).or_default();
        demand.rate += f64::from(count) / RATE_SPAN.seconds();
    }

    /// Recomputes demand from the newest report of each daemon.
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
        for waiting in reports.flat_map(|report| &report.waiting) {
            let key = ModelKey {
                service: waiting.service.clone(),
                model: waiting.model.clone(),
            };
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
            demand.settle(span, now);
        }
    }
}

impl ModelDemand {
    fn settle(&mut self, span: TimeSpan, now: MonoTime) {
        let present = f64::from(self.running + self.waiting);
        let time = if present > self.concurrency {
            RISE
        } else {
            FALL
        };
        let part = 1.0 - (-span.seconds() / time.seconds()).exp();
        self.concurrency += part * (present - self.concurrency);
        self.rate *= (-span.seconds() / RATE_SPAN.seconds()).exp();
        self.waiting_since = match (self.waiting, self.waiting_since) {
            (0, _) => None,
            (_, None) => Some(now),
            (_, since) => since,
        };
    }
}
