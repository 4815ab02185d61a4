//! Plain HTTP over a socket, which shows the bytes that arrived before a connection
//! was cut.

use std::io;
use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BYTES: usize = 4_096;

/// Bytes received on a connection, including the head of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
    /// Everything received, with invalid UTF-8 replaced; empty if the connection was
    /// cut before the answer.
    pub text: String,
}

impl RawAnswer {
    /// Everything received after the head, without decoding of chunks.
    #[must_use]
    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// The body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(self.body()).unwrap_or_default()
    }
}

/// Sends one request on a new connection and reads until the connection ends.
///
/// Each line of `headers` ends with `\r\n`.
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
    // A reset also ends the answer, like a regular close.
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    Ok(RawAnswer { text })
}
