//! Asks engines whether the runs of silent streams have ended, also of streams whose answer
//! has not begun.
//!
//! An engine is asked once for all its silent streams, since its report names all runs and
//! each report has a price.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use indexmap::IndexMap;
use slog::info;
use ward_adapter::fetch_runs;
use ward_fleet::{EngineIncarnation, EngineInfo, RunInquiry};
use ward_http::UnpooledClient;
use ward_protocol::{MonoTime, TimeSpan};

use super::attempt::AttemptRequest;
use crate::clock;
use crate::crash::probe_address;
use crate::gateway::Gateway;
use crate::queue::EngineSlot;

const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Time in which an inquiry ends, whatever the engine does.
const MAX_INQUIRY_TIME: TimeSpan = TimeSpan::from_millis(1_200);
/// Time for which the answer to an inquiry is used for other streams.
const MAX_INQUIRY_AGE: TimeSpan = TimeSpan::from_millis(300);
/// Maximum age of what a report says, so that a run that began later may be missing in it.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_millis(500);

type SharedInquiry = Shared<LocalBoxFuture<'static, RunInquiry>>;

/// The newest inquiry to each engine that was asked of late.
#[derive(Default)]
pub(crate) struct InquiryDesk {
    inquiries: RefCell<IndexMap<EngineIncarnation, (MonoTime, SharedInquiry)>>,
}

impl InquiryDesk {
    /// The inquiry that was begun just before, or a new one. Inquiries that nobody waits
    /// for any more make no progress, so they are not used later.
    fn newest_inquiry(&self, engine: &EngineInfo) -> SharedInquiry {
        let now = clock::now();
        let is_usable = |begun_at: MonoTime, inquiry: &SharedInquiry| {
            let is_under_way = inquiry.peek().is_none();
            let max_age = if is_under_way {
                MAX_INQUIRY_TIME
            } else {
                MAX_INQUIRY_AGE
            };
            now.since(begun_at) < max_age
        };
        let mut inquiries = self.inquiries.borrow_mut();
        inquiries.retain(|_, (begun_at, inquiry)| is_usable(*begun_at, inquiry));
        let incarnation = EngineIncarnation::from(engine);
        let (_, inquiry) = inquiries
            .entry(incarnation)
            .or_insert_with(|| (now, inquire(engine.clone()).boxed_local().shared()));
        inquiry.clone()
    }
}

async fn inquire(engine: EngineInfo) -> RunInquiry {
    let client = UnpooledClient::new();
    let fetched = fetch_runs(&client, engine.address, &engine.id, REPORT_TIMEOUT).await;
    match fetched {
        Ok(runs) => RunInquiry::Runs(Rc::new(runs)),
        Err(cause) if cause.is_other_engine() => RunInquiry::Gone,
        Err(_) => match probe_address(engine.address).await {
            Ok(()) => RunInquiry::NoReport,
            Err(cause) if cause.kind() == ErrorKind::ConnectionRefused => RunInquiry::Gone,
            Err(_) => RunInquiry::Unreachable,
        },
    }
}

/// Times at which the engine of a stream is asked for its runs.
#[derive(Debug)]
pub(super) struct SilenceWatch {
    /// Time without an event after which the engine is asked, and asked again.
    pub(super) max_silence: TimeSpan,
    /// When the stream began at this engine.
    pub(super) begun_at: MonoTime,
    /// Whether the engine has begun its answer, so that it was running the request.
    has_begun: bool,
    asked_at: Option<MonoTime>,
}

impl SilenceWatch {
    /// Watches a stream that begins at an engine now.
    pub(super) fn new(max_silence: TimeSpan) -> Self {
        Self {
            has_begun: true,
            max_silence,
            begun_at: clock::now(),
            asked_at: None,
        }
    }

    /// Waits until the run of a stream is known to be over; returns the reason. The stream
    /// brought its last event at `last_event`.
    pub(super) async fn run_end(
        &mut self,
        gateway: &Gateway,
        slot: &EngineSlot,
        request_id: &str,
        last_event: MonoTime,
    ) -> &'static str {
        loop {
            let silent_since = self.asked_at.map_or(last_event, |at| at.max(last_event));
            let due = (silent_since + self.max_silence).max(self.begun_at + MAX_REPORT_AGE);
            tokio::time::sleep(due.since(clock::now()).duration()).await;
            let inquiry = gateway.inquiries.newest_inquiry(&slot.engine).await;
            let now = clock::now();
            self.asked_at = Some(now);
            let may_be_held_up = self.has_begun && is_listed(gateway, &slot.engine);
            let end = inquiry.run_end(request_id, may_be_held_up);
            info!(
                gateway.logger, "stream: engine asked for its runs"; "request" => request_id,
                "engine" => %slot.engine.id, "silent" => now.since(last_event).millis(),
                "outcome" => end.unwrap_or("the run may go on"),
            );
            if let Some(reason) = end {
                return reason;
            }
        }
    }
}

/// Whether the engine's incarnation is still known.
fn is_listed(gateway: &Gateway, engine: &EngineInfo) -> bool {
    let table = gateway.table.borrow();
    let known = table.get(&engine.id);
    known.is_some_and(|known| known.info.birth == engine.birth)
}

/// The result of the first future, or that of the second if it ends before.
pub(super) async fn first_of<T, E>(
    future: impl Future<Output = T>,
    other: impl Future<Output = E>,
) -> Result<T, E> {
    tokio::select! {
        biased;
        result = future => Ok(result),
        result = other => Err(result),
    }
}

/// Waits until an engine has not begun its answer in time; returns the reason. One that is
/// asked for its runs has all the time that is left while it may be running the request.
pub(super) async fn head_timeout(
    gateway: &Gateway,
    request: &AttemptRequest,
    slot: &EngineSlot,
    timeout: TimeSpan,
) -> &'static str {
    let deadline = tokio::time::sleep(request.deadline.since(clock::now()).duration());
    if !request.asks_runs {
        tokio::time::sleep(timeout.duration()).await;
        return "no answer in time";
    }
    let mut silence = SilenceWatch {
        has_begun: false,
        ..SilenceWatch::new(timeout)
    };
    let begun_at = silence.begun_at;
    tokio::select! {
        reason = silence.run_end(gateway, slot, &request.id_text, begun_at) => reason,
        () = deadline => "no answer in time",
    }
}
