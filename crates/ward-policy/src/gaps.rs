//! A small histogram of the gaps between a model's requests.
//!
//! Buckets grow by the square root of two from one second to about a week;
//! weights are fixed-point numbers, so that histories compare equal exactly.

use ward_protocol::TimeSpan;

/// Number of buckets; the last is open.
pub const GAP_BUCKETS: usize = 40;
/// Weight of one gap.
const GAP_WEIGHT: u32 = 1 << 12;
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Decaying counts of gaps by length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GapBuckets {
    weights: [u32; GAP_BUCKETS],
}

impl Default for GapBuckets {
    fn default() -> Self {
        Self {
            weights: [0; GAP_BUCKETS],
        }
    }
}

impl GapBuckets {
    /// Adds a gap after multiplying the weight of earlier ones by `decay`, 0 to 1.
    pub fn add(&mut self, gap: TimeSpan, decay: f64) {
        for weight in &mut self.weights {
            *weight = scale(*weight, decay);
        }
        let weight = &mut self.weights[bucket_of(gap.seconds())];
        *weight = weight.saturating_add(GAP_WEIGHT);
    }

    /// Weight of a bucket in gaps.
    #[must_use]
    pub fn weight(&self, bucket: usize) -> f64 {
        f64::from(self.weights[bucket]) / f64::from(GAP_WEIGHT)
    }

    /// Expected ends per second of a gap that has lasted `age`.
    ///
    /// `prior` gaps spread evenly over the buckets are added, so that an empty
    /// history expects a request about as far ahead as the last lies back.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn hazard(&self, age: TimeSpan, prior: f64) -> f64 {
        let bucket = bucket_of(age.seconds());
        let weight = |index: usize| self.weight(index) + prior / GAP_BUCKETS as f64;
        let ends = weight(bucket);
        let longer: f64 = (bucket + 1..GAP_BUCKETS).map(weight).sum();
        let width = bucket_start(bucket + 1) - bucket_start(bucket);
        // Gaps that end in the bucket last through half of it on average.
        ends / (width * (longer + ends / 2.0)).max(f64::EPSILON)
    }

    /// Weight of all buckets in gaps.
    #[must_use]
    pub fn total(&self) -> f64 {
        (0..GAP_BUCKETS).map(|bucket| self.weight(bucket)).sum()
    }
}

/// Bucket of a gap in seconds.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn bucket_of(seconds: f64) -> usize {
    if seconds < 1.0 {
        return 0;
    }
    let bucket = (seconds.log2() * BUCKETS_PER_OCTAVE).floor() as usize + 1;
    bucket.min(GAP_BUCKETS - 1)
}

/// Lower edge of a bucket in seconds.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn bucket_start(bucket: usize) -> f64 {
    match bucket {
        0 => 0.0,
        _ => ((bucket - 1) as f64 / BUCKETS_PER_OCTAVE).exp2(),
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(weight: u32, factor: f64) -> u32 {
    (f64::from(weight) * factor.clamp(0.0, 1.0)) as u32
}
