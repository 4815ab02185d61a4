//! Callers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

quick_error! {
    /// A request that got no whole answer.
    #[derive(Debug)]
    pub enum CallerError {
        /// No connection came about.
        Connect(cause: std::io::Error) {
            from()
            display("no connection: {cause}")
        }
        /// The connection broke before the answer began.
        Closed(cause: hyper::Error) {
            from()
            display("closed without a whole answer: {cause}")
        }
        /// The answer began and did not end.
        Broken(status: StatusCode, part: Bytes) {
            display("the answer {status} broke off after {} bytes", part.len())
        }
        /// The caller's own time ran out.
        Timeout {
            display("no answer in the caller's time")
        }
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: String,
    /// Its path; the host is always the same.
    pub path: String,
    /// The model, with an adapter after a slash.
    pub model: Option<String>,
    /// How long the caller waits.
    pub timeout: Duration,
    /// Other headers.
    pub headers: HeaderMap,
}

impl CallerRequest {
    /// A request with three seconds of patience.
    #[must_use]
    pub fn new(id: impl Into<String>, path: impl Into<String>, model: Option<&str>) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            model: model.map(str::to_owned),
            timeout: Duration::from_secs(3),
            headers: HeaderMap::new(),
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller with a connection of its own.
pub struct StageCaller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl StageCaller {
    /// Opens a connection.
    ///
    /// # Errors
    /// When none comes about.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallerError> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // How the connection ends shows in the answers on it.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// When no whole answer comes.
    pub async fn send(&mut self, request: &CallerRequest) -> Result<CallerAnswer, CallerError> {
        match tokio::time::timeout(request.timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallerError::Timeout),
        }
    }

    async fn exchange(&mut self, request: &CallerRequest) -> Result<CallerAnswer, CallerError> {
        let mut outgoing = Request::new(Full::new(Bytes::from_static(b"prompt")));
        *outgoing.method_mut() = Method::POST;
        if let Ok(target) = request.path.parse() {
            *outgoing.uri_mut() = target;
        }
        *outgoing.headers_mut() = ward_adapter::served::caller_headers(
            &request.id,
            request.model.as_deref(),
            request.timeout.into(),
        );
        outgoing.headers_mut().extend(request.headers.clone());
        self.sender.ready().await?;
        let answer = self.sender.send_request(outgoing).await?;
        let (head, mut body) = answer.into_parts();
        let mut whole = Vec::new();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => whole.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => return Err(CallerError::Broken(head.status, whole.into())),
            }
        }
        Ok(CallerAnswer {
            status: head.status,
            headers: head.headers,
            body: whole.into(),
        })
    }
}
