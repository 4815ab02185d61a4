//! Whether connections to engines are kept after an answer.

use http::Response;
use hyper::body::Incoming;
use ward_adapter::header::{closes_connection, keep_alive_timeout};
use ward_protocol::TimeSpan;

use super::pool::EngineConnection;
use crate::gateway::Gateway;
use crate::queue::EngineSlot;

/// Whether a connection may be reused after an answer, and for how long.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionReuse {
    closes: bool,
    keep_alive: Option<TimeSpan>,
}

impl ConnectionReuse {
    pub(super) fn of(answer: &Response<Incoming>) -> Self {
        Self {
            closes: closes_connection(answer.headers()),
            keep_alive: keep_alive_timeout(answer.headers()),
        }
    }

    pub(super) fn put_back(
        self,
        gateway: &Gateway,
        slot: &EngineSlot,
        connection: EngineConnection,
    ) {
        if !self.closes {
            gateway
                .pool
                .put_back(&slot.engine.id, connection, self.keep_alive);
        }
    }
}
