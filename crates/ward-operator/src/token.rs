//! Checks the operators' token.

use blake3::Hash;

/// Compared case-insensitively, as RFC 9110 requires.
const SCHEME: &str = "Bearer";

/// Digest of the operators' token.
///
/// Digests are compared in constant time, so the time of a refusal reveals neither
/// the token's content nor its length. The token itself is not kept in memory.
#[derive(Debug, Clone, Copy)]
pub struct TokenDigest(Hash);

impl TokenDigest {
    /// Computes the digest of a token.
    #[must_use]
    pub fn from_token(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }

    /// Whether an `Authorization` header carries the token.
    #[must_use]
    pub fn allows(&self, header: Option<&str>) -> bool {
        let Some((scheme, token)) = header.and_then(|header| header.split_once(' ')) else {
            return false;
        };
        scheme.eq_ignore_ascii_case(SCHEME) && blake3::hash(token.as_bytes()) == self.0
    }
}
