//! Closures instead of a daemon, and a client that writes plain HTTP/1.1.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::FutureExt;
use serde::de::DeserializeOwned;
use slog::{Drain, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use ward_operator::{
    CallFuture, DumpAnswer, HistoryAnswer, HostsAnswer, ModelsAnswer, OperatorCalls, OperatorError,
    OperatorServer, PlanAnswer, PlanStatusAnswer, RequestsAnswer, SubmitRequest, SubmitResult,
    TokenDigest, operator_router, serve_operators,
};
use ward_protocol::{PlanRevision, ResultCode, ViewMode, WallTime};

/// The token that the fake daemon requires.
pub(crate) const TOKEN: &str = "correct-horse-battery";

/// A sheet without mistakes.
pub(crate) const SHEET: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable\n\
                         colours@1;;;1;0;;3;8GiB;yes\n\
                         services/booking;;;;;;0;;no\n";

/// What the closures answer and which plans they received.
#[derive(Clone)]
pub(crate) struct FakeDaemon {
    state: Arc<Mutex<FakeState>>,
    log: LogBuffer,
}

struct FakeState {
    mode: ViewMode,
    result: SubmitResult,
    submitted: Vec<SubmitRequest>,
    /// Number of next calls for the newest plan that are answered with an older one.
    lag: u32,
}

impl Default for FakeDaemon {
    fn default() -> Self {
        let state = FakeState {
            mode: ViewMode::Full,
            result: SubmitResult::Accepted {
                revision: PlanRevision(4),
            },
            submitted: Vec::new(),
            lag: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            log: LogBuffer::default(),
        }
    }
}

impl FakeDaemon {
    /// Serves the API on a free port.
    pub(crate) async fn start(&self) -> ApiClient {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = self.log.logger();
        let token = Some(TokenDigest::from_token(TOKEN));
        let registry = prometheus::Registry::new();
        let server = OperatorServer::new(self.calls(), token, registry, log.clone()).unwrap();
        let router = operator_router(Arc::new(server));
        tokio::spawn(serve_operators(
            listener,
            router,
            std::future::pending(),
            log,
        ));
        ApiClient { address }
    }

    /// Plans submitted so far.
    pub(crate) fn submitted(&self) -> Vec<SubmitRequest> {
        self.state.lock().unwrap().submitted.clone()
    }

    /// Sets the result of later submissions.
    pub(crate) fn set_submit_result(&self, result: SubmitResult) {
        self.state.lock().unwrap().result = result;
    }

    /// Sets how many of the next calls for the newest plan are answered with an older one.
    pub(crate) fn set_lag(&self, calls: u32) {
        self.state.lock().unwrap().lag = calls;
    }

    /// Sets the mode that the daemon reports.
    pub(crate) fn set_mode(&self, mode: ViewMode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Log lines written so far.
    pub(crate) fn log_text(&self) -> String {
        String::from_utf8(self.log.0.lock().unwrap().clone()).unwrap()
    }

    fn calls(&self) -> OperatorCalls {
        let submit_state = Arc::clone(&self.state);
        let mode_state = Arc::clone(&self.state);
        let plan_state = Arc::clone(&self.state);
        OperatorCalls {
            submit: Arc::new(move |request| {
                let mut state = submit_state.lock().unwrap();
                state.submitted.push(request);
                ready(Ok(state.result))
            }),
            plan: Arc::new(move |revision| {
                let mut state = plan_state.lock().unwrap();
                let older = revision.is_none() && state.lag > 0;
                state.lag = state.lag.saturating_sub(u32::from(older));
                ready(plan(if older {
                    Some(PlanRevision(2))
                } else {
                    revision
                }))
            }),
            history: Arc::new(|_| ready(Ok(HistoryAnswer::default()))),
            plan_status: Arc::new(|| ready(Ok(PlanStatusAnswer::default()))),
            hosts: Arc::new(|| ready(Ok(HostsAnswer::default()))),
            models: Arc::new(|| ready(Ok(ModelsAnswer::default()))),
            requests: Arc::new(|| ready(Ok(RequestsAnswer::default()))),
            dump: Arc::new(|| ready(Ok(DumpAnswer::default()))),
            mode: Arc::new(move || mode_state.lock().unwrap().mode),
        }
    }
}

fn plan(revision: Option<PlanRevision>) -> Result<PlanAnswer, OperatorError> {
    let revision = revision.unwrap_or(PlanRevision(3));
    if revision > PlanRevision(3) {
        let detail = format!("revision {revision}");
        return Err(OperatorError::refused(ResultCode::UnknownRevision, detail));
    }
    Ok(PlanAnswer {
        revision,
        author: None,
        submitted_at: WallTime(0),
        rows: Vec::new(),
    })
}

fn ready<T: Send + 'static>(answer: Result<T, OperatorError>) -> CallFuture<T> {
    std::future::ready(answer).boxed()
}

/// Log output kept in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    fn logger(&self) -> Logger {
        let decorator = slog_term::PlainSyncDecorator::new(self.clone());
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        Logger::root(drain, o!())
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Write::write(&mut *self.0.lock().unwrap(), bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Client that opens a new connection for each call.
pub(crate) struct ApiClient {
    /// Where the API listens.
    pub(crate) address: SocketAddr,
}

/// An HTTP answer with its unparsed body.
pub(crate) struct ApiAnswer {
    /// HTTP status code.
    pub(crate) status: u16,
    body: Vec<u8>,
}

impl ApiAnswer {
    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }
}

impl ApiClient {
    /// Sends one request and reads its answer to the end.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        token: Option<&str>,
        body: &str,
    ) -> ApiAnswer {
        let authorization = token.map_or(String::new(), |token| {
            format!("authorization: Bearer {token}\r\n")
        });
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
             content-length: {length}\r\n{authorization}\r\n"
        );
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        // The server may answer and close before it has read a body that is too large.
        let _ = stream.write_all(body.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        let split = bytes
            .windows(4)
            .position(|window| window == b"\r\n\r\n")
            .unwrap();
        let head = std::str::from_utf8(&bytes[..split]).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = bytes[split + 4..].to_vec();
        ApiAnswer { status, body }
    }
}
