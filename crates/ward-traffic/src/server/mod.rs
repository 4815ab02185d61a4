//! The server that callers connect to.

mod accept;
mod connection;
mod routes;
mod stall;
mod start;
mod upkeep;

pub use start::{CallerServer, ServerHandle, ServerParts, StartError};
