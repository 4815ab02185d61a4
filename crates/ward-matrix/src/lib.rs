//! Fault matrix in virtual time: injects each fault at each step of a session.
//!
//! Several [`ward_control::ControlCore`]s run against small fakes of the log,
//! the engines and the host list. Nothing sleeps and all randomness comes from
//! one seed, so a failing cell can be reproduced. After each event every promise
//! is checked against the state of the fakes, not against the daemons' own state.
//!
//! The fake engines accept every load, even one that doesn't fit: whether memory
//! is overcommitted must depend on the daemons alone. The fakes guarantee what
//! the design assumes: an order takes effect within its lifetime or never, and a
//! read returns everything that was appended before it began (except for the
//! stale reads of one fault, which a reader detects by the end offset).

pub mod cell;
pub mod chaos;
mod daemon;
pub mod engine;
pub mod fault;
pub mod hosts;
mod inject;
pub mod log;
mod perform;
pub mod promise;
pub mod render;
pub mod script;
mod setup;
pub mod step;
pub mod table;
pub mod timed_step;
pub mod world;

pub use cell::{CellOutcome, MatrixCell, run_cell, run_chaos};
pub use fault::FaultKind;
pub use promise::{PromiseBreach, PromiseKind};
pub use step::MatrixStep;
pub use table::{MatrixTable, pair_cells, run_cells, single_cells};
pub use timed_step::TimedStep;
pub use world::{World, WorldOptions};
