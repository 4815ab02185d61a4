//! Tenants: who may send requests, how many, and how urgent they are.
//!
//! Load pattern: callers of many tenants share the engines, and one tenant may send many
//! times its usual load. Each request carries an API key, which tells its tenant before
//! anything of the request is queued, buffered or counted as demand. Keys are compared by
//! their digests, and only digests are kept, so that no log or dump can show a key.

mod directory;
mod quota;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::directory::{ApiKeyDigest, TenantClass, TenantDirectory};
pub use self::quota::{QuotaAmount, QuotaRate, QuotaUnit, TenantQuota, TokenCount};

/// Urgency of a request: the priority of its tenant goes before that of its route, and
/// smaller numbers are more urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestPriority {
    /// Priority of the tenant; zero for requests without one.
    pub tenant: u32,
    /// Priority of the route.
    pub route: u32,
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.tenant, self.route)
    }
}
