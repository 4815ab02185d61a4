//! The daemon that serves callers on the users' platform.
//!
//! All of a daemon runs on one thread, since its hosts have a fraction of one
//! core: servers, forwarding, the link to the coordinator and, on the one
//! daemon that holds the term, the coordinator itself. State is shared through
//! `gateway::Gateway`; decisions are in `ward-fleet`, names and formats of
//! the platform in `ward-adapter`.

mod clock;
mod coordinator;
mod crash;
mod forward;
mod front;
mod gateway;
mod hub;
mod leaving;
mod metrics;
mod phase;
mod queue;
mod start;
mod stop;
mod sync;

pub use start::{GatewayError, run_gateway};
