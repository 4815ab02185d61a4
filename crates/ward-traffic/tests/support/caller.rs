//! The server under test, and HTTP calls to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::sync::watch;
use ward_protocol::{RoutingView, TrafficLimits};
use ward_traffic::{CallerServer, ServerHandle, ServerParts, TrafficNotice};

use super::once::FakeOnce;

/// A running server with what tests control and observe.
pub struct TestServer {
    pub handle: Arc<ServerHandle>,
    pub view: watch::Sender<Arc<RoutingView>>,
    pub notices: Arc<Mutex<Vec<TrafficNotice>>>,
    pub once: FakeOnce,
    pub registry: prometheus::Registry,
}

impl TestServer {
    pub async fn start(view: RoutingView, limits: TrafficLimits) -> Self {
        let (sender, receiver) = watch::channel(Arc::new(view));
        let notices: Arc<Mutex<Vec<TrafficNotice>>> = Arc::default();
        let once = FakeOnce::default();
        let registry = prometheus::Registry::new();
        let log = Arc::clone(&notices);
        let parts = ServerParts {
            daemon: "d1".parse().unwrap(),
            zone: "a".parse().unwrap(),
            limits,
            view: receiver,
            notice: Arc::new(move |notice| log.lock().unwrap().push(notice)),
            once: once.calls(),
            registry: registry.clone(),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let handle = Arc::new(CallerServer::start(listener, parts).unwrap());
        Self {
            handle,
            view: sender,
            notices,
            once,
            registry,
        }
    }

    pub async fn with_view(view: RoutingView) -> Self {
        Self::start(view, TrafficLimits::default()).await
    }

    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    pub fn publish(&self, view: RoutingView) {
        self.view.send_replace(Arc::new(view));
    }

    pub fn notices(&self) -> Vec<TrafficNotice> {
        self.notices.lock().unwrap().clone()
    }

    pub async fn chat(&self, model: &str, headers: &[(&str, &str)]) -> CallerAnswer {
        post(
            self.address(),
            "/v1/chat/completions",
            headers,
            &chat_body(model, false),
        )
        .await
    }

    pub async fn chat_stream(&self, model: &str) -> CallerAnswer {
        post(
            self.address(),
            "/v1/chat/completions",
            &[],
            &chat_body(model, true),
        )
        .await
    }
}

/// Answer that a caller received.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body was received to its regular end.
    pub complete: bool,
}

impl CallerAnswer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Result code and outcome, such as `403 failed`.
    pub fn refusal(&self) -> String {
        format!("{} {}", self.code(), self.outcome())
    }

    pub fn code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or(0)
    }

    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or("none").to_owned()
    }
}

pub fn chat_body(model: &str, stream: bool) -> String {
    format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\"content\":\"covers\"}}]}}"
    )
}

pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerAnswer {
    call(address, Method::POST, path, headers, body).await
}

pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerAnswer {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let (parts, mut incoming) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            complete = false;
            break;
        };
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    CallerAnswer {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        complete,
    }
}
