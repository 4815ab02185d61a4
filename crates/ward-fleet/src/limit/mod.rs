//! Rate limits that engines in need name in their answers.
//!
//! Load pattern: an engine slows down or overheats while its models are in demand, and
//! names the rate of requests that it takes from all daemons together. Daemons that keep
//! such a limit each for itself exceed it in sum, and those that share it equally leave
//! most of it unused, because callers ask only some of them for the engine's models.

mod ledger;
mod rate;

pub use self::ledger::{LimitEvidence, LimitLedger, LimitSighting};
pub use self::rate::RequestRate;
