//! An open-loop load generator for addresses on this machine.

mod generator;
mod task;
mod usage;

pub use generator::{LoadReport, run_load};
pub use task::{LoadError, LoadTask, MAX_CONNECTIONS, MAX_RATE, MAX_SECONDS};
pub use usage::thread_cpu_micros;
