//! Suggestions for misspelt keys.

/// Largest edit distance of a suggestion. Two edits cover a swapped pair of letters and most typing
/// errors.
const MAX_EDITS: usize = 2;

/// Returns the candidate closest to a misspelt word, if one is within `MAX_EDITS`.
pub(crate) fn suggest<'a, I>(word: &str, candidates: I) -> Option<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    candidates
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(edits, candidate)| *edits <= MAX_EDITS && *edits < candidate.len())
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two words.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.chars().enumerate() {
            let substituted = diagonal + usize::from(from != to);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[row.len() - 1]
}
