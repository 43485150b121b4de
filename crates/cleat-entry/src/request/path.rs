//! The first path segment, which names the service.

use http::Uri;
use http::uri::PathAndQuery;

/// Returns the service of `/SERVICE/REST…`, where `/REST…` may be empty.
pub(super) fn service_name(path: &str) -> Option<&str> {
    path.strip_prefix('/')?.split('/').next()
}

/// Returns the URI to request from the target: the part of `uri` after the
/// service name.
pub(super) fn target_uri(uri: &Uri, service_name: &str) -> Option<Uri> {
    let start = "/".len() + service_name.len();
    let rest = uri.path_and_query()?.as_str().get(start..)?;
    let target: PathAndQuery = if rest.starts_with('/') {
        rest.parse().ok()?
    } else {
        format!("/{rest}").try_into().ok()?
    };
    Some(target.into())
}
