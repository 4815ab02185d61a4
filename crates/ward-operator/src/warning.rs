//! Warnings about demands of a valid sheet that the known engines cannot meet.
//!
//! A warning does not stop a plan: engines join and leave, and a plan may name a
//! zone that does not exist yet. A misspelt zone cannot be distinguished from
//! such a zone, so the operator gets a warning.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_plan::PlanSheet;
use ward_protocol::{BackendKind, MemorySize, PlanRow, RowTarget, ZoneName};

use crate::answer::HostsAnswer;

/// A demand of a sheet that the known engines cannot meet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetWarning {
    /// No backend server is in a zone that a row names.
    EmptyZone {
        /// The first row that names the zone.
        target: RowTarget,
        /// The zone without backend servers.
        zone: ZoneName,
    },
    /// No engine in the row's zones has enough memory for one replica.
    TooLarge {
        /// Model or adapter of the row.
        target: RowTarget,
        /// Memory of the largest engine in the row's zones.
        largest: MemorySize,
    },
    /// The replicas to keep ready need more memory than all engines have.
    ReadyMemory {
        /// Memory that the replicas to keep ready need.
        needed: MemorySize,
        /// Total memory of all engines that are not leaving.
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
                "{target}: cannot be loaded, the largest engine in its zones has {largest}"
            ),
            Self::ReadyMemory { needed, capacity } => write!(
                formatter,
                "the replicas to keep ready take {needed} and all engines have {capacity}; \
                 rows of low priority will lack replicas"
            ),
        }
    }
}

/// Returns the demands of the sheet that the known hosts cannot meet; none if no host is known.
#[must_use]
pub fn sheet_warnings(sheet: &PlanSheet, hosts: &HostsAnswer) -> Vec<SheetWarning> {
    let zones = ZoneTable::from_hosts(hosts);
    if zones.largest.is_empty() {
        return Vec::new();
    }
    let mut warnings = zones.empty_zone_warnings(sheet);
    warnings.extend(sheet.rows().filter_map(|row| zones.too_large_warning(row)));
    warnings.extend(ready_memory_warning(sheet, zones.capacity));
    warnings
}

/// The zones that have backend servers which are not leaving.
struct ZoneTable<'a> {
    /// Memory of the largest engine of each zone; zero if it has only services.
    largest: IndexMap<&'a ZoneName, MemorySize>,
    /// Total memory of all engines.
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

    fn empty_zone_warnings(&self, sheet: &PlanSheet) -> Vec<SheetWarning> {
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

    fn too_large_warning(&self, row: &PlanRow) -> Option<SheetWarning> {
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

fn ready_memory_warning(sheet: &PlanSheet, capacity: MemorySize) -> Option<SheetWarning> {
    let needed: MemorySize = sheet
        .rows()
        .map(|row| MemorySize::from_bytes(row.memory.bytes().saturating_mul(row.ready.into())))
        .sum();
    (needed > capacity).then_some(SheetWarning::ReadyMemory { needed, capacity })
}
