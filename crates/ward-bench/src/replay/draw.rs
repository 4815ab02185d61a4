//! Random draws from the distributions that workloads use.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_policy::rendezvous::hash_bytes;

/// A generator seeded by a seed and a name only, so that adding a model changes no draw of another.
#[must_use]
pub(super) fn named_generator(seed: u64, name: &str) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(hash_bytes(name.as_bytes()) ^ seed.wrapping_mul(0x9e37_79b9))
}

/// An exponential variate with the given mean.
pub(super) fn exponential(generator: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = generator.random();
    -(1.0 - uniform).ln() * mean
}

/// A Pareto variate with the minimum `shortest` and the tail exponent `alpha`, capped at `longest`.
pub(super) fn pareto(generator: &mut ChaCha8Rng, shortest: f64, alpha: f64, longest: f64) -> f64 {
    let uniform: f64 = generator.random();
    (shortest * (1.0 - uniform).powf(-1.0 / alpha)).min(longest)
}

/// A rank from 0 to `count` - 1 from a Zipf distribution with the given exponent.
#[allow(clippy::cast_precision_loss)]
pub(super) fn zipf(generator: &mut ChaCha8Rng, count: usize, exponent: f64) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
    let total: f64 = (0..count).map(weight).sum();
    let mut remaining = generator.random::<f64>() * total;
    let found = (0..count).find(|rank| {
        remaining -= weight(*rank);
        remaining < 0.0
    });
    found.unwrap_or(count.saturating_sub(1))
}
