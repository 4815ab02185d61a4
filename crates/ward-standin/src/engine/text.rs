//! Answer texts as a function of the prompt.
//!
//! A token depends only on the prompt and its position. Tests can therefore
//! distinguish a complete answer from a truncated one and from that of another
//! request, and a stream that moves to another engine continues with the same tokens.

const TOKEN_HEX_DIGITS: usize = 6;

/// Returns the token of an answer at a position, counted from 0.
#[must_use]
pub fn answer_token(prompt: &str, position: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&position.to_le_bytes());
    hasher.update(prompt.as_bytes());
    let mut token = hasher.finalize().to_hex()[..TOKEN_HEX_DIGITS].to_owned();
    token.push(' ');
    token
}

/// Returns the first `tokens` tokens of an answer as one text.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|position| answer_token(prompt, position))
        .collect()
}
