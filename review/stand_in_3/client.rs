//! Stand-in of a requester: one request on a connection of its own.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Journal;

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub time_ms: u64,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Status of the answer; zero if there was none.
    pub status: u16,
    /// Whether the body is complete.
    pub is_whole: bool,
    pub body: String,
    pub signature: Option<String>,
}

/// Sends a request, and waits for its whole answer.
pub fn send(address: &str, request: &Request, journal: &Journal) -> Outcome {
    journal.line(&format!("{} sent to {address}: {} {}", request.id, request.method, request.path));
    let start = Instant::now();
    let mut outcome = Outcome {
        status: 0,
        is_whole: false,
        body: String::new(),
        signature: None,
    };
    let result = exchange(address, request, &mut outcome);
    journal.line(&format!(
        "{} answered: status {}, {}, {} bytes, {} ms{}",
        request.id,
        outcome.status,
        if outcome.is_whole { "whole" } else { "cut" },
        outcome.body.len(),
        start.elapsed().as_millis(),
        result.err().map_or(String::new(), |cause| format!(" ({cause})")),
    ));
    outcome
}

fn exchange(address: &str, request: &Request, outcome: &mut Outcome) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.time_ms)))?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Persimmonward-Request-Id: {}\r\nX-Persimmonward-Deadline-Remaining: {}\r\n",
        request.method, request.path, request.host, request.id, request.time_ms,
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{}", request.body.len(), request.body));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    outcome.status = head.status();
    outcome.signature = head.get("x-persimmonward-server-signature").map(str::to_owned);
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = http::read_chunk(&mut reader)? {
            outcome.body.push_str(&String::from_utf8_lossy(&chunk));
        }
    } else {
        let body = http::read_body(&mut reader, &head)?;
        outcome.body = String::from_utf8_lossy(&body).into_owned();
    }
    outcome.is_whole = true;
    Ok(())
}
