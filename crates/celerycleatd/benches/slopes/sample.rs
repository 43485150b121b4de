//! What a fleet used between two moments, by role.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};

use crate::summary::{self, Usage};
use crate::support::Fleet;

/// One daemon at one moment.
struct Reading {
    name: Box<str>,
    role: Box<str>,
    cpu_ns: u64,
    rss_bytes: u64,
    sent: u64,
    received: u64,
    frames: u64,
}

/// The whole fleet at one moment.
pub(crate) struct Sample {
    at: Instant,
    readings: Vec<Reading>,
}

impl Sample {
    pub(crate) async fn take(fleet: &Fleet) -> Sample {
        let mut readings = Vec::new();
        for name in fleet.names() {
            readings.push(read(fleet, &name).await);
        }
        let at = Instant::now();
        Sample { at, readings }
    }

    /// Prints what each daemon used since `earlier`; `events` is what the
    /// figures are to be divided by, if not by time.
    pub(crate) fn print_since(&self, earlier: &Sample, what: &str, size: usize, events: u64) {
        let seconds = (self.at - earlier.at).as_secs_f64();
        for (now, before) in self.readings.iter().zip(&earlier.readings) {
            let line = json!({
                "slope": what, "size": size, "role": now.role, "name": now.name,
                "seconds": seconds, "events": events,
                "cpu_us": (now.cpu_ns - before.cpu_ns) / 1_000,
                "sent_bytes": now.sent - before.sent,
                "received_bytes": now.received - before.received,
                "sent_frames": now.frames - before.frames,
                "rss_bytes": now.rss_bytes,
            });
            println!("{line}");
            let unit = if events > 0 { events as f64 } else { seconds };
            let usage = Usage {
                cpu_us: (now.cpu_ns - before.cpu_ns) as f64 / 1_000.0 / unit,
                sent_bytes: (now.sent - before.sent) as f64 / unit,
                received_bytes: (now.received - before.received) as f64 / unit,
                rss_mb: now.rss_bytes as f64 / 1e6,
            };
            summary::add(what, &now.role, size, usage);
        }
    }
}

/// Samples the fleet before and after `window` of doing nothing else.
pub(crate) async fn window(fleet: &Fleet, what: &str, size: usize, window: Duration) {
    let before = Sample::take(fleet).await;
    tokio::time::sleep(window).await;
    let after = Sample::take(fleet).await;
    after.print_since(&before, what, size, 0);
}

async fn read(fleet: &Fleet, name: &str) -> Reading {
    let ask = async |path: &str| {
        let answer = fleet.operator(name, Method::GET, path, &Value::Null).await;
        answer.expect("an answer").1
    };
    let status = ask("/status").await;
    let metrics = ask("/metrics-snapshot").await;
    let count = |key: &str| metrics[key].as_u64().unwrap_or(0);
    let pid = fleet.daemons[name].id();
    let usage = cleat_fakes::ProcessUsage::of(pid).expect("the process is there");
    Reading {
        name: name.into(),
        role: status["role"].as_str().unwrap_or("?").into(),
        cpu_ns: cpu_ns(pid),
        rss_bytes: usage.rss_bytes,
        sent: count("link.sent_bytes"),
        received: count("link.received_bytes"),
        frames: count("link.sent_frames"),
    }
}

/// The time that all threads of a process ran, in nanoseconds: finer than the
/// ticks of `/proc/PID/stat`.
fn cpu_ns(pid: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("Linux");
    let times = threads.flatten().filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    times.sum()
}
