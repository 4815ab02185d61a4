//! Addresses that a daemon listens on or connects to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An address that a daemon binds and the address under which others connect to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenAddress {
    /// Local address that the daemon binds.
    pub bind: SocketAddr,
    /// Address that other processes use; equal to `bind` unless the settings name one.
    pub advertised: SocketAddr,
}

/// The three addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressSet {
    /// HTTP for callers.
    pub callers: ListenAddress,
    /// UDP datagrams and TCP state transfer between daemons, on the same port.
    pub peers: ListenAddress,
    /// HTTP for operators.
    pub operators: ListenAddress,
}

/// Addresses of the platform's services that every daemon depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// The replicated log that holds the control state, plans and requests.
    pub log: SocketAddr,
    /// The service that lists the backend servers of the deployment.
    pub hosts: SocketAddr,
}
