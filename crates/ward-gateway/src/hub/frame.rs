//! Framing of messages between daemons: a length of four bytes in big-endian order,
//! then the encoded message. The highest bit of the length tells that the message is packed.

use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ward_fleet::{CompactError, CoordinatorMessage};
use ward_protocol::CodecError;
use ward_protocol::codec::{decode, encode};
use ward_protocol::packing::{PackingError, pack, unpack, unpacked_len};

use super::traffic::MessageKind;
use crate::buffer::BufferBudget;

/// Length of the number before each message that gives its length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum length of a message, so that invalid data on the port does not cause a
/// large allocation.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Length from which messages are packed.
const MIN_PACKED_BYTES: usize = 2 << 10;
/// Set in the length before a message that is packed.
const PACKED_BIT: u32 = 1 << 31;

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
        /// The message cannot be unpacked.
        Packing(cause: PackingError) {
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

/// Encodes a message, preceded by its length, and packs it if it is long.
pub(crate) fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, PeerError> {
    let plain = encode(message)?;
    let packed = (plain.len() >= MIN_PACKED_BYTES).then(|| pack(&plain));
    let (content, flag) = match packed.flatten() {
        Some(packed) => (packed, PACKED_BIT),
        None => (plain, 0),
    };
    if content.len() > MAX_FRAME_BYTES {
        return Err(PeerError::TooLong(content.len()));
    }
    let length = u32::try_from(content.len()).map_err(|_| PeerError::TooLong(content.len()))?;
    let mut frame = (length | flag).to_be_bytes().to_vec();
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// What the bytes before a message tell of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FrameHead {
    /// Length of the message as it is sent, in bytes.
    length: usize,
    is_packed: bool,
}

impl FrameHead {
    /// Size of the frame on a connection.
    const fn size(self) -> FrameSize {
        FrameSize(LENGTH_BYTES + self.length)
    }

    /// Memory for the message once it is unpacked, in bytes; none if it is not packed.
    fn unpacked_length(self, content: &[u8]) -> Result<usize, PeerError> {
        if !self.is_packed {
            return Ok(0);
        }
        let length = unpacked_len(content)?;
        if length > MAX_FRAME_BYTES {
            return Err(PeerError::TooLong(length));
        }
        Ok(length)
    }

    fn decode<T: DeserializeOwned>(self, content: &[u8]) -> Result<T, PeerError> {
        if !self.is_packed {
            return Ok(decode(content)?);
        }
        self.unpacked_length(content)?;
        Ok(decode(&unpack(content)?)?)
    }
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
    let Some(head) = read_head(stream).await? else {
        return Ok(None);
    };
    let content = read_content(stream, head).await?;
    Ok(Some((head.decode(&content)?, head.size())))
}

/// Like [`read_sized_frame`], for the first message of a connection, which anyone can open:
/// its length comes out of a budget while it is read and decoded.
pub(crate) async fn read_first_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    budget: &BufferBudget,
) -> Result<Option<(T, FrameSize)>, PeerError> {
    let Some(head) = read_head(stream).await? else {
        return Ok(None);
    };
    let sent = budget.reserve(head.length).ok_or(PeerError::Full)?;
    let content = read_content(stream, head).await?;
    let unpacked_length = head.unpacked_length(&content)?;
    let unpacked = budget.reserve(unpacked_length).ok_or(PeerError::Full)?;
    let message = head.decode(&content)?;
    drop((sent, unpacked));
    Ok(Some((message, head.size())))
}

/// Reads the only message on a connection, which may take long, as long as it goes on: each
/// part comes within `part_timeout`.
pub(super) async fn read_paced<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    part_timeout: Duration,
) -> Result<T, PeerError> {
    let head = within(part_timeout, read_head(stream)).await?;
    let head = head.ok_or(PeerError::Unexpected)?;
    let mut content = vec![0; head.length];
    let mut filled = 0;
    while filled < content.len() {
        let part = async { Ok(stream.read(&mut content[filled..]).await?) };
        match within(part_timeout, part).await? {
            0 => return Err(PeerError::Unexpected),
            count => filled += count,
        }
    }
    head.decode(&content)
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
        match within(part_timeout, part).await? {
            0 => return Err(PeerError::Unexpected),
            count => rest = &rest[count..],
        }
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

async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<FrameHead>, PeerError> {
    let mut bytes = [0; LENGTH_BYTES];
    match stream.read_exact(&mut bytes).await {
        Ok(_) => {}
        Err(cause) if cause.kind() == std::io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(cause) => return Err(cause.into()),
    }
    let number = u32::from_be_bytes(bytes);
    let head = FrameHead {
        length: (number & !PACKED_BIT) as usize,
        is_packed: number & PACKED_BIT != 0,
    };
    if head.length > MAX_FRAME_BYTES {
        return Err(PeerError::TooLong(head.length));
    }
    Ok(Some(head))
}

async fn read_content(
    stream: &mut (impl AsyncRead + Unpin),
    head: FrameHead,
) -> Result<Vec<u8>, PeerError> {
    let mut content = vec![0; head.length];
    stream.read_exact(&mut content).await?;
    Ok(content)
}
