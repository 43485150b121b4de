//! The header fields that control how a request is processed.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::headers::{CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, IDEMPOTENT};
use crate::problem::{Problem, ProblemKind};

/// The maximum length of the name of a caller or of an idempotency key, in
/// bytes.
const MAX_NAME_BYTES: usize = 256;

/// The unparsed values of the control fields.
#[derive(Debug, Default)]
pub(super) struct Fields<'a> {
    caller: Field<'a>,
    deadline: Field<'a>,
    idempotent: Field<'a>,
    key: Field<'a>,
}

/// A header field that may occur at most once.
#[derive(Debug, Default)]
enum Field<'a> {
    #[default]
    Absent,
    Once(&'a HeaderValue),
    Repeated,
}

impl<'a> Fields<'a> {
    /// Finds all fields in one pass, which is cheaper than one lookup per
    /// field.
    pub(super) fn parse(headers: &'a HeaderMap) -> Fields<'a> {
        let mut fields = Fields::default();
        for (name, value) in headers {
            if let Some(field) = fields.field(name) {
                field.add(value);
            }
        }
        fields
    }

    fn field(&mut self, name: &HeaderName) -> Option<&mut Field<'a>> {
        match name {
            name if *name == CALLER => Some(&mut self.caller),
            name if *name == DEADLINE_MS => Some(&mut self.deadline),
            name if *name == IDEMPOTENT => Some(&mut self.idempotent),
            name if *name == IDEMPOTENCY_KEY => Some(&mut self.key),
            _ => None,
        }
    }

    /// The name of the caller, empty if there is none.
    pub(super) fn caller(&self) -> Result<Box<str>, Problem> {
        let caller = self.caller.text(ProblemKind::BadCaller)?;
        let caller = caller.unwrap_or_default();
        if caller.len() > MAX_NAME_BYTES {
            return Err(Problem::new(ProblemKind::BadCaller));
        }
        Ok(caller.into())
    }

    /// The time limit set by the caller.
    pub(super) fn deadline(&self) -> Result<Option<Duration>, Problem> {
        let bad = || Problem::new(ProblemKind::BadDeadline);
        let Some(text) = self.deadline.text(ProblemKind::BadDeadline)? else {
            return Ok(None);
        };
        // `parse` would accept a leading plus sign.
        if !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(bad());
        }
        let ms: u64 = text.parse().map_err(|_| bad())?;
        if ms == 0 {
            return Err(bad());
        }
        Ok(Some(Duration::from_millis(ms)))
    }

    /// Whether the request may run twice without harm, as stated by the caller
    /// or else according to the method.
    pub(super) fn idempotent(&self, method: &Method) -> Result<bool, Problem> {
        match self.idempotent.text(ProblemKind::BadIdempotent)? {
            None => Ok(method.is_idempotent()),
            Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(_) => Err(Problem::new(ProblemKind::BadIdempotent)),
        }
    }

    pub(super) fn key(&self) -> Result<Option<Box<str>>, Problem> {
        let Some(key) = self.key.text(ProblemKind::BadIdempotencyKey)? else {
            return Ok(None);
        };
        if key.is_empty() || key.len() > MAX_NAME_BYTES {
            return Err(Problem::new(ProblemKind::BadIdempotencyKey));
        }
        Ok(Some(key.into()))
    }
}

impl<'a> Field<'a> {
    fn add(&mut self, value: &'a HeaderValue) {
        *self = match self {
            Field::Absent => Field::Once(value),
            Field::Once(_) | Field::Repeated => Field::Repeated,
        };
    }

    /// The value, which must occur once and be printable ASCII.
    fn text(&self, kind: ProblemKind) -> Result<Option<&'a str>, Problem> {
        let is_printable = |text: &&str| !text.contains('\t');
        match self {
            Field::Absent => Ok(None),
            Field::Once(value) => match value.to_str().ok().filter(is_printable) {
                Some(text) => Ok(Some(text)),
                None => Err(Problem::new(kind)),
            },
            Field::Repeated => Err(Problem::new(kind)),
        }
    }
}
