//! Limits on what clients may make a process hold.

use cleat_json::{Faults, Object};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// The memory of a process whose settings do not state it, in MB.
pub(crate) const DEFAULT_MEMORY_MB: u32 = 256;
/// Less leaves nothing beside the process itself, in MB.
const MIN_MEMORY_MB: u32 = 16;
/// The HTTP library needs as much for its receive buffer, in bytes.
const MIN_HEAD_BYTES: u32 = 8_192;
/// A larger head is none, in bytes.
const MAX_HEAD_BYTES: u32 = 1 << 20;
/// A shorter time ends ordinary requests on a busy machine, in milliseconds.
const MIN_TIMEOUT_MS: u32 = 100;

const KEYS: [&str; 6] = [
    "head_bytes",
    "head_timeout_ms",
    "idle_timeout_ms",
    "body_timeout_ms",
    "answer_timeout_ms",
    "admission_timeout_ms",
];

/// Limits of each connection of a client; those that all share follow from the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InboundSettings {
    /// The maximum size of a request's head, in bytes.
    #[serde(deserialize_with = "head_bytes")]
    pub head_bytes: u32,
    /// The time from the first byte of a head to its end, in milliseconds.
    #[serde(deserialize_with = "timeout_ms")]
    pub head_timeout_ms: u32,
    /// How long a connection may be idle between requests, in milliseconds.
    #[serde(deserialize_with = "timeout_ms")]
    pub idle_timeout_ms: u32,
    /// How long a body may make no progress, in milliseconds.
    #[serde(deserialize_with = "timeout_ms")]
    pub body_timeout_ms: u32,
    /// How long an answer may make no progress, in milliseconds.
    #[serde(deserialize_with = "timeout_ms")]
    pub answer_timeout_ms: u32,
    /// How long a new connection waits for a place, if all are busy with requests, in
    /// milliseconds.
    #[serde(deserialize_with = "timeout_ms")]
    pub admission_timeout_ms: u32,
}

impl Default for InboundSettings {
    fn default() -> InboundSettings {
        InboundSettings {
            head_bytes: 24 * 1_024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 20_000,
            body_timeout_ms: 20_000,
            answer_timeout_ms: 20_000,
            admission_timeout_ms: 100,
        }
    }
}

/// Reads the key `memory_mb` of an instance.
pub(crate) fn read_memory_mb(root: &Object<'_>, faults: &mut Faults) -> u32 {
    number(root, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB, faults)
}

/// Reads the section `inbound` of an instance.
pub(crate) fn read(root: &Object<'_>, faults: &mut Faults) -> InboundSettings {
    let default = InboundSettings::default();
    let Some(section) = root.get("inbound").and_then(|node| node.object(faults)) else {
        return default;
    };
    section.only(&KEYS, faults);
    let range = u64::from(MIN_HEAD_BYTES)..=u64::from(MAX_HEAD_BYTES);
    let head_bytes = section.number_or("head_bytes", default.head_bytes.into(), range, faults);
    let mut timeout = |key, default| number(&section, key, default, MIN_TIMEOUT_MS, faults);
    InboundSettings {
        head_bytes: u32::try_from(head_bytes).unwrap_or(default.head_bytes),
        head_timeout_ms: timeout("head_timeout_ms", default.head_timeout_ms),
        idle_timeout_ms: timeout("idle_timeout_ms", default.idle_timeout_ms),
        body_timeout_ms: timeout("body_timeout_ms", default.body_timeout_ms),
        answer_timeout_ms: timeout("answer_timeout_ms", default.answer_timeout_ms),
        admission_timeout_ms: timeout("admission_timeout_ms", default.admission_timeout_ms),
    }
}

fn number(object: &Object<'_>, key: &str, default: u32, min: u32, faults: &mut Faults) -> u32 {
    let range = u64::from(min)..=u64::from(u32::MAX);
    let found = object.number_or(key, default.into(), range, faults);
    u32::try_from(found).unwrap_or(default)
}

pub(crate) fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

pub(crate) fn memory_mb<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    within(deserializer, "memory_mb", MIN_MEMORY_MB, u32::MAX)
}

fn head_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    within(deserializer, "head_bytes", MIN_HEAD_BYTES, MAX_HEAD_BYTES)
}

fn timeout_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    within(deserializer, "a timeout", MIN_TIMEOUT_MS, u32::MAX)
}

fn within<'de, D: Deserializer<'de>>(
    deserializer: D,
    what: &str,
    min: u32,
    max: u32,
) -> Result<u32, D::Error> {
    let found = u32::deserialize(deserializer)?;
    match (min..=max).contains(&found) {
        true => Ok(found),
        false => {
            let text = format!("{what}: {found} is not between {min} and {max}");
            Err(D::Error::custom(text))
        }
    }
}
