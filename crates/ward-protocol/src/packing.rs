//! Packing of long messages with deflate (RFC 1951).
//!
//! Load pattern: a message about thousands of engines repeats names and parts of addresses
//! in each of them, and goes to hundreds of daemons.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quick_error::quick_error;

/// Length of the number before the packed bytes that gives their unpacked length.
const LENGTH_BYTES: usize = 4;
/// The fastest level: higher ones save a tenth more and take several times as long.
const LEVEL: u8 = 1;

quick_error! {
    /// Bytes that cannot be unpacked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PackingError {
        /// The bytes are truncated or malformed, or don't have the length that they name.
        Malformed {
            display("the packed bytes are malformed")
        }
    }
}

/// Packs bytes; `None` if this does not make them shorter.
///
/// ```
/// # use ward_protocol::packing::{pack, unpack, unpacked_len};
/// let packed = pack(&[7; 4_000]).unwrap();
/// assert!(packed.len() < 100);
/// assert_eq!(unpacked_len(&packed), Ok(4_000));
/// assert_eq!(unpack(&packed), Ok(vec![7; 4_000]));
/// ```
#[must_use]
pub fn pack(bytes: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(bytes.len()).ok()?;
    let mut packed = length.to_be_bytes().to_vec();
    packed.extend(compress_to_vec(bytes, LEVEL));
    (packed.len() < bytes.len()).then_some(packed)
}

/// Length that packed bytes name as their unpacked one, in bytes. Callers compare it with
/// their maximum before they unpack.
///
/// # Errors
/// When the bytes are too short to name it.
pub fn unpacked_len(packed: &[u8]) -> Result<usize, PackingError> {
    split(packed).map(|(length, _)| length)
}

/// Unpacks bytes; allocates no more than the length that they name.
///
/// # Errors
/// When the bytes are truncated or malformed, or don't have the length that they name.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, PackingError> {
    let (length, content) = split(packed)?;
    let bytes = decompress_to_vec_with_limit(content, length);
    let bytes = bytes.map_err(|_| PackingError::Malformed)?;
    if bytes.len() == length {
        Ok(bytes)
    } else {
        Err(PackingError::Malformed)
    }
}

fn split(packed: &[u8]) -> Result<(usize, &[u8]), PackingError> {
    let (length, content) = packed
        .split_first_chunk::<LENGTH_BYTES>()
        .ok_or(PackingError::Malformed)?;
    Ok((u32::from_be_bytes(*length) as usize, content))
}
