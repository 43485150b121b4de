//! The service in the first segment of a path.

use http::Uri;
use http::uri::PathAndQuery;

/// The service of `/SERVICE/REST…`, where `/REST…` may be empty.
pub(super) fn service(path: &str) -> Option<&str> {
    path.strip_prefix('/')?.split('/').next()
}

/// What the target is asked for: what follows `service` in `uri`.
pub(super) fn rest_uri(uri: &Uri, service: &str) -> Option<Uri> {
    let begin = "/".len() + service.len();
    let rest = uri.path_and_query()?.as_str().get(begin..)?;
    let target: PathAndQuery = if rest.starts_with('/') {
        rest.parse().ok()?
    } else {
        format!("/{rest}").try_into().ok()?
    };
    Some(target.into())
}
