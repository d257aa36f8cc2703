//! Tests of splitting a resumed prompt.

use super::{answer_text, split_generated};

/// Guards against a resumed request whose answer starts again from the beginning, or whose length
/// changes because the first digits of the answer are read as part of the number after `len=`.
#[test]
fn prompt_with_begun_answer_is_split() {
    for prompt in ["drip len=80", "0:0000 and 10: twice ", ""] {
        assert_eq!(split_generated(prompt), (prompt, ""), "{prompt:?}");
        for tokens in [1, 2, 26, 79] {
            let generated = answer_text(prompt, tokens);
            let text = format!("{prompt}{generated}");
            assert_eq!(
                split_generated(&text),
                (prompt, generated.as_str()),
                "{prompt:?} {tokens}"
            );
        }
    }
}
