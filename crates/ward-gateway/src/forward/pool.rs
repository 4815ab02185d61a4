//! Connection pool for engines.
//!
//! A connection carries one request at a time and is kept only after a complete success
//! that matched its request. Requests that must not be retried get a connection that is
//! new or was used very recently, since an engine may close an idle one at the moment the
//! next request is sent.
//!
//! A faulty engine may write an answer once more, so that it stands where the next one is
//! expected. A request that was refused or failed may be sent again under the same id, and
//! would then take the copy for its answer; so no connection is kept after these. An
//! engine that has answered out of turn gets a new connection for each request for a
//! while.
//!
//! A faulty engine may also send interim heads without end, which the HTTP library skips;
//! so the bytes that come before an answer are limited.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use prometheus::{Histogram, IntCounter};
use quick_error::quick_error;
use slog::{Logger, info, warn};
use tokio::net::TcpStream;
use ward_http::{FairStream, HeadLimit, UnwrittenMark};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use crate::clock;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const MAX_IDLE_PER_ENGINE: usize = 16;
/// Maximum idle time of a connection when the engine states no keep-alive timeout.
const DEFAULT_MAX_IDLE: TimeSpan = TimeSpan::from_secs(4);
/// Maximum idle time of a connection that counts as fresh.
const MAX_FRESH_IDLE: TimeSpan = TimeSpan::from_millis(1_500);
/// Minimum idle time before reuse, within which excess bytes after an answer are
/// detected.
const MIN_IDLE_TIME: TimeSpan = TimeSpan::from_millis(10);
/// Time within which bytes that an engine wrote together with an answer arrive after it.
const EXCESS_BYTES_DELAY: Duration = Duration::from_millis(50);
/// Time for which no connection is reused to an engine that has answered out of turn.
const UNRELIABLE_TIME: TimeSpan = TimeSpan::from_secs(30);
/// Time that one connection works at a stretch from which on it is logged.
const LONG_TURN: TimeSpan = TimeSpan::from_millis(50);
/// Percentage of the engine's keep-alive timeout for which a connection is kept.
const MAX_IDLE_PERCENT_OF_KEEP_ALIVE: u64 = 70;

quick_error! {
    /// A connection could not be established, so nothing was sent.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum ConnectError {
        /// The connection could not be opened.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// The connection was not established within the timeout.
        Timeout {
            display("no connection in time")
        }
        /// The HTTP handshake failed.
        Http(cause: hyper::Error) {
            from()
            display("{cause}")
        }
    }
}

/// How long a connection for a request may have been idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionNeed {
    /// As long as connections stay in the pool.
    Any,
    /// At most `MAX_FRESH_IDLE`; otherwise a new connection is opened.
    Fresh,
    /// Always a new connection.
    New,
}

/// A connection to an engine, which carries one request at a time.
pub(crate) struct EngineConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Requests that it carried before the current one.
    pub(super) carried: u32,
    /// Armed for each request, and lifted when the head of its answer is complete.
    pub(super) head_limit: HeadLimit,
    unwritten: UnwrittenMark,
}

impl EngineConnection {
    /// Whether the current request has not been written to its end.
    pub(crate) fn is_writing(&self) -> bool {
        self.unwritten.is_set()
    }

    /// Whether the connection is still open some time after an answer, and has brought
    /// nothing more.
    pub(crate) async fn is_idle_after_answer(&self) -> bool {
        tokio::time::sleep(EXCESS_BYTES_DELAY).await;
        self.sender.is_ready()
    }
}

struct IdleConnection {
    connection: EngineConnection,
    idle_since: MonoTime,
    max_idle: TimeSpan,
}

impl IdleConnection {
    /// Whether the connection is open and not idle for too long.
    fn is_usable(&self, now: MonoTime) -> bool {
        self.connection.sender.is_ready() && now.since(self.idle_since) < self.max_idle
    }
}

/// A pool of idle connections by engine.
pub(crate) struct EnginePool {
    idle: RefCell<IndexMap<BackendId, VecDeque<IdleConnection>>>,
    /// Engines that have answered out of turn, and until when no connection to them is
    /// reused.
    unreliable: RefCell<IndexMap<BackendId, MonoTime>>,
    opened: IntCounter,
    /// Seconds that a connection worked at a stretch while all other work waited.
    turns: Histogram,
    logger: Logger,
}

impl EnginePool {
    pub(crate) fn new(opened: IntCounter, turns: Histogram, logger: Logger) -> Self {
        Self {
            idle: RefCell::default(),
            unreliable: RefCell::default(),
            opened,
            turns,
            logger,
        }
    }

    /// Takes an idle connection to an engine, or opens one.
    pub(crate) async fn connect(
        &self,
        engine: &BackendId,
        address: SocketAddr,
        need: ConnectionNeed,
    ) -> Result<EngineConnection, ConnectError> {
        if let Some(connection) = self.take_idle(engine, need) {
            return Ok(connection);
        }
        self.opened.inc();
        let open = self.open_connection(engine.clone(), address);
        match tokio::time::timeout(CONNECT_TIMEOUT, open).await {
            Ok(result) => result,
            Err(_) => Err(ConnectError::Timeout),
        }
    }

    fn take_idle(&self, engine: &BackendId, need: ConnectionNeed) -> Option<EngineConnection> {
        let idle_limit = match need {
            ConnectionNeed::Any => TimeSpan::from_micros(u64::MAX),
            ConnectionNeed::Fresh => MAX_FRESH_IDLE,
            ConnectionNeed::New => return None,
        };
        let now = clock::now();
        let mut pools = self.idle.borrow_mut();
        let idle = pools.get_mut(engine)?;
        idle.retain(|kept| kept.is_usable(now));
        let usable = |kept: &IdleConnection| {
            let idle_time = now.since(kept.idle_since);
            idle_time <= idle_limit && idle_time >= MIN_IDLE_TIME
        };
        let index = idle.iter().rposition(usable)?;
        idle.remove(index).map(|kept| kept.connection)
    }

    /// Keeps a connection whose last answer was a complete success; `keep_alive` is the engine's
    /// keep-alive timeout, if stated.
    pub(crate) fn put_back(
        &self,
        engine: &BackendId,
        mut connection: EngineConnection,
        keep_alive: Option<TimeSpan>,
    ) {
        connection.carried = connection.carried.saturating_add(1);
        if self.is_unreliable(engine) {
            return;
        }
        let max_idle = keep_alive.map_or(DEFAULT_MAX_IDLE, |keep_alive| {
            TimeSpan::from_millis(keep_alive.millis() * MAX_IDLE_PERCENT_OF_KEEP_ALIVE / 100)
        });
        let mut pools = self.idle.borrow_mut();
        let idle = pools.entry(engine.clone()).or_default();
        idle.push_back(IdleConnection {
            connection,
            idle_since: clock::now(),
            max_idle,
        });
        if idle.len() > MAX_IDLE_PER_ENGINE {
            idle.pop_front();
        }
    }

    /// Closes the idle connections to an engine that has answered out of turn, and reuses
    /// none for a while.
    pub(crate) fn record_unreliable(&self, engine: &BackendId) {
        self.idle.borrow_mut().shift_remove(engine);
        let until = clock::now() + UNRELIABLE_TIME;
        self.unreliable.borrow_mut().insert(engine.clone(), until);
    }

    fn is_unreliable(&self, engine: &BackendId) -> bool {
        let unreliable = self.unreliable.borrow();
        unreliable
            .get(engine)
            .is_some_and(|until| *until > clock::now())
    }

    /// Closes connections that were idle for too long, and all idle connections to
    /// engines for which `is_known` returns false.
    pub(crate) fn sweep(&self, is_known: impl Fn(&BackendId) -> bool) {
        let now = clock::now();
        self.unreliable.borrow_mut().retain(|_, until| *until > now);
        self.idle.borrow_mut().retain(|engine, idle| {
            idle.retain(|kept| kept.is_usable(now));
            is_known(engine) && !idle.is_empty()
        });
    }

    async fn open_connection(
        &self,
        engine: BackendId,
        address: SocketAddr,
    ) -> Result<EngineConnection, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let head_limit = HeadLimit::default();
        let stream = FairStream::new(stream, head_limit.clone());
        let unwritten = stream.unwritten();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let logger = self.logger.clone();
        let connection = timed_turns(connection, self.turns.clone(), engine.clone(), &logger);
        tokio::task::spawn_local(async move {
            // Also returned for the answer that the connection carries, but bytes on an
            // idle connection are seen only here.
            if let Err(cause) = connection.await {
                info!(
                    logger, "pool: connection failed"; "engine" => %engine, "cause" => %cause,
                    "source" => cause.source().map(ToString::to_string),
                );
            }
        });
        Ok(EngineConnection {
            sender,
            carried: 0,
            head_limit,
            unwritten,
        })
    }
}

/// Observes how long a connection works at a stretch, and logs when other work had to wait
/// for long.
fn timed_turns<F: Future>(
    connection: F,
    turns: Histogram,
    engine: BackendId,
    logger: &Logger,
) -> impl Future<Output = F::Output> + use<F> {
    let mut connection = Box::pin(connection);
    let logger = logger.clone();
    std::future::poll_fn(move |cx| {
        let begun = clock::now();
        let result = connection.as_mut().poll(cx);
        let span = clock::now().since(begun);
        turns.observe(span.seconds());
        if span >= LONG_TURN {
            warn!(
                logger, "pool: a connection held up all other work"; "engine" => %engine,
                "millis" => span.millis(),
            );
        }
        result
    })
}
