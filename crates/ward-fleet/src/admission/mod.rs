//! Which waiting requests give way when engines cannot serve all of them on time.
//!
//! Load pattern: for seconds, requests of several kinds need more of the engines than these
//! have. Some are urgent and have little time, some can wait for seconds, some need many
//! times the work of others. If the one that must start first always goes first, nearly all
//! start just too late.
//!
//! [`plan_deferrals`] keeps that order for as many as can be on time, and defers those whose
//! delay costs least: the least urgent, and of these the one that needs the most work.
//! [`ServedShares`] keeps any kind or size of request from being starved by that,
//! [`WorkFlow`] measures how much the engines do, and [`retry_delay`] tells a refused caller
//! when there will be room.

mod flow;
mod plan;
mod retry;
mod share;
mod work;

pub use flow::{WorkFlow, WorkRate};
pub use plan::{QueuedRequest, plan_deferrals};
pub use retry::retry_delay;
pub use share::{ServedShares, ShareClass, SizeBand};
pub use work::RequestWork;
