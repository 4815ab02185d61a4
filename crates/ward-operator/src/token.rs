//! The operators' token.

use blake3::Hash;

const SCHEME: &str = "Bearer ";

/// Digest of the operators' token.
///
/// Digests are compared in constant time, so neither the token's content nor
/// its length shows in how long a refusal takes, and the token itself is not
/// kept.
#[derive(Debug, Clone, Copy)]
pub struct TokenDigest(Hash);

impl TokenDigest {
    /// The digest of a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }

    /// Whether an `Authorization` header carries the token.
    #[must_use]
    pub fn allows(&self, header: Option<&str>) -> bool {
        let Some(token) = header.and_then(|header| header.strip_prefix(SCHEME)) else {
            return false;
        };
        blake3::hash(token.as_bytes()) == self.0
    }
}
