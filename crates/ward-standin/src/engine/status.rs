//! Status reports, whose request counts lag behind the engine's state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use viz::{Request, StatusCode};
use ward_protocol::{BackendId, BackendStatus, CachedCheckpoint};

use super::state::EngineState;
use crate::server::{Answer, json_answer, lock, truncated_answer};

const MAX_SAMPLES: usize = 100_000;
const OTHER_BACKEND: &str = "another-engine";

/// Counts of running and queued requests over time, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadSamples {
    samples: VecDeque<LoadSample>,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    taken_at: Instant,
    running: u32,
    queued: u32,
}

impl LoadSamples {
    pub(super) fn push(&mut self, running: u32, queued: u32) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(LoadSample {
            taken_at: Instant::now(),
            running,
            queued,
        });
    }

    /// Returns the running and queued requests as they were `lag` ago.
    fn counts_after_lag(&self, lag: Duration) -> (u32, u32) {
        let now = Instant::now();
        self.samples
            .iter()
            .rev()
            .find(|sample| now - sample.taken_at >= lag)
            .map_or((0, 0), |sample| (sample.running, sample.queued))
    }
}

/// Answers `GET /status`.
pub(super) async fn status(state: Arc<EngineState>, _: Request) -> Answer {
    state.wait_while_hanging().await;
    if state.consume_fault(|faults| &mut faults.broken_status) {
        return Ok(json_answer(StatusCode::OK, &"no status"));
    }
    let mut report = report(&state);
    if state.consume_fault(|faults| &mut faults.wrong_status)
        && let Ok(other) = BackendId::try_from(OTHER_BACKEND)
    {
        report.backend = other;
    }
    let answer = json_answer(StatusCode::OK, &report);
    if state.consume_fault(|faults| &mut faults.truncate_status) {
        return Ok(truncated_answer(answer).await);
    }
    Ok(answer)
}

fn report(state: &EngineState) -> BackendStatus {
    let faults = state.faults();
    let lag = faults
        .status_lag_ms
        .map_or(state.settings.status_lag.duration(), Duration::from_millis);
    let (running, queued) = lock(&state.samples).counts_after_lag(lag);
    let holding = lock(&state.holding);
    let cached = holding.cached.iter().map(|(key, tier)| CachedCheckpoint {
        key: key.clone(),
        tier: *tier,
    });
    BackendStatus {
        backend: state.settings.id.clone(),
        boot: holding.boot,
        fence: holding.fence,
        role: holding.role,
        memory: holding.total_memory,
        resident: holding.resident(),
        cached: cached.collect(),
        running,
        queued,
        leaving: faults.leaving,
    }
}
