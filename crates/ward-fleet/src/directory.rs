//! Which daemons callers are told to use.
//!
//! Load pattern: hosts of very different sizes before callers of several
//! availability zones. Callers draw from the list at random, so it holds the
//! hosts of the caller's zone that are not much smaller than the largest one
//! there; when that leaves too few to survive a loss, other zones are added.

use std::net::SocketAddr;

use ward_protocol::ZoneName;

use crate::message::HostMember;

/// Hosts below which those of other zones are listed too.
const MIN_HOSTS: usize = 2;
/// A host is left out when it has less than this part of the largest one.
const MAX_SIZE_RATIO: u64 = 3;

/// The addresses for a caller in a zone, at most `limit`.
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
