//! Checks that docs/PROOFS.md names only tests that exist and that its table has no empty cell.

use std::{collections::BTreeSet, fs, path::Path};

use cassialift_testkit::sources::{root, sources};

/// The labels of the invariants, one per row of the table.
const INVARIANTS: [&str; 8] = ["S", "C", "I", "R", "O", "L", "G", "P"];

fn page() -> String {
    fs::read_to_string(root().join("docs/PROOFS.md")).unwrap()
}

/// Returns the names of tests on the page: texts in backticks with a part that starts with `test_`.
fn test_names(page: &str) -> BTreeSet<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_test = |name: &&str| name.split("::").any(|part| part.starts_with("test_"));
    quoted.filter(is_test).collect()
}

/// Returns whether a file contains the named test: the modules in the name must be folders or the
/// file, and the case, if the name has one, must be in the attribute above the function.
fn contains_test(path: &Path, text: &str, name: &str) -> bool {
    let parts: Vec<&str> = name.split("::").collect();
    let Some(at) = parts.iter().position(|part| part.starts_with("test_")) else {
        return false;
    };
    let Some(start) = text.find(&format!("fn {}(", parts[at])) else {
        return false;
    };
    let path = path.with_extension("");
    let folders: Vec<_> = path.iter().collect();
    let in_module = |module: &&str| folders.iter().any(|folder| folder == module);
    let table = text[..start].rfind("#[parameterized(");
    let cases = table.map_or("", |from| &text[from..start]);
    let has_case = |case: &&str| cases.contains(&format!("\n    {case} = {{"));
    parts[..at].iter().all(in_module) && parts[at + 1..].iter().all(has_case)
}

#[test]
fn test_proofs_name_tests_that_are_there() {
    let page = page();
    let sources = ["crates", "platform"].map(|folder| sources(folder).unwrap());
    let sources = sources.concat();
    let names = test_names(&page);
    assert!(names.len() > 30, "{names:?}");
    let is_missing = |name: &&&str| {
        !sources
            .iter()
            .any(|(path, text)| contains_test(path, text, name))
    };
    let unknown: Vec<_> = names.iter().filter(is_missing).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

#[test]
fn test_proofs_have_no_empty_cell() {
    let page = page();
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .map(|line| line.split(" | ").collect())
        .filter(|cells: &Vec<&str>| INVARIANTS.contains(&cells[0]))
        .collect();
    let labels: Vec<&str> = rows.iter().map(|cells| cells[0]).collect();
    assert_eq!(labels, INVARIANTS);
    let is_explained = |label: &str| {
        let note = label
            .strip_prefix('(')
            .and_then(|rest| rest.strip_suffix(')'));
        let start = note.map_or(format!("- {label} `"), |number| format!("{number}. "));
        page.lines().any(|line| line.starts_with(&start))
    };
    for cells in rows {
        assert_eq!(cells.len(), 8, "{cells:?}");
        for label in cells[1..].iter().flat_map(|cell| cell.split(' ')) {
            assert!(is_explained(label), "{label:?} in the row of {}", cells[0]);
        }
    }
}
