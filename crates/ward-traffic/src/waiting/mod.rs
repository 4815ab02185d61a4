//! The queue of requests that wait for backend servers, and the servers' slots.
//!
//! One lock protects both, because a slot that becomes free is given to the first
//! waiting request in the same step. The lock is held for a few microseconds and
//! never across an await. The alternative, a queue per key with its own lock, would
//! still need shared state for the bound on all waiting requests and for evicting
//! the least urgent one; no measurement showed the single lock to be a bottleneck.

mod admission;
mod decision;
mod hold;
mod listing;
mod slots;
mod state;
mod ticket;
mod wait_list;
mod waiter;

pub use decision::{WaitDecision, decide_wait};
pub use listing::{EntryPhase, RequestEntry};
pub use slots::{ReplicaSlots, SlotCriteria};
pub use ticket::WaitTicket;
pub use wait_list::{AcquireResult, WaitList, WaitSettings};
pub use waiter::{SlotGrant, SlotPermit, WaitRequest};
