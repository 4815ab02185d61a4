//! Client of the platform's list of live and leaving hosts.

mod client;
mod wire;

pub use client::{HostClient, HostsError};
