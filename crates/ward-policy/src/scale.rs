//! When a model gets one more replica.

use ward_protocol::{PolicyValues, TimeSpan};

/// A model's replicas and queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScaleView {
    /// Replicas that answer.
    pub ready: u32,
    /// Replicas on their way.
    pub loading: u32,
    /// Most replicas that the plan allows.
    pub max_replicas: u32,
    /// Requests waiting at all daemons.
    pub waiting: u32,
    /// Time that one replica needs per request under load.
    pub service_time: TimeSpan,
    /// Time until a new replica would answer.
    pub load_time: TimeSpan,
}

/// Whether another replica would start before the queue is worked off without it.
#[must_use]
pub fn should_scale_out(view: &ScaleView, values: &PolicyValues) -> bool {
    let replicas = view.ready + view.loading;
    if view.waiting == 0 || replicas >= view.max_replicas {
        return false;
    }
    if replicas == 0 {
        return true;
    }
    let backlogged = view.waiting > values.scale_out_waiting.saturating_mul(replicas);
    let drain_time = f64::from(view.waiting) * view.service_time.seconds() / f64::from(replicas);
    backlogged && drain_time > view.load_time.seconds()
}
