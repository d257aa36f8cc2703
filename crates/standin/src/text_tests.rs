use super::{answer_text, split};

/// Guards against a resumed answer that begins again, or whose first digits change its length.
#[test]
fn prompt_with_begun_answer_is_split() {
    for prompt in ["drip len=80", "0:0000 and 10: twice ", ""] {
        assert_eq!(split(prompt), (prompt, ""), "{prompt:?}");
        for tokens in [1, 2, 26, 79] {
            let begun = answer_text(prompt, tokens);
            let whole = format!("{prompt}{begun}");
            assert_eq!(
                split(&whole),
                (prompt, begun.as_str()),
                "{prompt:?} {tokens}"
            );
        }
    }
}
