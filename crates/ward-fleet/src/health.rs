//! Health of an engine, derived from the requests of this daemon.
//!
//! Load pattern: engines crash, hang or refuse requests while their heartbeats
//! and health checks still look good. An engine that fails twice in a row, or
//! that no connection can be opened to, is ejected for a time that grows with
//! each further failure; one success resets it. Requests go to ejected engines
//! only if all others that could run them are ejected or paused, too, so a
//! service whose engines are all ejected is still served.

use ward_protocol::{MonoTime, TimeSpan};

/// Duration of the first ejection; doubles with each further failure.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(500);
const MAX_EJECTION: TimeSpan = TimeSpan::from_secs(8);
/// Consecutive failures that eject an engine which still accepts connections.
const FAILURES_TO_EJECT: u32 = 2;
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Time for which an engine that refused a request because it was full gets no
/// requests; doubles with each consecutive refusal.
const FIRST_FULL_BACKOFF: TimeSpan = TimeSpan::from_millis(100);
const MAX_FULL_DOUBLINGS: u32 = 3;
/// Weight of the latest sample in the moving average of the time to first byte.
const LATENCY_WEIGHT: f64 = 0.2;

/// What the outcome of one request says about its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineSignal {
    /// The engine's answer was valid and complete.
    Answered,
    /// The engine refused the request because it was full.
    Full,
    /// The engine refused the request and asked this daemon to pause for this
    /// time.
    Pause(TimeSpan),
    /// The engine does not hold the requested model or adapter, or is another
    /// engine than expected.
    Misplaced,
    /// The engine sent an invalid answer, did not send the answer or its next
    /// event in time, or closed the connection before the answer was complete.
    Failed,
    /// No connection to the engine could be opened.
    Unreachable,
}

/// Health of one engine as seen by one daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineHealth {
    /// Failures since the last complete answer.
    failures: u32,
    ejected_until: MonoTime,
    /// Refusals of requests as full since the last complete answer.
    refusals: u32,
    full_until: MonoTime,
    paused_until: MonoTime,
    /// Set when the engine asks for a pause, cleared by its next complete
    /// answer.
    recovering: bool,
    first_byte_millis: Option<f64>,
}

impl EngineHealth {
    /// Updates the health with the outcome of a request.
    pub fn record(&mut self, signal: EngineSignal, now: MonoTime) {
        match signal {
            EngineSignal::Answered => {
                self.failures = 0;
                self.ejected_until = MonoTime::default();
                self.refusals = 0;
                self.recovering = false;
            }
            EngineSignal::Pause(span) => {
                self.paused_until = self.paused_until.max(now + span);
                self.recovering = true;
            }
            EngineSignal::Full => {
                let doublings = self.refusals.min(MAX_FULL_DOUBLINGS);
                self.refusals += 1;
                self.full_until =
                    now + TimeSpan::from_millis(FIRST_FULL_BACKOFF.millis() << doublings);
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

    /// Adds a sample of the time to first byte to the average.
    pub fn record_first_byte(&mut self, span: TimeSpan) {
        let millis = span.seconds() * 1_000.0;
        let average = self.first_byte_millis.unwrap_or(millis);
        self.first_byte_millis = Some(average + LATENCY_WEIGHT * (millis - average));
    }

    /// Moving average of the time to first byte, in milliseconds; `None` before
    /// the first answer.
    #[must_use]
    pub fn first_byte_millis(&self) -> Option<f64> {
        self.first_byte_millis
    }

    /// Whether the engine is ejected: it gets requests only if every other
    /// engine that holds the model and adapter is ejected or paused, too.
    #[must_use]
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }

    /// End of the pause that the engine asked for; `None` when it has passed or
    /// was never requested.
    #[must_use]
    pub fn paused_until(&self, now: MonoTime) -> Option<MonoTime> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Whether the engine gets one request at a time, because it asked for a
    /// pause and has not answered since.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Whether the engine gets no requests for now, because it refused one as
    /// full.
    #[must_use]
    pub fn is_full(&self, now: MonoTime) -> bool {
        now < self.full_until
    }

    fn eject(&mut self, now: MonoTime) {
        let doublings = (self.failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
        let millis = FIRST_EJECTION.millis() << doublings;
        let span = TimeSpan::from_millis(millis.min(MAX_EJECTION.millis()));
        self.ejected_until = now + span;
    }
}
