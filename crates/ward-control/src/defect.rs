//! Rules that tests can switch off.
//!
//! A check is worth something only if it notices a rule that is missing. With
//! the feature `test-defects` a test can build a set that drops one; without
//! it every set is empty.

/// A rule that can be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DefectKind {
    /// Orders go out without looking at the lease.
    SkipLease,
    /// A read that ends below an offset already seen renews the lease.
    StaleRenewal,
    /// The lease runs from the end of a read.
    LeaseFromEnd,
    /// A new owner doesn't wait for earlier owners' orders.
    SkipTakeoverWait,
    /// A checking engine's status counts before it has seen the fencing number.
    SkipTouch,
    /// Release notices are believed whatever fencing number they bear.
    AnyNotice,
    /// A load is ordered without an admitted reservation.
    OrderUnadmitted,
    /// A release doesn't wait for the end of load orders.
    EarlyRelease,
    /// Unexplained replicas aren't counted.
    IgnoreFound,
    /// An append without an answer counts as stored.
    GuessStored,
    /// Engines that leave get loads.
    LoadLeaving,
    /// Records of a newer format are passed over.
    SkipNewerFormat,
}

/// Rules that are dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DefectSet {
    #[cfg(feature = "test-defects")]
    dropped: Option<DefectKind>,
}

impl DefectKind {
    /// All rules that can be dropped.
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
    /// Drops one rule.
    #[cfg(feature = "test-defects")]
    #[must_use]
    pub const fn only(kind: DefectKind) -> Self {
        Self {
            dropped: Some(kind),
        }
    }

    /// Whether a rule is dropped.
    #[cfg(feature = "test-defects")]
    pub(crate) fn has(self, kind: DefectKind) -> bool {
        self.dropped == Some(kind)
    }

    /// Whether a rule is dropped.
    #[cfg(not(feature = "test-defects"))]
    #[allow(clippy::unused_self)]
    pub(crate) const fn has(self, _: DefectKind) -> bool {
        false
    }
}
