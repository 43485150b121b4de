//! What can be told of a request with a key from its head alone.

use std::time::Duration;

use cleat_world::KeyTable;
use http::request::Parts;
use tokio::time::Instant;

use super::fields::Fields;
use super::path;

/// A service's deadline is not known before the head is checked.
const MAX_LOOKUP_TIME: Duration = Duration::from_secs(1);

/// The head of a request that a key keeps from running twice.
pub(crate) struct KeyedHead {
    /// The key as the table has it.
    pub(crate) key: Box<str>,
    pub(crate) deadline: Instant,
}

impl KeyedHead {
    /// `None` if the request needs no key, has none, or its key can't be told.
    pub(crate) fn parse(parts: &Parts, received: Instant) -> Option<KeyedHead> {
        let fields = Fields::parse(&parts.headers);
        let key = fields.key().ok()??;
        let method = &parts.method;
        let idempotent = fields.idempotent(method);
        if idempotent.unwrap_or(method.is_idempotent()) {
            return None;
        }
        let service = path::service_name(parts.uri.path())?;
        let caller = fields.caller().ok()?;
        let requested = fields.deadline().ok().flatten();
        Some(KeyedHead {
            key: KeyTable::scoped(service, &caller, &key),
            deadline: received
                + requested.map_or(MAX_LOOKUP_TIME, |requested| requested.min(MAX_LOOKUP_TIME)),
        })
    }
}
