//! Reads the status reports of engines.

mod fetch;

pub use fetch::{StatusError, fetch_status};
