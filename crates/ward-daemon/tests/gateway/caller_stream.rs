//! Streams as their callers see them, over all their tries.

use std::time::Duration;

use googletest::prelude::*;
use tokio::task::JoinHandle;
use ward_adapter::served::resume_headers;
use ward_stage::{
    CallerAnswer, CallerError, CallerRequest, PLAIN_SOFTWARE, SLOW_PATH, Stage, StageCaller,
    StagePlan,
};

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

/// A stage whose engines all hold the same model, half of them with another software
/// version.
pub(crate) fn two_versions() -> StagePlan {
    StagePlan {
        daemons: 4,
        engines: 4,
        models: 1,
        software: &[PLAIN_SOFTWARE, OTHER_SOFTWARE],
        ..StagePlan::default()
    }
}

pub(crate) fn one_version() -> StagePlan {
    StagePlan {
        software: &[PLAIN_SOFTWARE],
        ..two_versions()
    }
}

/// Sends a request in the background, so that daemons can be killed meanwhile.
pub(crate) fn send_in_background(
    stage: &Stage,
    daemon: usize,
    request: CallerRequest,
) -> JoinHandle<CallerResult> {
    let address = stage.daemons[daemon].callers();
    tokio::spawn(async move { StageCaller::connect(address).await?.send(&request).await })
}

/// Streams that have begun at the daemons, and the tasks that read them.
pub(crate) struct BegunStreams {
    streams: Vec<CallerStream>,
    readers: Vec<JoinHandle<CallerResult>>,
}

/// Begins slow streams at some daemons in turn.
pub(crate) fn begin_streams(stage: &Stage, daemons: &[usize], count: usize) -> BegunStreams {
    begin_streams_of(stage, daemons, count, slow_request)
}

/// Begins streams at some daemons in turn, with the requests that `request` makes of ids.
pub(crate) fn begin_streams_of(
    stage: &Stage,
    daemons: &[usize],
    count: usize,
    request: impl Fn(&str) -> CallerRequest,
) -> BegunStreams {
    let mut begun = BegunStreams {
        streams: Vec::new(),
        readers: Vec::new(),
    };
    for number in 0..count {
        let id = format!("begin{number}");
        let daemon = daemons[number % daemons.len()];
        begun
            .readers
            .push(send_in_background(stage, daemon, request(&id)));
        begun.streams.push(CallerStream {
            first_try: id,
            events: String::new(),
        });
    }
    begun
}

impl BegunStreams {
    /// The streams that broke off after their first event.
    pub(crate) async fn broken_streams(self) -> Vec<CallerStream> {
        let mut broken = Vec::new();
        for (mut stream, reader) in self.streams.into_iter().zip(self.readers) {
            stream.add(reader.await.unwrap());
            if stream.event_count() > 0 && !stream.is_complete() {
                broken.push(stream);
            }
        }
        broken
    }
}

/// Takes up streams at some daemons in turn, all at the same time.
pub(crate) async fn take_up(
    stage: &Stage,
    daemons: &[usize],
    streams: &mut [CallerStream],
    round: &str,
) {
    let mut readers = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let request = stream.resumption(&format!("{round}{number}"));
        readers.push(send_in_background(
            stage,
            daemons[number % daemons.len()],
            request,
        ));
    }
    for (stream, reader) in streams.iter_mut().zip(readers) {
        stream.add(reader.await.unwrap());
    }
}

/// Expects that no stream holds events of two versions, and that at least half of
/// them went on to their end.
pub(crate) fn expect_taken_up(streams: &[CallerStream], begun: usize) {
    expect_that!(
        streams.len(),
        ge(begun / 2),
        "too few streams broke off in mid-stream"
    );
    for stream in streams {
        expect_true!(stream.is_of_one_version(), "mixed: {:?}", stream.events);
    }
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    expect_that!(complete * 2, ge(streams.len()), "too few streams went on");
    println!("{complete} of {} streams went on", streams.len());
}
