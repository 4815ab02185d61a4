//! Forwards requests to backend servers and checks their answers.

mod attempt;
mod budget;
mod cancel;
mod complete;
mod event;
mod progress;
mod relay;
mod suspect;

pub(crate) use attempt::{
    MAX_OVERRUN, ModelCall, SendOutcome, answer_deadline, attempt_model, classify_result,
    failure_report, record_attempt_failure,
};
pub use budget::RetryBudget;
pub(crate) use cancel::CancelGuard;
pub(crate) use complete::{
    CompleteAnswer, MAX_BUFFERED_ANSWER, complete_response, end_to_end, is_event_stream, is_stream,
    read_complete,
};
pub use event::EventBuffer;
pub(crate) use progress::has_end_marker;
pub use progress::{StreamProgress, StreamStep};
pub(crate) use relay::{StreamRelay, abort_after_flush, event_response, relay_response};
pub(crate) use suspect::{check_crashes, is_crash};
