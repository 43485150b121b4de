//! The operator interface of control instances: jobs, workers and customers.

mod body;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cleat_http::RequestBody;
use cleat_jobs::JobId;
use cleat_link::{AskError, ControlCall, ControlReply};
use http::{Method, Request, StatusCode};

use crate::http::{
    Answer, Handler, Listener, Problem, ProblemKind, RunningServer, json, read_json,
};
use body::{CustomersBody, JobBody, JobsBody, Submission, WorkersBody};

/// The timeout of a call to the leader: the duration of two elections.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The interface of a control instance that the HTTP handlers call.
pub trait JobControl: Send + Sync + 'static {
    /// Sends a call to the leader and waits for the reply.
    fn ask(
        &self,
        call: ControlCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<ControlReply, AskError>> + Send;
}

/// The HTTP server for operators of jobs.
#[derive(Debug)]
pub struct JobOperatorServer<C> {
    control: Arc<C>,
}

impl<C: JobControl> JobOperatorServer<C> {
    /// Serves requests on `listener` until the returned server is stopped.
    pub fn spawn(listener: Listener, control: Arc<C>) -> RunningServer {
        listener.spawn(Arc::new(JobOperatorServer { control }))
    }

    async fn route(&self, req: Request<RequestBody>) -> Result<Answer, Problem> {
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (req.method().clone(), &segments[..]) {
            (Method::GET, ["jobs"]) => self.list().await,
            (Method::GET, ["workers"]) => self.workers().await,
            (Method::GET, ["customers"]) => self.customers().await,
            (Method::GET, ["jobs", id]) => self.show(parse_job_id(id)?).await,
            (Method::POST, ["jobs", id]) => self.submit(parse_job_id(id)?, req).await,
            (Method::POST, ["jobs", id, "cancel"]) => self.cancel(parse_job_id(id)?).await,
            (method, _) => {
                let detail = format!("{method} {path}");
                Err(Problem::new(ProblemKind::NotFound, detail))
            }
        }
    }

    async fn ask(&self, call: ControlCall) -> Result<ControlReply, Problem> {
        let reply = self.control.ask(call, CALL_TIMEOUT).await;
        reply.map_err(|error| from_ask_error(&error))
    }

    async fn list(&self) -> Result<Answer, Problem> {
        match self.ask(ControlCall::Overview).await? {
            ControlReply::Overview(overview) => {
                Ok(json(StatusCode::OK, &JobsBody::from_overview(&overview)))
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn workers(&self) -> Result<Answer, Problem> {
        match self.ask(ControlCall::Overview).await? {
            ControlReply::Overview(overview) => {
                let workers = overview.workers;
                Ok(json(StatusCode::OK, &WorkersBody { workers }))
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn customers(&self) -> Result<Answer, Problem> {
        match self.ask(ControlCall::Overview).await? {
            ControlReply::Overview(overview) => {
                let customers = overview.customers;
                Ok(json(StatusCode::OK, &CustomersBody { customers }))
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn show(&self, id: JobId) -> Result<Answer, Problem> {
        match self.ask(ControlCall::LookAt { id }).await? {
            ControlReply::Job(view) => Ok(json(StatusCode::OK, &JobBody::from_view(id, view))),
            ControlReply::NoSuchJob => Err(no_such_job(id)),
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn submit(&self, id: JobId, req: Request<RequestBody>) -> Result<Answer, Problem> {
        let body = read_json(req).await?;
        let submission: Submission = serde_json::from_value(body)
            .map_err(|error| Problem::new(ProblemKind::BadRequest, error.to_string()))?;
        let Submission { queue, job, .. } = submission;
        job.validate()
            .map_err(|error| Problem::new(ProblemKind::BadRequest, error.to_string()))?;
        let spec = Arc::new(job);
        let call = ControlCall::SubmitTo {
            queue: queue.clone(),
            id,
            spec,
        };
        match self.ask(call).await? {
            ControlReply::Done => Ok(json(StatusCode::OK, &JobBody::accepted(id))),
            ControlReply::NoSuchQueue => {
                Err(Problem::new(ProblemKind::UnknownQueue, queue.to_string()))
            }
            ControlReply::Overloaded { retry_after_ms } => {
                let seconds = retry_after_ms.div_ceil(1_000).max(1);
                let detail = format!("job {id} was not stored; submit it again in {seconds} s");
                let problem = Problem::new(ProblemKind::Overloaded, detail);
                Err(problem.with_retry_after(seconds))
            }
            ControlReply::NoConfiguration => {
                let detail = "there is no configuration yet".to_owned();
                Err(Problem::new(ProblemKind::NoQuorum, detail))
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    async fn cancel(&self, id: JobId) -> Result<Answer, Problem> {
        match self.ask(ControlCall::CancelJob { id }).await? {
            ControlReply::Done => Ok(json(StatusCode::OK, &JobBody::cancelled(id))),
            ControlReply::Over => Err(Problem::new(ProblemKind::JobOver, id.to_string())),
            ControlReply::NoSuchJob => Err(no_such_job(id)),
            reply => Err(unexpected_reply(&reply)),
        }
    }
}

impl<C: JobControl> Handler for JobOperatorServer<C> {
    async fn handle(&self, req: Request<RequestBody>) -> Answer {
        let answer = self.route(req).await;
        answer.unwrap_or_else(Problem::into_answer)
    }
}

fn parse_job_id(text: &str) -> Result<JobId, Problem> {
    let parsed = text.parse();
    parsed.map_err(|error: cleat_jobs::ParseIdError| {
        Problem::new(ProblemKind::BadRequest, error.to_string())
    })
}

fn no_such_job(id: JobId) -> Problem {
    Problem::new(ProblemKind::UnknownJob, id.to_string())
}

fn unexpected_reply(reply: &ControlReply) -> Problem {
    log::warn!("the leader returned a reply of the wrong kind: {reply:?}");
    let detail = "the answer does not fit the call".to_owned();
    Problem::new(ProblemKind::OutcomeUnknown, detail)
}

fn from_ask_error(error: &AskError) -> Problem {
    let kind = match error {
        AskError::NotDone | AskError::TooManyKeys => ProblemKind::NoQuorum,
        AskError::Unknown => ProblemKind::OutcomeUnknown,
        AskError::Refused { .. } => ProblemKind::CommandTooLarge,
    };
    Problem::new(kind, error.to_string())
}
