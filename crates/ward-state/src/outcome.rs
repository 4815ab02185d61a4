//! What became of a record.

use quick_error::quick_error;
use ward_protocol::{
    BackendId, DaemonId, Incarnation, LogOffset, MemorySize, PlanRevision, ReplicaKey,
    ReservationId, RowTarget,
};

/// What became of a control record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record took effect.
    Applied,
    /// The record changed nothing.
    Rejected(RejectReason),
    /// The plan stream must be read up to this revision first; nothing changed.
    NeedsPlan(PlanRevision),
}

/// What became of a plan record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanOutcome {
    /// A part of an upload was kept.
    PartStored,
    /// The plan was accepted as this revision.
    Accepted(PlanRevision),
    /// The record changed nothing.
    Rejected(PlanReject),
}

quick_error! {
    /// Why a control record changed nothing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RejectReason {
        /// The offset was applied before.
        OldOffset(offset: LogOffset) {
            display("offset {offset} was applied before")
        }
        /// A record with this id was seen before.
        Duplicate {
            display("a record with this id was seen before")
        }
        /// The sender is no member.
        NotMember(daemon: DaemonId) {
            display("{daemon} is no member; let it join first")
        }
        /// The sender's life is over or unknown.
        WrongIncarnation(daemon: DaemonId, incarnation: Incarnation) {
            display("{daemon} is not in its life {incarnation}")
        }
        /// The sender doesn't own the engine.
        NotOwner(backend: BackendId) {
            display("the sender does not own {backend}")
        }
        /// There is no such backend server.
        UnknownBackend(backend: BackendId) {
            display("there is no backend server {backend}")
        }
        /// There is no such reservation.
        UnknownReservation(reservation: ReservationId) {
            display("there is no reservation {reservation}")
        }
        /// The plan has no such row.
        NoRow(key: ReplicaKey) {
            display("the plan in force has no row for {key}")
        }
        /// The plan allows no more replicas.
        ReplicaLimit(key: ReplicaKey, replicas: u16) {
            display("the plan allows {replicas} replicas of {key}, and all are held")
        }
        /// The row doesn't allow this zone.
        WrongZone(backend: BackendId) {
            display("the row does not allow the availability zone of {backend}")
        }
        /// The row doesn't allow this role.
        WrongRole(backend: BackendId) {
            display("the row does not allow the role of {backend}")
        }
        /// The engine takes no loads.
        NotLoadable(backend: BackendId) {
            display("{backend} takes no loads")
        }
        /// The engine has not enough memory left.
        NoMemory(backend: BackendId, free: MemorySize) {
            display("{backend} has only {free} left")
        }
        /// The memory differs from the row's.
        WrongMemory(row: MemorySize) {
            display("the row says that a replica takes {row}")
        }
        /// The engine holds a replica of the key.
        AlreadyHeld(backend: BackendId) {
            display("{backend} holds a replica of the key")
        }
        /// The adapter's base isn't ready on the engine.
        NoBase(backend: BackendId) {
            display("the adapter's base model is not ready on {backend}")
        }
        /// The reservation isn't in the phase that the record needs.
        WrongPhase(reservation: ReservationId) {
            display("reservation {reservation} is in another phase")
        }
        /// Something else was accepted in the meantime.
        StaleBase(base: LogOffset) {
            display("the base is not {base}, the one in force")
        }
        /// The revision isn't newer than the one in force.
        OldRevision(adopted: PlanRevision) {
            display("revision {adopted} is in force")
        }
        /// The plan stream has no such accepted revision.
        UnknownRevision(revision: PlanRevision) {
            display("there is no plan revision {revision}")
        }
        /// The record says what is known.
        NoChange {
            display("the record says what is known")
        }
        /// The engine holds replicas.
        NotEmpty(backend: BackendId) {
            display("{backend} holds replicas")
        }
    }
}

quick_error! {
    /// Why a plan record changed nothing.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanReject {
        /// The offset was applied before.
        OldOffset(offset: LogOffset) {
            display("offset {offset} was applied before")
        }
        /// The base isn't the newest revision.
        StaleBase(head: PlanRevision) {
            display("revision {head} was accepted in the meantime; look at it and submit again on top of it")
        }
        /// The revision isn't kept.
        UnknownRevision(revision: PlanRevision) {
            display("revision {revision} is not kept; ask the plan's history for those that are")
        }
        /// Two rows name the same target.
        DuplicateTarget(target: RowTarget) {
            display("two rows name {target}; keep one")
        }
        /// A row wants more ready than it allows.
        ReadyAboveLimit(target: RowTarget) {
            display("the row of {target} wants more replicas ready than it allows")
        }
        /// A row to take out isn't there.
        NoSuchRow(target: RowTarget) {
            display("the plan has no row for {target}")
        }
        /// Parts of the upload are missing.
        MissingParts {
            display("parts of the upload are missing; submit the whole plan again")
        }
        /// The part is too large or too many came.
        TooManyParts {
            display("the upload has too many parts or rows")
        }
    }
}
