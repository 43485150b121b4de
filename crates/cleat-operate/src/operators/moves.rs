//! Moves an instance to another pool.

use cleat_http::RequestBody;
use cleat_json::{Fault, Faults, Node};
use cleat_world::{Answer as CommandAnswer, CommandBody, MoveAnswer, MoveInstance, Step};
use http::{Request, StatusCode};
use serde_json::{Value, json};

use super::command_id::{command_id_taken, read_command_id};
use super::config::faults_answer;
use crate::ControlPlane;
use crate::http::{Answer, Problem, ProblemKind, from_control, json as json_answer, read_json};

/// `POST /instances/NAME/move`.
pub(super) async fn post<C: ControlPlane>(
    control: &C,
    instance: &str,
    req: Request<RequestBody>,
) -> Answer {
    let change = match read_json(req).await {
        Ok(value) => read_move(instance, &value),
        Err(problem) => return problem.into_answer(),
    };
    let change = match change {
        Ok(change) => change,
        Err(faults) => return faults_answer(&faults),
    };
    let to = change.to.clone();
    match control.propose(CommandBody::MoveInstance(change)).await {
        Ok(proposed) => match proposed.answer {
            CommandAnswer::Move(answer) => to_answer(instance, &to, answer),
            _ => command_id_taken(),
        },
        Err(error) => from_control(&error).into_answer(),
    }
}

fn read_move(instance: &str, value: &Value) -> Result<MoveInstance, Box<[Fault]>> {
    let mut faults = Faults::default();
    let change = Node::root(value).object(&mut faults).and_then(|root| {
        root.only(&["pool", "command_id"], &mut faults);
        let command_id = read_command_id(&root, &mut faults);
        Some(MoveInstance {
            instance: instance.into(),
            to: root.text("pool", &mut faults)?,
            command_id,
        })
    });
    faults.into_result(change)?.ok_or_else(Box::default)
}

fn to_answer(instance: &str, to: &str, answer: MoveAnswer) -> Answer {
    let refuse = |kind, detail: String| Problem::new(kind, detail).into_answer();
    match answer {
        MoveAnswer::Moving { epoch } => {
            let body = json!({"instance": instance, "pool": to, "state": "moving", "epoch": epoch});
            json_answer(StatusCode::OK, &body)
        }
        MoveAnswer::AlreadyThere => {
            let body = json!({"instance": instance, "pool": to, "state": "there"});
            json_answer(StatusCode::OK, &body)
        }
        MoveAnswer::UnknownInstance => refuse(
            ProblemKind::UnknownInstance,
            format!("no pool has an instance {instance:?}; correct the name"),
        ),
        MoveAnswer::UnknownPool => refuse(
            ProblemKind::UnknownPool,
            format!("there is no pool {to:?}; correct the name"),
        ),
        MoveAnswer::MoveInProgress { to } => refuse(
            ProblemKind::MoveInProgress,
            format!("{instance:?} is moving to {to:?}; move it again once it is there"),
        ),
        MoveAnswer::InMaintenance { step } => refuse(
            ProblemKind::InMaintenance,
            format!(
                "{instance:?} is {}; move it once it is done",
                step_text(step)
            ),
        ),
        MoveAnswer::OverBudget { pool, away, budget } => refuse(
            ProblemKind::OverBudget,
            format!(
                "{away} instances of {pool:?} are away and {budget} may be; \
                 move it once one is back, or allow more"
            ),
        ),
        MoveAnswer::Stale => refuse(
            ProblemKind::MoveInProgress,
            format!("{instance:?} moved meanwhile; look at it again"),
        ),
    }
}

/// The name of a maintenance step in answers.
pub(super) fn step_text(step: Step) -> &'static str {
    match step {
        Step::Waiting => "waiting",
        Step::Draining => "draining",
        Step::Rebooting => "rebooting",
        Step::Probation => "probation",
        Step::Done => "done",
        Step::Failed => "failed",
        Step::Skipped => "skipped",
    }
}
