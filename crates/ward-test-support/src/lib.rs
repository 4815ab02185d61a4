//! Helpers for the tests of several crates: sets of stand-ins in the test's own
//! process or as separate processes, control of their faults, checks over their
//! histories, and golden files.
//!
//! The helpers return errors that a test can unwrap. None of this crate is linked
//! into the daemons.

mod caller;
mod check;
mod control;
mod exchange;
mod golden;
pub mod process;
mod set;

pub use caller::{CallerClient, StreamText};
pub use check::{ReplicaPeak, RunCount, replica_peaks, run_counts};
pub use control::{ControlError, StandinControl};
pub use exchange::{RawAnswer, raw_exchange};
pub use golden::{GoldenError, REWRITE_VARIABLE, assert_golden, check_golden};
pub use set::{SetSettings, StandinSet, engine_settings, service_settings};
