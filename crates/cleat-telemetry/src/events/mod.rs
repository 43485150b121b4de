//! Structured lines on standard output: one for each decision.
//!
//! Lines wait in a bounded buffer for a thread of their own, so a reader that
//! doesn't read holds nothing up. Lines that find no room are counted, and the
//! count is written once there is some. Lines about work that goes as it should
//! find room in half of the buffer only, so that a flood of them leaves out no
//! line about a failure.

mod line;
#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use line::append_line;

/// How many bytes may wait. At 200 bytes a line and 2,000 lines a second,
/// which is the busiest second planned for, this holds more than two seconds.
const BUFFER_BYTES: usize = 1 << 20;
/// How many bytes may wait for a routine line to be added. Failures come far
/// fewer: the other half holds more than two seconds in which each run fails.
const ROUTINE_BYTES: usize = BUFFER_BYTES / 2;
/// The capacity that a buffer keeps between writes, in bytes: eight times what gathers for one
/// write at 200 bytes a line and 2,000 lines a second.
const KEPT_BYTES: usize = 64 << 10;
/// How long the writer lets lines gather, so that many share one write.
const GATHER: Duration = Duration::from_millis(20);

/// How long the end of the process may wait for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Where decisions are written.
#[derive(Clone, Debug)]
pub struct EventLog {
    buffer: Option<Arc<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    lines: Mutex<Lines>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    /// Lines left out since the last write.
    dropped: Dropped,
    /// Whether lines were taken and are not written yet.
    writing: bool,
    /// Whether the writer waits for lines.
    ///
    /// Invariant: set whenever the writer waits, so that whoever adds the next line wakes it.
    writer_waits: bool,
}

/// How many lines were left out.
#[derive(Debug, Default, Serialize)]
#[serde(tag = "event", rename = "lines_dropped")]
struct Dropped {
    /// All of them.
    count: u64,
    /// Those of them about work that went as it should.
    routine: u64,
}

impl EventLog {
    /// Starts to write to standard output.
    ///
    /// # Errors
    /// The thread can't be started; raise the limit of threads.
    pub fn spawn() -> io::Result<EventLog> {
        let buffer = Arc::new(Buffer::default());
        let writer = buffer.clone();
        thread::Builder::new()
            .name("events".into())
            .spawn(move || write_all(&writer))?;
        Ok(EventLog {
            buffer: Some(buffer),
        })
    }

    /// Writes nothing.
    pub fn disabled() -> EventLog {
        EventLog { buffer: None }
    }

    /// Waits until the lines so far are written, or for as long as a reader
    /// may take that still reads.
    pub fn flush(&self) {
        let Some(buffer) = &self.buffer else {
            return;
        };
        let deadline = Instant::now() + FLUSH_LIMIT;
        let is_empty = || {
            let lines = buffer.lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.bytes.is_empty() && !lines.writing
        };
        while !is_empty() && Instant::now() < deadline {
            thread::sleep(GATHER / 4);
        }
    }

    /// Adds one line. Never waits for the reader.
    pub fn emit<T: Serialize>(&self, event: &T) {
        self.add(event, false);
    }

    /// Adds one line about work that goes as it should: the first to be left
    /// out where the reader is slow. Never waits for it.
    pub fn emit_routine<T: Serialize>(&self, event: &T) {
        self.add(event, true);
    }

    fn add<T: Serialize>(&self, event: &T, routine: bool) {
        let Some(buffer) = &self.buffer else {
            return;
        };
        let time_ms = wall_ms();
        let most = if routine { ROUTINE_BYTES } else { BUFFER_BYTES };
        let mut lines = buffer.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() >= most {
            lines.dropped.count += 1;
            lines.dropped.routine += u64::from(routine);
            return;
        }
        let added = append_line(&mut lines.bytes, time_ms, event);
        // A wake is a system call, and the writer waits only where no line came for a while.
        let wake = std::mem::take(&mut lines.writer_waits);
        drop(lines);
        if wake {
            buffer.filled.notify_one();
        }
        // Only now: the warning is a line of this log, which takes the lock again.
        if let Err(error) = added {
            log::warn!("an event can't be written: {error}");
        }
    }
}

fn write_all(buffer: &Buffer) {
    let mut out = io::stdout();
    let mut bytes = Vec::new();
    loop {
        take(buffer, &mut bytes);
        // Without a reader there is nothing left to say, and nowhere to say it.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
        let mut lines = buffer.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.writing = false;
        drop(lines);
        thread::sleep(GATHER);
    }
}

/// Waits for lines and takes them all into `bytes`, whose memory the next lines use. What
/// `bytes` held is discarded.
fn take(buffer: &Buffer, bytes: &mut Vec<u8>) {
    bytes.clear();
    bytes.shrink_to(KEPT_BYTES);
    let mut lines = buffer.lines.lock().unwrap_or_else(PoisonError::into_inner);
    while lines.bytes.is_empty() {
        lines.writer_waits = true;
        lines = buffer
            .filled
            .wait(lines)
            .unwrap_or_else(PoisonError::into_inner);
    }
    lines.writer_waits = false;
    if lines.dropped.count > 0 {
        let dropped = std::mem::take(&mut lines.dropped);
        // Can't fail: these are plain numbers.
        let _ = append_line(&mut lines.bytes, wall_ms(), &dropped);
    }
    lines.writing = true;
    std::mem::swap(&mut lines.bytes, bytes);
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
