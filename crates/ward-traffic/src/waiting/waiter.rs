//! A waiting request, and the slot that it is granted.

use std::net::SocketAddr;
use std::sync::Weak;

use tokio::sync::oneshot;
use tokio::time::Instant;
use ward_protocol::{BackendId, ModelReference, PriorityLevel, RequestId, RowTarget};

use super::wait_list::WaitList;
use crate::input::RequestTerms;
use crate::problem::ProblemReport;

/// Request for a slot.
#[derive(Debug, Clone)]
pub struct WaitRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Row of the plan that the request is for.
    pub target: RowTarget,
    /// Model name as the caller wrote it; `None` for a service, and for a stream that
    /// must continue on the same version.
    pub reference: Option<ModelReference>,
    /// Arrival time and deadline.
    pub terms: RequestTerms,
    /// Priority in the queue.
    pub priority: PriorityLevel,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: u64,
    /// Whether the request is suspected of crashing backend servers.
    pub suspect: bool,
    /// Backend server that failed an earlier attempt; chosen only if there is no other.
    pub failed_backend: Option<BackendId>,
}

/// Position in a queue: by priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: PriorityLevel,
    pub(super) deadline: Instant,
    pub(super) sequence: u64,
}

/// Final result of a waiting request.
pub(super) type WaitResult = Result<SlotGrant, ProblemReport>;

/// Request in the queue, with the channel for its result.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) request: WaitRequest,
    pub(super) sender: oneshot::Sender<WaitResult>,
}

/// Result to be sent to a waiter after the lock is released: a grant that no one
/// receives is dropped, and its permit takes the lock to release the slot.
pub(super) struct WaitDelivery {
    pub(super) sender: oneshot::Sender<WaitResult>,
    pub(super) result: WaitResult,
}

impl WaitDelivery {
    pub(super) fn deliver(self) {
        // Fails only if the waiter is gone; the result is then dropped.
        let _ = self.sender.send(self.result);
    }
}

/// Slot on a backend server, granted to a request.
#[derive(Debug)]
pub struct SlotGrant {
    /// Row that the request is served under; it differs from the requested one if the
    /// request was moved to another version.
    pub target: RowTarget,
    /// Backend server with the slot.
    pub backend: BackendId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Holds the slot; `None` after an early release.
    pub permit: Option<SlotPermit>,
}

impl SlotGrant {
    /// Records that the answer is being sent to the caller.
    pub fn mark_answering(&self) {
        if let Some(permit) = &self.permit {
            permit.mark_answering();
        }
    }

    /// Releases the slot before the grant is dropped.
    pub fn release(&mut self) {
        self.permit = None;
    }
}

/// Releases its slot when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    pub(super) list: Weak<WaitList>,
    pub(super) target: RowTarget,
    pub(super) backend: BackendId,
    pub(super) suspect: bool,
    /// Number of the slot, the key of the running request.
    pub(super) slot: u64,
    pub(super) acquired_at: Instant,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(list) = self.list.upgrade() {
            list.release_slot(self);
        }
    }
}
