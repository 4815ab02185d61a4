//! This daemon's rank in duties that a few daemons share.
//!
//! The ranks follow from the members alone, so they are computed once per
//! change of members and not at every step.

use indexmap::IndexMap;

use crate::core::ControlCore;

/// Daemons that stand in for each other in a duty.
const DUTY_HOLDERS: usize = 3;

/// A duty that a few daemons share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum SharedDuty {
    Hosts,
    Adopt,
    Snapshot,
    Limits,
}

impl SharedDuty {
    const ALL: [Self; 4] = [Self::Hosts, Self::Adopt, Self::Snapshot, Self::Limits];

    const fn name(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Adopt => "adopt",
            Self::Snapshot => "snapshot",
            Self::Limits => "limits",
        }
    }
}

/// Ranks under one set of members.
#[derive(Debug, Default)]
pub(crate) struct DutyRanks {
    version: Option<u64>,
    ranks: IndexMap<SharedDuty, u32>,
}

impl DutyRanks {
    /// Forces a new look at the members.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }
}

impl ControlCore {
    /// Computes the ranks anew when the members have changed.
    pub(crate) fn sync_duties(&mut self) {
        let version = self.state.member_version();
        if self.duties.version == Some(version) {
            return;
        }
        let mut ranks = IndexMap::new();
        for duty in SharedDuty::ALL {
            let holders = self.state.duty_holders(duty.name(), DUTY_HOLDERS);
            let holds = |rank: &u32| {
                let index = usize::try_from(*rank).unwrap_or(usize::MAX);
                holders.get(index) == Some(self.own_id())
            };
            if let Some(rank) = (0_u32..).take(DUTY_HOLDERS).find(holds) {
                ranks.insert(duty, rank);
            }
        }
        self.duties = DutyRanks {
            version: Some(version),
            ranks,
        };
    }

    /// This daemon's rank in a duty, from 0; nothing if it has no part in it.
    pub(crate) fn duty_rank(&self, duty: SharedDuty) -> Option<u32> {
        self.duties.ranks.get(&duty).copied()
    }
}
