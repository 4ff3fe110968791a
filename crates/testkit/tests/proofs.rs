//! Every test that docs/PROOFS.md names is there.

use std::{fs, path::Path};

fn sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the parts of a backticked name that must stand in the sources: `fn test_x` and the name
/// of the case.
fn wanted(name: &str) -> Vec<String> {
    let mut parts = name
        .split("::")
        .skip_while(|part| !part.starts_with("test_"));
    let function = parts.next().map(|part| format!("fn {part}("));
    let case = parts.next().map(|part| format!("    {part} = {{"));
    function.into_iter().chain(case).collect()
}

#[test]
fn test_proofs_name_tests_that_are_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let mut text = String::new();
    sources(&root.join("crates"), &mut text);
    let names = page.split('`').skip(1).step_by(2);
    let names: Vec<&str> = names.filter(|name| name.contains("test_")).collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        for part in wanted(name) {
            assert!(text.contains(&part), "{name}: {part} is not there");
        }
    }
}
