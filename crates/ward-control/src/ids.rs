//! Random ids that are the same for the same seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_protocol::RecordId;

/// Generates ids of records, orders and snapshots.
#[derive(Debug)]
pub(crate) struct IdSource {
    generator: ChaCha8Rng,
}

impl IdSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn next(&mut self) -> RecordId {
        let high = u128::from(self.generator.next_u64());
        let low = u128::from(self.generator.next_u64());
        RecordId(high << 64 | low)
    }
}
