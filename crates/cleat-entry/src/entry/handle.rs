//! One request from its head to its answer.

use std::convert::Infallible;
use std::sync::Arc;

use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;
use tracing::Instrument;

use super::connection::Connection;
use super::guarded::GuardedBody;
use super::health;
use super::shared::{Phase, Shared};
use crate::answer::AnswerBody;
use crate::control::Control;
use crate::headers::Outcome;
use crate::problem::{Problem, ProblemKind};
use crate::request::{Intake, KeyedHead, read_body};
use crate::trace::Trace;
use crate::tries::{Answer, Job, Refused};

const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Answers one request.
pub(super) async fn handle<C: Control>(
    shared: Arc<Shared<C>>,
    connection: Connection,
    req: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    let received = Instant::now();
    let busy = connection.begin();
    let (parts, body) = req.into_parts();
    let mut response = if parts.uri.path().starts_with(health::PREFIX) {
        let answer = health::answer(&shared, &parts.method, parts.uri.path());
        answer.unwrap_or_else(|problem| problem.into_response(shared.later()))
    } else {
        forward(&shared, &connection, parts, body, received).await
    };
    if shared.phase() != Phase::Running {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    Ok(response.map(|body| GuardedBody::new(body, busy)))
}

async fn forward<C: Control>(
    shared: &Arc<Shared<C>>,
    connection: &Connection,
    parts: Parts,
    body: Incoming,
    received: Instant,
) -> Response<AnswerBody> {
    shared.counters.requests.incr();
    let trace = Trace::begin(&parts.headers);
    let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let result = if chunked && connection.had_length() {
        Err(Problem::closing(ProblemKind::MalformedRequest))
    } else {
        run(shared, parts, body, received, &trace).await
    };
    let (outcome, response) = match result {
        Ok(answer) => (Outcome::Answered, answer.into_response()),
        Err(problem) => (
            problem.kind.outcome(),
            problem.into_response(shared.later()),
        ),
    };
    shared.counters.count(outcome);
    trace.note_answer(outcome.name(), response.status().as_u16());
    response
}

async fn run<C: Control>(
    shared: &Arc<Shared<C>>,
    parts: Parts,
    body: Incoming,
    received: Instant,
    trace: &Trace,
) -> Result<Answer, Problem> {
    let keyed = KeyedHead::of(&parts, received);
    let in_service = shared.control.in_service();
    if !in_service && keyed.is_none() {
        return Err(Problem::new(ProblemKind::NotInService));
    }
    let job = take(shared, parts, body, received, in_service, trace).await;
    match (job, keyed) {
        (Ok(job), _) if job.is_idempotent() => job.run().await,
        (Ok(job), _) => job.detached().await,
        (Err(problem), None) => Err(problem),
        (Err(problem), Some(head)) => refuse(shared, &head, in_service, problem).await,
    }
}

/// Checks the head and reads the rest.
async fn take<C: Control>(
    shared: &Arc<Shared<C>>,
    parts: Parts,
    body: Incoming,
    received: Instant,
    in_service: bool,
    trace: &Trace,
) -> Result<Job<C>, Problem> {
    let header_bytes = shared.cfg.limits.max_header_bytes;
    let intake = Intake::check(parts, &shared.routes(), header_bytes, received)?;
    let limit = intake.terms().body_limit_bytes;
    trace.note_request(intake.method.as_str(), &intake.service, &intake.caller);
    let reading = read_body(body, limit, &shared.request_memory, intake.deadline);
    let body = reading.instrument(trace.received()).await?;
    let shared = Arc::clone(shared);
    Ok(Job::new(shared, intake, body, in_service, trace.clone()))
}

/// The final answer to a request with a key that was not read whole.
async fn refuse<C: Control>(
    shared: &Shared<C>,
    head: &KeyedHead,
    in_service: bool,
    problem: Problem,
) -> Result<Answer, Problem> {
    // Routes that are not in force prove no mistake of the caller.
    let problem = if in_service {
        problem
    } else {
        problem.because(ProblemKind::NotInService)
    };
    let refused = Refused {
        key: &head.key,
        digest: None,
        deadline: head.deadline,
    };
    refused.answer(shared, problem).await
}
