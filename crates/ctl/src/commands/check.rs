//! `check`: validates files off-line.

use std::fs;

use cassialift::settings::Settings;
use cassialift_core::{
    config::{parse_index, parse_presets},
    jsonc::{self, Position},
};
use serde::Serialize;

use crate::{
    Report,
    cli::FileKind,
    report::{REFUSED, SUCCESS},
};

/// The verdict on one file.
#[derive(Debug, Serialize)]
struct Verdict {
    /// The file.
    file: String,
    /// Its kind: `settings`, `presets` or `index`; none if that could not be told.
    kind: Option<&'static str>,
    /// What is wrong; none if it is valid.
    fault: Option<Fault>,
}

/// What is wrong with a file.
#[derive(Debug, Serialize)]
struct Fault {
    /// The line, from 1.
    line: usize,
    /// The column, from 1.
    column: usize,
    /// What is wrong.
    cause: String,
    /// How to mend it.
    hint: Option<String>,
}

/// Runs the command.
pub(super) fn run(files: &[String], kind: Option<FileKind>, json: bool) -> Report {
    let verdicts: Vec<Verdict> = files.iter().map(|file| verdict(file, kind)).collect();
    let refused = verdicts.iter().any(|verdict| verdict.fault.is_some());
    let report = if json {
        Report::json(&verdicts)
    } else {
        let lines: Vec<String> = verdicts.iter().map(line).collect();
        Report::text(lines.join("\n"))
    };
    report.with_code(if refused { REFUSED } else { SUCCESS })
}

fn verdict(file: &str, kind: Option<FileKind>) -> Verdict {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            let fault = Fault {
                line: 1,
                column: 1,
                cause: format!("cannot be read: {error}"),
                hint: Some("check the path and its permissions".to_owned()),
            };
            return Verdict {
                file: file.to_owned(),
                kind: None,
                fault: Some(fault),
            };
        }
    };
    let (kind, result) = match kind.map_or_else(|| detect(&text), Ok) {
        Ok(kind) => (Some(kind.name()), check(&text, kind)),
        Err(fault) => (None, Err(fault)),
    };
    Verdict {
        file: file.to_owned(),
        kind,
        fault: result.err(),
    }
}

/// Tells the kind of a file by the keys that only that kind has.
fn detect(text: &str) -> Result<FileKind, Fault> {
    let value: serde_json::Value = jsonc::parse(text).map_err(|fault| {
        let hint = fault.hint.map(|hint| hint.to_string());
        Fault::new(fault.position, fault.cause.to_string(), hint)
    })?;
    let has = |key: &str| value.get(key).is_some();
    if has("presets") || has("active") {
        return Ok(FileKind::Presets);
    }
    if has("shards") || has("servers") {
        return Ok(FileKind::Index);
    }
    if has("vm") || has("platform") {
        return Ok(FileKind::Settings);
    }
    let place = Position { line: 1, column: 1 };
    let cause = "cannot tell whether this is settings, presets or index".to_owned();
    let hint = "say which with --kind KIND".to_owned();
    Err(Fault::new(place, cause, Some(hint)))
}

fn check(text: &str, kind: FileKind) -> Result<(), Fault> {
    match kind {
        FileKind::Settings => match Settings::parse(text) {
            Ok(_) => Ok(()),
            Err(fault) => Err(Fault::new(fault.place, fault.cause.to_string(), fault.hint)),
        },
        FileKind::Presets => document(parse_presets(text).err()),
        FileKind::Index => document(parse_index(text).err()),
    }
}

fn document(fault: Option<cassialift_core::config::DocumentError>) -> Result<(), Fault> {
    match fault {
        Some(fault) => Err(Fault::new(
            fault.position,
            fault.cause.to_string(),
            fault.hint,
        )),
        None => Ok(()),
    }
}

impl Fault {
    const fn new(place: Position, cause: String, hint: Option<String>) -> Self {
        Self {
            line: place.line,
            column: place.column,
            cause,
            hint,
        }
    }
}

fn line(verdict: &Verdict) -> String {
    let file = &verdict.file;
    let Some(fault) = &verdict.fault else {
        let kind = verdict.kind.unwrap_or_default();
        return format!("{file}: valid {kind}");
    };
    let hint = fault.hint.as_ref();
    let hint = hint.map_or_else(String::new, |hint| format!("\nhint: {hint}"));
    let Fault {
        line,
        column,
        cause,
        ..
    } = fault;
    format!("{file}:{line}:{column}: {cause}{hint}")
}
