//! Idle connections by backend server.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use super::connection::BackendConnection;

/// Idle connections, the max_idle recently used first.
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

    /// Takes an idle connection.
    pub(super) fn take(&self, address: SocketAddr) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let fresh = connection.idle_since.elapsed() < self.idle_timeout;
            if fresh && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put(&self, mut connection: BackendConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.max_idle {
            connections.push(connection);
        }
    }

    /// Drops connections that were idle for too long.
    pub(super) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|connection| connection.idle_since.elapsed() < self.idle_timeout);
            !connections.is_empty()
        });
    }
}
