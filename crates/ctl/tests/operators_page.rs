//! Tests that the operators' page matches the programs: its examples pass `check`, and it lists
//! exactly the counters that exist.

use std::{collections::BTreeSet, env, fs, path::Path, process};

use cassialift_core::config::parse_presets;
use cassialiftctl::run;

/// The prefixes of counter names.
const PREFIXES: [&str; 12] = [
    "callers.",
    "config.",
    "entry.",
    "fleet.",
    "job.",
    "log.",
    "owner.",
    "peers.",
    "platform.",
    "queue.",
    "retry.",
    "gateway.",
];
/// The folder of sources that contain settings keys, which look like counters but are not.
const SETTINGS_FOLDER: &str = "settings";

/// Returns the text of the operators' page.
fn page() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATORS.md");
    fs::read_to_string(page).unwrap()
}

/// Returns the JSONC blocks of the operators' page, each with the kind of file it is marked as.
fn examples() -> Vec<(String, String)> {
    let page = page();
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

/// Adds the counter names in the sources of a folder, tests excluded, to `names`.
fn collect_counters(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && name != SETTINGS_FOLDER {
            collect_counters(&path, names);
        } else if path.is_file() && !name.contains("tests") {
            let text = fs::read_to_string(path).unwrap();
            names.extend(
                text.split('"')
                    .filter(|text| is_counter(text))
                    .map(String::from),
            );
        }
    }
}

fn is_counter(text: &str) -> bool {
    let rest = PREFIXES.iter().find_map(|prefix| text.strip_prefix(prefix));
    let plain = |text: &str| text.chars().all(|c| matches!(c, 'a'..='z' | '_' | '.'));
    rest.is_some_and(|rest| !rest.is_empty() && plain(rest))
}

/// Returns the counters in the page's table; a name with a placeholder is cut off before it.
fn documented_counters() -> Vec<String> {
    let page = page();
    let (_, rest) = page.split_once("\n## Counters\n").unwrap();
    let (table, _) = rest.split_once("\n## ").unwrap();
    let mut names = Vec::new();
    for line in table.lines().filter(|line| line.starts_with("| `")) {
        let cell = line.split('|').nth(1).unwrap();
        let mut family = String::new();
        for name in cell.split('`').skip(1).step_by(2) {
            let name = match name.strip_prefix('.') {
                Some(end) => format!("{family}.{end}"),
                None => name.to_owned(),
            };
            if let Some((known, _)) = name.rsplit_once('.') {
                family = String::from(known);
            }
            names.push(name.split('<').next().unwrap().to_owned());
        }
    }
    names
}

#[test]
fn test_operators_page_names_every_counter_and_no_other() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut counted = BTreeSet::new();
    collect_counters(&crates.join("server/src"), &mut counted);
    collect_counters(&crates.join("core/src"), &mut counted);
    let documented = documented_counters();
    let is_named = |name: &&String| {
        let is_prefix = |known: &&String| known.ends_with(['.', '_']);
        let mut prefixes = documented.iter().filter(is_prefix);
        documented.contains(name) || prefixes.any(|prefix| name.starts_with(prefix.as_str()))
    };
    let unnamed: Vec<_> = counted.iter().filter(|name| !is_named(name)).collect();
    assert!(unnamed.is_empty(), "not on the page: {unnamed:?}");
    let counts = |name: &&String| counted.iter().any(|known| known.starts_with(name.as_str()));
    // The sources do not contain these two as a literal with one of the prefixes: the first has no
    // prefix, the second is composed at run time.
    let exceptions = ["answered", "refused."];
    let unknown = documented
        .iter()
        .filter(|name| !exceptions.contains(&name.as_str()));
    let unknown: Vec<_> = unknown.filter(|name| !counts(name)).collect();
    assert!(unknown.is_empty(), "not counted: {unknown:?}");
}
