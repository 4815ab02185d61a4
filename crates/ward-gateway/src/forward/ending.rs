//! Whether an answer that ended with its connection is whole.
//!
//! An answer with neither a length nor chunks ends with its connection, and the connection
//! of an engine whose process has ended closes in the same way. So such an answer counts as
//! whole only if its engine is known to have outlived it. This is asked by opening a
//! connection, and only for these answers.

use std::io::ErrorKind;

use crate::crash::probe_address;
use crate::queue::EngineSlot;

/// Why an answer that ended with the connection to this engine counts as broken off; `None`
/// if the engine still accepts connections.
pub(crate) async fn unframed_end(slot: &EngineSlot) -> Option<&'static str> {
    match probe_address(slot.engine.address).await {
        Ok(()) => None,
        Err(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
            Some("the engine ended with the connection")
        }
        Err(_) => Some("the engine cannot be reached after the end of the connection"),
    }
}
