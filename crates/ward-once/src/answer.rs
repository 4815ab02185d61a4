//! Outcomes of beginning a request, and the answers kept under idempotency keys.

use ward_protocol::codec::decode;
use ward_protocol::{LogOffset, RequestEnvelope, RequestRecord};

use crate::shard::Shard;

/// The answer of a completed request, kept under its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// The body; `None` if it exceeded [`kept_answer_bytes`](crate::OnceSettings).
    pub body: Option<Vec<u8>>,
}

impl KeptAnswer {
    pub(crate) fn from_record(record: &RequestRecord) -> Option<Self> {
        let RequestRecord::Done {
            status,
            content_type,
            body,
        } = record
        else {
            return None;
        };
        Some(Self {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
        })
    }

    pub(crate) fn size(&self) -> usize {
        size_of::<Self>() + self.content_type.len() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Whether a request may be sent now, or why not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The caller may send the request once and must then call
    /// [`finish`](crate::OnceStore::finish).
    Send,
    /// The request ran before; this is its answer.
    Kept(KeptAnswer),
    /// The request ran before; its answer was too large to keep or can't be read.
    AnswerLost,
    /// The request may have run: the daemon that began it is no longer a member, or
    /// reported that it doesn't know the outcome.
    InDoubt,
    /// The request was begun before and did not end before the deadline.
    Running,
    /// The key was used for another request.
    KeyReused,
    /// The key's own timestamp is older than the key retention.
    KeyExpired,
    /// The log can't be reached, or didn't return the `Begin` record in time; nothing was
    /// sent.
    LogDown,
}

/// Reads the answer in the record at `offset` from the cache or else from the log.
pub(crate) async fn kept_answer(shard: &Shard, offset: LogOffset) -> BeginOutcome {
    if let Some(answer) = shard.cached_answer(offset) {
        return outcome_of(answer);
    }
    let Ok(read) = (shard.ports.read)(offset).await else {
        return BeginOutcome::AnswerLost;
    };
    let answer = read
        .records
        .iter()
        .find(|record| record.offset == offset)
        .and_then(|record| decode::<RequestEnvelope>(&record.bytes).ok())
        .and_then(|envelope| KeptAnswer::from_record(&envelope.body));
    answer.map_or(BeginOutcome::AnswerLost, outcome_of)
}

fn outcome_of(answer: KeptAnswer) -> BeginOutcome {
    if answer.body.is_none() {
        return BeginOutcome::AnswerLost;
    }
    BeginOutcome::Kept(answer)
}
