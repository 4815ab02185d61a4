//! Framing of messages between daemons: a length of four bytes in big-endian order,
//! then the encoded message.

use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ward_fleet::{CompactError, CoordinatorMessage};
use ward_protocol::CodecError;
use ward_protocol::codec::{decode, encode};

use super::traffic::MessageKind;
use crate::buffer::BufferBudget;

/// Length of the number before each message that gives its length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum length of a message, so that invalid data on the port does not cause a
/// large allocation.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Size of a message on a connection, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FrameSize(pub(crate) usize);

quick_error! {
    /// An error that ends a connection between daemons.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum PeerError {
        /// The connection failed.
        Io(cause: std::io::Error) {
            from()
            display("{cause}")
        }
        /// The message cannot be encoded or decoded.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
        }
        /// The message is longer than allowed.
        TooLong(bytes: usize) {
            display("the message is too long: {bytes} bytes")
        }
        /// The message does not fit to the earlier ones of its connection.
        Compact(cause: CompactError) {
            from()
            display("{cause}")
        }
        /// All first messages together would exceed their memory.
        Full {
            display("there is no memory left for the message")
        }
        /// The coordinator cannot reach the store, but this daemon can.
        StoreUnavailable {
            display("the coordinator cannot reach the store")
        }
        /// Parts of outdated views were not applied, so a complete view is needed.
        Resync {
            display("a complete view is needed")
        }
        /// The other daemon did not connect, send or read in time.
        Timeout {
            display("the other daemon did not respond in time")
        }
        /// The other daemon closed the connection or sent a message that is not allowed
        /// here.
        Unexpected {
            display("the other daemon closed the connection or sent an unexpected message")
        }
    }
}

/// An encoded message of the coordinator, shared between the queues of daemons.
#[derive(Debug, Clone)]
pub(crate) struct MessageFrame {
    /// Kind of the message.
    pub(crate) kind: MessageKind,
    /// The message, preceded by its length.
    pub(crate) bytes: Rc<Vec<u8>>,
}

impl MessageFrame {
    /// Size on a connection.
    pub(crate) fn size(&self) -> FrameSize {
        FrameSize(self.bytes.len())
    }
}

/// Encodes a message of the coordinator.
pub(crate) fn encode_message(message: &CoordinatorMessage) -> Result<MessageFrame, PeerError> {
    Ok(MessageFrame {
        kind: MessageKind::from(message),
        bytes: Rc::new(encode_frame(message)?),
    })
}

/// Encodes a message, preceded by its length.
pub(crate) fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, PeerError> {
    let content = encode(message)?;
    let length = u32::try_from(content.len()).map_err(|_| PeerError::TooLong(content.len()))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Reads the next message; returns `None` if the stream ends before the message's
/// length is complete.
pub(crate) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Option<T>, PeerError> {
    let sized = read_sized_frame(stream).await?;
    Ok(sized.map(|(message, _)| message))
}

/// Reads the next message, with its size on the connection; returns `None` if the stream
/// ends before the message's length is complete.
pub(crate) async fn read_sized_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Option<(T, FrameSize)>, PeerError> {
    match read_length(stream).await? {
        Some(length) => read_content(stream, length).await.map(Some),
        None => Ok(None),
    }
}

/// Like [`read_sized_frame`], for the first message of a connection, which anyone can open:
/// its length comes out of a budget while it is read.
pub(crate) async fn read_first_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    budget: &BufferBudget,
) -> Result<Option<(T, FrameSize)>, PeerError> {
    let Some(length) = read_length(stream).await? else {
        return Ok(None);
    };
    let share = budget.reserve(length).ok_or(PeerError::Full)?;
    let message = read_content(stream, length).await?;
    drop(share);
    Ok(Some(message))
}

/// Reads the only message on a connection, which may take long, as long as it goes on: each
/// part comes within `part_timeout`.
pub(super) async fn read_paced<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    part_timeout: Duration,
) -> Result<T, PeerError> {
    let length = within(part_timeout, read_length(stream)).await?;
    let mut content = vec![0; length.ok_or(PeerError::Unexpected)?];
    let mut filled = 0;
    while filled < content.len() {
        let part = async { Ok(stream.read(&mut content[filled..]).await?) };
        match within(part_timeout, part).await? {
            0 => return Err(PeerError::Unexpected),
            count => filled += count,
        }
    }
    Ok(decode(&content)?)
}

/// Writes bytes, which may take long, as long as the other side takes some within
/// `part_timeout`.
pub(super) async fn write_paced(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    part_timeout: Duration,
) -> Result<(), PeerError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let part = async { Ok(stream.write(rest).await?) };
        let count = within(part_timeout, part).await?;
        rest = &rest[count..];
    }
    Ok(())
}

async fn within<T>(
    timeout: Duration,
    part: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let result = tokio::time::timeout(timeout, part).await;
    result.unwrap_or(Err(PeerError::Timeout))
}

async fn read_length(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<usize>, PeerError> {
    let mut header = [0; LENGTH_BYTES];
    match stream.read_exact(&mut header).await {
        Ok(_) => {}
        Err(cause) if cause.kind() == std::io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(cause) => return Err(cause.into()),
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(PeerError::TooLong(length));
    }
    Ok(Some(length))
}

async fn read_content<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
) -> Result<(T, FrameSize), PeerError> {
    let mut content = vec![0; length];
    stream.read_exact(&mut content).await?;
    let size = FrameSize(LENGTH_BYTES + length);
    Ok((decode(&content)?, size))
}
