//! A small histogram of the gaps between a model's requests.
//!
//! The first bucket holds gaps below one second. The lower bounds of the others
//! rise from one second to six days, each by a factor of the square root of two.
//! Weights are fixed-point numbers, so that equal histories compare exactly equal.

use ward_protocol::TimeSpan;

/// Number of buckets; the last one has no upper limit.
pub const GAP_BUCKETS: usize = 40;
/// Fixed-point weight of one gap.
const GAP_WEIGHT: u32 = 1 << 12;
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Counts of gaps by length, in which older gaps have less weight.
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
    /// Multiplies the weight of earlier gaps by `decay`, from 0 to 1, and adds a gap.
    pub fn add(&mut self, gap: TimeSpan, decay: f64) {
        for weight in &mut self.weights {
            *weight = scale(*weight, decay);
        }
        let weight = &mut self.weights[bucket_of(gap.seconds())];
        *weight = weight.saturating_add(GAP_WEIGHT);
    }

    /// Weight of a bucket as a number of gaps.
    #[must_use]
    pub fn weight(&self, bucket: usize) -> f64 {
        f64::from(self.weights[bucket]) / f64::from(GAP_WEIGHT)
    }

    /// Hazard rate: the expected number of requests per second when the last one is `age` ago.
    ///
    /// `prior` gaps, spread evenly over the buckets, are added. Without any other
    /// gaps, the rate thus falls as `age` grows from one second to a few days.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn hazard(&self, age: TimeSpan, prior: f64) -> f64 {
        let bucket = bucket_of(age.seconds());
        let weight = |index: usize| self.weight(index) + prior / GAP_BUCKETS as f64;
        let ends = weight(bucket);
        let longer: f64 = (bucket + 1..GAP_BUCKETS).map(weight).sum();
        let width = bucket_start(bucket + 1) - bucket_start(bucket);
        // On average, a gap that ends in this bucket lasts through half of it.
        ends / (width * (longer + ends / 2.0)).max(f64::EPSILON)
    }

    /// Weight of all buckets as a number of gaps.
    #[must_use]
    pub fn total(&self) -> f64 {
        (0..GAP_BUCKETS).map(|bucket| self.weight(bucket)).sum()
    }
}

/// Index of the bucket for a gap of `seconds`.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn bucket_of(seconds: f64) -> usize {
    if seconds < 1.0 {
        return 0;
    }
    let bucket = (seconds.log2() * BUCKETS_PER_OCTAVE).floor() as usize + 1;
    bucket.min(GAP_BUCKETS - 1)
}

/// Lower bound of a bucket in seconds.
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
