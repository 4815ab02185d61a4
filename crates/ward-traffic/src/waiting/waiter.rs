//! A waiting request and what it gets.

use std::net::SocketAddr;
use std::sync::Weak;

use tokio::sync::oneshot;
use tokio::time::Instant;
use ward_protocol::{BackendId, ModelReference, PriorityLevel, RequestId, RowTarget};

use super::wait_list::WaitList;
use crate::input::RequestTerms;
use crate::problem::ProblemReport;

/// A request that needs a slot.
#[derive(Debug, Clone)]
pub struct WaitRequest {
    /// Which request.
    pub request: RequestId,
    /// Whether it may not be repeated.
    pub once: bool,
    /// The row that it means.
    pub target: RowTarget,
    /// What the caller wrote, unless it is a service.
    pub reference: Option<ModelReference>,
    /// Its time limit.
    pub terms: RequestTerms,
    /// Its priority.
    pub priority: PriorityLevel,
    /// Hash of its prompt's head.
    pub prefix: u64,
    /// Whether it is suspected of crashing backend servers.
    pub suspect: bool,
    /// Backend server that broke it before; taken again only if there is no other.
    pub failed_backend: Option<BackendId>,
}

/// Place in a queue: urgency, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitOrder {
    pub(super) priority: PriorityLevel,
    pub(super) deadline: Instant,
    pub(super) sequence: u64,
}

/// What a waiting request gets at last.
pub(super) type WaitResult = Result<SlotGrant, ProblemReport>;

/// A request in the queue.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) request: WaitRequest,
    pub(super) sender: oneshot::Sender<WaitResult>,
}

/// A result on its way to a waiter; delivered without the lock, because a
/// grant that nobody takes gives its slot back under that lock.
pub(super) struct WaitDelivery {
    pub(super) sender: oneshot::Sender<WaitResult>,
    pub(super) result: WaitResult,
}

impl WaitDelivery {
    pub(super) fn deliver(self) {
        // A waiter that has gone drops the result.
        let _ = self.sender.send(self.result);
    }
}

/// A slot on a backend server.
#[derive(Debug)]
pub struct SlotGrant {
    /// What the request means now.
    pub target: RowTarget,
    /// The backend server.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Holds the slot until it is given back.
    pub permit: Option<SlotPermit>,
}

impl SlotGrant {
    /// Notes that the answer is on its way to the caller.
    pub fn mark_answering(&self) {
        if let Some(permit) = &self.permit {
            permit.mark_answering();
        }
    }

    /// Gives the slot back early.
    pub fn release(&mut self) {
        self.permit = None;
    }
}

/// Gives its slot back when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    pub(super) list: Weak<WaitList>,
    pub(super) target: RowTarget,
    pub(super) backend: BackendId,
    pub(super) suspect: bool,
    /// Number of the slot.
    pub(super) slot: u64,
    pub(super) since: Instant,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(list) = self.list.upgrade() {
            list.give_back(self);
        }
    }
}
