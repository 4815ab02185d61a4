//! Messages on a stream: a length of four bytes, then the message.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};
use ward_protocol::CodecError;
use ward_protocol::codec::{decode, encode};

/// Longest message, in bytes; protects against garbage on the port.
const MAX_FRAME_BYTES: usize = 4 << 20;

quick_error! {
    /// A message that cannot be sent or read.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum FrameError {
        /// The connection broke.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// The bytes are no message.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
        }
        /// The message is too long.
        TooLong(bytes: usize) {
            display("a message of {bytes} bytes")
        }
        /// The coordinator has lost the store.
        StoreUnavailable {
            display("the coordinator is cut off from the store")
        }
        /// Views were left out, so a complete one is needed.
        Resync {
            display("a complete view is needed")
        }
        /// Nothing came for too long.
        Timeout {
            display("nothing came for too long")
        }
        /// The other daemon does not coordinate, or not for this one.
        Refused {
            display("the other daemon closed the connection")
        }
    }
}

/// A message with its length.
pub(crate) fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let content = encode(message)?;
    let length = u32::try_from(content.len()).map_err(|_| FrameError::TooLong(content.len()))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// The next message; nothing at the end of the stream.
pub(crate) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Option<T>, FrameError> {
    let mut header = [0; 4];
    match stream.read_exact(&mut header).await {
        Ok(_) => {}
        Err(cause) if cause.kind() == std::io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(cause) => return Err(cause.into()),
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut content = vec![0; length];
    stream.read_exact(&mut content).await?;
    Ok(Some(decode(&content)?))
}
