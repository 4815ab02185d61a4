//! The daemon that serves callers on the users' platform.
//!
//! A daemon runs on a single thread, since its hosts have a fraction of one
//! core: the servers, request forwarding, the connection to the coordinator and,
//! on the one daemon that holds the current term, the coordinator itself. The
//! parts share their state through `gateway::Gateway`. Decisions are made in
//! `ward-fleet`; the names and formats of the platform are in `ward-adapter`.

mod buffer;
mod clock;
mod coordinator;
mod crash;
pub mod embedded;
pub mod events;
mod forward;
mod front;
mod gateway;
mod hub;
mod leaving;
mod limit;
mod manifest;
mod metrics;
mod phase;
mod queue;
mod quota;
mod start;
mod stop;
mod streams;
mod sync;

pub use start::{GatewayError, run_gateway};
