//! The settings of a control instance.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::InboundSettings;
use crate::inbound::{default_memory_mb, memory_mb};

/// The settings of one control instance. Unknown keys are errors.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Always `control`.
    pub role: Box<str>,
    /// Its name; its data folder is bound to it.
    pub name: Box<str>,
    /// Where it runs.
    pub data_centre: Box<str>,
    /// Its address, under which the other instances know it.
    pub ip: Ipv4Addr,
    /// Where it listens for other instances, if that is another address than
    /// `ip`: behind a proxy or address translation.
    #[serde(default)]
    pub bind_ip: Option<Ipv4Addr>,
    /// Where workers and operators call.
    pub listen: SocketAddr,
    /// Where the operators of jobs call; nobody listens if absent.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// The ports that instances may use among each other; the first is used
    /// for calls, the last for metrics.
    pub internal_ports: (u16, u16),
    /// Instances to begin with, as workers and operators call them.
    #[serde(deserialize_with = "super::seeds")]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole fleet starts for the first time, on empty disks.
    pub first_start: bool,
    /// How many instances with a disk may be lost at once.
    pub losses_to_bear: usize,
    /// Where it keeps its part of the state.
    pub data_folder: PathBuf,
    /// Where the platform answers calls about machines, if it does.
    #[serde(default)]
    pub machines: Option<Box<str>>,
    /// Where the adviser answers, if there is one.
    #[serde(default)]
    pub adviser: Option<Box<str>>,
    /// Where metrics are served as text; nowhere if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How workers get their orders.
    #[serde(default)]
    pub orders: OrderPath,
    /// How many processor cores it has; 1 runs all on one thread.
    #[serde(default = "one")]
    pub cores: usize,
    /// How many files and connections it may have open. The owner keeps one
    /// connection to each worker at least, and closes idle ones before this is
    /// reached.
    #[serde(default = "default_max_files", deserialize_with = "max_files")]
    pub max_files: usize,
    /// The memory that it may use, in MB.
    #[serde(default = "default_memory_mb", deserialize_with = "memory_mb")]
    pub memory_mb: u32,
    /// Limits of each connection that it accepts.
    #[serde(default)]
    pub inbound: InboundSettings,
    /// Durations that differ between platforms.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Optional decisions of the scheduler. All control instances must use the same
    /// values.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Whether heartbeats and other calls of workers and operators that arrive while
    /// this instance reaches no leader are redirected to another instance.
    #[serde(default)]
    pub redirect_heartbeats: bool,
}

/// Optional decisions of the scheduler; what is left out is disabled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Whether jobs that cannot be completed in time are refused when they are
    /// submitted.
    pub admission: bool,
    /// Whether the speed of each worker is estimated and considered when tasks
    /// are placed.
    pub worker_speed: bool,
    /// The maximum part of a pool's capacity that second copies of speculative
    /// tasks may use, in percent; 0 disables them.
    #[serde(deserialize_with = "percent")]
    pub speculation_percent: u32,
    /// Whether machines are assigned to all pools by one plan.
    pub machine_plan: bool,
    /// The interval at which learned statistics are committed for the next
    /// leader, in milliseconds; 0 disables this.
    pub carry_over_ms: u64,
    /// Whether a task that writes checkpoints may be stopped for urgent work.
    pub preemption: bool,
}

/// How workers get their orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPath {
    /// They are called.
    #[default]
    Call,
    /// With the answers to their heartbeats. Not supported: a control instance
    /// says so and does not start.
    Heartbeat,
}

/// Durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// How long a worker may go on without hearing from its owner. At most
    /// what the platform's workers accept.
    pub worker_lease_ms: Option<u64>,
    /// How long a job that is over is remembered.
    pub remember_ms: Option<u64>,
}

/// What many systems let a process open unless told otherwise.
fn default_max_files() -> usize {
    1_024
}

/// Fewer leave nothing for workers beside the files of the instance itself.
const LEAST_FILES: usize = 512;

fn max_files<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let files = usize::deserialize(deserializer)?;
    if files < LEAST_FILES {
        let text = format!("max_files: {files} is too few, give {LEAST_FILES} at least");
        return Err(D::Error::custom(text));
    }
    Ok(files)
}

fn percent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let percent = u32::deserialize(deserializer)?;
    if percent > 100 {
        let text = format!("speculation_percent: {percent} is too much, give 100 at most");
        return Err(D::Error::custom(text));
    }
    Ok(percent)
}

fn one() -> usize {
    1
}
