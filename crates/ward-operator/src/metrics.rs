//! Prometheus counters of the API.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Prometheus counters of the API.
#[derive(Debug, Clone)]
pub struct OperatorMetrics {
    /// Number of calls by path and HTTP status.
    pub calls: IntCounterVec,
    /// Number of calls with a missing or wrong token.
    pub unauthorized: IntCounter,
}

impl OperatorMetrics {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    /// Fails when the registry already has metrics with these names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let calls = IntCounterVec::new(
            Opts::new("ward_operator_calls_total", "Operators' calls."),
            &["path", "status"],
        )?;
        let unauthorized = IntCounter::new(
            "ward_operator_unauthorized_total",
            "Operators' calls with a missing or wrong token.",
        )?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(unauthorized.clone()))?;
        Ok(Self {
            calls,
            unauthorized,
        })
    }
}
