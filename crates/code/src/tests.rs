use crate::{Code, Run, TABLE};

/// Guards against a variant added out of order: `entry` indexes the table by variant.
#[test]
fn table_is_sorted_and_matches_variants() {
    for (index, entry) in TABLE.iter().enumerate() {
        assert_eq!(entry.code as usize, index, "{}", entry.name);
        assert_eq!(Code::from_number(entry.number), Some(entry.code));
    }
    assert!(TABLE.windows(2).all(|pair| pair[0].number < pair[1].number));
}

/// Guards against an admission refusal that claims anything else than "not run".
#[test]
fn refusals_before_an_upstream_were_not_run() {
    for entry in TABLE.iter().filter(|entry| entry.number < 4000) {
        assert_eq!(entry.run, Run::No, "{}", entry.name);
    }
}

/// Guards against a code that the operators' table does not explain.
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
