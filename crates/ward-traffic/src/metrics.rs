//! Metrics of callers' requests.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use ward_protocol::{PriorityLevel, ReplicaKey};

use crate::problem::ProblemReport;

/// Bounds of the histograms of waits, in seconds.
const WAIT_BUCKETS: &[f64] = &[
    0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0,
];
/// Bounds of the histogram of the added latency, in seconds.
const ADDED_LATENCY_BUCKETS: &[f64] = &[
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05,
];

/// Metrics of callers' requests.
#[derive(Debug, Clone)]
pub(crate) struct TrafficMetrics {
    requests: IntCounterVec,
    problems: IntCounterVec,
    cold_start: HistogramVec,
    queue_wait: HistogramVec,
    pub(crate) waiting_requests: IntGauge,
    pub(crate) caller_connections: IntGauge,
    pub(crate) retries: IntCounter,
    pub(crate) retries_denied: IntCounter,
    pub(crate) streams_resumed: IntCounter,
    pub(crate) streams_cut: IntCounter,
    pub(crate) requests_cancelled: IntCounter,
    added_latency: Histogram,
}

impl TrafficMetrics {
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new("ward_requests_total", "Requests by kind and HTTP status."),
                &["kind", "status"],
            )?,
            problems: IntCounterVec::new(
                Opts::new("ward_problems_total", "Refusals and failures by code."),
                &["code", "outcome"],
            )?,
            cold_start: wait_histogram(
                "ward_cold_start_seconds",
                "Wait for a replica that was not loaded on arrival.",
                &["kind", "priority"],
            )?,
            queue_wait: wait_histogram(
                "ward_queue_wait_seconds",
                "Wait for a slot on a loaded replica.",
                &["kind", "priority"],
            )?,
            waiting_requests: IntGauge::new(
                "ward_waiting_requests",
                "Requests that wait for a slot.",
            )?,
            caller_connections: IntGauge::new(
                "ward_caller_connections",
                "Open caller connections.",
            )?,
            retries: IntCounter::new("ward_retries_total", "Requests sent a second time.")?,
            retries_denied: IntCounter::new(
                "ward_retries_denied_total",
                "Retries that the budget did not allow.",
            )?,
            streams_resumed: IntCounter::new("ward_streams_resumed_total", "Streams continued.")?,
            streams_cut: IntCounter::new("ward_streams_cut_total", "Streams that ended cut.")?,
            requests_cancelled: IntCounter::new(
                "ward_requests_cancelled_total",
                "Requests cancelled at their engine.",
            )?,
            added_latency: Histogram::with_opts(
                HistogramOpts::new(
                    "ward_added_seconds",
                    "Time from a request's arrival to its sending, when a slot was free.",
                )
                .buckets(ADDED_LATENCY_BUCKETS.to_vec()),
            )?,
        };
        metrics.register_all(registry)?;
        Ok(metrics)
    }

    fn register_all(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.problems.clone()))?;
        registry.register(Box::new(self.cold_start.clone()))?;
        registry.register(Box::new(self.queue_wait.clone()))?;
        registry.register(Box::new(self.waiting_requests.clone()))?;
        registry.register(Box::new(self.caller_connections.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.retries_denied.clone()))?;
        registry.register(Box::new(self.streams_resumed.clone()))?;
        registry.register(Box::new(self.streams_cut.clone()))?;
        registry.register(Box::new(self.requests_cancelled.clone()))?;
        registry.register(Box::new(self.added_latency.clone()))
    }

    pub(crate) fn count_request(&self, kind: RequestKind, status: u16) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[kind.label(), &status])
            .inc();
    }

    pub(crate) fn count_problem(&self, report: &ProblemReport) {
        let code = report.code.number().to_string();
        let outcome = report.outcome.to_string();
        self.problems.with_label_values(&[&code, &outcome]).inc();
    }

    pub(crate) fn observe_slot_wait(&self, sample: &SlotWaitSample<'_>) {
        let kind = match sample.key {
            Some(key) if key.is_adapter() => "adapter",
            Some(_) => "model",
            None => "service",
        };
        let histogram = if sample.cold {
            &self.cold_start
        } else {
            &self.queue_wait
        };
        histogram
            .with_label_values(&[kind, &sample.priority.to_string()])
            .observe(sample.wait.as_secs_f64());
    }

    pub(crate) fn observe_added_latency(&self, time: Duration) {
        self.added_latency.observe(time.as_secs_f64());
    }
}

/// Wait of a request from its arrival until it got a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotWaitSample<'a> {
    /// Key of the replica; `None` for a service.
    pub(crate) key: Option<&'a ReplicaKey>,
    /// Whether no replica was ready when the request arrived.
    pub(crate) cold: bool,
    /// Priority that the caller named, or the default.
    pub(crate) priority: PriorityLevel,
    /// Time from arrival until the slot was granted.
    pub(crate) wait: Duration,
}

/// Kind of a request, a label of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Request to a model.
    Model,
    /// Call to a plain service.
    Service,
    /// Request that the daemon answers itself: a health check, a list or an unknown path.
    Own,
}

impl RequestKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Service => "service",
            Self::Own => "own",
        }
    }
}

fn wait_histogram(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(WAIT_BUCKETS.to_vec());
    HistogramVec::new(options, labels)
}
