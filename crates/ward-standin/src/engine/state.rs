//! State shared by all handlers and tasks of an engine.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use ward_http::HttpClient;
use ward_protocol::RequestId;

use super::batch::BatchSlots;
use super::faults::EngineFaults;
use super::generation::Generation;
use super::history::EngineHistory;
use super::holding::EngineHolding;
use super::settings::EngineSettings;
use super::status::LoadSamples;
use crate::server::{CrashSwitch, lock};

/// State of an engine, including its faults.
pub(super) struct EngineState {
    pub(super) settings: EngineSettings,
    pub(super) faults: Mutex<EngineFaults>,
    pub(super) holding: Mutex<EngineHolding>,
    pub(super) requests: Mutex<IndexMap<RequestId, Arc<Generation>>>,
    pub(super) samples: Mutex<LoadSamples>,
    pub(super) batch: BatchSlots,
    pub(super) client: HttpClient,
    switch: CrashSwitch,
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings, switch: CrashSwitch) -> Self {
        let holding = EngineHolding::new(&settings);
        Self {
            faults: Mutex::new(settings.faults.clone()),
            holding: Mutex::new(holding),
            requests: Mutex::default(),
            samples: Mutex::default(),
            batch: BatchSlots::new(settings.slots),
            client: HttpClient::new(),
            settings,
            switch,
        }
    }

    pub(super) fn faults(&self) -> EngineFaults {
        lock(&self.faults).clone()
    }

    /// Decrements a counted fault; returns false if the counter is already 0.
    pub(super) fn consume_fault(&self, counter: fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let remaining = counter(&mut faults);
        let taken = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        taken
    }

    pub(super) fn history(&self) -> EngineHistory {
        lock(&self.holding).history.clone()
    }

    /// Records how many requests run and how many are queued now.
    pub(super) fn record_counts(&self) {
        let (running, queued) = self.batch.counts();
        lock(&self.samples).push(running, queued);
    }

    /// Simulates a crash; `reset` is called after the connections were dropped.
    pub(super) fn crash(&self) {
        let downtime = Duration::from_millis(lock(&self.faults).downtime_ms);
        self.switch.crash(downtime);
    }

    /// Clears the state of the crashed incarnation and starts the next one.
    pub(super) fn reset(&self) {
        let requests = std::mem::take(&mut *lock(&self.requests));
        for generation in requests.values() {
            generation.abort();
        }
        lock(&self.holding).reset();
    }

    /// Waits until the fault `hang` is off.
    pub(super) async fn wait_while_hanging(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        while lock(&self.faults).hang {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
