//! The columns of a sheet.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A column of the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetColumn {
    /// The model version, adapter or service that the row describes.
    Target,
    /// Availability zones in which the target may run; empty means all.
    Zones,
    /// Roles of the engines that may hold the target; empty means all.
    Roles,
    /// Maximum number of replicas loaded at a time.
    Replicas,
    /// Number of replicas to keep ready.
    Ready,
    /// Time of day from which replicas are kept ready; empty means the whole day.
    ReadyFrom,
    /// Priority of loads of the target, and of its requests that name no priority.
    Priority,
    /// Memory that one replica takes on an engine.
    Memory,
    /// Whether calls to the target may be retried.
    Repeatable,
}

impl SheetColumn {
    /// All columns in the order in which [`PlanSheet::to_csv`] writes them.
    ///
    /// [`PlanSheet::to_csv`]: crate::PlanSheet::to_csv
    pub const ALL: [Self; 9] = [
        Self::Target,
        Self::Zones,
        Self::Roles,
        Self::Replicas,
        Self::Ready,
        Self::ReadyFrom,
        Self::Priority,
        Self::Memory,
        Self::Repeatable,
    ];

    /// The column's name in the header row.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Zones => "zones",
            Self::Roles => "roles",
            Self::Replicas => "replicas",
            Self::Ready => "ready",
            Self::ReadyFrom => "ready_from",
            Self::Priority => "priority",
            Self::Memory => "memory",
            Self::Repeatable => "repeatable",
        }
    }

    /// The column that a header cell names, ignoring case and surrounding spaces.
    #[must_use]
    pub fn from_header(cell: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|column| column.name().eq_ignore_ascii_case(cell.trim()))
    }
}

impl fmt::Display for SheetColumn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
