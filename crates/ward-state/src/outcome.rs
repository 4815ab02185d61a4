//! Outcomes of applying a record.

use quick_error::quick_error;
use ward_protocol::{
    BackendId, DaemonId, Incarnation, LogOffset, MemorySize, PlanRevision, ReplicaKey,
    ReservationId, RowTarget,
};

/// Outcome of applying a control record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record took effect.
    Applied,
    /// The record was rejected. At most the applied offset and the recent ids change, but a
    /// `Found` record of the engine's owner still completes its takeover.
    Rejected(RejectReason),
    /// The plan stream must be read up to this revision first. Nothing changed, and the
    /// record must be applied again.
    NeedsPlan(PlanRevision),
}

/// Outcome of applying a plan record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanOutcome {
    /// A part of an upload was stored, or was stored before.
    PartStored,
    /// The plan was accepted as this revision.
    Accepted(PlanRevision),
    /// The record was rejected; the newest revision stays as it is.
    Rejected(PlanReject),
}

quick_error! {
    /// Why a control record was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RejectReason {
        /// The offset isn't above the last one applied.
        OldOffset(offset: LogOffset) {
            display("offset {offset} was applied before")
        }
        /// A record with this id was applied recently; its sender retried the append.
        Duplicate {
            display("a record with this id was seen before")
        }
        /// The sender isn't a member, or a `Join` record names another daemon.
        NotMember(daemon: DaemonId) {
            display("{daemon} is not a member; it must join first")
        }
        /// The incarnation is not the member's current one, or a `Join` record doesn't name
        /// a newer one.
        WrongIncarnation(daemon: DaemonId, incarnation: Incarnation) {
            display("incarnation {incarnation} of {daemon} is neither its current one nor newer")
        }
        /// The sender doesn't own the engine.
        NotOwner(backend: BackendId) {
            display("the sender does not own {backend}")
        }
        /// The state has no backend server with this id.
        UnknownBackend(backend: BackendId) {
            display("there is no backend server {backend}")
        }
        /// The state has no reservation with this id.
        UnknownReservation(reservation: ReservationId) {
            display("there is no reservation {reservation}")
        }
        /// The plan in force has no row for the replica key.
        NoRow(key: ReplicaKey) {
            display("the plan in force has no row for {key}")
        }
        /// The key has as many reservations as its row allows replicas.
        ReplicaLimit(key: ReplicaKey, replicas: u16) {
            display("the plan allows {replicas} replicas of {key}, and all are reserved")
        }
        /// The row doesn't allow the engine's availability zone.
        WrongZone(backend: BackendId) {
            display("the row does not allow the availability zone of {backend}")
        }
        /// The row doesn't allow the engine's role.
        WrongRole(backend: BackendId) {
            display("the row does not allow the role of {backend}")
        }
        /// The backend server isn't an engine, is leaving, or is in standby.
        NotLoadable(backend: BackendId) {
            display("{backend} accepts no loads: it is not an engine, is leaving or is in standby")
        }
        /// The engine hasn't enough unreserved memory.
        NoMemory(backend: BackendId, free: MemorySize) {
            display("{backend} has only {free} of unreserved memory")
        }
        /// The proposed memory differs from the row's.
        WrongMemory(row: MemorySize) {
            display("the plan row gives {row} as the memory of a replica")
        }
        /// The engine already has a reservation for the key.
        AlreadyHeld(backend: BackendId) {
            display("{backend} already has a reservation for the key")
        }
        /// The adapter's base model isn't ready on the engine, or is draining.
        NoBase(backend: BackendId) {
            display("the adapter's base model is not ready on {backend}")
        }
        /// The reservation isn't in the phase that the record needs.
        WrongPhase(reservation: ReservationId) {
            display("reservation {reservation} is not in the phase that the record needs")
        }
        /// Other limits were accepted in the meantime.
        StaleBase(base: LogOffset) {
            display("the base must be {base}, the offset of the limits in force")
        }
        /// The revision isn't newer than the one in force.
        OldRevision(adopted: PlanRevision) {
            display("revision {adopted} is in force already, and the record names no newer one")
        }
        /// The revision was not accepted, or is no longer kept.
        UnknownRevision(revision: PlanRevision) {
            display("plan revision {revision} was not accepted or is no longer kept")
        }
        /// The state already is as the record says.
        NoChange {
            display("the record changes nothing")
        }
        /// The engine has reservations, so it can't enter standby.
        NotEmpty(backend: BackendId) {
            display("{backend} still has reservations")
        }
    }
}

quick_error! {
    /// Why a plan record was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanReject {
        /// The offset isn't above the last one applied.
        OldOffset(offset: LogOffset) {
            display("offset {offset} was applied before")
        }
        /// The submission's base isn't the newest revision.
        StaleBase(head: PlanRevision) {
            display("revision {head} was accepted in the meantime; review it and submit again on top of it")
        }
        /// The revision to go back to isn't among those kept.
        UnknownRevision(revision: PlanRevision) {
            display("revision {revision} is not kept; see the plan history for those that are")
        }
        /// Two rows name the same target.
        DuplicateTarget(target: RowTarget) {
            display("two rows name {target}; remove one of them")
        }
        /// A row demands more ready replicas than it allows replicas.
        ReadyAboveLimit(target: RowTarget) {
            display("the row of {target} demands more ready replicas than it allows replicas")
        }
        /// A row to remove isn't in the newest plan.
        NoSuchRow(target: RowTarget) {
            display("the plan has no row for {target}")
        }
        /// Parts of the upload are missing, perhaps evicted by later uploads.
        MissingParts {
            display("parts of the upload are missing; submit the whole plan again")
        }
        /// The upload exceeds the maximum number of parts, or the plan that of rows.
        TooManyParts {
            display("the upload has too many parts, or the plan too many rows")
        }
    }
}
