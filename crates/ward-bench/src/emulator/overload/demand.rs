//! Requests of three kinds that compete for the same slots.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_fleet::RequestPriority;
use ward_fleet::admission::RequestWork;
use ward_fleet::number::{floor_to_u64, secs_to_span, u64_to_f64, usize_to_f64};
use ward_protocol::{MonoTime, TimeSpan};

/// Prompt tokens that an engine reads in a millisecond.
const PROMPT_TOKENS_PER_MILLI: f64 = 44.0;
/// Time for which an engine generates a token.
const OUTPUT_TOKEN_MILLIS: f64 = 3.5;
/// Slots of all engines together.
pub(super) const SLOTS: usize = 24;
/// Maximum multiple of the mean size.
const MAX_SIZE: f64 = 4.0;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OverloadKind {
    /// Small, most urgent, with little time.
    Urgent,
    /// With a long prompt, urgent, with little time.
    Long,
    /// Small, least urgent, with much time.
    Patient,
}

impl OverloadKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Long, Self::Patient];

    pub(super) const fn priority(self) -> RequestPriority {
        let route = match self {
            Self::Urgent => 0,
            Self::Long => 1,
            Self::Patient => 2,
        };
        RequestPriority { tenant: 0, route }
    }

    pub(super) const fn target(self) -> TimeSpan {
        match self {
            Self::Urgent => TimeSpan::from_millis(400),
            Self::Long => TimeSpan::from_millis(600),
            Self::Patient => TimeSpan::from_secs(4),
        }
    }

    pub(super) const fn timeout(self) -> TimeSpan {
        match self {
            Self::Urgent | Self::Long => TimeSpan::from_secs(4),
            Self::Patient => TimeSpan::from_secs(11),
        }
    }

    /// Mean number of prompt tokens and of generated tokens.
    const fn mean_tokens(self) -> (f64, f64) {
        match self {
            Self::Urgent | Self::Patient => (650.0, 70.0),
            Self::Long => (9_000.0, 50.0),
        }
    }

    fn mean_slot_seconds(self) -> f64 {
        let (prompt, output) = self.mean_tokens();
        slot_seconds(prompt, output)
    }
}

fn slot_seconds(prompt: f64, output: f64) -> f64 {
    (prompt / PROMPT_TOKENS_PER_MILLI + output * OUTPUT_TOKEN_MILLIS) / 1_000.0
}

/// Parts of all requests, by kind; they add up to one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandMix {
    /// Part of the urgent ones.
    pub urgent: f64,
    /// Part of the long ones.
    pub long: f64,
}

impl DemandMix {
    const fn part(&self, kind: OverloadKind) -> f64 {
        match kind {
            OverloadKind::Urgent => self.urgent,
            OverloadKind::Long => self.long,
            OverloadKind::Patient => 1.0 - self.urgent - self.long,
        }
    }

    /// Requests per second that keep all slots busy.
    fn capacity(&self) -> f64 {
        let seconds = OverloadKind::ALL.map(|kind| self.part(kind) * kind.mean_slot_seconds());
        usize_to_f64(SLOTS) / seconds.iter().sum::<f64>()
    }
}

/// A request that arrives at the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedCall {
    /// Its kind.
    pub kind: OverloadKind,
    /// When its caller sent it for the first time.
    pub sent_at: MonoTime,
    /// Work that it says it needs.
    pub work: RequestWork,
    /// Time for which its prompt is read.
    pub(super) first_part: TimeSpan,
    /// Time for which it holds a slot.
    pub(super) slot_time: TimeSpan,
    /// Whether it is among the largest tenth of its kind.
    pub(super) is_largest: bool,
    /// Whether it was refused before.
    pub(super) is_retry: bool,
}

/// Requests of `length` at `load` times what the engines can do, in order of arrival.
#[must_use]
pub fn draw_calls(mix: DemandMix, load: f64, length: TimeSpan, seed: u64) -> Vec<QueuedCall> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for kind in OverloadKind::ALL {
        let rate = load * mix.capacity() * mix.part(kind);
        let mut seconds = 0.0;
        while seconds < length.seconds() {
            seconds += -(1.0 - generator.random::<f64>()).ln() / rate;
            let size = -(1.0 - generator.random::<f64>()).ln();
            let sent_at = MonoTime::default() + secs_to_span(seconds);
            calls.push(draw_call(kind, sent_at, size.min(MAX_SIZE)));
        }
    }
    calls.sort_by_key(|call| call.sent_at);
    calls
}

fn draw_call(kind: OverloadKind, sent_at: MonoTime, size: f64) -> QueuedCall {
    let (prompt, output) = kind.mean_tokens();
    let (prompt, output) = (floor_to_u64(prompt * size), floor_to_u64(output * size));
    let read_millis = floor_to_u64(u64_to_f64(prompt) / PROMPT_TOKENS_PER_MILLI);
    QueuedCall {
        kind,
        sent_at,
        work: RequestWork::from_tokens(prompt, 0, output),
        first_part: TimeSpan::from_millis(read_millis),
        slot_time: secs_to_span(slot_seconds(u64_to_f64(prompt), u64_to_f64(output))),
        is_largest: size > std::f64::consts::LN_10,
        is_retry: false,
    }
}
