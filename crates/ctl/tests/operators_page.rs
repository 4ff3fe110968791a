//! Every example on the operators' page passes `check`.

use std::{env, fs, path::Path, process};

use cassialift_core::config::parse_presets;
use cassialiftctl::run;

/// Returns the blocks of the operators' page with the kind that each is marked as.
fn examples() -> Vec<(String, String)> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATORS.md");
    let page = fs::read_to_string(page).unwrap();
    let blocks = page.split("```jsonc ").skip(1);
    blocks
        .map(|block| {
            let (kind, rest) = block.split_once('\n').unwrap();
            let (text, _) = rest.split_once("```").unwrap();
            (kind.to_owned(), text.to_owned())
        })
        .collect()
}

#[test]
fn test_operators_page_examples_pass_check() {
    let examples = examples();
    for (number, (kind, text)) in examples.iter().enumerate() {
        let name = format!("cassialiftctl-page-{}-{number}.json", process::id());
        let path = env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        let file = path.to_string_lossy().into_owned();
        let report = run(&["check".to_owned(), file.clone()]).unwrap();
        fs::remove_file(&path).unwrap();
        assert_eq!(report.text, format!("{file}: valid {kind}"));
        assert_eq!(report.exit_code, 0);
    }
    let count = |wanted: &str| examples.iter().filter(|(kind, _)| kind == wanted).count();
    assert_eq!(
        (count("presets"), count("settings"), count("index")),
        (2, 2, 1)
    );
}

#[test]
fn test_operators_page_has_three_presets_each() {
    let presets = examples().into_iter().filter(|(kind, _)| kind == "presets");
    for (_, text) in presets {
        let document = parse_presets(&text).unwrap();
        let names: Vec<&str> = document.presets.keys().map(|name| &**name).collect();
        assert_eq!(names, ["maintenance", "ordinary", "peak"]);
    }
}
