//! Callers that send requests to a daemon, each on one connection.

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
    /// Why a request got no complete answer.
    #[derive(Debug)]
    pub enum CallerError {
        /// The TCP connection could not be opened.
        Connect(cause: std::io::Error) {
            from()
            display("cannot connect: {cause}")
        }
        /// The connection ended before the head of the answer arrived.
        Closed(cause: hyper::Error) {
            from()
            display("connection closed before an answer: {cause}")
        }
        /// The connection ended in the body; holds the status and the bytes received.
        Broken(status: StatusCode, part: Bytes) {
            display("answer {status} cut off after {} bytes", part.len())
        }
        /// The request's timeout passed before the end of the answer.
        Timeout {
            display("no complete answer within the caller's timeout")
        }
    }
}

/// A POST request that a [`StageCaller`] sends.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id, none if empty; engines record their runs under it.
    pub id: String,
    /// Path, which selects the route; the host is always [`ward_adapter::served::CALLER_HOST`].
    pub path: String,
    /// Model, with an adapter after a slash; `None` for a plain service.
    pub model: Option<String>,
    /// Time until the caller gives up; also sent as the request's deadline.
    pub timeout: Duration,
    /// Further headers, which replace those of the same name.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

impl CallerRequest {
    /// A request with a timeout of three seconds and no further headers.
    #[must_use]
    pub fn new(id: impl Into<String>, path: impl Into<String>, model: Option<&str>) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            model: model.map(str::to_owned),
            timeout: Duration::from_secs(3),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"prompt"),
        }
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers, without trailers.
    pub headers: HeaderMap,
    /// Complete body; the concatenated chunks of a stream.
    pub body: Bytes,
}

impl CallerAnswer {
    /// The body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller that sends one request after another on its own connection.
pub struct StageCaller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl StageCaller {
    /// Opens a connection to a daemon's address for callers.
    ///
    /// # Errors
    /// When the connection cannot be opened.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallerError> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // An error of the connection also fails the request that is under way on it.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender })
    }

    /// Sends a request and reads its answer to the end.
    ///
    /// # Errors
    /// When no complete answer arrives within the request's timeout.
    pub async fn send(&mut self, request: &CallerRequest) -> Result<CallerAnswer, CallerError> {
        match tokio::time::timeout(request.timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallerError::Timeout),
        }
    }

    async fn exchange(&mut self, request: &CallerRequest) -> Result<CallerAnswer, CallerError> {
        let mut outgoing = Request::new(Full::new(request.body.clone()));
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
        let mut received = Vec::new();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => return Err(CallerError::Broken(head.status, received.into())),
            }
        }
        Ok(CallerAnswer {
            status: head.status,
            headers: head.headers,
            body: received.into(),
        })
    }
}
