//! Rendezvous hashing: a key is assigned to the name with the highest score for it.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Score of a name for a key; all daemons compute the same score.
#[must_use]
pub fn rendezvous_score(name: &str, key: u64) -> u64 {
    mix(hash_bytes(name.as_bytes()) ^ mix(key))
}

/// FNV-1a hash of bytes.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a number, so that each affects all others: the finaliser of `SplitMix64`.
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
