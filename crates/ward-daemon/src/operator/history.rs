//! History of submitted plans and whether each was accepted.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};
use ward_operator::{
    HistoryAnswer, HistoryEntry, HistoryKind, HistoryQuery, HistoryVerdict, OperatorError,
};
use ward_protocol::codec::decode;
use ward_protocol::{
    LogOffset, LogStream, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, RawRecord, RecordId,
    TimeSpan,
};
use ward_state::RevisionInfo;

use super::calls::OperatorParts;

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(super) async fn history(
    parts: OperatorParts,
    query: HistoryQuery,
) -> Result<HistoryAnswer, OperatorError> {
    let complete = wait_until_current(&parts).await;
    let kept = parts.query(kept_revisions).await?;
    let mut entries = accepted_entries(kept);
    for record in parts.rings.records(LogStream::Plan) {
        add_record(&mut entries, &record);
    }
    let mut entries: Vec<HistoryEntry> = entries.into_values().collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
    if let Some(record) = query.record {
        entries.retain(|entry| entry.record == record);
    }
    if let Some(limit) = query.limit {
        entries.truncate(limit as usize);
    }
    Ok(HistoryAnswer { entries, complete })
}

/// An accepted revision that is still kept, the kept revision before it (0 if there is
/// none), and the number of its rows.
struct KeptRevision {
    info: RevisionInfo,
    base: PlanRevision,
    rows: u32,
}

fn kept_revisions(core: &mut ward_control::ControlCore) -> Vec<KeptRevision> {
    let plans = core.state().plans();
    let mut base = PlanRevision::default();
    let mut kept = Vec::new();
    for info in plans.revisions() {
        let rows = plans
            .content_at(info.revision)
            .map_or(0, |content| content.len());
        kept.push(KeptRevision {
            info: info.clone(),
            base,
            rows: u32::try_from(rows).unwrap_or(u32::MAX),
        });
        base = info.revision;
    }
    kept
}

fn accepted_entries(kept: Vec<KeptRevision>) -> IndexMap<RecordId, HistoryEntry> {
    kept.into_iter()
        .map(|kept| {
            let kind = match kept.info.retreat {
                Some(to) => HistoryKind::Retreat { to },
                None => HistoryKind::Whole,
            };
            let entry = HistoryEntry {
                revision: kept.info.revision,
                record: kept.info.record,
                author: kept.info.author,
                submitted_at: kept.info.submitted_at,
                base: kept.base,
                kind,
                verdict: HistoryVerdict::Accepted,
                rows: kept.rows,
            };
            (entry.record, entry)
        })
        .collect()
}

/// Adds a rejected submission, or sets the kind of an accepted one, which only its
/// record holds.
fn add_record(entries: &mut IndexMap<RecordId, HistoryEntry>, record: &RawRecord) {
    let Ok(envelope) = decode::<PlanEnvelope>(&record.bytes) else {
        return;
    };
    let PlanRecord::Submit { base, change } = envelope.body else {
        return;
    };
    let kind = match change {
        PlanChange::Whole { .. } | PlanChange::Parts { .. } => HistoryKind::Whole,
        PlanChange::Rows { .. } => HistoryKind::Rows,
        PlanChange::Retreat { to } => HistoryKind::Retreat { to },
    };
    if let Some(entry) = entries.get_mut(&envelope.id) {
        entry.kind = kind;
        return;
    }
    let is_earlier = |entry: &&HistoryEntry| entry.revision.0 < record.offset.0;
    let in_force = entries
        .values()
        .filter(is_earlier)
        .map(|entry| entry.revision)
        .max();
    let stale = in_force.unwrap_or_default() != base;
    let entry = HistoryEntry {
        revision: PlanRevision(record.offset.0),
        record: envelope.id,
        author: envelope.author,
        submitted_at: envelope.submitted_at,
        base,
        kind,
        verdict: if stale {
            HistoryVerdict::Stale
        } else {
            HistoryVerdict::Invalid
        },
        rows: 0,
    };
    entries.insert(entry.record, entry);
}

/// Waits until this daemon has read the plan stream up to its current end; false when
/// the log cannot be read or that takes longer than [`READ_TIMEOUT`].
async fn wait_until_current(parts: &OperatorParts) -> bool {
    let deadline = Instant::now() + READ_TIMEOUT;
    let from = match parts.query(|core| core.state().plans().applied()).await {
        Ok(read) => LogOffset(read.0 + 1),
        Err(_) => return false,
    };
    let read = parts
        .log
        .read(LogStream::Plan, from, 1, TimeSpan::ZERO)
        .await;
    let Ok(end) = read.map(|read| read.end) else {
        return false;
    };
    while Instant::now() < deadline {
        match parts.query(|core| core.state().plans().applied()).await {
            Ok(read) if read >= end => return true,
            Ok(_) => sleep(POLL_INTERVAL).await,
            Err(_) => return false,
        }
    }
    false
}
