//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// First line and header fields of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header field; names are compared without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let field = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Word of the first line by its place.
    pub fn word(&self, place: usize) -> &str {
        self.line.split(' ').nth(place).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn length(&self) -> usize {
        self.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field)? == 0 {
            return Ok(None);
        }
        let field = field.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let line = line.trim_end().to_owned();
    Ok(Some(Head { line, headers }))
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    while let Some(chunk) = read_chunk(reader)? {
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Reads one chunk; `None` for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut size = String::new();
    if reader.read_line(&mut size)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(size.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes one chunk of a body; an empty one ends it.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// Value of a parameter in the query of a request line.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
