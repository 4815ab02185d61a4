//! An engine's health as this daemon's own requests show it.
//!
//! Load pattern: engines that crash, hang or refuse while their heartbeats and
//! checks still look well. An engine that fails several times in a row is
//! ejected for a while that grows with each further failure; one success after
//! that makes it whole again. Ejection only ranks an engine last, so a service
//! whose engines are all ejected is still served.

use ward_protocol::{MonoTime, TimeSpan};

const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(500);
const LONGEST_EJECTION: TimeSpan = TimeSpan::from_secs(8);
/// Failures in a row that eject an engine that can still be connected to.
const FAILURES_TO_EJECT: u32 = 2;
const MOST_DOUBLINGS: u32 = 4;
/// Time for which an engine that refused for lack of room gets nothing; doubles
/// with each refusal in a row.
const FIRST_FULL: TimeSpan = TimeSpan::from_millis(100);
const MOST_FULL_DOUBLINGS: u32 = 3;
/// Weight of the newest first-byte time in the average.
const LATENCY_WEIGHT: f64 = 0.2;

/// What a request showed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineSignal {
    /// It answered.
    Answered,
    /// It refused for lack of room.
    Full,
    /// It refused, and wants nothing from this daemon for a time.
    Pause(TimeSpan),
    /// It lacks the model that was asked for.
    Misplaced,
    /// It answered wrongly, or broke off.
    Failed,
    /// No connection came about.
    Unreachable,
}

/// Health of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineHealth {
    failures: u32,
    ejected_until: MonoTime,
    refusals: u32,
    full_until: MonoTime,
    paused_until: MonoTime,
    /// Whether it has answered no request since it asked for a pause.
    recovers: bool,
    first_byte_millis: Option<f64>,
}

impl EngineHealth {
    /// Notes what a request showed.
    pub fn record(&mut self, sign: EngineSignal, now: MonoTime) {
        match sign {
            EngineSignal::Answered => {
                self.failures = 0;
                self.ejected_until = MonoTime::default();
                self.refusals = 0;
                self.recovers = false;
            }
            EngineSignal::Pause(span) => {
                self.paused_until = self.paused_until.max(now + span);
                self.recovers = true;
            }
            EngineSignal::Full => {
                let doublings = self.refusals.min(MOST_FULL_DOUBLINGS);
                self.refusals += 1;
                self.full_until = now + TimeSpan::from_millis(FIRST_FULL.millis() << doublings);
            }
            EngineSignal::Misplaced => {}
            EngineSignal::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
            EngineSignal::Unreachable => {
                self.failures = self.failures.max(FAILURES_TO_EJECT - 1) + 1;
                self.eject(now);
            }
        }
    }

    /// Notes the time until the first byte of an answer.
    pub fn record_first_byte(&mut self, span: TimeSpan) {
        let millis = span.seconds() * 1_000.0;
        let average = self.first_byte_millis.unwrap_or(millis);
        self.first_byte_millis = Some(average + LATENCY_WEIGHT * (millis - average));
    }

    /// Average time until the first byte of an answer.
    #[must_use]
    pub fn first_byte_millis(&self) -> Option<f64> {
        self.first_byte_millis
    }

    /// Whether it should get requests only when no other engine can.
    #[must_use]
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }

    /// Until when it wants nothing from this daemon, if it does.
    #[must_use]
    pub fn paused_until(&self, now: MonoTime) -> Option<MonoTime> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Whether it should get one request at a time: it asked for a pause and has
    /// answered none since.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovers
    }

    /// Whether it said a moment ago that it has no room.
    #[must_use]
    pub fn is_full(&self, now: MonoTime) -> bool {
        now < self.full_until
    }

    fn eject(&mut self, now: MonoTime) {
        let doublings = (self.failures - FAILURES_TO_EJECT).min(MOST_DOUBLINGS);
        let millis = FIRST_EJECTION.millis() << doublings;
        let span = TimeSpan::from_millis(millis.min(LONGEST_EJECTION.millis()));
        self.ejected_until = now + span;
    }
}
