//! Policy decisions about replicas, engines and queues, as pure functions.
//!
//! No function in this crate reads a clock, draws a random number or performs
//! I/O: the time, the load and the settings are passed in as values.

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

pub use ahead::{ReadyTerms, time_until_order};
pub use hold::{IdleReplica, PreloadChoice, keep_value, keeps_engine_awake, rank_preloads};
pub use keep::{GapHistory, KeepTerms};
pub use overload::{WaitingRequest, admits_priority, request_to_refuse};
pub use pick::{PickCandidate, pick_replica};
pub use place::{
    EngineView, HeldReplica, PlaceChoice, PlaceRequest, choose_engine_to_wake, place_replica,
    place_replica_by,
};
pub use rendezvous::rendezvous_score;
pub use scale::{ScaleView, should_scale_out};
pub use schedule::{WarmSchedule, WarmSpan};
pub use slack::{SlackView, max_load_delay};
pub use standby::{StandbyChoice, StandbyView, standby_choice};
