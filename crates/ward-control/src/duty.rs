//! This daemon's rank in the duties that a few daemons share.
//!
//! The ranks depend only on the members, so they are computed when the members
//! change and not at every step.

use indexmap::IndexMap;

use crate::core::ControlCore;

/// Number of daemons that share a duty; those after the first are backups.
const DUTY_HOLDERS: usize = 3;

/// A background duty that a few daemons hold by rank, so that normally only the first of
/// them acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum SharedDuty {
    /// Append changes of the platform's host list to the control log.
    Hosts,
    /// Propose to adopt the newest accepted plan, which brings it into force.
    Adopt,
    /// Write snapshots of the control state.
    Snapshot,
    /// Propose the configured store limits if the deployment has none yet.
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

/// This daemon's ranks for one version of the member list.
#[derive(Debug, Default)]
pub(crate) struct DutyRanks {
    /// Version of the member list; `None` to compute the ranks again.
    version: Option<u64>,
    /// Ranks by duty, from 0; duties that this daemon doesn't hold are missing.
    ranks: IndexMap<SharedDuty, u32>,
}

impl DutyRanks {
    /// Makes the next step compute the ranks again.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }
}

impl ControlCore {
    /// Computes the ranks again if the members have changed.
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

    /// This daemon's rank in a duty, 0 for the first holder; `None` if it doesn't hold it.
    pub(crate) fn duty_rank(&self, duty: SharedDuty) -> Option<u32> {
        self.duties.ranks.get(&duty).copied()
    }
}
