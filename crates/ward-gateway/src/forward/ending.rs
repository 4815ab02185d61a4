//! Whether an answer that ended is whole.
//!
//! An answer with neither a length nor chunks ends with its connection, and the connection
//! of an engine whose process has ended closes in the same way. So such an answer counts as
//! whole only if its engine is known to have outlived it. This is asked by opening a
//! connection, and only for these answers. If the connection ends while the request is
//! still being written, the answer doesn't count as whole either: a reset that is seen
//! first by the writer looks to the reader like the end of the answer.
//!
//! An answer that was broken off may be completed by another one on the same connection. Its
//! head then stands in the body. A body that may only quote a head counts as whole if the
//! connection is idle after it: the rest of another answer would follow at once.

use std::io::ErrorKind;

use super::pool::EngineConnection;
use crate::crash::probe_address;
use crate::embedded::HeadFinding;
use crate::queue::EngineSlot;

/// Why an answer that holds this was broken off and completed by another one; `None` if it
/// was not. `is_unframed` is whether it ended with its connection.
pub(crate) async fn joined_end(
    finding: HeadFinding,
    connection: &EngineConnection,
    is_unframed: bool,
) -> Option<&'static str> {
    let is_joined = match finding {
        HeadFinding::Nothing => false,
        HeadFinding::Possible => is_unframed || !connection.is_idle_after_answer().await,
        HeadFinding::Copy => true,
    };
    is_joined.then_some("the body holds the head of another answer")
}

/// Why an answer that ended with the connection to this engine counts as broken off; `None`
/// if it came after the request, and the engine still accepts connections.
pub(crate) async fn unframed_end(
    slot: &EngineSlot,
    connection: &EngineConnection,
) -> Option<&'static str> {
    if connection.is_writing() {
        return Some("the connection ended while the request was written");
    }
    match probe_address(slot.engine.address).await {
        Ok(()) => None,
        Err(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
            Some("the engine ended with the connection")
        }
        Err(_) => Some("the engine cannot be reached after the end of the connection"),
    }
}
