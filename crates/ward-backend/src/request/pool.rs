//! Pool of idle connections, grouped by the address of the backend server.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use ward_protocol::RequestId;

use super::connection::BackendConnection;

/// Idle connections per address; the most recently used one is taken first.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<BackendConnection>>>,
    max_idle: usize,
    idle_timeout: Duration,
}

impl ConnectionPool {
    pub(super) fn new(max_idle: usize, idle_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle,
            idle_timeout,
        }
    }

    /// Takes an open connection to `address` that has not carried `request` before; drops
    /// closed ones and those past the idle timeout.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        for index in (0..connections.len()).rev() {
            let connection = &connections[index];
            let fresh = connection.idle_since.elapsed() < self.idle_timeout;
            if !fresh || !connection.is_usable() {
                connections.remove(index);
            } else if !connection.has_carried(request) {
                return Some(connections.remove(index));
            }
        }
        None
    }

    /// Returns a connection whose answer was read to its end; closes it when the pool is full
    /// or it has carried too many requests.
    pub(super) fn put(&self, mut connection: BackendConnection) {
        if !connection.is_usable() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.max_idle {
            connections.push(connection);
        }
    }

    /// Drops connections that have been idle for longer than the idle timeout.
    pub(super) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|connection| connection.idle_since.elapsed() < self.idle_timeout);
            !connections.is_empty()
        });
    }
}
