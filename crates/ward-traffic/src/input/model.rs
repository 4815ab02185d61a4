//! Parses the body of a model request, and keeps the fields needed for routing together
//! with the original bytes.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use ward_backend::request::CallBody;
use ward_protocol::{ModelReference, ReplicaKey, ResultCode};

use crate::problem::ProblemReport;

/// Length in bytes of the prompt's beginning that is hashed, to send requests with
/// the same beginning to a replica that may have it cached.
const PREFIX_BYTES: usize = 1 << 10;

#[derive(Deserialize)]
struct BodyFields<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// Body of a model request with its parsed fields.
#[derive(Debug, Clone)]
pub struct ModelBody {
    bytes: Bytes,
    model_span: Range<usize>,
    /// Model that the caller named, with or without a version.
    pub reference: ModelReference,
    /// Whether the caller wants the answer as a stream of events.
    pub stream: bool,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: u64,
}

impl TryFrom<Bytes> for ModelBody {
    type Error = ProblemReport;

    fn try_from(bytes: Bytes) -> Result<Self, ProblemReport> {
        let fields: BodyFields<'_> = serde_json::from_slice(&bytes)
            .map_err(|error| malformed(format!("the body is not a valid JSON request: {error}")))?;
        let text = fields.model.get();
        // `RawValue` borrows from `bytes`, so the difference of the two start
        // addresses is its offset in the body.
        let start = text.as_ptr() as usize - bytes.as_ptr() as usize;
        let model_span = start..start + text.len();
        let name: Cow<'_, str> = serde_json::from_str(text)
            .map_err(|_| malformed("model is not a string".to_owned()))?;
        let reference = name
            .parse()
            .map_err(|error| malformed(format!("model: {error}")))?;
        let prompt = fields.messages.or(fields.prompt).map_or("", RawValue::get);
        let prefix_hash = prefix_hash(prompt.as_bytes());
        Ok(Self {
            model_span,
            reference,
            stream: fields.stream.unwrap_or(false),
            prefix_hash,
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

    /// The body with a replica's key as the model; the rest is shared, not copied.
    #[must_use]
    pub fn for_replica(&self, key: &ReplicaKey) -> CallBody {
        let head = self.bytes.slice(..self.model_span.start);
        let tail = self.bytes.slice(self.model_span.end..);
        // Names have no characters that JSON would escape.
        CallBody::from_pieces(head, Bytes::from(format!("\"{key}\"")), tail)
    }
}

/// Hash of the beginning of a prompt; it is the same on every daemon.
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
