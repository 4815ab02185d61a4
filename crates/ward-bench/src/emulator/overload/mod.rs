//! One queue before engines that cannot serve all requests on time, in virtual time.
//!
//! It runs the order and the refusals of the daemons (`ward_fleet::{queue, flow, admission}`)
//! at several multiples of what the engines can do, with the order by latest start alone
//! beside it. A refused caller comes back once. One daemon, one model, no loads.

mod demand;
mod outcome;
mod run;

pub use demand::{DemandMix, OverloadKind, QueuedCall, draw_calls};
pub use outcome::{KindShare, OverloadOutcome, overload_table};
pub use run::{OverloadOrder, run_overload};
