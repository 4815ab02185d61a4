//! Metrics of the control thread: its load, its progress in the log and its role.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry};

/// Metrics of the control thread.
#[derive(Clone)]
pub struct ControlMetrics {
    /// Time to process one event, in seconds.
    pub step_seconds: Histogram,
    /// Bytes of records read from the log.
    pub log_read_bytes: IntCounter,
    /// Bytes of control records sent to the log, whether or not they were stored.
    pub log_appended_bytes: IntCounter,
    /// Reads of records from the log that failed; those of snapshots are not counted.
    pub log_read_failures: IntCounter,
    /// Orders sent to engines.
    pub orders: IntCounter,
    /// Offset of the newest record of the control stream that was applied.
    pub applied_offset: IntGauge,
    /// Records of the control stream known to exist and not yet applied.
    pub log_lag: IntGauge,
    /// Plan revision in force on this daemon.
    pub plan_revision: IntGauge,
    /// Daemons that are members of the deployment.
    pub members: IntGauge,
    /// Engines that this daemon owns.
    pub owned_engines: IntGauge,
    /// Mode of the daemon: 0 starting, 1 routing only, 2 full, 3 stopping.
    pub mode: IntGauge,
}

/// Bounds of the histogram of `step_seconds`, in seconds.
const STEP_BUCKETS: [f64; 8] = [1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 1e-1];

impl ControlMetrics {
    /// Registers the metrics under `ward_control_*`.
    ///
    /// # Errors
    /// When the registry already holds one of the names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let options = HistogramOpts::new("ward_control_step_seconds", "Time per control event")
            .buckets(STEP_BUCKETS.to_vec());
        let step_seconds = Histogram::with_opts(options)?;
        registry.register(Box::new(step_seconds.clone()))?;
        Ok(Self {
            step_seconds,
            log_read_bytes: counter(
                "ward_control_log_read_bytes_total",
                "Bytes of records read from the log",
            )?,
            log_appended_bytes: counter(
                "ward_control_log_appended_bytes_total",
                "Bytes of records appended to the log",
            )?,
            log_read_failures: counter(
                "ward_control_log_read_failures_total",
                "Reads of the log that failed",
            )?,
            orders: counter("ward_control_orders_total", "Orders sent to engines")?,
            applied_offset: gauge(
                "ward_control_applied_offset",
                "Newest control offset applied",
            )?,
            log_lag: gauge("ward_control_log_lag", "Control records not applied yet")?,
            plan_revision: gauge("ward_control_plan_revision", "Plan revision in force here")?,
            members: gauge("ward_control_members", "Members of the deployment")?,
            owned_engines: gauge("ward_control_owned_engines", "Engines owned by this daemon")?,
            mode: gauge(
                "ward_control_mode",
                "0 starting, 1 routing only, 2 full, 3 stopping",
            )?,
        })
    }
}
