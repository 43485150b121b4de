//! The form of a line: the fields of an event in one JSON object, after the time.

use std::io::Write;

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// Why an event can't be written.
#[derive(Debug, Snafu)]
pub(super) enum LineError {
    /// Its own serialization fails.
    #[snafu(display("{source}"))]
    Serialize { source: serde_json::Error },
    /// It has no named fields that could follow the time.
    #[snafu(display("not a JSON object"))]
    NotAnObject,
}

/// Appends one line to `bytes`; after an error they are as before.
///
/// The object of the event is written in place and joined to that of the time. A flattened
/// field of `serde` gives the same bytes, but passes each field through a map first.
pub(super) fn append_line<T: Serialize>(
    bytes: &mut Vec<u8>,
    time_ms: u64,
    event: &T,
) -> Result<(), LineError> {
    let start = bytes.len();
    let result = append_fields(bytes, time_ms, event);
    if result.is_err() {
        bytes.truncate(start);
    }
    result
}

fn append_fields<T: Serialize>(
    bytes: &mut Vec<u8>,
    time_ms: u64,
    event: &T,
) -> Result<(), LineError> {
    // A vector grows as needed, so this can't fail.
    let _ = write!(bytes, r#"{{"time_ms":{time_ms}"#);
    let event_start = bytes.len();
    serde_json::to_writer(&mut *bytes, event).context(SerializeSnafu)?;
    ensure!(bytes[event_start..].starts_with(b"{"), NotAnObjectSnafu);
    if &bytes[event_start..] == b"{}" {
        bytes.remove(event_start);
    } else {
        bytes[event_start] = b',';
    }
    bytes.push(b'\n');
    Ok(())
}
