//! How a log record becomes a line.

use std::{
    io::{self, Write},
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use log::Record;

/// The target of lines that are pairs already and concern one request.
const REQUEST: &str = "request";

/// The name of this VM, once the settings were read.
static VM: OnceLock<String> = OnceLock::new();

/// Sets the name of the VM that stands on each line; only the first name counts.
pub fn set_vm(name: &str) {
    VM.get_or_init(|| name.to_owned());
}

/// Writes a record as one line of `key=value` pairs.
///
/// The prefix of a text, such as `config: `, becomes the line's part.
pub(super) fn write_line(out: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    let level = record.level().as_str().to_ascii_lowercase();
    let vm = VM.get().map_or("-", String::as_str);
    let text = record.args().to_string();
    write!(out, "ts={millis} level={level} vm={vm} ")?;
    if record.target() == REQUEST {
        return writeln!(out, "part=request {}", one_line(&text));
    }
    let (part, text) = split_part(&text);
    let text = one_line(text).replace('"', "'");
    writeln!(out, "part={part} msg=\"{text}\"")
}

fn split_part(text: &str) -> (&str, &str) {
    let is_part = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_lowercase());
    match text.split_once(": ") {
        Some((part, rest)) if is_part(part) => (part, rest),
        _ => ("process", text),
    }
}

/// Keeps a text that quotes others on one line.
fn one_line(text: &str) -> String {
    let plain = |c: char| if c.is_control() { ' ' } else { c };
    text.chars().map(plain).collect()
}
