//! Answers that begin before a request has been read.

use http::{HeaderMap, HeaderName, HeaderValue};
use ward_adapter::served::{parse_request_headers, signed_answer_headers};

/// Body of an early answer, as far as it comes.
const PART: &[u8] = b"data: part of an answer\n\n";
const METHOD: &[u8] = b"POST ";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A success without a length and a part of its body, for a request that begins with these
/// bytes; `None` if none of a caller does. Daemons write a head in one piece.
pub(super) fn early_answer(bytes: &[u8]) -> Option<Vec<u8>> {
    let is_head_end = |window: &[u8]| window == HEAD_END;
    let head_length = bytes
        .windows(HEAD_END.len())
        .position(is_head_end)
        .filter(|_| bytes.starts_with(METHOD))?;
    let received = parse_request_headers(&headers_of(&bytes[..head_length]));
    let mut answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\n".to_vec();
    for (name, value) in &signed_answer_headers(received.id.as_ref(), "early") {
        answer.extend_from_slice(name.as_str().as_bytes());
        answer.extend_from_slice(b": ");
        answer.extend_from_slice(value.as_bytes());
        answer.extend_from_slice(b"\r\n");
    }
    answer.extend_from_slice(b"\r\n");
    answer.extend_from_slice(PART);
    Some(answer)
}

/// The header fields of a head, without those that cannot be parsed.
fn headers_of(head: &[u8]) -> HeaderMap {
    let lines = head.split(|byte| *byte == b'\n').skip(1);
    let fields = lines.filter_map(|line| {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = HeaderName::from_bytes(&line[..colon]).ok()?;
        let value = HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).ok()?;
        Some((name, value))
    });
    fields.collect()
}
