//! Prometheus metrics of one daemon.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexSet;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.5, 5.0, 10.0, 20.0,
];

/// Tenants with counters of their own; the others share one.
const MAX_TENANT_LABELS: usize = 64;
/// Label of the tenants that share a counter.
const OTHER_TENANTS: &str = "other";

/// Registered metrics of one daemon.
#[derive(Debug, Clone)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Answers to callers by outcome; also requests whose callers disconnected, and
    /// streams that broke off.
    pub(crate) answers: IntCounterVec,
    /// Attempts to send requests to engines, including retries, by result.
    pub(crate) sends: IntCounterVec,
    /// Runs that ended without a complete answer, by the state in which they ended.
    pub(crate) unfinished: IntCounterVec,
    /// Requests that this daemon has blocked because they crash engines.
    pub(crate) blocked: IntCounter,
    /// Requests that take up a stream, by where its software version was found.
    pub(crate) resumptions: IntCounterVec,
    /// Parts of prompts that this daemon has blocked because they crash engines.
    pub(crate) blocked_parts: IntCounter,
    /// Requests sent to engines that limit their requests.
    pub(crate) limited_sends: IntCounter,
    /// Permits for limited engines that this daemon has issued as the coordinator.
    pub(crate) permits: IntCounter,
    /// Requests of tenants with quotas, by tenant and whether they were admitted.
    charges: IntCounterVec,
    /// Tenants with counters of their own.
    labelled_tenants: Rc<RefCell<IndexSet<String>>>,
    /// Charges given back, since no engine has run the request.
    pub(crate) quota_refunds: IntCounter,
    /// Grants of credit that this daemon has sent as the coordinator.
    pub(crate) quota_grants: IntCounter,
    /// Seconds that requests waited for credit.
    pub(crate) quota_waited: Histogram,
    /// Seconds from a send until the engine's answer began.
    pub(crate) first_byte: Histogram,
    /// Seconds from a request's arrival until it got a slot at an engine, observed again
    /// for each retry.
    pub(crate) waited: Histogram,
    /// Connections that this daemon closed because they held too much or made no progress,
    /// by reason.
    pub(crate) caller_closes: IntCounterVec,
    /// Estimate of the bytes that all accepted connections hold now.
    pub(crate) caller_bytes: IntGauge,
    /// Number of accepted connections that are open now.
    pub(crate) caller_connections: IntGauge,
    /// Number of requests that wait for an engine now.
    pub(crate) waiting: IntGauge,
    /// Requests refused because no engine could begin them in time at the measured rate.
    pub(crate) forecast_refusals: IntCounter,
    /// Orders sent to engines by answer.
    pub(crate) orders: IntCounterVec,
    /// Attempts to open connections to engines.
    pub(crate) connections: IntCounter,
    /// Seconds that a connection to an engine worked at a stretch, while all other work of
    /// the daemon waited.
    pub(crate) connection_turns: Histogram,
    /// Reads of engines and manifests from the store by result.
    store_calls: IntCounterVec,
    /// Reads of the store that left records out of their answers, by topic.
    cut_reads: IntCounterVec,
    /// Bytes of messages between daemons by direction, kind of message, and whether the
    /// other daemon runs in another availability zone.
    pub(crate) peer_bytes: IntCounterVec,
    /// Seconds from when a newer manifest became known until one was in force.
    pub(crate) manifest_delay: Histogram,
    /// Reads of the manifest by end: whole, cut, failed, or abandoned for a newer version.
    manifest_reads: IntCounterVec,
    /// Seconds for which a newer manifest had been known when a request was routed; only
    /// requests that were routed by an older one are counted.
    pub(crate) outdated_routings: Histogram,
    /// Seconds by which a timer of the daemon's thread was late.
    pub(crate) thread_delay: Histogram,
    /// Version of the manifest in force.
    pub(crate) manifest: IntGauge,
    /// 1 while this daemon is the coordinator, otherwise 0.
    pub(crate) coordinates: IntGauge,
}

impl GatewayMetrics {
    /// Counts a read from the store.
    pub(crate) fn count_store_call(&self, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.store_calls.with_label_values(&[result]).inc();
    }

    /// Counts a read that left records of a topic out of its answer.
    pub(crate) fn count_cut_read(&self, topic: &str) {
        self.cut_reads.with_label_values(&[topic]).inc();
    }

    /// Counts a read of the manifest by its end.
    pub(crate) fn count_manifest_read(&self, end: &str) {
        self.manifest_reads.with_label_values(&[end]).inc();
    }

    /// Counts a request of a tenant with a quota.
    pub(crate) fn count_charge(&self, tenant: &str, admitted: bool) {
        let result = if admitted { "admitted" } else { "refused" };
        let mut labelled = self.labelled_tenants.borrow_mut();
        if labelled.len() < MAX_TENANT_LABELS && !labelled.contains(tenant) {
            labelled.insert(tenant.to_owned());
        }
        let label = if labelled.contains(tenant) {
            tenant
        } else {
            OTHER_TENANTS
        };
        self.charges.with_label_values(&[label, result]).inc();
    }

    pub(crate) fn register() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            answers: counter_vec("ward_answers_total", "answers by outcome", "outcome")?,
            sends: counter_vec("ward_sends_total", "sends to engines by result", "result")?,
            unfinished: counter_vec(
                "ward_unfinished_runs_total",
                "runs without a whole answer",
                "end",
            )?,
            blocked: IntCounter::new("ward_blocked_requests_total", "requests that crash engines")?,
            resumptions: counter_vec(
                "ward_resumptions_total",
                "requests that take up a stream, by source of its version",
                "source",
            )?,
            blocked_parts: IntCounter::new(
                "ward_blocked_parts_total",
                "parts of prompts that crash engines",
            )?,
            limited_sends: IntCounter::new("ward_limited_sends_total", "sends to limited engines")?,
            permits: IntCounter::new("ward_permits_total", "permits issued for limited engines")?,
            charges: IntCounterVec::new(
                Opts::new("ward_quota_requests_total", "requests charged to quotas"),
                &["tenant", "result"],
            )?,
            labelled_tenants: Rc::default(),
            quota_refunds: IntCounter::new("ward_quota_refunds_total", "charges given back")?,
            quota_grants: IntCounter::new("ward_quota_grants_total", "grants of credit sent")?,
            quota_waited: latency_histogram("ward_quota_waited_seconds", "wait for credit")?,
            first_byte: latency_histogram(
                "ward_first_byte_seconds",
                "until an engine's answer began",
            )?,
            waited: latency_histogram("ward_waited_seconds", "wait for an engine")?,
            caller_closes: counter_vec(
                "ward_caller_closes_total",
                "connections closed for lack of room or progress",
                "reason",
            )?,
            caller_bytes: IntGauge::new("ward_caller_bytes", "held by accepted connections")?,
            caller_connections: IntGauge::new(
                "ward_caller_connections",
                "accepted connections that are open",
            )?,
            waiting: IntGauge::new("ward_waiting", "requests that wait now")?,
            forecast_refusals: IntCounter::new(
                "ward_forecast_refusals_total",
                "requests refused since no engine could begin them in time",
            )?,
            orders: counter_vec("ward_orders_total", "orders by answer", "answer")?,
            connections: IntCounter::new("ward_connections_total", "connections to engines")?,
            connection_turns: latency_histogram(
                "ward_connection_turn_seconds",
                "work of one connection at a stretch",
            )?,
            store_calls: counter_vec("ward_store_calls_total", "calls to the store", "result")?,
            cut_reads: counter_vec("ward_cut_reads_total", "reads that were cut", "topic")?,
            peer_bytes: IntCounterVec::new(
                Opts::new("ward_peer_bytes_total", "bytes between daemons"),
                &["direction", "kind", "zone"],
            )?,
            manifest_delay: latency_histogram(
                "ward_manifest_delay_seconds",
                "from hearing of a newer manifest until in force",
            )?,
            manifest_reads: counter_vec(
                "ward_manifest_reads_total",
                "reads of the manifest by end",
                "end",
            )?,
            outdated_routings: latency_histogram(
                "ward_outdated_routing_seconds",
                "age of the knowledge that the manifest used for routing is outdated",
            )?,
            thread_delay: latency_histogram("ward_thread_delay_seconds", "lateness of a timer")?,
            manifest: IntGauge::new("ward_manifest_version", "manifest in force")?,
            coordinates: IntGauge::new("ward_coordinates", "1 on the coordinator")?,
            registry,
        };
        metrics.register_all()?;
        Ok(metrics)
    }

    fn register_all(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.answers.clone()))?;
        registry.register(Box::new(self.sends.clone()))?;
        registry.register(Box::new(self.unfinished.clone()))?;
        registry.register(Box::new(self.blocked.clone()))?;
        registry.register(Box::new(self.resumptions.clone()))?;
        registry.register(Box::new(self.blocked_parts.clone()))?;
        registry.register(Box::new(self.limited_sends.clone()))?;
        registry.register(Box::new(self.permits.clone()))?;
        registry.register(Box::new(self.charges.clone()))?;
        registry.register(Box::new(self.quota_refunds.clone()))?;
        registry.register(Box::new(self.quota_grants.clone()))?;
        registry.register(Box::new(self.quota_waited.clone()))?;
        registry.register(Box::new(self.first_byte.clone()))?;
        registry.register(Box::new(self.waited.clone()))?;
        registry.register(Box::new(self.caller_closes.clone()))?;
        registry.register(Box::new(self.caller_bytes.clone()))?;
        registry.register(Box::new(self.caller_connections.clone()))?;
        registry.register(Box::new(self.waiting.clone()))?;
        registry.register(Box::new(self.forecast_refusals.clone()))?;
        registry.register(Box::new(self.orders.clone()))?;
        registry.register(Box::new(self.connections.clone()))?;
        registry.register(Box::new(self.connection_turns.clone()))?;
        registry.register(Box::new(self.store_calls.clone()))?;
        registry.register(Box::new(self.cut_reads.clone()))?;
        registry.register(Box::new(self.peer_bytes.clone()))?;
        registry.register(Box::new(self.manifest_delay.clone()))?;
        registry.register(Box::new(self.manifest_reads.clone()))?;
        registry.register(Box::new(self.outdated_routings.clone()))?;
        registry.register(Box::new(self.thread_delay.clone()))?;
        registry.register(Box::new(self.manifest.clone()))?;
        registry.register(Box::new(self.coordinates.clone()))
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Result<String, prometheus::Error> {
        prometheus::TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn counter_vec(name: &str, help: &str, label: &str) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}

fn latency_histogram(name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    Histogram::with_opts(options)
}
