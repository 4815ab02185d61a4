//! An engine's shared state.

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

/// An engine with its faults.
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

    /// Takes one from a counted fault; false when none is remaining.
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

    /// Notes how many requests run and wait now.
    pub(super) fn record_counts(&self) {
        let (running, queued) = self.batch.counts();
        lock(&self.samples).push(running, queued);
    }

    /// Dies; `reset` follows once the connections are gone.
    pub(super) fn crash(&self) {
        let downtime = Duration::from_millis(lock(&self.faults).downtime_ms);
        self.switch.crash(downtime);
    }

    /// Comes back empty, as a new life.
    pub(super) fn reset(&self) {
        let requests = std::mem::take(&mut *lock(&self.requests));
        for generation in requests.values() {
            generation.abort();
        }
        lock(&self.holding).reset();
    }

    /// Waits for ever while the engine hangs.
    pub(super) async fn wait_while_hanging(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        while lock(&self.faults).hang {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
