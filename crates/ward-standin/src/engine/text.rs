//! Answers as a function of the prompt.
//!
//! A token depends on the prompt and its position alone, so a check can tell a
//! whole answer from a cut or crossed one, and a stream that moves to another
//! engine goes on with the same tokens.

const TOKEN_HEX_DIGITS: usize = 6;

/// The token of an answer at a position, counted from 0.
#[must_use]
pub fn answer_token(prompt: &str, position: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&position.to_le_bytes());
    hasher.update(prompt.as_bytes());
    let mut token = hasher.finalize().to_hex()[..TOKEN_HEX_DIGITS].to_owned();
    token.push(' ');
    token
}

/// The first tokens of an answer as one text.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|position| answer_token(prompt, position))
        .collect()
}
