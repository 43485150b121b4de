//! The interface for targets, and their leases.

mod announce;
mod leases;

use std::sync::Arc;

use cleat_http::RequestBody;
use cleat_link::{Renewal, RenewalOutcome};
use cleat_world::{
    Announce, Answer as CommandAnswer, CommandBody, TargetAnswer, Withdraw, WithdrawCause,
};
use http::{Method, Request, StatusCode};
use serde_json::json;

use crate::http::{
    Answer, Handler, Listener, Problem, ProblemKind, RunningServer, from_control,
    json as json_answer, read_json,
};
use crate::{ControlError, ControlPlane};

pub use leases::{LapsedLease, LeaseTable};

const PATH_PREFIX: &str = "/targets/";

/// The HTTP server for targets.
#[derive(Debug)]
pub struct TargetServer<C> {
    control: Arc<C>,
}

impl<C: ControlPlane> TargetServer<C> {
    /// Serves requests on `listener` until the returned server is stopped.
    pub fn spawn(listener: Listener, control: Arc<C>) -> RunningServer {
        listener.spawn(Arc::new(TargetServer { control }))
    }

    async fn put(&self, name: &str, req: Request<RequestBody>) -> Result<Answer, Problem> {
        let value = read_json(req).await?;
        let announce = match announce::parse(name, &value) {
            Ok(announce) => announce,
            Err(faults) => return Ok(announce::faults_answer(&faults)),
        };
        let answer = match self.renew(&announce).await {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => self.announce(announce).await,
            Err(error) => Err(error),
        };
        answer.map_or_else(|error| Err(from_control(&error)), to_answer)
    }

    /// Renews the lease if the announcement is unchanged. Returns `None` if the
    /// announcement has to be proposed as a command.
    async fn renew(&self, announce: &Announce) -> Result<Option<TargetAnswer>, ControlError> {
        let known = self.control.world(|world| {
            let target = world.targets().get(&announce.name)?;
            let same = target.announcement == announce.announcement;
            same.then_some((target.incarnation, world.fleet().target_lease_ms))
        });
        let Some((incarnation, lease_ms)) = known else {
            return Ok(None);
        };
        let name = announce.name.clone();
        let outcome = self.control.renew(Renewal { name, incarnation }).await?;
        Ok(match outcome {
            RenewalOutcome::Renewed => Some(TargetAnswer::Announced {
                incarnation,
                lease_ms,
            }),
            RenewalOutcome::NotKnown => None,
        })
    }

    async fn announce(&self, announce: Announce) -> Result<TargetAnswer, ControlError> {
        let proposed = self
            .control
            .propose(CommandBody::Announce(announce))
            .await?;
        match proposed.answer {
            CommandAnswer::Target(answer) => Ok(answer),
            _ => Err(ControlError::OutcomeUnknown),
        }
    }

    /// Withdraws the target, and answers once no instance that accepts requests sends
    /// the target new ones.
    async fn delete(&self, name: &str) -> Result<Answer, ControlError> {
        let withdraw = Withdraw {
            name: name.into(),
            cause: WithdrawCause::Left,
        };
        let proposed = self
            .control
            .propose(CommandBody::Withdraw(withdraw))
            .await?;
        let in_force = self.control.wait_in_force(proposed.index).await;
        in_force.map_err(|_| ControlError::OutcomeUnknown)?;
        Ok(json_answer(StatusCode::OK, &json!({"leaving": name})))
    }
}

impl<C: ControlPlane> Handler for TargetServer<C> {
    async fn handle(&self, req: Request<RequestBody>) -> Answer {
        let path = req.uri().path().to_owned();
        let Some(name) = path
            .strip_prefix(PATH_PREFIX)
            .filter(|name| !name.is_empty())
        else {
            return Problem::new(ProblemKind::NotFound, path.as_str()).into_answer();
        };
        let answer = match *req.method() {
            Method::PUT => self.put(name, req).await,
            Method::DELETE => self.delete(name).await.map_err(|e| from_control(&e)),
            ref method => {
                let detail = format!("{method} {path}");
                Err(Problem::new(ProblemKind::MethodNotAllowed, detail))
            }
        };
        answer.unwrap_or_else(Problem::into_answer)
    }
}

fn to_answer(answer: TargetAnswer) -> Result<Answer, Problem> {
    let bad = |detail: String| Err(Problem::new(ProblemKind::BadAnnouncement, detail));
    match answer {
        TargetAnswer::Announced {
            incarnation,
            lease_ms,
        } => {
            let body = json!({"lease_ms": lease_ms, "incarnation": incarnation});
            Ok(json_answer(StatusCode::OK, &body))
        }
        TargetAnswer::Withdrawn => bad("the target was withdrawn".to_owned()),
        TargetAnswer::UnknownService => Err(Problem::new(
            ProblemKind::UnknownService,
            "$.service names no configured service; correct it or announce again later",
        )),
        TargetAnswer::UnknownInstance => {
            bad("$.instance names no instance of any pool; correct it".to_owned())
        }
        TargetAnswer::WrongPool { pool } => bad(format!(
            "$.instance belongs to pool {pool:?}, which does not run the service"
        )),
        TargetAnswer::WrongDataCentre { data_centre } => bad(format!(
            "$.data_centre must be {data_centre:?}, where the instance is configured"
        )),
        TargetAnswer::InstanceAway => Err(Problem::new(
            ProblemKind::InstanceAway,
            "$.instance moves to another pool or reboots; announce again later",
        )),
        TargetAnswer::AddressTaken { by } => Err(Problem::new(
            ProblemKind::AddressTaken,
            format!("$.address is that of target {by:?}"),
        )),
    }
}
