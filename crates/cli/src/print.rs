//! Formats output for the terminal.

/// Prints a table with left-aligned columns.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    print!("{}", format_table(headings, rows));
}

/// Formats a table with left-aligned columns, two spaces apart.
pub(crate) fn format_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = (0..headings.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].chars().count());
            cells
                .chain([headings[column].len()])
                .max()
                .unwrap_or_default()
        })
        .collect();
    let headings = headings.iter().map(|&name| name.to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats a Unix time as a UTC timestamp to the second.
pub(crate) fn format_time(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).map(jiff::Timestamp::from_millisecond);
    match time {
        Ok(Ok(time)) => format!("{time:.0}"),
        _ => unix_ms.to_string(),
    }
}
