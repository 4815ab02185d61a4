//! The part of HTTP/1.1 that the stand-ins speak.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// A start line with its headers.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The word with this index in the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A body, and whether it came to its proper end.
pub struct Body {
    pub bytes: Vec<u8>,
    pub complete: bool,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Receives more bytes; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0_u8; 16 << 10];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return Ok(true);
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Err(cause),
            }
        }
    }

    /// Reads a head; `None` if the connection ended before it was complete.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head { start, headers: headers.collect() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Takes `count` bytes; false if the connection ends or fails before.
    fn take(&mut self, count: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < count {
            if !matches!(self.fill(), Ok(true)) {
                into.append(&mut self.buffer);
                return false;
            }
        }
        into.extend(self.buffer.drain(..count));
        true
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !matches!(self.fill(), Ok(true)) {
                return None;
            }
        }
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> Body {
        if head.is_chunked() || head.length().is_some() {
            return self.read_body(head);
        }
        Body { bytes: Vec::new(), complete: true }
    }

    /// Reads the body of an answer: chunked, with a length, or up to the end of the
    /// connection. A reset is no proper end.
    pub fn read_body(&mut self, head: &Head) -> Body {
        let mut bytes = Vec::new();
        if head.is_chunked() {
            let complete = self.take_chunks(&mut bytes);
            return Body { bytes, complete };
        }
        if let Some(length) = head.length() {
            let complete = self.take(length, &mut bytes);
            return Body { bytes, complete };
        }
        loop {
            match self.fill() {
                Ok(true) => {}
                Ok(false) => return Body { bytes: std::mem::take(&mut self.buffer), complete: true },
                Err(_) => return Body { bytes: std::mem::take(&mut self.buffer), complete: false },
            }
        }
    }

    fn take_chunks(&mut self, bytes: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.take_line() else { return false };
            let size = line.split(';').next().unwrap_or("").trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return false };
            if size == 0 {
                return self.take_line().is_some();
            }
            if !self.take(size, bytes) || self.take_line().is_none() {
                return false;
            }
        }
    }
}
