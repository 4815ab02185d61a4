//! Encoding of a submitted plan as records of the log.

use ward_protocol::codec::{CodecError, encode};
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{PlanChange, PlanEnvelope, PlanRecord, PlanRow, RecordId, WallTime};

use crate::calls::SubmitRequest;

/// Maximum size of the encoded rows in one record.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// Returns the records of a plan, to be appended in this order.
///
/// The last record has the request's own record id and submits the plan.
/// The records before it are the parts of a plan that is too large for one record.
///
/// # Errors
/// Fails when a row cannot be encoded.
pub fn plan_records(
    request: &SubmitRequest,
    submitted_at: WallTime,
) -> Result<Vec<PlanEnvelope>, CodecError> {
    let envelope = |id, body| PlanEnvelope {
        format: RECORD_FORMAT,
        id,
        author: request.author.clone(),
        submitted_at,
        body,
    };
    let parts = match &request.change {
        PlanChange::Whole { rows } => split_rows(rows)?,
        PlanChange::Parts { .. } | PlanChange::Rows { .. } | PlanChange::Retreat { .. } => {
            Vec::new()
        }
    };
    if parts.len() <= 1 {
        let body = PlanRecord::Submit {
            base: request.base,
            change: request.change.clone(),
        };
        return Ok(vec![envelope(request.record, body)]);
    }
    let upload = RecordId::random();
    let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
    let parts = parts.into_iter().zip(0_u16..).map(|(rows, index)| {
        let body = PlanRecord::Part {
            upload,
            index,
            rows,
        };
        envelope(RecordId::random(), body)
    });
    let submit = PlanRecord::Submit {
        base: request.base,
        change: PlanChange::Parts { upload, count },
    };
    Ok(parts.chain([envelope(request.record, submit)]).collect())
}

fn split_rows(rows: &[PlanRow]) -> Result<Vec<Vec<PlanRow>>, CodecError> {
    let mut parts: Vec<Vec<PlanRow>> = Vec::new();
    let mut free_bytes = 0;
    for row in rows {
        let bytes = encode(row)?.len();
        match parts.last_mut() {
            Some(part) if bytes <= free_bytes => part.push(row.clone()),
            Some(_) | None => {
                parts.push(vec![row.clone()]);
                free_bytes = MAX_PART_BYTES;
            }
        }
        free_bytes = free_bytes.saturating_sub(bytes);
    }
    Ok(parts)
}
