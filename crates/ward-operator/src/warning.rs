//! What a sheet without mistakes asks for and the engines of today cannot give.
//!
//! None of it stops a plan: engines come and go, and a plan may name a zone
//! that is still to be built. But a misspelt zone looks just the same, so the
//! operator is told.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_plan::PlanSheet;
use ward_protocol::{BackendKind, MemorySize, PlanRow, RowTarget, ZoneName};

use crate::answer::HostsAnswer;

/// Something that the engines of today cannot give.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetWarning {
    /// No backend server is in a zone that a row names.
    EmptyZone {
        /// The first such row.
        target: RowTarget,
        /// The zone.
        zone: ZoneName,
    },
    /// No engine in the row's zones is large enough.
    TooLarge {
        /// The row.
        target: RowTarget,
        /// The largest engine in its zones.
        largest: MemorySize,
    },
    /// The replicas to keep ready do not fit into all engines together.
    ReadyMemory {
        /// Memory of the replicas to keep ready.
        needed: MemorySize,
        /// Memory of all engines.
        #[serde(rename = "held")]
        capacity: MemorySize,
    },
}

impl fmt::Display for SheetWarning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyZone { target, zone } => write!(
                formatter,
                "{target}: no backend server is in zone {zone}; see `persimmon hosts` for the zones"
            ),
            Self::TooLarge { target, largest } => write!(
                formatter,
                "{target}: the largest engine in its zones has {largest}; it cannot be loaded"
            ),
            Self::ReadyMemory { needed, capacity } => write!(
                formatter,
                "the replicas to keep ready take {needed} and all engines have {capacity}; \
                 rows of low priority will be short"
            ),
        }
    }
}

/// What the sheet asks for and the known hosts cannot give.
#[must_use]
pub fn sheet_warnings(sheet: &PlanSheet, hosts: &HostsAnswer) -> Vec<SheetWarning> {
    let zones = ZoneTable::from_hosts(hosts);
    if zones.largest.is_empty() {
        return Vec::new();
    }
    let mut warnings = zones.empty_zones(sheet);
    warnings.extend(sheet.rows().filter_map(|row| zones.too_large(row)));
    warnings.extend(ready_memory(sheet, zones.capacity));
    warnings
}

/// The zones with backend servers.
struct ZoneTable<'a> {
    /// The largest engine of each.
    largest: IndexMap<&'a ZoneName, MemorySize>,
    capacity: MemorySize,
}

impl<'a> ZoneTable<'a> {
    fn from_hosts(hosts: &'a HostsAnswer) -> Self {
        let mut largest = IndexMap::new();
        let mut capacity = MemorySize::ZERO;
        for backend in hosts.backends.iter().filter(|backend| !backend.leaving) {
            let entry = largest.entry(&backend.zone).or_insert(MemorySize::ZERO);
            if backend.kind == BackendKind::Engine {
                *entry = backend.memory.max(*entry);
                capacity = capacity.saturating_add(backend.memory);
            }
        }
        Self { largest, capacity }
    }

    fn empty_zones(&self, sheet: &PlanSheet) -> Vec<SheetWarning> {
        let mut empty: IndexMap<&ZoneName, &RowTarget> = IndexMap::new();
        for row in sheet.rows() {
            for zone in &row.zones {
                if !self.largest.contains_key(zone) {
                    empty.entry(zone).or_insert(&row.target);
                }
            }
        }
        empty
            .into_iter()
            .map(|(zone, target)| SheetWarning::EmptyZone {
                target: target.clone(),
                zone: zone.clone(),
            })
            .collect()
    }

    fn too_large(&self, row: &PlanRow) -> Option<SheetWarning> {
        let largest = self
            .largest
            .iter()
            .filter(|(zone, _)| row.zones.is_empty() || row.zones.contains(zone))
            .map(|(_, memory)| *memory)
            .max()?;
        (row.memory > largest).then(|| SheetWarning::TooLarge {
            target: row.target.clone(),
            largest,
        })
    }
}

fn ready_memory(sheet: &PlanSheet, capacity: MemorySize) -> Option<SheetWarning> {
    let needed: MemorySize = sheet
        .rows()
        .map(|row| MemorySize::from_bytes(row.memory.bytes().saturating_mul(row.ready.into())))
        .sum();
    (needed > capacity).then_some(SheetWarning::ReadyMemory { needed, capacity })
}
