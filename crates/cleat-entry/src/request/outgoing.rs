//! The request as targets get it.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version};
use http_body_util::Full;
use tokio::time::Instant;

use crate::headers::{DEADLINE_MS, strip_request_headers};
use crate::trace::Trace;

/// What every try of a request sends.
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

    /// The request of one try that has until `deadline`.
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

/// At least 1: a deadline of zero would be malformed.
fn remaining_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)
}
