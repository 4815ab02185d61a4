//! Plain HTTP over a socket, which shows what arrived before a cut.

use std::io;
use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BYTES: usize = 4_096;

/// What arrived on a connection, head included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
    /// All of it; empty when the connection was cut before the answer.
    pub text: String,
}

impl RawAnswer {
    /// What follows the head, as it arrived.
    #[must_use]
    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(self.body()).unwrap_or_default()
    }
}

/// Sends one request on a connection of its own and reads until that ends.
///
/// `start` is method and path; each header ends with a line break.
///
/// # Errors
/// When the connection cannot be made or the request cannot be sent.
pub async fn raw_exchange(
    address: SocketAddr,
    method_and_path: &str,
    headers: &str,
    body: &str,
) -> io::Result<RawAnswer> {
    let mut stream = TcpStream::connect(address).await?;
    let length = body.len();
    let request = format!(
        "{method_and_path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    // A reset ends the answer like a close does.
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    Ok(RawAnswer { text })
}
