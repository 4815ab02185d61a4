//! Plans as the plan stream made them.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{
    LogOffset, OperatorName, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, PlanRow, RecordId,
    RowTarget, WallTime,
};

use crate::outcome::{PlanOutcome, PlanReject};

/// The rows of one plan, in the order of its sheet.
pub type PlanContent = IndexMap<RowTarget, Arc<PlanRow>>;

/// Revisions that a retreat can go back to.
pub const KEPT_REVISIONS: usize = 64;
/// Uploads kept at a time.
pub const UPLOAD_LIMIT: usize = 8;
/// Parts of one upload.
pub const PART_LIMIT: u16 = 256;
/// Rows in one plan.
pub const ROW_LIMIT: usize = 100_000;

/// What is known of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// The revision.
    pub revision: PlanRevision,
    /// Who submitted it.
    pub author: OperatorName,
    /// When, by the author's clock.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// The revision that it goes back to, for a retreat.
    pub retreat: Option<PlanRevision>,
    /// The record that made it.
    pub record: RecordId,
}

/// How to get from a revision's content back to the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ReverseChange {
    Rows {
        removals: Vec<RowTarget>,
        restored: Vec<(u32, Arc<PlanRow>)>,
    },
    Whole(Vec<Arc<PlanRow>>),
}

/// A revision and the way back from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RevisionStep {
    info: RevisionInfo,
    reverse: ReverseChange,
}

/// Parts of a plan that came so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PlanUpload {
    parts: IndexMap<u16, Vec<PlanRow>>,
    rows: usize,
}

/// The newest plan and the way back from it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlanHistory {
    read: LogOffset,
    skipped: u64,
    #[serde(with = "rows")]
    head: Arc<PlanContent>,
    steps: Vec<RevisionStep>,
    uploads: IndexMap<RecordId, PlanUpload>,
    /// Revisions accepted up to the oldest step; its content has no way further back.
    base: PlanRevision,
}

mod rows {
    //! A plan's content as a list of its rows.

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
    /// The way from `new` back to `old`.
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
        if change.apply(new).keys().eq(old.keys()) {
            return change;
        }
        Self::Whole(old.values().cloned().collect())
    }

    fn apply(&self, new: &PlanContent) -> PlanContent {
        match self {
            Self::Whole(rows) => index_rows(rows.clone()),
            Self::Rows { removals, restored } => {
                let gone: IndexSet<_> = removals.iter().collect();
                let back: IndexSet<_> = restored.iter().map(|(_, row)| &row.target).collect();
                let mut kept = new
                    .iter()
                    .filter(|(target, _)| !gone.contains(target) && !back.contains(target));
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
    /// Plan offset up to which the stream was read.
    #[must_use]
    pub const fn applied(&self) -> LogOffset {
        self.read
    }

    /// Plan records that could not be decoded.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The newest accepted revision.
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

    /// Revisions kept, oldest first.
    #[must_use]
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &RevisionInfo> {
        self.steps.iter().map(|step| &step.info)
    }

    /// Whether a revision was accepted and is kept.
    #[must_use]
    pub fn contains(&self, revision: PlanRevision) -> bool {
        revision == self.base || self.steps.iter().any(|step| step.info.revision == revision)
    }

    /// The rows of a kept revision.
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
            content = Arc::new(step.reverse.apply(&content));
        }
        Some(content)
    }

    pub(crate) fn skip(&mut self, offset: LogOffset) {
        if offset > self.read {
            self.read = offset;
            self.skipped += 1;
        }
    }

    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        envelope: PlanEnvelope,
        adopted: PlanRevision,
    ) -> PlanOutcome {
        if offset <= self.read {
            return PlanOutcome::Rejected(PlanReject::OldOffset(offset));
        }
        self.read = offset;
        let (author, submitted_at, record) = (envelope.author, envelope.submitted_at, envelope.id);
        let (base, change) = match envelope.body {
            PlanRecord::Part {
                upload,
                index,
                rows,
            } => return self.keep_part(upload, index, rows),
            PlanRecord::Submit { base, change } => (base, change),
        };
        if base != self.head() {
            return PlanOutcome::Rejected(PlanReject::StaleBase(self.head()));
        }
        let retreat = match &change {
            PlanChange::Retreat { to } => Some(*to),
            PlanChange::Whole { .. } | PlanChange::Parts { .. } | PlanChange::Rows { .. } => None,
        };
        let content = match self.changed(change) {
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
        self.push(info, content, adopted);
        PlanOutcome::Accepted(revision)
    }

    fn keep_part(&mut self, upload: RecordId, index: u16, rows: Vec<PlanRow>) -> PlanOutcome {
        if !self.uploads.contains_key(&upload) {
            if self.uploads.len() >= UPLOAD_LIMIT {
                self.uploads.shift_remove_index(0);
            }
            let fresh = PlanUpload {
                parts: IndexMap::new(),
                rows: 0,
            };
            self.uploads.insert(upload, fresh);
        }
        let Some(state) = self.uploads.get_mut(&upload) else {
            return PlanOutcome::Rejected(PlanReject::MissingParts);
        };
        if state.parts.contains_key(&index) {
            return PlanOutcome::PartStored;
        }
        if index >= PART_LIMIT || state.rows + rows.len() > ROW_LIMIT {
            return PlanOutcome::Rejected(PlanReject::TooManyParts);
        }
        state.rows += rows.len();
        state.parts.insert(index, rows);
        PlanOutcome::PartStored
    }

    fn changed(&mut self, change: PlanChange) -> Result<Arc<PlanContent>, PlanReject> {
        match change {
            PlanChange::Whole { rows } => self.whole(rows),
            PlanChange::Parts { upload, count } => {
                let rows = self.join_parts(upload, count)?;
                self.whole(rows)
            }
            PlanChange::Rows { upserts, removals } => self.edited(upserts, &removals),
            PlanChange::Retreat { to } => self
                .retreat_content(to)
                .ok_or(PlanReject::UnknownRevision(to)),
        }
    }

    /// Content of a revision among the last [`KEPT_REVISIONS`], the same on every daemon.
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

    fn join_parts(&mut self, upload: RecordId, count: u16) -> Result<Vec<PlanRow>, PlanReject> {
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

    /// Indexes a whole plan; rows equal to the newest plan's are shared with it.
    fn whole(&self, rows: Vec<PlanRow>) -> Result<Arc<PlanContent>, PlanReject> {
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
        check_size(&content)?;
        Ok(Arc::new(content))
    }

    fn edited(
        &self,
        upserts: Vec<PlanRow>,
        removals: &[RowTarget],
    ) -> Result<Arc<PlanContent>, PlanReject> {
        let gone: IndexSet<_> = removals.iter().collect();
        if let Some(missing) = removals.iter().find(|row| !self.head.contains_key(*row)) {
            return Err(PlanReject::NoSuchRow(missing.clone()));
        }
        let mut content: PlanContent = self
            .head
            .iter()
            .filter(|(target, _)| !gone.contains(target))
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
        check_size(&content)?;
        Ok(Arc::new(content))
    }

    fn push(&mut self, info: RevisionInfo, content: Arc<PlanContent>, adopted: PlanRevision) {
        let reverse = ReverseChange::between(&self.head, &content);
        self.steps.push(RevisionStep { info, reverse });
        self.head = content;
        let spare = self.steps.len().saturating_sub(KEPT_REVISIONS);
        let old = self
            .steps
            .iter()
            .take(spare)
            .take_while(|step| step.info.revision <= adopted)
            .count();
        if let Some(last) = self.steps.drain(..old).next_back() {
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

fn check_size(content: &PlanContent) -> Result<(), PlanReject> {
    if content.len() > ROW_LIMIT {
        return Err(PlanReject::TooManyParts);
    }
    Ok(())
}
