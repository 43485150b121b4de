//! The values of the headers that steer a request.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Method};

use crate::headers::{CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, IDEMPOTENT};
use crate::problem::{Problem, ProblemKind};

/// The longest caller's name or idempotency key, in bytes.
const NAME_MAX: usize = 256;

/// The caller, empty if none is stated.
pub(super) fn caller(headers: &HeaderMap) -> Result<Box<str>, Problem> {
    let caller = single(headers, &CALLER, ProblemKind::BadCaller)?;
    let caller = caller.unwrap_or_default();
    if caller.len() > NAME_MAX {
        return Err(Problem::new(ProblemKind::BadCaller));
    }
    Ok(caller.into())
}

/// The time that the caller allows.
pub(super) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let bad = || Problem::new(ProblemKind::BadDeadline);
    let Some(text) = single(headers, &DEADLINE_MS, ProblemKind::BadDeadline)? else {
        return Ok(None);
    };
    // `parse` would take a leading plus sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad());
    }
    let ms: u64 = text.parse().map_err(|_| bad())?;
    if ms == 0 {
        return Err(bad());
    }
    Ok(Some(Duration::from_millis(ms)))
}

/// Whether a second run does no harm: as stated, else by the method.
pub(super) fn idempotent(headers: &HeaderMap, method: &Method) -> Result<bool, Problem> {
    match single(headers, &IDEMPOTENT, ProblemKind::BadIdempotent)? {
        None => Ok(method.is_idempotent()),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(Problem::new(ProblemKind::BadIdempotent)),
    }
}

/// The idempotency key.
pub(super) fn key(headers: &HeaderMap) -> Result<Option<Box<str>>, Problem> {
    let Some(key) = single(headers, &IDEMPOTENCY_KEY, ProblemKind::BadKey)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > NAME_MAX {
        return Err(Problem::new(ProblemKind::BadKey));
    }
    Ok(Some(key.into()))
}

/// The one printable ASCII value of a header.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    kind: ProblemKind,
) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_printable = |text: &&str| !text.contains('\t');
    let text = value.to_str().ok().filter(is_printable);
    match text {
        Some(text) if values.next().is_none() => Ok(Some(text)),
        _ => Err(Problem::new(kind)),
    }
}
