//! The table of docs/PROOFS.md names tests that exist, and has no empty cell.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// The points that must always hold, one a row.
const POINTS: [&str; 8] = ["S", "C", "I", "R", "O", "L", "G", "P"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/PROOFS.md")).unwrap()
}

/// Returns the path below the root and the text of each source file of the packages.
fn sources() -> Vec<(PathBuf, String)> {
    let mut folders = vec![root().join("crates"), root().join("platform")];
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for path in fs::read_dir(folder).unwrap().map(|one| one.unwrap().path()) {
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                let text = fs::read_to_string(&path).unwrap();
                let below = path.strip_prefix(root()).unwrap().with_extension("");
                found.push((below, text));
            }
        }
    }
    found
}

/// Returns the names of tests on the page: texts in backticks with a part that begins with `test_`.
fn named(page: &str) -> BTreeSet<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_test = |name: &&str| name.split("::").any(|part| part.starts_with("test_"));
    quoted.filter(is_test).collect()
}

/// Returns whether a file holds a test of this name: its modules are folders or the file, and its
/// case, if it names one, stands above the function.
fn holds(path: &Path, text: &str, name: &str) -> bool {
    let parts: Vec<&str> = name.split("::").collect();
    let Some(at) = parts.iter().position(|part| part.starts_with("test_")) else {
        return false;
    };
    let Some(start) = text.find(&format!("fn {}(", parts[at])) else {
        return false;
    };
    let folders: Vec<_> = path.iter().collect();
    let in_module = |module: &&str| folders.iter().any(|one| one == module);
    let table = text[..start].rfind("#[parameterized(");
    let cases = table.map_or("", |from| &text[from..start]);
    let has_case = |case: &&str| cases.contains(&format!("\n    {case} = {{"));
    parts[..at].iter().all(in_module) && parts[at + 1..].iter().all(has_case)
}

#[test]
fn test_proofs_name_tests_that_are_there() {
    let (page, sources) = (page(), sources());
    let names = named(&page);
    assert!(names.len() > 30, "{names:?}");
    let is_missing = |name: &&&str| !sources.iter().any(|(path, text)| holds(path, text, name));
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
        .filter(|cells: &Vec<&str>| POINTS.contains(&cells[0]))
        .collect();
    let points: Vec<&str> = rows.iter().map(|cells| cells[0]).collect();
    assert_eq!(points, POINTS);
    let explained = |label: &str| {
        let note = label
            .strip_prefix('(')
            .and_then(|one| one.strip_suffix(')'));
        let start = note.map_or(format!("- {label} `"), |number| format!("{number}. "));
        page.lines().any(|line| line.starts_with(&start))
    };
    for cells in rows {
        assert_eq!(cells.len(), 8, "{cells:?}");
        for label in cells[1..].iter().flat_map(|cell| cell.split(' ')) {
            assert!(explained(label), "{label:?} in the row of {}", cells[0]);
        }
    }
}
