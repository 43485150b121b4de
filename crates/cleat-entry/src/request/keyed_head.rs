//! The part of a request with an idempotency key that is known from its head.

use std::time::Duration;

use cleat_world::KeyTable;
use http::request::Parts;
use tokio::time::Instant;

use super::fields::Fields;
use super::path;

/// The maximum deadline, because the deadline of the service is not known
/// before the head is validated.
const MAX_LOOKUP_TIME: Duration = Duration::from_secs(1);

/// The head of a non-idempotent request with an idempotency key.
pub(crate) struct KeyedHead {
    /// The key as stored in the replicated table.
    pub(crate) key: Box<str>,
    pub(crate) deadline: Instant,
}

impl KeyedHead {
    /// Returns `None` if the request is idempotent, has no key, or its key
    /// can't be determined.
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
