//! When another replica of a model is loaded.

use ward_protocol::{PolicyValues, TimeSpan};

/// The replicas and the queue of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScaleView {
    /// Replicas that answer requests.
    pub ready: u32,
    /// Replicas that are being loaded.
    pub loading: u32,
    /// Maximum number of replicas that the plan allows.
    pub max_replicas: u32,
    /// Waiting requests of all daemons.
    pub waiting: u32,
    /// Time that one replica takes per request under load.
    pub service_time: TimeSpan,
    /// Time until a new replica would answer if it were ordered now.
    pub load_time: TimeSpan,
}

/// Whether to load another replica.
///
/// True when requests wait and there is no replica, or when the queue is long
/// and the existing replicas would take longer to serve it than a new one takes
/// to load.
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
