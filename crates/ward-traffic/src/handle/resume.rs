//! Resumes an interrupted stream at the caller's request, on any daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use serde::Deserialize;
use viz::types::Params;
use viz::{Body, Request, RequestExt};
use ward_backend::request::AnswerBody;
use ward_protocol::{BackendId, RequestId, ResultCode};

use crate::core::TrafficCore;
use crate::forward::{CancelGuard, EventBuffer, StreamProgress, StreamStep, event_response};
use crate::forward::{abort_after_flush, is_stream};
use crate::problem::ProblemReport;

#[derive(Deserialize)]
struct ResumeQuery {
    backend: BackendId,
    from: u64,
}

/// Stream resumed by the caller; it can continue only at its own engine.
struct ResumedStream {
    body: AnswerBody,
    events: EventBuffer,
    progress: StreamProgress,
    guard: CancelGuard,
    ended: bool,
}

/// Continues a stream at the engine that runs its request.
///
/// # Errors
///
/// The path or query is malformed, or the engine is gone or does not have the request.
pub(crate) async fn resume_stream(
    core: &Arc<TrafficCore>,
    mut request: Request,
) -> Result<Response<Body>, ProblemReport> {
    let Params(id) = request
        .extract::<Params<String>>()
        .await
        .map_err(|error| malformed(&error))?;
    let id: RequestId = id.parse().map_err(|error| malformed(&error))?;
    let query: ResumeQuery = request.query().map_err(|error| malformed(&error))?;
    let address = engine_address(core, &query.backend)?;
    let lost = || {
        let detail = format!("{} does not have the request", query.backend);
        ProblemReport::failed(ResultCode::BackendLost, detail)
    };
    let resumed = core.client.resume(address, id, query.from).await;
    let answer = resumed.map_err(|_| lost())?;
    if !is_stream(&answer) {
        return Err(lost());
    }
    core.metrics.streams_resumed.inc();
    let stream = ResumedStream {
        body: answer.body,
        events: EventBuffer::default(),
        progress: StreamProgress::from_token(id, query.from),
        guard: CancelGuard::new(core, address, id),
        ended: false,
    };
    let events = stream::unfold(stream, |mut stream| async {
        let event = stream.next().await?;
        Some((event, stream))
    });
    Ok(event_response(Body::from_stream(events), id))
}

impl ResumedStream {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        if let Some(event) = self.advance().await {
            return Some(Ok(event));
        }
        // Not cancelled: the engine may keep the request for another resume.
        self.guard.disarm();
        Some(Err(abort_after_flush().await))
    }

    /// The next event for the caller; `None` if the stream breaks.
    async fn advance(&mut self) -> Option<Bytes> {
        loop {
            while let Some(event) = self.events.next_event() {
                match self.progress.classify(&event) {
                    StreamStep::Deliver => return Some(event),
                    StreamStep::Skip => {}
                    StreamStep::Broken => return None,
                    StreamStep::End => {
                        self.ended = true;
                        self.guard.disarm();
                        return Some(event);
                    }
                }
            }
            if self.events.is_overlong() {
                return None;
            }
            let piece = self.body.chunk().await.ok()??;
            self.events.push(&piece);
        }
    }
}

fn engine_address(core: &TrafficCore, backend: &BackendId) -> Result<SocketAddr, ProblemReport> {
    let view = core.view();
    let route = view.backends.get(backend);
    route.map(|route| route.address).ok_or_else(|| {
        let detail = format!("backend server {backend} does not exist any more");
        ProblemReport::failed(ResultCode::BackendLost, detail)
    })
}

fn malformed(error: &impl ToString) -> ProblemReport {
    ProblemReport::refused(ResultCode::MalformedRequest, error.to_string())
}
