//! An open-loop load generator for addresses on this machine.

mod generator;
mod task;
mod usage;

pub use generator::{LoadReport, run_load};
pub use task::{LoadError, LoadTask, MOST_CONNECTIONS, MOST_RATE, MOST_SECONDS};
pub use usage::thread_micros;
