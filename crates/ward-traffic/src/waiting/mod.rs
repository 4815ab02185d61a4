//! Requests that wait for a backend server, and the slots that they wait for.
//!
//! One lock holds both, because a slot that frees goes to the first waiting
//! request in the same step; it is held for a few microseconds and never across
//! an await. Weighed against a queue per key with its own lock: the bound on all
//! waiting requests and the refusal of the least urgent one need a common view
//! anyway, and no measurement showed the single lock as a limit.

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
