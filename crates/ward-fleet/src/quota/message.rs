//! Messages about quotas between daemons and the coordinator.
//!
//! A tenant is named by a digest of its name, so that messages of daemons with different
//! manifests fit together. Amounts are cumulative for a connection, so the coordinator
//! knows what is on its way.

use serde::{Deserialize, Serialize};
use ward_protocol::{MonoTime, TenantName, TimeSpan};

use crate::tenant::QuotaAmount;

/// Bytes of the digest that name a tenant.
const KEY_BYTES: usize = 8;

/// Identifies a tenant in messages between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of the tenant with a name.
    #[must_use]
    pub fn of(name: &TenantName) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(&digest.as_bytes()[..KEY_BYTES]);
        Self(u64::from_be_bytes(bytes))
    }
}

/// What a daemon holds and needs of a tenant's quota, as reported to the coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaNeed {
    /// The tenant.
    pub tenant: TenantKey,
    /// Credit that the daemon holds.
    pub held: QuotaAmount,
    /// Credit received on the connection to the coordinator so far.
    pub received: QuotaAmount,
    /// Credit given back on that connection so far.
    pub returned: QuotaAmount,
    /// What the requests that wait for credit cost together.
    pub waiting: QuotaAmount,
    /// Credit that the daemon wants to hold for its next requests.
    pub wanted: QuotaAmount,
    /// What the requests cost that were refused since the last report.
    pub refused: QuotaAmount,
}

/// Credit for requests of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: TenantKey,
    /// Additional credit; zero if this message only gives the wait.
    pub amount: QuotaAmount,
    /// Expected time until a further request of the tenant gets credit.
    pub wait: TimeSpan,
}

/// Credit for a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaBatch {
    /// Credit by tenant.
    pub grants: Vec<QuotaGrant>,
    /// When the daemon sent the report on which the grants are based, by its own clock.
    pub reported_at: MonoTime,
    /// Time between the arrival of that report and the sending of the grants.
    pub held_for: TimeSpan,
}
