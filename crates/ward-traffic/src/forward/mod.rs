//! From a slot on a backend server to a checked answer.

mod attempt;
mod budget;
mod cancel;
mod event;
mod progress;
mod relay;
mod suspect;
mod whole;

pub(crate) use attempt::{
    AttemptEnd, LONGEST_RUN, ModelCall, answer_by, attempt_end, attempt_model, broken_report,
    note_broken,
};
pub use budget::RetryBudget;
pub(crate) use cancel::CancelGuard;
pub use event::EventBuffer;
pub(crate) use progress::ends_whole;
pub use progress::{StreamProgress, StreamStep};
pub(crate) use relay::{StreamRelay, cut_off, event_response, relay_response};
pub(crate) use suspect::{check_crashes, is_crash};
pub(crate) use whole::{
    LARGEST_WHOLE, WholeAnswer, end_to_end, is_event_stream, is_stream, read_whole, whole_response,
};
