//! Names of the lives of workers.
//!
//! A life is one run of a worker's process. A worker may keep its id when it starts again;
//! its lives are then told apart by the time at which each started, which is part of the
//! name: `ID@STARTED_MS`. A worker that does not report the time has the name `ID`, and a
//! new id in each life.

/// Separates the id from the time of the start.
const SEPARATOR: char = '@';

/// The name of the life of a worker that started at `started_ms`, in milliseconds since the
/// Unix epoch by its own clock, if it reports that.
pub fn life_name(id: &str, started_ms: Option<u64>) -> Box<str> {
    match started_ms {
        Some(started_ms) => format!("{id}{SEPARATOR}{started_ms}").into(),
        None => id.into(),
    }
}

/// The id of the worker whose life has this name.
pub fn worker_id(life: &str) -> &str {
    split(life).map_or(life, |(id, _)| id)
}

/// Whether a life with this name is one of the worker with this id. It is cheap for the
/// names of other workers.
pub(crate) fn is_life_of(life: &str, id: &str) -> bool {
    life.starts_with(id) && worker_id(life) == id
}

/// When the life with this name started, if the name says so.
pub fn started_ms(life: &str) -> Option<u64> {
    split(life).map(|(_, started_ms)| started_ms)
}

fn split(life: &str) -> Option<(&str, u64)> {
    let (id, started_ms) = life.rsplit_once(SEPARATOR)?;
    Some((id, started_ms.parse().ok()?))
}
