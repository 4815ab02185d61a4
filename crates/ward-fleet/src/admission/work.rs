//! The work that a request needs of an engine.
//!
//! Load pattern: requests of one kind differ tenfold in size. Engines read a prompt many
//! tokens at a time and generate an answer token by token, and they keep the beginning of
//! prompts that requests share.

use std::fmt::{self, Display, Formatter};
use std::iter::Sum;

/// Work of generating a token, in prompt tokens.
const OUTPUT_TOKEN_WORK: u64 = 10;
/// Work of a request that does not say how large it is.
const UNKNOWN_WORK: u64 = 1_000;

/// Work in prompt tokens that an engine reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestWork(u64);

impl RequestWork {
    /// Work of a request with these numbers of tokens; `cached` of the prompt tokens are
    /// likely to be kept by the engine. Never zero.
    #[must_use]
    pub fn from_tokens(prompt: u64, cached: u64, output: u64) -> Self {
        let unread = prompt.saturating_sub(cached);
        let generated = output.saturating_mul(OUTPUT_TOKEN_WORK);
        Self(unread.saturating_add(generated).max(1))
    }

    /// Number of prompt tokens that take as long.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.0
    }
}

impl Default for RequestWork {
    fn default() -> Self {
        Self(UNKNOWN_WORK)
    }
}

impl Display for RequestWork {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

impl Sum for RequestWork {
    fn sum<I: Iterator<Item = Self>>(works: I) -> Self {
        let total = works.fold(0_u64, |total, work| total.saturating_add(work.0));
        Self(total)
    }
}
