//! What a daemon's decisions depend on besides events.

use ward_protocol::{LeaseTimes, MemberInfo, PeerAddress, PolicyValues, StoreLimits, TimeSpan};

use crate::defect::DefectSet;

/// Records after which a snapshot is written, unless set otherwise.
const SNAPSHOT_RECORDS: u64 = 2_000;

/// Settings of one daemon's decisions.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// This daemon, with the life that it starts.
    pub member: MemberInfo,
    /// Times that bound ownership.
    pub lease: LeaseTimes,
    /// Placement and keep-alive.
    pub policy: PolicyValues,
    /// Limits to propose when the deployment has none yet.
    pub limits: StoreLimits,
    /// Daemons to ask for state while the log is down.
    pub peers: Vec<PeerAddress>,
    /// Records applied since the last snapshot that call for one.
    pub snapshot_records: u64,
    /// Seed of record and order ids; differs between daemons and lives.
    pub seed: u64,
    pub(crate) defects: DefectSet,
}

impl ControlConfig {
    /// Settings with default times and limits.
    #[must_use]
    pub fn new(member: MemberInfo, seed: u64) -> Self {
        Self {
            member,
            lease: LeaseTimes::default(),
            policy: PolicyValues::default(),
            limits: StoreLimits::default(),
            peers: Vec::new(),
            snapshot_records: SNAPSHOT_RECORDS,
            seed,
            defects: DefectSet::default(),
        }
    }

    /// Switches rules off, to show that a check notices.
    #[cfg(feature = "test-defects")]
    #[must_use]
    pub fn with_defects(mut self, defects: DefectSet) -> Self {
        self.defects = defects;
        self
    }

    /// Longest life of an order, with what the sender's clock may run slow.
    pub(crate) fn order_life(&self) -> TimeSpan {
        with_margin(self.lease.order_life)
    }

    /// How long a new owner waits for the orders of earlier owners.
    pub(crate) fn takeover_wait(&self) -> TimeSpan {
        with_margin(self.lease.lease + self.lease.order_life)
    }
}

/// A span as measured by a clock that may run an eighth faster than another.
fn with_margin(span: TimeSpan) -> TimeSpan {
    let micros = span.micros();
    TimeSpan::from_micros(micros + micros / 8)
}
