//! Requests as sent to targets.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version};
use http_body_util::Full;
use tokio::time::Instant;

use crate::headers::{DEADLINE_MS, strip_request_headers};
use crate::trace::Trace;

/// What is sent in every attempt of a request.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl OutgoingRequest {
    pub(crate) fn new(
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> OutgoingRequest {
        strip_request_headers(&mut headers);
        OutgoingRequest {
            method,
            uri,
            headers,
            body,
        }
    }

    /// The request of one attempt that must finish before `deadline`.
    pub(crate) fn request(
        &self,
        host: std::net::SocketAddr,
        deadline: Instant,
        trace: &Trace,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms(deadline)));
        trace.inject(headers);
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::try_from(host.to_string())
        {
            headers.insert(HOST, host);
        }
        request
    }
}

/// At least 1, because a deadline of 0 is invalid.
fn remaining_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)
}
