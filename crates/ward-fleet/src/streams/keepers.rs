//! The daemons that keep the origin of a stream.

use std::cmp::Reverse;
use std::net::SocketAddr;

use ward_protocol::StreamKey;

/// The daemons that keep the origin of a stream (rendezvous hashing), at most `count`,
/// the first keeper first; `daemons` are the addresses for messages of all daemons but
/// the one that asks. All who know the same daemons find the same keepers.
#[must_use]
pub fn keepers(
    daemons: impl IntoIterator<Item = SocketAddr>,
    key: StreamKey,
    count: usize,
) -> Vec<SocketAddr> {
    let weighted = daemons.into_iter();
    let weighted = weighted.map(|address| (Reverse(rendezvous_weight(key, address)), address));
    let mut ranked: Vec<_> = weighted.collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(count);
    first.map(|(_, address)| address).collect()
}

fn rendezvous_weight(key: StreamKey, address: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_le_bytes());
    hasher.update(address.to_string().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
