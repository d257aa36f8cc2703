//! Deterministic answers, so that a test can tell a gap, a repeat or a crossed answer.

/// Returns word number `index` of the answer to a prompt; one word is one token.
#[must_use]
pub fn answer_word(prompt: &str, index: u32) -> String {
    // FNV-1a, 64 bit: stable over runs and platforms.
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in prompt.bytes().chain(index.to_le_bytes()) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    format!("{index}:{:04x} ", hash >> 48)
}

/// Returns the first `tokens` words of the answer to a prompt.
///
/// # Examples
///
/// ```
/// assert!(standin::answer_text("drip", 3).starts_with(&standin::answer_text("drip", 2)));
/// ```
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| answer_word(prompt, index))
        .collect()
}

/// Splits a prompt that ends with the beginning of its own answer, as a resumed request does.
pub(crate) fn split(text: &str) -> (&str, &str) {
    let begins = text.match_indices("0:").map(|(index, _)| index);
    let found = begins.into_iter().find(|&index| {
        let (prompt, begun) = text.split_at(index);
        let words = u32::try_from(begun.split_whitespace().count()).unwrap_or(0);
        answer_text(prompt, words) == begun
    });
    text.split_at(found.unwrap_or(text.len()))
}

/// Returns the answer's length: the number behind `len=` in the prompt, or 8 to 135 words.
pub(crate) fn answer_tokens(prompt: &str) -> u32 {
    let named = prompt.rsplit_once("len=").and_then(|(_, rest)| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    named.unwrap_or_else(|| {
        let sum: u32 = prompt.bytes().map(u32::from).sum();
        8 + sum % 128
    })
}

#[cfg(test)]
#[path = "text_tests.rs"]
mod tests;
