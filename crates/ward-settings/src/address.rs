//! Addresses that a daemon listens on or connects to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where a daemon listens and where others reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenAddress {
    /// Where it listens.
    pub bind: SocketAddr,
    /// What others are told; the same as `bind` unless given.
    pub advertised: SocketAddr,
}

/// The addresses of a daemon, one for each kind of peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressSet {
    /// For callers, HTTP.
    pub callers: ListenAddress,
    /// For other daemons, UDP and TCP.
    pub peers: ListenAddress,
    /// For operators, HTTP.
    pub operators: ListenAddress,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// The log service.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}
