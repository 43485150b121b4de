//! Structured lines where nobody reads them. The log writes to the standard
//! output of its process, so the test starts itself as that process.
#![allow(clippy::unwrap_used)]

use std::env;
use std::io::{self, BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use cleat_telemetry::EventLog;
use serde::Serialize;
use serde_json::Value;

const CHILD: &str = "CLEAT_EVENTS_CHILD";
/// Together about 5 MB: several times the buffer of the log and of a pipe.
const LINES: u64 = 50_000;
/// How many of them are about failures where some are.
const FAILURES: u64 = 800;
/// Told on standard error after the last line was handed over.
const DONE: &str = "all handed over";

#[derive(Serialize)]
#[serde(tag = "event", rename = "flood")]
struct Flood {
    number: u64,
    filler: &'static str,
}

#[derive(Serialize)]
#[serde(tag = "event", rename = "failure")]
struct Failure {
    number: u64,
    filler: &'static str,
}

#[test]
fn emit_without_a_reader_never_waits() {
    if env::var_os(CHILD).is_some() {
        emit_and_wait();
        return;
    }
    let found = run_child("emit_without_a_reader_never_waits");
    assert!(found.dropped > 0);
}

/// A flood of routine lines, and failures after it, about as many as a second
/// has where a third of all runs fail.
#[test]
fn emit_routine_leaves_room_for_failures() {
    if env::var_os(CHILD).is_some() {
        flood_and_wait();
        return;
    }
    let found = run_child("emit_routine_leaves_room_for_failures");
    assert!(found.dropped > 0);
    assert_eq!(found.dropped, found.dropped_routine);
    assert_eq!(found.failures, FAILURES);
}

/// What was read of a child's lines.
#[derive(Default)]
struct Found {
    failures: u64,
    dropped: u64,
    dropped_routine: u64,
}

/// Runs a test of this file as a process whose output is read late.
fn run_child(name: &str) -> Found {
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture"])
        .env(CHILD, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Nothing is read from standard output until all lines are handed over; a
    // log that waits for its reader would never get there.
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let mut told = stderr.lines().map(Result::unwrap);
    assert!(told.any(|line| line.contains(DONE)));
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    let found = read_until_all_are_known(&mut stdout);
    drop(child.stdin.take());
    assert!(child.wait().unwrap().success());
    found
}

/// The child: hands over all lines, says so, and stays until its input ends.
fn emit_and_wait() {
    let log = EventLog::spawn().unwrap();
    for number in 0..LINES {
        log.emit(&Flood {
            number,
            filler: "sixty-four bytes, so that a line is about as long as a real one.",
        });
    }
    eprintln!("{DONE}");
    io::stdin().read_to_string(&mut String::new()).unwrap();
}

/// The same with routine lines and failures at the end.
fn flood_and_wait() {
    let log = EventLog::spawn().unwrap();
    let filler = "sixty-four bytes, so that a line is about as long as a real one.";
    for number in 0..LINES - FAILURES {
        log.emit_routine(&Flood { number, filler });
    }
    for number in LINES - FAILURES..LINES {
        log.emit(&Failure { number, filler });
    }
    eprintln!("{DONE}");
    io::stdin().read_to_string(&mut String::new()).unwrap();
}

/// Reads until each line has come, whole and in order, or was counted as left
/// out.
fn read_until_all_are_known(stdout: &mut impl BufRead) -> Found {
    let mut written: u64 = 0;
    let mut found = Found::default();
    let mut latest = None;
    for line in stdout.lines() {
        let line = line.unwrap();
        // The test harness writes its own lines there as well.
        let Some(start) = line.find('{') else {
            continue;
        };
        let event: Value = serde_json::from_str(&line[start..]).unwrap();
        if event["event"] == "lines_dropped" {
            found.dropped += event["count"].as_u64().unwrap();
            found.dropped_routine += event["routine"].as_u64().unwrap();
        } else {
            found.failures += u64::from(event["event"] == "failure");
            let number = event["number"].as_u64();
            assert!(number > latest);
            latest = number;
            written += 1;
        }
        if written + found.dropped == LINES {
            return found;
        }
    }
    panic!("{written} written and {} counted of {LINES}", found.dropped);
}
