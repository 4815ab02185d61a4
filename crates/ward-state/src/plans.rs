//! Plan revisions, built from the records of the plan stream.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{
    LogOffset, OperatorName, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, PlanRow, RecordId,
    RowTarget, WallTime,
};

use crate::outcome::{PlanOutcome, PlanReject};

/// Rows of a plan revision by target, in the order of the sheet; rows added later come last.
pub type PlanContent = IndexMap<RowTarget, Arc<PlanRow>>;

/// Number of latest revisions that a retreat can go back to.
pub const KEPT_REVISIONS: usize = 64;
/// Maximum number of unfinished uploads; a further one evicts the oldest.
pub const MAX_UPLOADS: usize = 8;
/// Maximum number of parts of one upload.
pub const MAX_UPLOAD_PARTS: u16 = 256;
/// Maximum number of rows in one plan.
pub const MAX_PLAN_ROWS: usize = 100_000;

/// Metadata of an accepted revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Number of the revision: the offset of its plan record.
    pub revision: PlanRevision,
    /// Operator who submitted it.
    pub author: OperatorName,
    /// Time of submission by the author's clock.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// For a retreat, the earlier revision whose rows it restores.
    pub retreat: Option<PlanRevision>,
    /// Id of the plan record that created the revision.
    pub record: RecordId,
}

/// Turns a revision's content back into its predecessor's, by changed rows or by all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ReverseChange {
    Rows {
        removals: Vec<RowTarget>,
        /// Rows of the predecessor that differ or are missing, with their positions.
        restored: Vec<(u32, Arc<PlanRow>)>,
    },
    Whole(Vec<Arc<PlanRow>>),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RevisionStep {
    info: RevisionInfo,
    reverse: ReverseChange,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PlanUpload {
    parts: IndexMap<u16, Vec<PlanRow>>,
    rows: usize,
}

/// The newest plan in full and the earlier revisions as reverse differences.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlanHistory {
    #[serde(rename = "read")]
    applied: LogOffset,
    skipped: u64,
    #[serde(with = "rows")]
    head: Arc<PlanContent>,
    steps: Vec<RevisionStep>,
    uploads: IndexMap<RecordId, PlanUpload>,
    /// The revision before the oldest step, the earliest whose content can be computed.
    base: PlanRevision,
}

mod rows {
    //! Serializes a plan's content as the list of its rows.

    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serializer};
    use ward_protocol::PlanRow;

    use super::PlanContent;

    pub(super) fn serialize<S: Serializer>(
        content: &Arc<PlanContent>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(content.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<PlanContent>, D::Error> {
        let rows: Vec<Arc<PlanRow>> = Vec::deserialize(deserializer)?;
        Ok(Arc::new(super::index_rows(rows)))
    }
}

fn index_rows(rows: Vec<Arc<PlanRow>>) -> PlanContent {
    rows.into_iter()
        .map(|row| (row.target.clone(), row))
        .collect()
}

impl ReverseChange {
    fn between(old: &PlanContent, new: &PlanContent) -> Self {
        let removals: Vec<_> = new
            .keys()
            .filter(|target| !old.contains_key(*target))
            .cloned()
            .collect();
        let restored: Vec<_> = (0_u32..)
            .zip(old)
            .filter(|(_, (target, row))| new.get(*target) != Some(*row))
            .map(|(index, (_, row))| (index, Arc::clone(row)))
            .collect();
        let change = Self::Rows { removals, restored };
        if change.restore_old(new).keys().eq(old.keys()) {
            return change;
        }
        Self::Whole(old.values().cloned().collect())
    }

    fn restore_old(&self, new: &PlanContent) -> PlanContent {
        match self {
            Self::Whole(rows) => index_rows(rows.clone()),
            Self::Rows { removals, restored } => {
                let removed: IndexSet<_> = removals.iter().collect();
                let replaced: IndexSet<_> = restored.iter().map(|(_, row)| &row.target).collect();
                let mut kept = new
                    .iter()
                    .filter(|(target, _)| !removed.contains(target) && !replaced.contains(target));
                let mut content = PlanContent::with_capacity(new.len() + restored.len());
                for (index, row) in restored {
                    while content.len() < *index as usize {
                        let Some((target, row)) = kept.next() else {
                            break;
                        };
                        content.insert(target.clone(), Arc::clone(row));
                    }
                    content.insert(row.target.clone(), Arc::clone(row));
                }
                content.extend(kept.map(|(target, row)| (target.clone(), Arc::clone(row))));
                content
            }
        }
    }
}

impl PlanHistory {
    /// Offset of the last plan record that was accepted, rejected or skipped.
    #[must_use]
    pub const fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Number of plan records that were skipped because they could not be decoded.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The newest accepted revision, whether in force or not.
    #[must_use]
    pub fn head(&self) -> PlanRevision {
        self.steps
            .last()
            .map_or(self.base, |step| step.info.revision)
    }

    /// The rows of the newest accepted revision.
    #[must_use]
    pub const fn head_content(&self) -> &Arc<PlanContent> {
        &self.head
    }

    /// Metadata of the kept revisions, oldest first.
    #[must_use]
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &RevisionInfo> {
        self.steps.iter().map(|step| &step.info)
    }

    /// Whether a revision was accepted and its content can still be computed.
    #[must_use]
    pub fn contains(&self, revision: PlanRevision) -> bool {
        revision == self.base || self.steps.iter().any(|step| step.info.revision == revision)
    }

    /// The rows of a kept revision; `None` if [`contains`](Self::contains) is false.
    #[must_use]
    pub fn content_at(&self, revision: PlanRevision) -> Option<Arc<PlanContent>> {
        if !self.contains(revision) {
            return None;
        }
        let mut content = Arc::clone(&self.head);
        for step in self.steps.iter().rev() {
            if step.info.revision == revision {
                return Some(content);
            }
            content = Arc::new(step.reverse.restore_old(&content));
        }
        Some(content)
    }

    pub(crate) fn skip_record(&mut self, offset: LogOffset) {
        if offset > self.applied {
            self.applied = offset;
            self.skipped += 1;
        }
    }

    pub(crate) fn apply_record(
        &mut self,
        offset: LogOffset,
        envelope: PlanEnvelope,
        adopted: PlanRevision,
    ) -> PlanOutcome {
        if offset <= self.applied {
            return PlanOutcome::Rejected(PlanReject::OldOffset(offset));
        }
        self.applied = offset;
        let (author, submitted_at, record) = (envelope.author, envelope.submitted_at, envelope.id);
        let (base, change) = match envelope.body {
            PlanRecord::Part {
                upload,
                index,
                rows,
            } => return self.store_part(upload, index, rows),
            PlanRecord::Submit { base, change } => (base, change),
        };
        if base != self.head() {
            return PlanOutcome::Rejected(PlanReject::StaleBase(self.head()));
        }
        let retreat = match &change {
            PlanChange::Retreat { to } => Some(*to),
            PlanChange::Whole { .. } | PlanChange::Parts { .. } | PlanChange::Rows { .. } => None,
        };
        let content = match self.build_content(change) {
            Ok(content) => content,
            Err(reject) => return PlanOutcome::Rejected(reject),
        };
        let revision = PlanRevision(offset.0);
        let info = RevisionInfo {
            revision,
            author,
            submitted_at,
            retreat,
            record,
        };
        self.push_step(info, content, adopted);
        PlanOutcome::Accepted(revision)
    }

    fn store_part(&mut self, upload: RecordId, index: u16, rows: Vec<PlanRow>) -> PlanOutcome {
        if !self.uploads.contains_key(&upload) {
            if self.uploads.len() >= MAX_UPLOADS {
                self.uploads.shift_remove_index(0);
            }
            let empty = PlanUpload {
                parts: IndexMap::new(),
                rows: 0,
            };
            self.uploads.insert(upload, empty);
        }
        let Some(state) = self.uploads.get_mut(&upload) else {
            return PlanOutcome::Rejected(PlanReject::MissingParts);
        };
        if state.parts.contains_key(&index) {
            return PlanOutcome::PartStored;
        }
        if index >= MAX_UPLOAD_PARTS || state.rows + rows.len() > MAX_PLAN_ROWS {
            return PlanOutcome::Rejected(PlanReject::TooManyParts);
        }
        state.rows += rows.len();
        state.parts.insert(index, rows);
        PlanOutcome::PartStored
    }

    fn build_content(&mut self, change: PlanChange) -> Result<Arc<PlanContent>, PlanReject> {
        match change {
            PlanChange::Whole { rows } => self.full_content(rows),
            PlanChange::Parts { upload, count } => {
                let rows = self.assemble_parts(upload, count)?;
                self.full_content(rows)
            }
            PlanChange::Rows { upserts, removals } => self.edited_content(upserts, &removals),
            PlanChange::Retreat { to } => self
                .retreat_content(to)
                .ok_or(PlanReject::UnknownRevision(to)),
        }
    }

    /// Content of one of the last [`KEPT_REVISIONS`] revisions, or of the empty plan before them.
    /// Older ones may be kept, but not on every daemon, and all daemons must decide alike.
    fn retreat_content(&self, to: PlanRevision) -> Option<Arc<PlanContent>> {
        let first = self.steps.len().saturating_sub(KEPT_REVISIONS);
        let known = self.steps[first..]
            .iter()
            .any(|step| step.info.revision == to);
        let empty = to == PlanRevision::default() && first == 0 && to == self.base;
        if known || empty {
            self.content_at(to)
        } else {
            None
        }
    }

    fn assemble_parts(&mut self, upload: RecordId, count: u16) -> Result<Vec<PlanRow>, PlanReject> {
        let mut state = self
            .uploads
            .shift_remove(&upload)
            .ok_or(PlanReject::MissingParts)?;
        (0..count)
            .map(|index| state.parts.swap_remove(&index))
            .collect::<Option<Vec<_>>>()
            .map(|parts| parts.into_iter().flatten().collect())
            .ok_or(PlanReject::MissingParts)
    }

    /// Indexes a complete plan; rows equal to the newest plan's are shared with it to save memory.
    fn full_content(&self, rows: Vec<PlanRow>) -> Result<Arc<PlanContent>, PlanReject> {
        let mut content = PlanContent::with_capacity(rows.len());
        for row in rows {
            check_row(&row)?;
            let target = row.target.clone();
            let shared = match self.head.get(&target) {
                Some(known) if **known == row => Arc::clone(known),
                Some(_) | None => Arc::new(row),
            };
            if content.insert(target.clone(), shared).is_some() {
                return Err(PlanReject::DuplicateTarget(target));
            }
        }
        check_row_count(&content)?;
        Ok(Arc::new(content))
    }

    fn edited_content(
        &self,
        upserts: Vec<PlanRow>,
        removals: &[RowTarget],
    ) -> Result<Arc<PlanContent>, PlanReject> {
        let removed: IndexSet<_> = removals.iter().collect();
        if let Some(missing) = removals.iter().find(|row| !self.head.contains_key(*row)) {
            return Err(PlanReject::NoSuchRow(missing.clone()));
        }
        let mut content: PlanContent = self
            .head
            .iter()
            .filter(|(target, _)| !removed.contains(target))
            .map(|(target, row)| (target.clone(), Arc::clone(row)))
            .collect();
        let mut seen = IndexSet::new();
        for row in upserts {
            check_row(&row)?;
            if !seen.insert(row.target.clone()) {
                return Err(PlanReject::DuplicateTarget(row.target));
            }
            content.insert(row.target.clone(), Arc::new(row));
        }
        check_row_count(&content)?;
        Ok(Arc::new(content))
    }

    fn push_step(&mut self, info: RevisionInfo, content: Arc<PlanContent>, adopted: PlanRevision) {
        let reverse = ReverseChange::between(&self.head, &content);
        self.steps.push(RevisionStep { info, reverse });
        self.head = content;
        let excess = self.steps.len().saturating_sub(KEPT_REVISIONS);
        let dropped = self
            .steps
            .iter()
            .take(excess)
            .take_while(|step| step.info.revision <= adopted)
            .count();
        if let Some(last) = self.steps.drain(..dropped).next_back() {
            self.base = last.info.revision;
        }
    }
}

fn check_row(row: &PlanRow) -> Result<(), PlanReject> {
    if row.ready > row.replicas {
        return Err(PlanReject::ReadyAboveLimit(row.target.clone()));
    }
    Ok(())
}

fn check_row_count(content: &PlanContent) -> Result<(), PlanReject> {
    if content.len() > MAX_PLAN_ROWS {
        return Err(PlanReject::TooManyParts);
    }
    Ok(())
}
