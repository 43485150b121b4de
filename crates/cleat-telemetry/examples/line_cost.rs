//! Processor time of a logged line, and of a disabled span as the calls between instances
//! make it, with the logger of a control instance.
//!
//! `cargo run --release -p cleat-telemetry --example line_cost > /dev/null`. Lines are added
//! at a fixed rate, as an owner under load does; figures go to standard error.

use std::error::Error;
use std::hint::black_box;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cleat_telemetry::{EventLog, install_logs};
use log::LevelFilter;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use tracing::info_span;

/// Lines of one pause, and the number of pauses: 2,000 lines a second for 3 seconds.
const LINES_PER_PAUSE: u32 = 4;
const PAUSE: Duration = Duration::from_millis(2);
const PAUSES: u32 = 1_500;
const SPANS: u32 = 1_000_000;

/// A line of the length of those about starts and ends of runs.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Decision {
    Start {
        task: &'static str,
        run: u64,
        worker: &'static str,
        customer: Option<&'static str>,
        waited_ms: u64,
    },
}

fn main() -> Result<(), Box<dyn Error>> {
    let events = EventLog::spawn()?;
    install_logs(&events, LevelFilter::Info)?;
    // Waiting alone costs processor time too, which is not that of a line.
    let idle = process_time_of(|| add_lines(&EventLog::disabled()));
    let busy = process_time_of(|| add_lines(&events));
    let lines = LINES_PER_PAUSE * PAUSES;
    eprintln!("a line:          {:?}", busy.saturating_sub(idle) / lines);
    let begun = Instant::now();
    for number in 0..SPANS {
        let span = info_span!(target: "tarpc::server", "RPC", number);
        span.in_scope(|| black_box(number));
    }
    eprintln!("a disabled span: {:?}", begun.elapsed() / SPANS);
    Ok(())
}

fn add_lines(events: &EventLog) {
    for pause in 0..PAUSES {
        for line in 0..LINES_PER_PAUSE {
            events.emit_routine(&Decision::Start {
                task: "0b5c6e1e-3f0c-4a44-9f0e-6f1d8f3f5a10/reduce/17",
                run: u64::from(pause * LINES_PER_PAUSE + line),
                worker: "worker-cartagena-b-117/1764903600123",
                customer: None,
                waited_ms: 12,
            });
        }
        sleep(PAUSE);
    }
}

/// The processor time that the whole process uses during `work`.
fn process_time_of(work: impl FnOnce()) -> Duration {
    let before = process_time();
    work();
    process_time().saturating_sub(before)
}

fn process_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
