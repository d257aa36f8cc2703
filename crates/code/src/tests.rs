//! Tests of the table of result codes.

use crate::{Code, Run, TABLE};

/// Guards against a variant in another place than its table entry: `Code::entry` indexes the table
/// by variant.
#[test]
fn table_is_sorted_and_matches_variants() {
    for (index, entry) in TABLE.iter().enumerate() {
        assert_eq!(entry.code as usize, index, "{}", entry.name);
        assert_eq!(Code::from_number(entry.number), Some(entry.code));
    }
    assert!(TABLE.windows(2).all(|pair| pair[0].number < pair[1].number));
}

/// Guards against a refusal before any upstream that doesn't say that the request was not run.
#[test]
fn refusals_before_an_upstream_were_not_run() {
    for entry in TABLE.iter().filter(|entry| entry.number < 4000) {
        assert_eq!(entry.run, Run::No, "{}", entry.name);
    }
}

/// Guards against a code that is missing in the documentation for operators.
#[test]
fn every_code_is_documented() {
    let page = include_str!("../../../docs/result-codes.md");
    for entry in &TABLE {
        let row = format!(
            "| {} | `{}` | {} | {} | {} | {} |",
            entry.number,
            entry.name,
            entry.http_status,
            entry.run,
            entry.retry.as_str(),
            entry.message
        );
        assert!(page.contains(&row), "missing row: {row}");
    }
}
