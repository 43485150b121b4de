//! The form of lines, and what the writer keeps between its writes.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use super::line::append_line;
use super::{Buffer, EventLog, KEPT_BYTES, take};

#[derive(Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Sample {
    Empty,
    Start {
        task: &'static str,
        run: u64,
        share: f64,
        label: Option<&'static str>,
    },
    Nested(Inner),
}

#[derive(Clone, Serialize)]
struct Inner {
    names: Vec<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    skipped: Option<u64>,
}

#[derive(Serialize)]
struct NoFields {}

/// The form that other builds write and read.
#[derive(Serialize)]
struct Flattened<'a, T> {
    time_ms: u64,
    #[serde(flatten)]
    event: &'a T,
}

fn assert_same_form(event: &impl Serialize) {
    let time_ms = 1_764_903_600_123;
    let mut expected = serde_json::to_vec(&Flattened { time_ms, event }).unwrap();
    expected.push(b'\n');
    let mut bytes = Vec::new();
    append_line(&mut bytes, time_ms, event).unwrap();
    assert_eq!(String::from_utf8(bytes), String::from_utf8(expected));
}

/// Guards against a line that differs from the form that readers of the log know.
#[test]
fn append_line_has_the_form_of_a_flattened_event() {
    assert_same_form(&Sample::Empty);
    assert_same_form(&Sample::Start {
        task: "a \"quoted\" name, ü",
        run: u64::MAX,
        share: 0.1,
        label: None,
    });
    let names = vec!["a", "{}"];
    assert_same_form(&Sample::Nested(Inner {
        names,
        skipped: None,
    }));
    assert_same_form(&NoFields {});
}

/// Guards against half a line that stays in the buffer and spoils the one after it.
#[test]
fn append_line_of_no_object_leaves_nothing() {
    let mut bytes = b"before\n".to_vec();
    assert!(append_line(&mut bytes, 1, &"a string").is_err());
    assert_eq!(bytes, b"before\n");
}

fn log_without_writer() -> (EventLog, Arc<Buffer>) {
    let buffer = Arc::new(Buffer::default());
    let log = EventLog {
        buffer: Some(buffer.clone()),
    };
    (log, buffer)
}

/// Guards against a writer that is never woken: it waits, and lines come one at a time.
#[test]
fn emit_wakes_a_waiting_writer() {
    const LINES: usize = 200;
    let (log, buffer) = log_without_writer();
    let writer = thread::spawn(move || {
        let mut bytes = Vec::new();
        let mut lines = 0;
        while lines < LINES {
            take(&buffer, &mut bytes);
            lines += bytes.iter().filter(|byte| **byte == b'\n').count();
        }
        lines
    });
    for _ in 0..LINES {
        log.emit(&Sample::Empty);
        thread::sleep(Duration::from_micros(100));
    }
    assert_eq!(writer.join().unwrap(), LINES);
}

/// Guards against a buffer that is allocated anew for each write, and against one that keeps
/// the memory of a flood.
#[test]
fn take_reuses_the_buffer_of_the_last_write() {
    let (log, buffer) = log_without_writer();
    let mut bytes = Vec::with_capacity(KEPT_BYTES / 2);
    let kept = bytes.as_ptr();
    log.emit(&Sample::Empty);
    take(&buffer, &mut bytes);
    assert!(bytes.ends_with(b"}\n"));
    log.emit(&Sample::Empty);
    take(&buffer, &mut bytes);
    assert_eq!(bytes.as_ptr(), kept);
    let mut flood = Vec::with_capacity(KEPT_BYTES * 8);
    log.emit(&Sample::Empty);
    take(&buffer, &mut flood);
    let lines = buffer.lines.lock().unwrap();
    assert!(lines.bytes.capacity() <= KEPT_BYTES);
}
