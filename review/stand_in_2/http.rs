//! A small HTTP/1.1 client and server for stand-ins, on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = bytes.get(index + 1..index + 3).and_then(|pair| {
            u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()
        });
        match (bytes[index], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    message.is_whole = if is_chunked {
        read_chunks(reader, &mut message.body).is_some()
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).is_ok()
    } else if is_answer {
        reader.read_to_end(&mut message.body).is_ok()
    } else {
        true
    };
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut part = vec![0; size + 2];
        reader.read_exact(&mut part).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&part[..size]);
    }
}

/// Writes an answer with a length.
pub fn write_answer(stream: &mut impl Write, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).and_then(|()| stream.flush()).is_ok()
}

/// Serves connections, each in a thread of its own; `answer` returns whether the connection
/// stays open.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                drop(stream.set_nodelay(true));
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader, false) {
                    if !request.is_whole || !answer(&request, &mut writer) {
                        break;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and gives each line of the answer's body to `on_line`
/// as it comes; returns the head and whether the body came to its end.
pub fn call_stream(
    address: SocketAddr,
    request: &str,
    body: &[u8],
    timeout: Duration,
    mut on_line: impl FnMut(&str),
) -> Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|cause| format!("no connection: {cause}"))?;
    drop((stream.set_nodelay(true), stream.set_read_timeout(Some(timeout))));
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|cause| format!("not sent: {cause}"))?;
    let mut reader = BufReader::new(stream);
    let mut answer = Message::default();
    let closed = || "closed without an answer".to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(|cause| cause.to_string())? == 0 {
            return Err(closed());
        }
        match line.trim_end() {
            "" => break,
            text if answer.start.is_empty() => answer.start = text.to_owned(),
            text => {
                let (name, value) = text.split_once(':').ok_or_else(closed)?;
                answer.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }
    let is_chunked = answer.header("transfer-encoding").is_some();
    while is_chunked {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            break;
        };
        let mut part = vec![0; size + 2];
        if reader.read_exact(&mut part).is_err() {
            break;
        }
        if size == 0 {
            answer.is_whole = true;
            break;
        }
        String::from_utf8_lossy(&part[..size]).lines().for_each(&mut on_line);
    }
    Ok(answer)
}

/// Sends a request on a new connection and reads its answer; the error tells how it failed.
pub fn call(address: SocketAddr, request: &str, body: &[u8], timeout: Duration) -> Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|cause| format!("no connection: {cause}"))?;
    drop(stream.set_nodelay(true));
    drop(stream.set_read_timeout(Some(timeout)));
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|cause| format!("not sent: {cause}"))?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true).ok_or_else(|| "closed without an answer".to_owned())
}
