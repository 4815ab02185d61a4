//! The columns of a sheet.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A column of the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetColumn {
    /// What the row is about.
    Target,
    /// Availability zones where it may run.
    Zones,
    /// Engine roles that may hold it.
    Roles,
    /// Most replicas at a time.
    Replicas,
    /// Replicas kept ready.
    Ready,
    /// Time of day from which they are kept ready.
    ReadyFrom,
    /// Priority.
    Priority,
    /// Memory of one replica.
    Memory,
    /// Whether its calls may be repeated.
    Repeatable,
}

impl SheetColumn {
    /// All columns in the order in which a sheet is written.
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

    /// The name in the header row.
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

    /// The column of a header cell; letter case does not matter.
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
