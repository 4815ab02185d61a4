//! Faults by steps, in virtual time.
//!
//! Several [`ward_control::ControlCore`]s run against small fakes of the log,
//! the engines and the host list. Nothing sleeps and nothing is random but for
//! a seed, so a failing cell repeats. After each event every promise is checked
//! against what the fakes hold, not against what daemons believe.
//!
//! The fake engines take every load, even one that doesn't fit: whether memory
//! is overcommitted must depend on the daemons alone. The fakes keep what the
//! design takes for granted: an order takes effect within its incarnation or never, a
//! read sees all that was appended before it began (but for the stale reads of
//! one fault, which the reader can tell by their end).

pub mod cell;
pub mod chaos;
mod daemon;
pub mod direction;
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
pub mod world;

pub use cell::{CellOutcome, MatrixCell, run_cell, run_chaos};
pub use direction::Direction;
pub use fault::FaultKind;
pub use promise::{PromiseBreach, PromiseKind};
pub use step::MatrixStep;
pub use table::{MatrixTable, pair_cells, run_cells, single_cells};
pub use world::{World, WorldOptions};
