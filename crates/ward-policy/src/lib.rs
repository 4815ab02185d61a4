//! Decisions under load, as plain functions over plain data.
//!
//! No function here reads a clock, draws a random number or performs I/O: the
//! time, the load and the settings come in as values.

pub mod ahead;
pub mod day;
pub mod gaps;
pub mod hold;
pub mod keep;
pub mod overload;
pub mod pick;
pub mod place;
pub mod rendezvous;
pub mod scale;
pub mod schedule;
pub mod slack;
pub mod standby;

pub use ahead::{ReadyTerms, order_in};
pub use hold::{AheadPick, HoldView, hold_worth, holds_engine, rank_ahead};
pub use keep::{GapHistory, KeepTerms};
pub use overload::{WaitingRequest, admits_priority, refuse_first};
pub use pick::{PickCandidate, pick_replica};
pub use place::{
    EngineView, HeldReplica, PlaceChoice, PlaceRequest, place_replica, place_replica_by,
    wake_engine,
};
pub use rendezvous::rendezvous_score;
pub use scale::{ScaleView, scale_out};
pub use schedule::{WarmSchedule, WarmSpan};
pub use slack::{SlackView, slack_left};
pub use standby::{StandbyChoice, StandbyView, standby_choice};
