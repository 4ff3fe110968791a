//! Tests of the format and the limits of the log, and that logging never blocks.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use log::{Level, Record};
use serde_json::{Map, Value};
use yare::parameterized;

use super::{
    format::write_line,
    writer::{LineWriter, LogBounds, dropped_lines},
};

fn line(target: &str, text: &str) -> String {
    let mut out = Vec::new();
    let args = format_args!("{text}");
    let record = Record::builder()
        .target(target)
        .level(Level::Info)
        .args(args)
        .build();
    write_line(&mut out, &record).unwrap();
    String::from_utf8(out).unwrap()
}

#[parameterized(
    part = { "cassialift::x", "config: Revision 3 is held.", r#"{"part":"config","msg":"Revision 3 is held."}"# },
    no_part = { "cassialift::x", "Some Text: more", r#"{"part":"process","msg":"Some Text: more"}"# },
    request = { "request", r#"{"event":"end","id":"a"}"#, r#"{"part":"request","event":"end","id":"a"}"# },
    quoted = { "cassialift::x", "entry: \"a\nb\"", r#"{"part":"entry","msg":"\"a\nb\""}"# },
)]
fn test_log_line(target: &str, text: &str, expected: &str) {
    let line = line(target, text);
    let [_, object @ .., b'\n'] = line.as_bytes() else {
        panic!("{line}");
    };
    assert!(!object.contains(&b'\n'), "{line}");
    let mut found: Map<String, Value> = serde_json::from_slice(object).unwrap();
    let (time, level) = (found.remove("ts"), found.remove("level"));
    assert!(time.is_some_and(|time| time.is_u64()), "{line}");
    assert_eq!(level, Some("info".into()));
    assert!(found.remove("vm").is_some(), "{line}");
    let expected: Map<String, Value> = serde_json::from_str(expected).unwrap();
    assert_eq!(found, expected);
}

/// A text may quote what another process sent, of any size.
#[test]
fn test_log_line_is_cut_to_a_bounded_size() {
    let text = format!("platform: Ignored \u{e9}{}", "\u{e9}".repeat(1 << 20));
    let line = line("cassialift::x", &text);
    assert!(line.len() < 10_000, "{} bytes", line.len());
    let object: Map<String, Value> = serde_json::from_str(&line[1..]).unwrap();
    assert_eq!(object["part"], "platform");
    let msg = object["msg"].as_str().unwrap();
    assert!(msg.starts_with("Ignored \u{e9}"), "{msg}");
    assert!(msg.ends_with(" bytes more)"), "{msg}");
}

/// An output that a test can read.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn wait_for(&self, wanted: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
            if text.contains(wanted) {
                return text;
            }
            assert!(Instant::now() < deadline, "no {wanted} in {text}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn test_log_volume_is_bounded_and_counted() {
    let sink = Sink::default();
    let bounds = LogBounds {
        rate: 10,
        reserved: 4,
        ..LogBounds::default()
    };
    let before = dropped_lines();
    let mut writer = LineWriter::start(bounds, sink.clone());
    for _ in 0..30 {
        writer.write_all(b"eline\n").unwrap();
    }
    let text = sink.wait_for("\"dropped\":20}");
    assert_eq!(text.matches("line\n").count(), 10);
    assert!(dropped_lines() >= before + 20);
}

/// Lines about successful requests never use the part of the limit that is reserved for others.
#[test]
fn test_log_keeps_room_for_essential_lines() {
    let sink = Sink::default();
    let bounds = LogBounds {
        rate: 10,
        reserved: 4,
        ..LogBounds::default()
    };
    let mut writer = LineWriter::start(bounds, sink.clone());
    for _ in 0..20 {
        writer.write_all(b"rwell\n").unwrap();
    }
    for _ in 0..6 {
        writer.write_all(b"efailed\n").unwrap();
    }
    let text = sink.wait_for("\"dropped\":16}");
    assert_eq!(text.matches("well\n").count(), 6);
    assert_eq!(text.matches("failed\n").count(), 4);
}

/// An output that blocks forever, like a pipe whose reader is stuck.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Returns only when the test drops the sender at its end.
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn test_log_does_not_block_on_a_stuck_reader() {
    let (_hold, stuck) = mpsc::channel();
    let bounds = LogBounds {
        queued: 5,
        rate: 1_000_000,
        reserved: 0,
    };
    let mut writer = LineWriter::start(bounds, Stuck(stuck));
    let began = Instant::now();
    for _ in 0..10_000 {
        writer.write_all(b"eline\n").unwrap();
    }
    assert!(began.elapsed() < Duration::from_secs(5));
}
