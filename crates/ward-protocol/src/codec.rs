//! Binary encoding of records and peer messages with `postcard`.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

quick_error! {
    /// A value that cannot be encoded or bytes that cannot be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// `postcard` failed to encode or decode.
        Postcard(cause: postcard::Error) {
            from()
            display("the bytes are not a valid record: {cause}")
            source(cause)
        }
        /// Bytes follow the decoded value.
        Trailing(count: usize) {
            display("{count} bytes follow the record")
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

/// Decodes a value from the start of `bytes` and ignores what follows it.
///
/// # Errors
/// When the bytes are truncated or malformed.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, _) = postcard::take_from_bytes(bytes)?;
    Ok(value)
}
