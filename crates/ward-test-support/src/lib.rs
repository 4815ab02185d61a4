//! Helpers for the tests of several crates: a whole set of stand-ins in the
//! test's own process or as processes of their own, their faults and
//! histories, checks over several histories, and golden files.
//!
//! Failures here end a test, so the helpers return errors that a test can
//! unwrap; none of this is linked into the daemons.

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
