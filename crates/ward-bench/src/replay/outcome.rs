//! Measurements of a replay.

use hdrhistogram::{CreationError, Histogram};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{CacheTier, PriorityLevel, TimeSpan};

/// What a request waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitCause {
    /// Nothing, or a slot on a ready replica.
    Warm,
    /// A load from a host's memory.
    Memory,
    /// A load from a host's disk.
    Disk,
    /// A load from the weight store.
    Remote,
    /// A load of an adapter on a ready base model.
    Adapter,
}

impl From<CacheTier> for WaitCause {
    fn from(tier: CacheTier) -> Self {
        match tier {
            CacheTier::Memory => Self::Memory,
            CacheTier::Disk => Self::Disk,
            CacheTier::Remote => Self::Remote,
        }
    }
}

/// Percentiles of a wait, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WaitQuantiles {
    /// Requests counted.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Mean.
    pub mean: f64,
}

const MILLIS_PER_SECOND: f64 = 1_000.0;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum recorded wait; longer ones count as this.
const MAX_MILLIS: u64 = 24 * 3_600_000;

/// Histogram of waits in milliseconds.
#[derive(Debug, Clone)]
pub struct WaitRecorder {
    histogram: Histogram<u64>,
}

impl WaitRecorder {
    /// An empty recorder.
    ///
    /// # Errors
    ///
    /// When the histogram's limits are invalid.
    pub fn new() -> Result<Self, CreationError> {
        let histogram = Histogram::new_with_max(MAX_MILLIS, SIGNIFICANT_DIGITS)?;
        Ok(Self { histogram })
    }

    /// Records a wait.
    pub fn record(&mut self, wait: TimeSpan) {
        self.histogram.saturating_record(wait.millis());
    }

    /// Percentiles and mean of the recorded waits.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn quantiles(&self) -> WaitQuantiles {
        let seconds_at =
            |quantile| self.histogram.value_at_quantile(quantile) as f64 / MILLIS_PER_SECOND;
        WaitQuantiles {
            count: self.histogram.len(),
            p50: seconds_at(0.50),
            p95: seconds_at(0.95),
            p99: seconds_at(0.99),
            p999: seconds_at(0.999),
            mean: self.histogram.mean() / MILLIS_PER_SECOND,
        }
    }
}

/// Late, refused and served requests of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityCounts {
    /// Served in time.
    pub served: u64,
    /// Refused on arrival.
    pub refused: u64,
    /// Waited until the deadline and refused then.
    pub late: u64,
}

/// Totals of one replay.
#[derive(Debug, Clone)]
pub struct ReplayOutcome {
    /// Waits of requests whose loads may not be put off; a refused request counts with its whole
    /// time limit.
    pub waits: WaitRecorder,
    /// Waits of requests whose loads may be put off: those with priority `slack_from` or lower.
    pub slack: WaitRecorder,
    /// Waits of served requests by cause.
    pub causes: IndexMap<WaitCause, WaitRecorder>,
    /// Accelerator time held by replicas that run nothing, in seconds.
    pub held_seconds: f64,
    /// Time of engines that are awake and run nothing, in seconds.
    pub idle_seconds: f64,
    /// Loads of base models.
    pub loads: u64,
    /// Loads of adapters.
    pub adapter_loads: u64,
    /// Replicas evicted for others.
    pub evictions: u64,
    /// Loads made ahead of a request.
    pub preloads: u64,
    /// Counts by priority.
    pub counts: IndexMap<u8, PriorityCounts>,
}

const CAUSES: [WaitCause; 5] = [
    WaitCause::Warm,
    WaitCause::Memory,
    WaitCause::Disk,
    WaitCause::Remote,
    WaitCause::Adapter,
];

impl ReplayOutcome {
    /// An outcome without requests.
    ///
    /// # Errors
    ///
    /// When a histogram's limits are invalid.
    pub fn new() -> Result<Self, CreationError> {
        let causes: Result<_, CreationError> = CAUSES
            .into_iter()
            .map(|cause| Ok((cause, WaitRecorder::new()?)))
            .collect();
        Ok(Self {
            waits: WaitRecorder::new()?,
            slack: WaitRecorder::new()?,
            causes: causes?,
            held_seconds: 0.0,
            idle_seconds: 0.0,
            loads: 0,
            adapter_loads: 0,
            evictions: 0,
            preloads: 0,
            counts: IndexMap::new(),
        })
    }

    /// Counts of one priority, zero at first.
    pub fn counts_of(&mut self, priority: PriorityLevel) -> &mut PriorityCounts {
        self.counts.entry(priority.level()).or_default()
    }
}
