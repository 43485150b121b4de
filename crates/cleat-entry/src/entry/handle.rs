//! Processes one request, from its head to its response.

use std::convert::Infallible;
use std::sync::Arc;

use cleat_http::{GuardedBody, RequestBody, RequestGuard};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;
use tracing::Instrument;

use super::caller_connection::CallerConnection;
use super::health;
use super::shared::{Phase, SharedState};
use crate::attempts::{PendingRequest, RejectedRequest, TargetResponse};
use crate::control::Control;
use crate::headers::Outcome;
use crate::problem::{Problem, ProblemKind};
use crate::request::{KeyedHead, ValidatedRequest, read_body};
use crate::response::ResponseBody;
use crate::trace::Trace;

const CLOSE: HeaderValue = HeaderValue::from_static("close");

pub(super) async fn handle<C: Control>(
    shared: Arc<SharedState<C>>,
    connection: CallerConnection,
    req: Request<Incoming>,
) -> Result<Response<GuardedBody<ResponseBody, RequestGuard>>, Infallible> {
    let received = Instant::now();
    let busy = connection.inbound.begin_request();
    let (parts, body) = req.into_parts();
    let body = RequestBody::new(body, connection.inbound.clone());
    let mut response = if parts.uri.path().starts_with(health::PREFIX) {
        let response = health::respond(&shared, &parts.method, parts.uri.path());
        response.unwrap_or_else(|problem| problem.into_response(shared.default_retry_after()))
    } else {
        forward(&shared, &connection, parts, body, received).await
    };
    if shared.phase() != Phase::Running || connection.inbound.is_evicted() {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    Ok(response.map(|body| GuardedBody::new(body, busy)))
}

async fn forward<C: Control>(
    shared: &Arc<SharedState<C>>,
    connection: &CallerConnection,
    parts: Parts,
    body: RequestBody,
    received: Instant,
) -> Response<ResponseBody> {
    shared.counters.requests.incr();
    let trace = Trace::begin(&parts.headers);
    let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let result = if chunked && connection.had_content_length() {
        Err(Problem::closing(ProblemKind::MalformedRequest))
    } else {
        process(shared, parts, body, received, &trace).await
    };
    let (outcome, response) = match result {
        Ok(response) => (Outcome::Answered, response.into_response()),
        Err(problem) => (
            problem.kind.outcome(),
            problem.into_response(shared.default_retry_after()),
        ),
    };
    shared.counters.record_outcome(outcome);
    trace.record_response(outcome.name(), response.status().as_u16());
    response
}

async fn process<C: Control>(
    shared: &Arc<SharedState<C>>,
    parts: Parts,
    body: RequestBody,
    received: Instant,
    trace: &Trace,
) -> Result<TargetResponse, Problem> {
    let keyed = KeyedHead::parse(&parts, received);
    let in_service = shared.control.in_service();
    if !in_service && keyed.is_none() {
        return Err(Problem::new(ProblemKind::NotInService));
    }
    let pending = read_request(shared, parts, body, received, in_service, trace).await;
    match (pending, keyed) {
        (Ok(pending), _) if pending.is_idempotent() => pending.run().await,
        (Ok(pending), _) => pending.detached().await,
        (Err(problem), None) => Err(problem),
        (Err(problem), Some(head)) => reject_keyed(shared, &head, in_service, problem).await,
    }
}

/// Validates the head and reads the body.
async fn read_request<C: Control>(
    shared: &Arc<SharedState<C>>,
    parts: Parts,
    body: RequestBody,
    received: Instant,
    in_service: bool,
    trace: &Trace,
) -> Result<PendingRequest<C>, Problem> {
    let header_bytes = shared.cfg.limits.max_header_bytes;
    let validated = ValidatedRequest::check(parts, &shared.routes(), header_bytes, received)?;
    let limit = validated.config().body_limit_bytes;
    trace.record_request(
        validated.method.as_str(),
        &validated.service,
        &validated.caller,
    );
    let reading = read_body(body, limit, &shared.request_memory, validated.deadline);
    let body = reading.instrument(trace.receive_span()).await?;
    let shared = Arc::clone(shared);
    Ok(PendingRequest::new(
        shared,
        validated,
        body,
        in_service,
        trace.clone(),
    ))
}

/// The final response to a request with an idempotency key that could not be
/// read completely.
async fn reject_keyed<C: Control>(
    shared: &SharedState<C>,
    head: &KeyedHead,
    in_service: bool,
    problem: Problem,
) -> Result<TargetResponse, Problem> {
    // While the routes may be outdated, they don't prove a mistake of the
    // caller.
    let problem = if in_service {
        problem
    } else {
        problem.with_kind(ProblemKind::NotInService)
    };
    let rejected = RejectedRequest {
        key: &head.key,
        digest: None,
        deadline: head.deadline,
    };
    rejected.respond(shared, problem).await
}
