//! The service in the first segment of a path.

use http::Uri;
use http::uri::PathAndQuery;

/// Splits `/SERVICE/REST…` into the service and `/REST…`, which may be empty.
pub(super) fn split(path: &str) -> Option<(&str, &str)> {
    let path = path.strip_prefix('/')?;
    let end = path.find('/').unwrap_or(path.len());
    Some(path.split_at(end))
}

/// What the target is asked for: the rest of the path with the query.
pub(super) fn rest_uri(rest: &str, query: Option<&str>) -> Option<Uri> {
    let rest = if rest.is_empty() { "/" } else { rest };
    let target: PathAndQuery = match query {
        None => rest.parse().ok()?,
        Some(query) => format!("{rest}?{query}").try_into().ok()?,
    };
    Some(target.into())
}
