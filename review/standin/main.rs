//! Stand-ins for the platform, leafs and consumers, and the scripts of the cases.
//!
//! Usage: `standin CASE RECORD`, in the root of the repository.

mod fleet;
mod foreign_entry;
mod http;
mod leaf;
mod odd_keys;
mod releases;
mod search_body;
mod stale_config;
mod stale_list;
mod store;

use std::{env, path::Path, process, thread, time::Duration};

use fleet::Record;

/// The longest time of a script.
const LIMIT: Duration = Duration::from_secs(117);

/// What a script found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = env::temp_dir().join(format!("cassialift-review-{}", process::id()));
    // The processes under test are killed with this one.
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("could not run: it took too long");
        process::exit(2);
    });
    let record = Record::new();
    record.add(if is_troubled {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let result = match case.as_str() {
        "odd-keys" => odd_keys::run(&folder, &record, is_troubled),
        "releases" => releases::run(&folder, &record, is_troubled),
        "search-body" => search_body::run(&folder, &record, is_troubled),
        "foreign-entry" => foreign_entry::run(&folder, &record, is_troubled),
        "stale-config" => stale_config::run(&folder, &record, is_troubled),
        "stale-list" => stale_list::run(&folder, &record, is_troubled),
        _ => Ok(Verdict::CouldNotRun("no such case")),
    };
    let (status, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::CouldNotRun(why)) => (2, format!("could not run: {why}")),
        Err(error) => (2, format!("could not run: {error}")),
    };
    record.add(&text);
    println!("{case}: {text}");
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("the record could not be written: {error}");
    }
    if env::var_os("KEEP").is_none() {
        drop(std::fs::remove_dir_all(&folder));
    }
    process::exit(status);
}
