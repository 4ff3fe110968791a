//! Formatting of log records as lines of JSON.

use std::{
    io::{self, Write},
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{Level, Record};
use serde::Serialize;

use super::writer::Importance;

/// The target of records whose text is a JSON object about one request.
const REQUEST: &str = "request";

/// The longest text of a record that is written whole, in bytes. Errors quote what other processes sent.
const MAX_TEXT: usize = 8 << 10;

/// The name of this VM, which is set once the settings were read.
static VM: OnceLock<String> = OnceLock::new();

/// Sets the name of the VM that each line contains. Only the first call has an effect.
pub fn set_vm(name: &str) {
    VM.get_or_init(|| name.to_owned());
}

/// Logs a line about one request, with the fields of `line`.
pub(crate) fn log_request(level: Level, line: &impl Serialize) {
    if !log::log_enabled!(target: REQUEST, level) {
        return;
    }
    match serde_json::to_string(line) {
        Ok(text) => log::log!(target: REQUEST, level, "{text}"),
        Err(error) => log::error!("process: A request line cannot be serialized: {error}."),
    }
}

/// The fields with which every line begins.
#[derive(Serialize)]
struct Head<'a> {
    /// The Unix time, in milliseconds.
    ts: u128,
    level: &'a str,
    vm: &'a str,
    part: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    msg: Option<&'a str>,
}

/// Writes a record as one line with a JSON object, preceded by the byte of its importance.
///
/// The prefix of a record's text, such as `config: `, becomes the `part` field.
pub(super) fn write_line(out: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let text = record.args().to_string();
    let is_request = record.target() == REQUEST;
    // A request's fields are bounded one by one, and an object that is cut could not be parsed.
    let text = if is_request { text } else { cut(text) };
    let (part, msg) = if is_request {
        (REQUEST, None)
    } else {
        let (part, text) = split_part(&text);
        (part, Some(text))
    };
    let head = Head {
        ts: since.map_or(0, |since| since.as_millis()),
        level: &record.level().as_str().to_ascii_lowercase(),
        vm: VM.get().map_or("-", String::as_str),
        part,
        msg,
    };
    let importance = if is_request && record.level() > Level::Warn {
        Importance::Routine
    } else {
        Importance::Essential
    };
    let mut line = vec![importance.byte()];
    serde_json::to_writer(&mut line, &head)?;
    if let Some(fields) = is_request.then(|| text.strip_prefix('{')).flatten() {
        // The request's fields follow in the same object.
        line.pop();
        line.push(b',');
        line.extend_from_slice(fields.as_bytes());
    }
    line.push(b'\n');
    out.write_all(&line)
}

/// Returns a text cut to [`MAX_TEXT`], with how much is missing at its end.
fn cut(text: String) -> String {
    if text.len() <= MAX_TEXT {
        return text;
    }
    let kept = &text[..text.floor_char_boundary(MAX_TEXT)];
    let missing = text.len() - kept.len();
    format!("{kept}... ({missing} bytes more)")
}

fn split_part(text: &str) -> (&str, &str) {
    let is_part = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_lowercase());
    match text.split_once(": ") {
        Some((part, rest)) if is_part(part) => (part, rest),
        _ => ("process", text),
    }
}
