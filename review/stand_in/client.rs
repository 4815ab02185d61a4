//! Requesters.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Conn;
use crate::now_ms;

/// What a requester got.
pub struct Answer {
    pub sent_ms: f64,
    pub ended_ms: f64,
    /// `None` if the connection ended without the head of an answer.
    pub status: Option<u16>,
    pub signature: Option<String>,
    pub id: Option<String>,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub complete: bool,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub headers: &'a str,
    pub body: &'a [u8],
    /// The requester's time limit.
    pub limit_ms: u64,
    /// Silence after which the requester gives the answer up.
    pub silence_ms: u64,
}

/// Sends a request on a connection of its own and reads the answer; `reached` is called
/// when the request has been written.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer {
        sent_ms: now_ms(),
        ended_ms: 0.0,
        status: None,
        signature: None,
        id: None,
        body: Vec::new(),
        complete: false,
    };
    exchange(address, request, &mut answer);
    answer.ended_ms = now_ms();
    answer
}

fn exchange(address: SocketAddr, request: &Request, answer: &mut Answer) {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(request.silence_ms)));
    let mut conn = Conn::new(stream);
    let length = if request.method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", request.body.len())
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: callers.example\r\nX-Persimmonward-Request-Id: {}\r\nX-Persimmonward-Deadline-Remaining: {}\r\n{}{length}\r\n",
        request.method, request.path, request.id, request.limit_ms, request.headers
    );
    if conn.write(head.as_bytes()).and_then(|()| conn.write(request.body)).is_err() {
        return;
    }
    let Ok(Some(head)) = conn.read_head() else { return };
    answer.status = head.word(1).parse().ok();
    answer.signature = head.get("x-persimmonward-server-signature").map(str::to_owned);
    answer.id = head.get("x-persimmonward-request-id").map(str::to_owned);
    let body = conn.read_body(&head);
    answer.body = body.bytes;
    answer.complete = body.complete;
}

/// Whether a daemon's readiness check succeeds.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut conn = Conn::new(stream);
    if conn.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    matches!(conn.read_head(), Ok(Some(head)) if head.word(1) == "200")
}
