//! The control state that every daemon keeps, as a pure state machine.
//!
//! Each daemon applies the same records in the order of their offsets, so equal
//! offsets mean equal states. A record is a proposal: [`ClusterState`] takes it
//! or rejects it by rules that bound replicas and memory whoever proposes. No
//! clock, no randomness and no I/O is used here.
//!
//! Plans keep their last revisions as reverse differences. Whole copies per
//! revision were weighed: simpler, but 64 copies of 28,700 rows make a snapshot
//! of hundreds of megabytes. A revision newer than the adopted one is never
//! dropped, so whether an `Adopt` can be honoured doesn't depend on how far
//! ahead a daemon has read the plan stream.
//!
//! Ownership is stored with each engine although it could be computed from the
//! members: an engine must remember the offset at which it moved, and storing
//! it lets a join touch only the engines won and a leave only the leaver's.
//!
//! A settled owner is one that has shown, by a record that only a settled owner
//! writes, that all orders of earlier owners are over. A clean leave lets the
//! next owner start at once only if the leaver was settled; otherwise an older
//! owner's order could still be on its way.

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
