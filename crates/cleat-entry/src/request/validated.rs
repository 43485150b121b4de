//! Validates the head of a request.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Method, Uri, Version};
use tokio::time::Instant;

use super::fields::Fields;
use super::path;
use crate::problem::{Problem, ProblemKind};
use crate::route::{Route, Routes};

/// The bytes of a header line besides name and value: `: ` and the line end.
const LINE_OVERHEAD: usize = 4;

/// A request whose head is valid.
pub(crate) struct ValidatedRequest {
    pub(crate) service: Box<str>,
    pub(crate) route: Route,
    pub(crate) method: Method,
    pub(crate) version: Version,
    /// The URI to request from the target.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// The caller that fair queueing and quotas charge the request to, empty if
    /// none is stated.
    pub(crate) caller: Box<str>,
    /// The deadline for all attempts together.
    pub(crate) deadline: Instant,
    /// Whether the request may run twice without harm.
    pub(crate) idempotent: bool,
    pub(crate) key: Option<Box<str>>,
}

impl ValidatedRequest {
    /// Validates the head of a request received at `received`.
    ///
    /// # Errors
    /// The mistake of the caller.
    pub(crate) fn check(
        parts: Parts,
        routes: &Routes,
        header_bytes: usize,
        received: Instant,
    ) -> Result<ValidatedRequest, Problem> {
        let headers = parts.headers;
        if head_size(&parts.uri, &headers) > header_bytes {
            return Err(Problem::closing(ProblemKind::HeadersTooLarge));
        }
        let unsupported = || Problem::new(ProblemKind::UnsupportedTarget);
        if parts.method == Method::CONNECT {
            return Err(Problem::closing(ProblemKind::UnsupportedTarget));
        }
        let service = path::service_name(parts.uri.path()).ok_or_else(unsupported)?;
        let route = routes.find(service);
        let route = route.ok_or(Problem::new(ProblemKind::UnknownService))?;
        let uri = path::target_uri(&parts.uri, service).ok_or_else(unsupported)?;
        let max = Duration::from_millis(route.config.deadline_ms);
        let fields = Fields::parse(&headers);
        let requested = fields.deadline()?;
        let time = requested.map_or(max, |requested| requested.min(max));
        Ok(ValidatedRequest {
            service: service.into(),
            route: Route::clone(route),
            uri,
            caller: fields.caller()?,
            deadline: received + time,
            idempotent: fields.idempotent(&parts.method)?,
            key: fields.key()?,
            method: parts.method,
            version: parts.version,
            headers,
        })
    }

    /// The configuration of the service.
    pub(crate) fn config(&self) -> &Arc<cleat_world::Service> {
        &self.route.config
    }
}

/// The approximate size of the head.
fn head_size(uri: &Uri, headers: &HeaderMap) -> usize {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + LINE_OVERHEAD
    };
    let lines: usize = headers.iter().map(line).sum();
    let target = uri.path().len() + uri.query().map_or(0, str::len);
    lines + target
}
