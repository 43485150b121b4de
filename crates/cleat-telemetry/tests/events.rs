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
/// Told on standard error after the last line was handed over.
const DONE: &str = "all handed over";

#[derive(Serialize)]
#[serde(tag = "event", rename = "flood")]
struct Flood {
    number: u64,
    filler: &'static str,
}

#[test]
fn emit_without_a_reader_never_waits() {
    if env::var_os(CHILD).is_some() {
        emit_and_wait();
        return;
    }
    let name = "emit_without_a_reader_never_waits";
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
    let dropped = read_until_all_are_known(&mut stdout);
    assert!(dropped > 0);
    drop(child.stdin.take());
    assert!(child.wait().unwrap().success());
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

/// Reads until each line has come, whole and in order, or was counted as left
/// out; how many were left out.
fn read_until_all_are_known(stdout: &mut impl BufRead) -> u64 {
    let mut written: u64 = 0;
    let mut dropped: u64 = 0;
    let mut latest = None;
    for line in stdout.lines() {
        let line = line.unwrap();
        // The test harness writes its own lines there as well.
        let Some(start) = line.find('{') else {
            continue;
        };
        let event: Value = serde_json::from_str(&line[start..]).unwrap();
        if event["event"] == "flood" {
            let number = event["number"].as_u64();
            assert!(number > latest);
            latest = number;
            written += 1;
        } else {
            assert_eq!(event["event"], "lines_dropped");
            dropped += event["count"].as_u64().unwrap();
        }
        if written + dropped == LINES {
            return dropped;
        }
    }
    panic!("{written} written and {dropped} counted of {LINES}");
}
