//! Connections to engines.
//!
//! A connection carries one request at a time and is kept only after an answer
//! that was complete and matched its request. Requests that may not be repeated
//! get a connection that is new or was used just now, since an engine may drop
//! an idle one at the moment the next request is sent.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use prometheus::IntCounter;
use quick_error::quick_error;
use tokio::net::TcpStream;
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use crate::clock;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const MAX_IDLE_PER_ENGINE: usize = 16;
/// Kept this long when the engine does not say for how long it keeps it.
const DEFAULT_MAX_IDLE: TimeSpan = TimeSpan::from_secs(4);
/// Idle time up to which a request that may not be repeated uses a connection.
const MAX_FRESH_IDLE: TimeSpan = TimeSpan::from_millis(1_500);
/// Idle time that lets stray bytes after an answer show up.
const MIN_IDLE_TIME: TimeSpan = TimeSpan::from_millis(10);
/// Part of the engine's own timeout for which a connection is kept, in percent.
const KEEP_ALIVE_PERCENT: u64 = 70;

quick_error! {
    /// No connection came about, so nothing was sent.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum ConnectError {
        /// It was refused or reset.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// It took too long.
        Timeout {
            display("no connection in time")
        }
        /// HTTP could not be set up on it.
        Http(cause: hyper::Error) {
            from()
            display("{cause}")
        }
    }
}

/// Whether a connection may have been idle for long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionNeed {
    /// Any that the engine still keeps.
    Any,
    /// One that was used a moment ago, or a new one.
    Fresh,
    /// A new one.
    New,
}

/// A connection that carries one request at a time.
pub(crate) type EngineSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: EngineSender,
    since: MonoTime,
    max_idle: TimeSpan,
}

/// Idle connections by engine.
pub(crate) struct EnginePool {
    idle: RefCell<IndexMap<BackendId, VecDeque<IdleConnection>>>,
    opened: IntCounter,
}

impl EnginePool {
    pub(crate) fn new(opened: IntCounter) -> Self {
        Self {
            idle: RefCell::default(),
            opened,
        }
    }

    /// A connection to an engine.
    pub(crate) async fn connect(
        &self,
        engine: &BackendId,
        address: SocketAddr,
        need: ConnectionNeed,
    ) -> Result<EngineSender, ConnectError> {
        if let Some(sender) = self.take_idle(engine, need) {
            return Ok(sender);
        }
        self.opened.inc();
        let open = open_connection(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, open).await {
            Ok(result) => result,
            Err(_) => Err(ConnectError::Timeout),
        }
    }

    fn take_idle(&self, engine: &BackendId, need: ConnectionNeed) -> Option<EngineSender> {
        let idle_limit = match need {
            ConnectionNeed::Any => TimeSpan::from_micros(u64::MAX),
            ConnectionNeed::Fresh => MAX_FRESH_IDLE,
            ConnectionNeed::New => return None,
        };
        let now = clock::now();
        let mut pools = self.idle.borrow_mut();
        let idle = pools.get_mut(engine)?;
        idle.retain(|kept| kept.sender.is_ready() && now.since(kept.since) < kept.max_idle);
        let usable = |kept: &IdleConnection| {
            let idle_time = now.since(kept.since);
            idle_time <= idle_limit && idle_time >= MIN_IDLE_TIME
        };
        let index = idle.iter().rposition(usable)?;
        idle.remove(index).map(|kept| kept.sender)
    }

    /// Keeps a connection whose last answer was complete.
    pub(crate) fn put_back(
        &self,
        engine: &BackendId,
        sender: EngineSender,
        keep_alive: Option<TimeSpan>,
    ) {
        let max_idle = keep_alive.map_or(DEFAULT_MAX_IDLE, |keep_alive| {
            TimeSpan::from_millis(keep_alive.millis() * KEEP_ALIVE_PERCENT / 100)
        });
        let mut pools = self.idle.borrow_mut();
        let idle = pools.entry(engine.clone()).or_default();
        idle.push_back(IdleConnection {
            sender,
            since: clock::now(),
            max_idle,
        });
        if idle.len() > MAX_IDLE_PER_ENGINE {
            idle.pop_front();
        }
    }

    /// Closes idle connections that are too old, and all to engines that a
    /// predicate rejects.
    pub(crate) fn sweep(&self, is_known: impl Fn(&BackendId) -> bool) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|engine, idle| {
            idle.retain(|kept| kept.sender.is_ready() && now.since(kept.since) < kept.max_idle);
            is_known(engine) && !idle.is_empty()
        });
    }
}

async fn open_connection(address: SocketAddr) -> Result<EngineSender, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // How the connection ends shows in the answer that it carries.
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(sender)
}
