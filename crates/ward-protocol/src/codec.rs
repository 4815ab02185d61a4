//! Encoding of records and peer messages.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

quick_error! {
    /// Bytes that cannot be encoded or decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// The codec refused.
        Postcard(cause: postcard::Error) {
            from()
            display("the bytes are not a valid record: {cause}")
            source(cause)
        }
        /// Bytes are left after the value.
        Trailing(count: usize) {
            display("{count} bytes are left after the record")
        }
    }
}

/// Encodes a record or message.
///
/// # Errors
/// When a value cannot be represented, such as a sequence of unknown length.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_allocvec(value)?)
}

/// Decodes a record or message that fills `bytes` exactly.
///
/// # Errors
/// When the bytes are truncated, malformed, or longer than the value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(CodecError::Trailing(rest.len()));
    }
    Ok(value)
}

/// Decodes a value from the start of `bytes`, whatever follows it.
///
/// # Errors
/// When the bytes are truncated or malformed.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, _) = postcard::take_from_bytes(bytes)?;
    Ok(value)
}
