//! Tests of the output length estimates.

use std::sync::Arc;

use crate::OutputLengths;

/// Guards against an estimate that doesn't follow the observations or ignores the caller's limit.
#[test]
fn estimate_follows_observations() {
    let class: Arc<str> = "notes".into();
    let mut lengths = OutputLengths::default();
    assert_eq!(lengths.expected(&class, 0, 0), 256);
    for _ in 0..100 {
        lengths.observe(&class, 0, 1_000);
    }
    for (name, lane, max_tokens, expected) in [
        ("learned", 0, 0, 1_000),
        ("capped", 0, 10, 10),
        ("other lane", 1, 0, 256),
    ] {
        let tokens = lengths.expected(&class, lane, max_tokens);
        assert!(
            tokens.abs_diff(expected) <= expected / 50,
            "{name}: {tokens}"
        );
    }
}

/// Guards against a few very long answers that make all answers of a class count as long.
#[test]
fn typical_length_ignores_outliers() {
    let class: Arc<str> = "notes".into();
    let mut lengths = OutputLengths::default();
    for number in 0..1_000 {
        lengths.observe(&class, 0, if number % 10 == 0 { 8_000 } else { 100 });
    }
    assert!(lengths.expected(&class, 0, 0) > 256);
    assert!(lengths.median(&class, 0, 0) < 128);
}

/// Guards against state that grows with every class name.
#[test]
fn state_is_bounded() {
    let mut lengths = OutputLengths::default();
    for number in 0..1_000 {
        lengths.observe(&number.to_string().into(), number, 5);
    }
    assert!(lengths.len() <= 256);
}
