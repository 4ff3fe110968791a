//! `check`: validates files offline.

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
    report::{FILE_REFUSED, SUCCESS},
};

/// The result of the check of one file.
#[derive(Debug, Serialize)]
struct FileCheck {
    /// The path of the file.
    file: String,
    /// The kind of the file: `settings`, `presets` or `index`; `None` if it is unknown.
    kind: Option<&'static str>,
    /// The error in the file or in reading it; `None` if the file is valid.
    #[serde(rename = "fault")]
    error: Option<FileError>,
}

/// An error in a file.
#[derive(Debug, Serialize)]
struct FileError {
    /// The line of the error, from 1.
    line: usize,
    /// The column of the error, from 1.
    column: usize,
    /// The description of the error.
    cause: String,
    /// A hint on how to correct the file, if there is one.
    hint: Option<String>,
}

/// Checks files, whose kind is detected unless it is given, and returns the results as a report.
pub(super) fn run(files: &[String], kind: Option<FileKind>, json: bool) -> Report {
    let checks: Vec<FileCheck> = files.iter().map(|file| check_file(file, kind)).collect();
    let refused = checks.iter().any(|check| check.error.is_some());
    let report = if json {
        Report::json(&checks)
    } else {
        let lines: Vec<String> = checks.iter().map(format_check).collect();
        Report::text(lines.join("\n"))
    };
    report.with_code(if refused { FILE_REFUSED } else { SUCCESS })
}

fn check_file(file: &str, kind: Option<FileKind>) -> FileCheck {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            let error = FileError {
                line: 1,
                column: 1,
                cause: format!("cannot be read: {error}"),
                hint: Some("check the path and its permissions".to_owned()),
            };
            return FileCheck {
                file: file.to_owned(),
                kind: None,
                error: Some(error),
            };
        }
    };
    let (kind, result) = match kind.map_or_else(|| detect_kind(&text), Ok) {
        Ok(kind) => (Some(kind.name()), check_text(&text, kind)),
        Err(error) => (None, Err(error)),
    };
    FileCheck {
        file: file.to_owned(),
        kind,
        error: result.err(),
    }
}

/// Detects the kind of a file by keys that only that kind has.
fn detect_kind(text: &str) -> Result<FileKind, FileError> {
    let value: serde_json::Value = jsonc::parse(text).map_err(|error| {
        let hint = error.hint.map(|hint| hint.to_string());
        FileError::new(error.position, error.cause.to_string(), hint)
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
    let start = Position { line: 1, column: 1 };
    let cause = "cannot tell whether this is settings, presets or index".to_owned();
    let hint = "say which with --kind KIND".to_owned();
    Err(FileError::new(start, cause, Some(hint)))
}

fn check_text(text: &str, kind: FileKind) -> Result<(), FileError> {
    match kind {
        FileKind::Settings => match Settings::parse(text) {
            Ok(_) => Ok(()),
            Err(error) => Err(FileError::new(
                error.position,
                error.cause.to_string(),
                error.hint,
            )),
        },
        FileKind::Presets => document_result(parse_presets(text).err()),
        FileKind::Index => document_result(parse_index(text).err()),
    }
}

fn document_result(error: Option<cassialift_core::config::DocumentError>) -> Result<(), FileError> {
    match error {
        Some(error) => Err(FileError::new(
            error.position,
            error.cause.to_string(),
            error.hint,
        )),
        None => Ok(()),
    }
}

impl FileError {
    const fn new(position: Position, cause: String, hint: Option<String>) -> Self {
        Self {
            line: position.line,
            column: position.column,
            cause,
            hint,
        }
    }
}

fn format_check(check: &FileCheck) -> String {
    let file = &check.file;
    let Some(error) = &check.error else {
        let kind = check.kind.unwrap_or_default();
        return format!("{file}: valid {kind}");
    };
    let hint = error.hint.as_ref();
    let hint = hint.map_or_else(String::new, |hint| format!("\nhint: {hint}"));
    let FileError {
        line,
        column,
        cause,
        ..
    } = error;
    format!("{file}:{line}:{column}: {cause}{hint}")
}
