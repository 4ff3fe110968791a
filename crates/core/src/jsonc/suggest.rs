//! Suggestions of known names for a misspelled one.

/// Returns the candidate with the smallest edit distance from `name`, if the distance is at most
/// half the length of `name`, or 1 for names of up to three characters.
pub(super) fn closest_name<'a>(name: &str, candidates: &[&'a str]) -> Option<&'a str> {
    let limit = name.chars().count().max(3) / 2;
    candidates
        .iter()
        .map(|candidate| (edit_distance(name, candidate), *candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two names: the minimum number of insertions, removals and
/// replacements of characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replace = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
