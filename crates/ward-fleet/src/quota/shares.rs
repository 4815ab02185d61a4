//! Shares of daemons in the quotas while they follow no coordinator.
//!
//! Load pattern: callers are sent to the large hosts of their availability zone, so a few
//! daemons get nearly all requests. When the coordinator is lost, equal shares would leave
//! most of each quota at daemons without callers. So the large hosts share most of it.
//!
//! Which hosts are large is judged by all that were known of late, not by those that a
//! daemon reaches now: daemons that lost sight of each other must not take over each
//! other's shares.

use indexmap::IndexMap;
use ward_protocol::{DaemonId, MonoTime, TimeSpan, ZoneName};

use crate::directory::MAX_SIZE_RATIO;
use crate::message::HostMember;
use crate::number::usize_to_f64;

/// Time for which a host that is no longer known keeps its share.
const HOST_RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// Fraction of the quotas that the large hosts share.
const LARGE_FRACTION: f64 = 0.9;

/// The hosts that share the quotas.
#[derive(Debug, Clone, Default)]
pub struct HostShares {
    hosts: IndexMap<DaemonId, SharingHost>,
    /// Size of the largest host of each availability zone.
    largest: IndexMap<ZoneName, u64>,
    large_count: usize,
}

#[derive(Debug, Clone)]
struct SharingHost {
    zone: ZoneName,
    size: u64,
    seen_at: MonoTime,
}

impl HostShares {
    /// Records the daemons that are known now.
    pub fn record(&mut self, members: &[HostMember], now: MonoTime) {
        for member in members {
            let host = SharingHost {
                zone: member.zone.clone(),
                size: member.capacity.size(),
                seen_at: now,
            };
            self.hosts.insert(member.daemon.clone(), host);
        }
        self.hosts
            .retain(|_, host| now.since(host.seen_at) <= HOST_RETENTION);
        self.largest.clear();
        for host in self.hosts.values() {
            let largest = self.largest.entry(host.zone.clone()).or_default();
            *largest = host.size.max(*largest);
        }
        let hosts = self.hosts.values();
        self.large_count = hosts.filter(|host| self.is_large(host)).count();
    }

    /// The share of a daemon in each quota; `None` if it is not known.
    #[must_use]
    pub fn share(&self, daemon: &DaemonId) -> Option<f64> {
        let host = self.hosts.get(daemon)?;
        let small_count = self.hosts.len() - self.large_count;
        Some(if small_count == 0 {
            1.0 / usize_to_f64(self.large_count)
        } else if self.is_large(host) {
            LARGE_FRACTION / usize_to_f64(self.large_count)
        } else {
            (1.0 - LARGE_FRACTION) / usize_to_f64(small_count)
        })
    }

    fn is_large(&self, host: &SharingHost) -> bool {
        let largest = self.largest.get(&host.zone).copied().unwrap_or(host.size);
        host.size.saturating_mul(MAX_SIZE_RATIO) >= largest
    }
}
