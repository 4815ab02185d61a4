//! The control thread: its event loop, its clock and the I/O that the core requests.

pub mod act;
pub mod handle;
pub mod metrics;
pub mod ring;
pub mod thread;

pub use handle::{ControlHandle, ControlInput};
pub use metrics::ControlMetrics;
pub use thread::{ControlParts, run_control};
