//! Secrets, which `Debug` and `Display` never show.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

const HIDDEN: &str = "(hidden)";
const HEX_RADIX: u32 = 16;

/// Minimum length of an operators' token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

quick_error! {
    /// A text that is not a valid secret; the error never contains the text.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum SecretError {
        /// The text is not a key of 64 hex digits.
        Key {
            display("a key is written as 64 hex digits")
        }
        /// The text is too short for a token, or has characters that are not visible ASCII.
        Token {
            display("a token has at least {MIN_TOKEN_BYTES} visible ASCII characters")
        }
    }
}

/// A key shared by all daemons: 32 bytes, written as 64 hex digits.
#[derive(Clone, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct PeerKey([u8; Self::BYTES]);

impl PeerKey {
    /// Length of a key in bytes.
    pub const BYTES: usize = 32;

    /// The secret bytes.
    #[must_use]
    pub const fn bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl FromStr for PeerKey {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.len() != 2 * Self::BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(SecretError::Key);
        }
        let mut bytes = [0; Self::BYTES];
        for (byte, start) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[start..start + 2], HEX_RADIX)
                .map_err(|_| SecretError::Key)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}

/// Keys that authenticate messages between daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerKeys {
    /// Key that this daemon signs its messages with; they are unsigned when absent.
    pub current: Option<PeerKey>,
    /// Second key accepted from peers during a key rotation.
    pub previous: Option<PeerKey>,
}

/// The token that authenticates operators.
#[derive(Clone, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct OperatorToken(String);

impl OperatorToken {
    /// The secret text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl FromStr for OperatorToken {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.len() < MIN_TOKEN_BYTES || !visible {
            return Err(SecretError::Token);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for OperatorToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}
