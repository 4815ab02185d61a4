//! Settings of the control state machine.

use ward_protocol::{LeaseTimes, MemberInfo, PeerAddress, PolicyValues, StoreLimits, TimeSpan};

use crate::defect::DefectSet;

/// Default number of control records after which a snapshot is written.
const DEFAULT_SNAPSHOT_RECORDS: u64 = 2_000;

/// Settings of one daemon's control state machine.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Id, incarnation, zone and addresses under which this daemon joins.
    pub member: MemberInfo,
    /// Lease, maximum order life and the intervals of polls and probes.
    pub lease: LeaseTimes,
    /// Parameters of placement, keep time and standby.
    pub policy: PolicyValues,
    /// Limits on concurrent loads, proposed if the deployment has none yet.
    pub limits: StoreLimits,
    /// Configured peers from which state is fetched while the log can't be read.
    pub peers: Vec<PeerAddress>,
    /// Number of control records after which a new snapshot is written.
    pub snapshot_records: u64,
    /// Seed of record and order ids. Must differ between daemons and incarnations.
    pub seed: u64,
    pub(crate) defects: DefectSet,
}

impl ControlConfig {
    /// Settings with default times, policy and limits, and no peers.
    #[must_use]
    pub fn new(member: MemberInfo, seed: u64) -> Self {
        Self {
            member,
            lease: LeaseTimes::default(),
            policy: PolicyValues::default(),
            limits: StoreLimits::default(),
            peers: Vec::new(),
            snapshot_records: DEFAULT_SNAPSHOT_RECORDS,
            seed,
            defects: DefectSet::default(),
        }
    }

    /// Activates defects, to show that a check detects them.
    #[cfg(feature = "test-defects")]
    #[must_use]
    pub fn with_defects(mut self, defects: DefectSet) -> Self {
        self.defects = defects;
        self
    }

    /// Time after which an order can no longer take effect, with a margin in case this
    /// daemon's clock runs fast.
    pub(crate) fn order_life(&self) -> TimeSpan {
        with_margin(self.lease.order_life)
    }

    /// How long a new owner waits until orders of earlier owners have expired: the earlier
    /// owner may send until its lease ends, and such an order lives for `order_life`.
    pub(crate) fn takeover_wait(&self) -> TimeSpan {
        with_margin(self.lease.lease + self.lease.order_life)
    }
}

/// Extends a span by an eighth, since this clock may run that much faster than another.
fn with_margin(span: TimeSpan) -> TimeSpan {
    let micros = span.micros();
    TimeSpan::from_micros(micros + micros / 8)
}
