//! Deterministic answers, so that a test detects missing, repeated and mixed-up words.

/// Returns the word at `index` of the answer to a prompt; one word is one token.
#[must_use]
pub fn answer_word(prompt: &str, index: u32) -> String {
    // 64-bit FNV-1a, which is the same in all runs and on all platforms.
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

/// Splits a text into the prompt and the part of its answer that follows in a resumed request.
pub(crate) fn split_generated(text: &str) -> (&str, &str) {
    let candidates = text.match_indices("0:").map(|(index, _)| index);
    let position = candidates.into_iter().find(|&index| {
        let (prompt, generated) = text.split_at(index);
        let words = u32::try_from(generated.split_whitespace().count()).unwrap_or(0);
        answer_text(prompt, words) == generated
    });
    text.split_at(position.unwrap_or(text.len()))
}

/// Returns the length of the answer in words: the number after `len=` in the prompt, or 8 to 135.
pub(crate) fn answer_tokens(prompt: &str) -> u32 {
    let requested = prompt.rsplit_once("len=").and_then(|(_, rest)| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    requested.unwrap_or_else(|| {
        let sum: u32 = prompt.bytes().map(u32::from).sum();
        8 + sum % 128
    })
}

#[cfg(test)]
#[path = "text_tests.rs"]
mod tests;
