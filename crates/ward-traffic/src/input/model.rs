//! The body of a model request, read once.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use ward_backend::request::CallBody;
use ward_protocol::{ModelReference, ReplicaKey, ResultCode};

use crate::problem::ProblemReport;

/// Bytes of the prompt that decide which replica's cache may hold its head.
const PREFIX_BYTES: usize = 1 << 10;

#[derive(Deserialize)]
struct BodyHead<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// A model request's body and what matters of it.
#[derive(Debug, Clone)]
pub struct ModelBody {
    bytes: Bytes,
    span: Range<usize>,
    /// The model asked for.
    pub reference: ModelReference,
    /// Whether the answer is to be a stream.
    pub stream: bool,
    /// Hash of the prompt's head.
    pub prefix: u64,
}

impl TryFrom<Bytes> for ModelBody {
    type Error = ProblemReport;

    fn try_from(bytes: Bytes) -> Result<Self, ProblemReport> {
        let head: BodyHead<'_> = serde_json::from_slice(&bytes)
            .map_err(|error| malformed(format!("the body is not the JSON expected: {error}")))?;
        let text = head.model.get();
        // `RawValue` borrows from `bytes`, so the distance of the two starts is its place.
        let start = text.as_ptr() as usize - bytes.as_ptr() as usize;
        let span = start..start + text.len();
        let name: Cow<'_, str> =
            serde_json::from_str(text).map_err(|_| malformed("model is not a text".to_owned()))?;
        let reference = name
            .parse()
            .map_err(|error| malformed(format!("model: {error}")))?;
        let prompt = head.messages.or(head.prompt).map_or("", RawValue::get);
        let prefix = prefix_hash(prompt.as_bytes());
        Ok(Self {
            span,
            reference,
            stream: head.stream.unwrap_or(false),
            prefix,
            bytes,
        })
    }
}

impl ModelBody {
    /// The body as received.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The body with the model replaced by a replica's key; the rest is shared, not copied.
    #[must_use]
    pub fn for_replica(&self, key: &ReplicaKey) -> CallBody {
        let head = self.bytes.slice(..self.span.start);
        let tail = self.bytes.slice(self.span.end..);
        // Names hold no character that JSON would escape.
        CallBody::spliced(head, Bytes::from(format!("\"{key}\"")), tail)
    }
}

/// Hash of a prompt's head, the same on every daemon.
#[must_use]
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    let head = &prompt[..prompt.len().min(PREFIX_BYTES)];
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(head).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

fn malformed(detail: String) -> ProblemReport {
    ProblemReport::refused(ResultCode::MalformedRequest, detail)
}
