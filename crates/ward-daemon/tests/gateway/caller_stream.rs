//! Streams as their callers see them, over all their tries.

use std::time::Duration;

use ward_adapter::served::resume_headers;
use ward_stage::{CallerAnswer, CallerError, CallerRequest, PLAIN_SOFTWARE, SLOW_PATH, Stage};

pub(crate) const OTHER_SOFTWARE: &str = "v2";
/// Number of events of a complete stream.
const EVENT_COUNT: usize = 5;
/// Whole time of a caller, over all its tries.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) type CallerResult = std::result::Result<CallerAnswer, CallerError>;

/// A stream as its caller sees it, over all tries.
pub(crate) struct CallerStream {
    /// Id of the try that brought the first event.
    pub(crate) first_try: String,
    /// Complete events that the caller has received.
    pub(crate) events: String,
}

impl CallerStream {
    pub(crate) fn event_count(&self) -> usize {
        self.events.matches("\n\n").count()
    }

    pub(crate) fn is_complete(&self) -> bool {
        [PLAIN_SOFTWARE, OTHER_SOFTWARE]
            .iter()
            .any(|software| self.events == complete_stream(software))
    }

    /// Whether all events come from engines of one version.
    pub(crate) fn is_of_one_version(&self) -> bool {
        [PLAIN_SOFTWARE, OTHER_SOFTWARE]
            .iter()
            .any(|software| complete_stream(software).starts_with(&self.events))
    }

    pub(crate) fn add(&mut self, result: CallerResult) {
        let received = match result {
            Ok(answer) if answer.status.is_success() => answer.body,
            Err(CallerError::Broken(_, part)) => part,
            _ => return,
        };
        let text = String::from_utf8_lossy(&received);
        let complete = text.rfind("\n\n").map_or(0, |end| end + 2);
        self.events.push_str(&text[..complete]);
    }

    /// The request with which the caller takes up a slow stream.
    pub(crate) fn resumption(&self, id: &str) -> CallerRequest {
        self.resumption_of(slow_request(id))
    }

    /// A request that takes up the stream.
    pub(crate) fn resumption_of(&self, mut request: CallerRequest) -> CallerRequest {
        let last = self.event_count() as u64;
        let headers = resume_headers(Some(&self.first_try), last);
        request.headers.extend(headers);
        request
    }
}

fn complete_stream(software: &str) -> String {
    let suffix = match software {
        PLAIN_SOFTWARE => String::new(),
        other => format!(" {other}"),
    };
    let events =
        (1..=EVENT_COUNT).map(|number| format!("id: {number}\ndata: part {number}{suffix}\n\n"));
    events.collect()
}

pub(crate) fn slow_request(id: &str) -> CallerRequest {
    let path = format!("/quote/{SLOW_PATH}");
    let mut request = CallerRequest::new(id, path, Some(&Stage::model_name(0)));
    request.timeout = CALLER_TIMEOUT;
    request
}
