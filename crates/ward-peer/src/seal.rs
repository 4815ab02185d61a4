//! Keyed hashes on messages.

use quick_error::quick_error;

/// Bytes that sealing adds to a message.
pub const SEAL_BYTES: usize = 16;

/// A key that daemons share.
pub type KeyBytes = [u8; blake3::KEY_LEN];

quick_error! {
    /// A message that is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SealError {
        /// The message is shorter than a hash.
        Short {
            display("the message is too short to carry a hash")
        }
        /// No accepted key gives the message's hash.
        Mismatch {
            display("the message's hash fits no key; give all daemons the same keys")
        }
    }
}

/// The keys of a deployment: the current one seals, both open.
#[derive(Clone, Default)]
pub struct PeerKeys {
    accepted: Vec<KeyBytes>,
}

impl PeerKeys {
    /// Keys from the settings; without a current key nothing is sealed or checked.
    #[must_use]
    pub fn new(current: Option<KeyBytes>, previous: Option<KeyBytes>) -> Self {
        let previous = previous.filter(|_| current.is_some());
        Self {
            accepted: current.into_iter().chain(previous).collect(),
        }
    }

    /// The message with its hash in front.
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

    /// The message behind its hash.
    ///
    /// # Errors
    /// When the hash is missing or fits no accepted key.
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

// Looks at every byte, so that the time taken tells nothing about the hash.
fn equal_hashes(left: &[u8; SEAL_BYTES], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    difference == 0
}
