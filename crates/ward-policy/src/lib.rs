//! Decisions under load, as plain functions over plain data.
//!
//! No function here reads a clock, draws a random number or performs I/O: the
//! time, the load and the settings come in as values.

pub mod gaps;
pub mod keep;
pub mod pick;
pub mod place;
pub mod rendezvous;

pub use keep::{GapHistory, KeepTerms};
pub use pick::{PickCandidate, pick_replica};
pub use place::{
    EngineView, HeldReplica, PlaceChoice, PlaceRequest, place_replica, place_replica_by,
    wake_engine,
};
pub use rendezvous::rendezvous_score;
