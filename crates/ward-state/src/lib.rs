//! The replicated control state that every daemon keeps, as a deterministic state
//! machine.
//!
//! Each daemon applies the same log records in the order of their offsets, so two
//! daemons at the same offset have the same state. A record is a proposal:
//! [`ClusterState`] applies it or rejects it by rules that limit replicas and
//! memory, whichever daemon proposes it. The crate uses no clock, no randomness
//! and no I/O.
//!
//! The plan history stores recent revisions as reverse differences. A full copy
//! per revision would be simpler, but 64 copies of 28,700 rows make a snapshot of
//! hundreds of megabytes. A revision newer than the adopted one is never dropped,
//! so whether an `Adopt` record can be applied doesn't depend on how far ahead a
//! daemon has read the plan stream.
//!
//! Each engine has one owner, the daemon that sends it orders. The owner is stored
//! although it could be computed from the members: the engine's fencing number is
//! the offset at which its owner changed, and with a stored owner a join touches
//! only the engines that move to the new member, and a leave only the engines of
//! the daemon that left.
//!
//! When an engine gets a new owner, the takeover is complete once the new owner has
//! shown that all orders of earlier owners have expired. It shows this with a
//! `Release` or `Found` record, which owners write only from then on. After a clean
//! leave the next owner may start at once, but only if the leaving daemon's own
//! takeover was complete; otherwise an order of a still earlier owner could reach
//! the engine later.

pub mod admission;
mod apply;
pub mod backend;
pub mod cluster;
pub mod member;
pub mod outcome;
pub mod ownership;
pub mod plans;
pub mod recent;
pub mod reservation;
pub mod snapshot;
pub mod suspect;

pub use backend::{BackendState, FormerOwner};
pub use cluster::ClusterState;
pub use member::MemberState;
pub use outcome::{ApplyOutcome, PlanOutcome, PlanReject, RejectReason};
pub use plans::{PlanContent, PlanHistory, RevisionInfo};
pub use reservation::{ReservationPhase, ReservationState};
pub use snapshot::{SnapshotError, StateDigest};
pub use suspect::{BackendCrash, SuspectEntry};
