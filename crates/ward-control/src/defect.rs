//! Safety rules that tests can disable.
//!
//! A check of a rule is useful only if it fails when the rule is missing. With
//! the feature `test-defects` a test can build a set that disables one rule;
//! without the feature every set is empty.

/// A defect: the daemon behaves as described instead of following the rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DefectKind {
    /// Orders and records are sent without a valid lease.
    SkipLease,
    /// A read that ends below an offset already seen renews the lease.
    StaleRenewal,
    /// The lease runs from the end of a read instead of its start.
    LeaseFromEnd,
    /// A new owner doesn't wait until the orders of earlier owners have expired.
    SkipTakeoverWait,
    /// The status of an engine that checks fencing numbers is used before the engine has
    /// seen the owner's number.
    SkipTouch,
    /// Release notices are accepted from any sender and with any fencing number.
    AnyNotice,
    /// Loads are ordered for reservations that are not admitted yet.
    OrderUnadmitted,
    /// A release doesn't wait until load orders have expired.
    EarlyRelease,
    /// Replicas that an engine holds without a reservation are not counted.
    IgnoreFound,
    /// An append without an answer counts as stored and is no longer looked for.
    GuessStored,
    /// Engines that are leaving get loads.
    LoadLeaving,
    /// Records of a newer format are skipped.
    SkipNewerFormat,
}

/// The defects that are active: one if a test has set it, otherwise none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DefectSet {
    #[cfg(feature = "test-defects")]
    active: Option<DefectKind>,
}

impl DefectKind {
    /// All defects, for checks that go through them.
    pub const ALL: &[Self] = &[
        Self::SkipLease,
        Self::StaleRenewal,
        Self::LeaseFromEnd,
        Self::SkipTakeoverWait,
        Self::SkipTouch,
        Self::AnyNotice,
        Self::OrderUnadmitted,
        Self::EarlyRelease,
        Self::IgnoreFound,
        Self::GuessStored,
        Self::LoadLeaving,
        Self::SkipNewerFormat,
    ];
}

impl DefectSet {
    /// The set of one defect.
    #[cfg(feature = "test-defects")]
    #[must_use]
    pub const fn only(kind: DefectKind) -> Self {
        Self { active: Some(kind) }
    }

    /// Whether a defect is active.
    #[cfg(feature = "test-defects")]
    pub(crate) fn has(self, kind: DefectKind) -> bool {
        self.active == Some(kind)
    }

    /// Whether a defect is active.
    #[cfg(not(feature = "test-defects"))]
    #[allow(clippy::unused_self)]
    pub(crate) const fn has(self, _: DefectKind) -> bool {
        false
    }
}
