//! What one connection holds, and how far its caller is behind.

use std::net::IpAddr;

use ward_protocol::{MonoTime, TimeSpan};

use crate::manifest::CallerLimits;

/// Memory of a connection without a request.
const CONNECTION_BYTES: usize = 12 << 10;
/// Memory of a request beside its head and body.
const REQUEST_BYTES: usize = 20 << 10;
/// Memory of a header field beside its bytes.
const FIELD_BYTES: usize = 300;
/// Most bytes of a complete body that are counted here; the rest has a budget of its own,
/// which bounds what is being served.
const COUNTED_BODY_BYTES: usize = 16 << 10;
/// Most bytes of an answer that are kept for a caller that does not read.
const UNREAD_BYTES: usize = 32 << 10;
/// Slowest link of a caller that is not behind, in bytes per second.
const SLOW_LINK_RATE: u64 = 64 << 10;
/// Factor by which a head may exceed its time, for what it waits on the way.
const HEAD_TIME_FACTOR: u32 = 2;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerPhase {
    /// The next request; the last one was answered.
    Idle,
    /// The rest of a request's head, or the first byte of the first.
    Head,
    /// The rest of a request's body.
    Body,
    /// The rest of a body whose request was refused, which is dropped as it comes.
    Refused,
    /// The answer to a complete request.
    Serving,
    /// The caller, who is to read what was answered.
    Unread,
}

/// Length of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// Told in the head; zero without a body.
    Exact(usize),
    /// Known at its end only.
    Unknown,
}

/// State of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLoad {
    /// Address of the caller.
    pub source: IpAddr,
    /// What it waits for.
    pub phase: CallerPhase,
    /// When this phase began.
    pub since: MonoTime,
    /// When the caller last sent or read something in this phase.
    pub progressed: MonoTime,
    /// Bytes that the caller sent or read in this phase.
    pub bytes: usize,
    /// Bytes of the largest head or body so far, up to the buffer's limit; the buffer does
    /// not shrink.
    pub buffered: usize,
    /// Header fields of the current request.
    pub fields: usize,
    /// Length of its body.
    pub body: BodyLength,
}

impl ConnectionLoad {
    /// A new connection.
    #[must_use]
    pub const fn new(source: IpAddr, now: MonoTime) -> Self {
        Self {
            source,
            phase: CallerPhase::Head,
            since: now,
            progressed: now,
            bytes: 0,
            buffered: 0,
            fields: 0,
            body: BodyLength::Exact(0),
        }
    }

    /// The connection in another phase, which begins now.
    #[must_use]
    pub const fn entered(self, phase: CallerPhase, now: MonoTime) -> Self {
        Self {
            phase,
            since: now,
            progressed: now,
            bytes: 0,
            ..self
        }
    }

    /// The connection after `bytes` more bytes were sent or read by its caller.
    #[must_use]
    pub const fn moved(self, bytes: usize, now: MonoTime) -> Self {
        Self {
            progressed: now,
            bytes: self.bytes + bytes,
            ..self
        }
    }

    /// Estimate of the memory that the connection holds, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let phase_bytes = match self.phase {
            CallerPhase::Idle | CallerPhase::Head => 0,
            CallerPhase::Refused => REQUEST_BYTES,
            CallerPhase::Body => REQUEST_BYTES + self.body_bytes(),
            CallerPhase::Serving => REQUEST_BYTES + self.bytes.min(COUNTED_BODY_BYTES),
            CallerPhase::Unread => REQUEST_BYTES + UNREAD_BYTES,
        };
        // A buffer may have twice the length of what it holds.
        CONNECTION_BYTES + 2 * self.buffered + self.fields * FIELD_BYTES + phase_bytes
    }

    /// Whether the connection holds no more than any open one does, so that closing it
    /// frees next to nothing.
    #[must_use]
    pub fn is_bare(&self) -> bool {
        self.held_bytes() <= CONNECTION_BYTES
    }

    /// Memory of a body that has not arrived in full. The buffer for a long one has its
    /// whole length once enough has arrived; one without a known length grows by doubling.
    fn body_bytes(&self) -> usize {
        match self.body {
            BodyLength::Exact(length) if self.bytes > COUNTED_BODY_BYTES => length.max(self.bytes),
            BodyLength::Exact(_) => self.bytes,
            BodyLength::Unknown => 2 * self.bytes,
        }
    }

    /// Time by which the caller is behind one on a slow link.
    #[must_use]
    pub fn lag(&self, now: MonoTime) -> TimeSpan {
        let bytes = u64::try_from(self.bytes).unwrap_or(u64::MAX);
        let link_time = TimeSpan::from_millis(bytes.saturating_mul(1_000) / SLOW_LINK_RATE);
        now.since(self.since).saturating_sub(link_time)
    }

    /// Whether the caller has exceeded its time for a head, or has not read its answer for
    /// as long as a connection may stay idle.
    #[must_use]
    pub fn is_overdue(&self, limits: &CallerLimits, now: MonoTime) -> bool {
        match self.phase {
            // A connection without a byte is idle.
            CallerPhase::Head if self.bytes > 0 => {
                now.since(self.since).duration()
                    > limits.header_timeout.duration() * HEAD_TIME_FACTOR
            }
            CallerPhase::Unread => {
                let timeout = limits.idle_timeout.max(limits.header_timeout);
                now.since(self.progressed) > timeout
            }
            _ => false,
        }
    }
}
