//! Authentication of messages by keyed hashes; messages are not encrypted.

use quick_error::quick_error;

/// Size in bytes of the hash in front of a sealed message.
pub const SEAL_BYTES: usize = 16;

/// A secret key shared by all daemons of a deployment.
pub type KeyBytes = [u8; blake3::KEY_LEN];

quick_error! {
    /// Why a sealed message is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SealError {
        /// The message is shorter than a hash.
        Short {
            display("the message is too short to carry a hash")
        }
        /// The hash was made with none of the accepted keys, or the message was altered.
        Mismatch {
            display("the message's hash matches no accepted key; give all daemons the same keys")
        }
    }
}

/// The current and the previous key of a deployment. Messages are sealed (prefixed with
/// their hash) with the current one and accepted with either.
#[derive(Clone, Default)]
pub struct PeerKeys {
    accepted: Vec<KeyBytes>,
}

impl PeerKeys {
    /// Keys from the settings.
    ///
    /// Without a current key, hashes are zero and not checked, and `previous` is ignored.
    #[must_use]
    pub fn new(current: Option<KeyBytes>, previous: Option<KeyBytes>) -> Self {
        let previous = previous.filter(|_| current.is_some());
        Self {
            accepted: current.into_iter().chain(previous).collect(),
        }
    }

    /// Returns the message with its hash in front.
    #[must_use]
    pub fn seal(&self, message: &[u8]) -> Vec<u8> {
        let hash = match self.accepted.first() {
            Some(key) => hash_message(key, message),
            None => [0; SEAL_BYTES],
        };
        let mut sealed = Vec::with_capacity(SEAL_BYTES + message.len());
        sealed.extend_from_slice(&hash);
        sealed.extend_from_slice(message);
        sealed
    }

    /// Checks the hash and returns the message behind it.
    ///
    /// # Errors
    /// When the hash is missing or matches no accepted key.
    pub fn open<'message>(&self, sealed: &'message [u8]) -> Result<&'message [u8], SealError> {
        let Some((hash, message)) = sealed.split_at_checked(SEAL_BYTES) else {
            return Err(SealError::Short);
        };
        if self.accepted.is_empty() {
            return Ok(message);
        }
        let authentic = self
            .accepted
            .iter()
            .any(|key| equal_hashes(&hash_message(key, message), hash));
        if authentic {
            Ok(message)
        } else {
            Err(SealError::Mismatch)
        }
    }
}

fn hash_message(key: &KeyBytes, message: &[u8]) -> [u8; SEAL_BYTES] {
    let full = blake3::keyed_hash(key, message);
    let mut hash = [0; SEAL_BYTES];
    hash.copy_from_slice(&full.as_bytes()[..SEAL_BYTES]);
    hash
}

// Compares every byte, so that the time taken reveals nothing about the hash.
fn equal_hashes(left: &[u8; SEAL_BYTES], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    difference == 0
}
