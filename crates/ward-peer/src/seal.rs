//! Keyed hashes on messages.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Bytes that sealing adds to a message.
pub const SEAL_BYTES: usize = 16;

const KEY_CONTEXT: &str = "persimmonward peer messages v1";
const SHORTEST_KEY: usize = 16;

quick_error! {
    /// A message or key that is not accepted.
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
        /// A key has too few characters.
        WeakKey {
            display("the key is too short; use at least {SHORTEST_KEY} characters")
        }
    }
}

/// A key as text in the settings; never printed.
#[derive(Clone, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct KeyText(String);

impl KeyText {
    fn derive(&self) -> [u8; 32] {
        blake3::derive_key(KEY_CONTEXT, self.0.as_bytes())
    }
}

impl FromStr for KeyText {
    type Err = SealError;

    fn from_str(text: &str) -> Result<Self, SealError> {
        if text.len() < SHORTEST_KEY {
            return Err(SealError::WeakKey);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for KeyText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(secret)")
    }
}

impl fmt::Debug for KeyText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// The keys of a deployment: the current one seals, both open.
#[derive(Clone, Default)]
pub struct PeerKeys {
    accepted: Vec<[u8; 32]>,
}

impl PeerKeys {
    /// Keys from the settings; without a current key nothing is sealed or checked.
    #[must_use]
    pub fn new(current: Option<&KeyText>, previous: Option<&KeyText>) -> Self {
        let accepted = match current {
            Some(current) => [Some(current), previous]
                .into_iter()
                .flatten()
                .map(KeyText::derive)
                .collect(),
            None => Vec::new(),
        };
        Self { accepted }
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
        let known = self
            .accepted
            .iter()
            .any(|key| equal_hashes(&hash_message(key, message), hash));
        if known {
            Ok(message)
        } else {
            Err(SealError::Mismatch)
        }
    }
}

fn hash_message(key: &[u8; 32], message: &[u8]) -> [u8; SEAL_BYTES] {
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
