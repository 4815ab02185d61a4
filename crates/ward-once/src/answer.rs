//! What is known of a key, and the answers kept under keys.

use ward_protocol::codec::decode;
use ward_protocol::{LogOffset, RequestEnvelope, RequestRecord};

use crate::shard::Shard;

/// The answer kept under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body; absent when it was too large to keep.
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

/// Whether a request may be sent, or what is known instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Send it, once; then call `finish`.
    Send,
    /// It ran before; this is its answer.
    Kept(KeptAnswer),
    /// It ran before; its answer cannot be had.
    AnswerLost,
    /// It may have run.
    InDoubt,
    /// It still runs elsewhere and did not end within the deadline.
    Running,
    /// The key was used for another request.
    KeyReused,
    /// The key is older than keys are remembered.
    KeyExpired,
    /// The log cannot be reached; nothing was sent.
    LogDown,
}

/// The answer in the record at `offset`, from memory or from the log.
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
