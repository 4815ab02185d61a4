//! Reads the bodies of callers' requests.
//!
//! A request may be refused while its caller still sends the body. If the connection were
//! closed then, the bytes that still come would reset it, and the caller would lose the
//! refusal. So the rest of the body is read and dropped for a while.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::spawn_local;
use ward_protocol::TimeSpan;

use super::answer::OwnAnswer;
use super::entry::ConnectionKey;
use super::refusal::{Refusal, not_run, refuse};
use super::registry::ConnectionRegistry;
use crate::buffer::BufferError;
use crate::gateway::Gateway;

/// Maximum time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of the rest of a refused body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Reads the body of a request, unless its connection must give way to others first.
///
/// # Errors
/// A refusal if the body is too long, does not arrive, or does not fit into memory.
pub(super) async fn receive_body(
    gateway: &Gateway,
    head: &Parts,
    mut body: Incoming,
    max_bytes: usize,
    timeout: TimeSpan,
) -> Result<Bytes, Refusal> {
    let connection = head.extensions.get();
    let received = tokio::select! {
        biased;
        received = read_body(gateway, &mut body, max_bytes, timeout) => received,
        () = gateway.connections.body_refused(connection) => {
            Err(not_run("there is no memory left for a body that is still to come"))
        }
    };
    if received.is_err()
        && let Some(connection) = connection
    {
        discard_rest(&gateway.connections, *connection, body);
    }
    let received = received?;
    if !gateway.connections.record_whole_request(connection) {
        return Err(not_run("its connection is closed to make room for others"));
    }
    Ok(received)
}

async fn read_body(
    gateway: &Gateway,
    body: &mut Incoming,
    max_bytes: usize,
    timeout: TimeSpan,
) -> Result<Bytes, Refusal> {
    let collected = gateway.buffers.collect(body, max_bytes);
    match tokio::time::timeout(timeout.duration(), collected).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BufferError::TooLong)) => Err(refuse(
            OwnAnswer::TooLong,
            "the body is longer than the manifest allows",
        )),
        Ok(Err(BufferError::Full)) => Err(not_run("there is no memory left for its body")),
        Ok(Err(BufferError::Cut)) => Err(refuse(OwnAnswer::NoBody, "the body broke off")),
        Err(_) => Err(refuse(OwnAnswer::NoBody, "the body did not arrive in time")),
    }
}

/// Reads the rest of the refused body on a connection and drops it, so that its caller can
/// read the refusal.
pub(super) fn discard_rest(
    registry: &Rc<ConnectionRegistry>,
    connection: ConnectionKey,
    mut body: Incoming,
) {
    if body.is_end_stream() {
        return;
    }
    registry.record_refused(connection);
    let registry = Rc::clone(registry);
    spawn_local(async move {
        let mut discarded = 0;
        let rest = async {
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // What comes later is not worth the wait: the connection closes.
        drop(tokio::time::timeout(DISCARD_TIMEOUT, rest).await);
        registry.record_discarded(connection);
    });
}
