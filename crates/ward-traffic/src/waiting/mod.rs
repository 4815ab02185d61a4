//! Requests that wait for a backend server, and the slots that they wait for.
//!
//! One lock holds both, because a slot that frees goes to the first waiting
//! request in the same step; it is held for a few microseconds and never across
//! an await. Weighed against a queue per key with its own lock: the bound on all
//! waiting requests and the refusal of the least urgent one need a common view
//! anyway, and no measurement showed the single lock as a limit.

mod admission;
mod hold;
mod listing;
mod outlook;
mod slots;
mod state;
mod ticket;
mod wait_list;
mod waiter;

pub use listing::{EntryPhase, RequestEntry};
pub use outlook::{Outlook, outlook_for};
pub use slots::{ReplicaSlots, SlotChoice};
pub use ticket::WaitTicket;
pub use wait_list::{EntryResult, WaitList, WaitSettings};
pub use waiter::{SlotGrant, SlotPermit, WaitRequest};
