//! Selects the daemons that are listed to callers.
//!
//! Load pattern: hosts of very different sizes serve callers in several
//! availability zones. Callers pick from the list at random, so it holds the
//! hosts of the caller's zone that are not much smaller than the largest one
//! there. When these are too few to survive the loss of a host, hosts of all
//! zones are listed.

use std::net::SocketAddr;

use ward_protocol::ZoneName;

use crate::message::HostMember;

/// With fewer sufficiently large hosts in the caller's zone, hosts of all zones
/// are listed.
const MIN_HOSTS: usize = 2;
/// A host is left out when the largest one is more than this many times its
/// size.
pub(crate) const MAX_SIZE_RATIO: u64 = 3;

/// Addresses for callers in a zone, largest hosts first, at most `limit`. For a
/// caller without a known zone (`None`), hosts of all zones are listed.
#[must_use]
pub fn choose_hosts(
    members: &[HostMember],
    zone: Option<&ZoneName>,
    limit: usize,
) -> Vec<SocketAddr> {
    let near: Vec<_> = members
        .iter()
        .filter(|member| Some(&member.zone) == zone)
        .collect();
    let mut chosen = large_hosts(&near);
    if chosen.len() < MIN_HOSTS {
        chosen = large_hosts(&members.iter().collect::<Vec<_>>());
    }
    chosen.sort_by_key(|member| std::cmp::Reverse(member.capacity.size()));
    chosen.truncate(limit);
    chosen.into_iter().map(|member| member.callers).collect()
}

fn large_hosts<'a>(members: &[&'a HostMember]) -> Vec<&'a HostMember> {
    let largest = members
        .iter()
        .map(|member| member.capacity.size())
        .max()
        .unwrap_or(0);
    members
        .iter()
        .copied()
        .filter(|member| member.capacity.size() * MAX_SIZE_RATIO >= largest)
        .collect()
}
