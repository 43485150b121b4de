//! Processor time and memory of a process, from `/proc`.

use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::FakeError;
use crate::error::{ProcessFormSnafu, ProcessSnafu};

/// Ticks a second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// Fields after the command name, counted from the state.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ProcessUsage {
    /// User and system time together, in steps of 10 ms.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub rss_bytes: u64,
    /// The most resident memory so far, in bytes.
    pub peak_rss_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
    ///
    /// # Errors
    /// [`FakeError::Process`] if it is gone, [`FakeError::ProcessForm`] if
    /// the system is not Linux.
    pub fn of(pid: u32) -> Result<ProcessUsage, FakeError> {
        let (stat_path, stat) = read(pid, "stat")?;
        let (status_path, status) = read(pid, "status")?;
        let cpu = cpu(&stat).context(ProcessFormSnafu { path: stat_path })?;
        let field = |name| kilobytes(&status, name);
        let form = ProcessFormSnafu { path: status_path };
        let rss_bytes = field("VmRSS:").context(form.clone())?;
        let peak_rss_bytes = field("VmHWM:").context(form)?;
        Ok(ProcessUsage {
            cpu,
            rss_bytes,
            peak_rss_bytes,
        })
    }
}

fn read(pid: u32, file: &str) -> Result<(PathBuf, String), FakeError> {
    let path = PathBuf::from(format!("/proc/{pid}/{file}"));
    let text = std::fs::read_to_string(&path).context(ProcessSnafu { path: &path })?;
    Ok((path, text))
}

fn cpu(stat: &str) -> Option<Duration> {
    // The command name may hold spaces and brackets; the last one ends it.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    let total = ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?;
    Some(Duration::from_millis(total * 1_000 / TICKS_PER_SECOND))
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    let number = line.split_whitespace().nth(1)?;
    let kilobytes = number.parse::<u64>().ok()?;
    Some(kilobytes * 1_024)
}
