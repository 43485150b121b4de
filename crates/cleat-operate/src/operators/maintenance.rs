//! Starts, pauses, resumes and shows maintenance waves.

use cleat_http::RequestBody;
use cleat_json::{Fault, Faults, Node};
use cleat_maintain::{WaitReason, wait_reason};
use cleat_world::{
    Answer as CommandAnswer, CommandBody, PauseWave, ResumeWave, StartWave, Wave, WaveAnswer, World,
};
use http::{Request, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use super::command_id::{command_id_taken, read_command_id};
use super::config::faults_answer;
use super::moves::step_text;
use crate::ControlPlane;
use crate::http::{Answer, Problem, ProblemKind, from_control, json as json_answer, read_json};

/// An operator command on a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaveAction {
    Start,
    Pause,
    Resume,
}

impl WaveAction {
    /// Parses the last segment of the path.
    pub(super) fn from_segment(segment: &str) -> Option<WaveAction> {
        match segment {
            "start" => Some(WaveAction::Start),
            "pause" => Some(WaveAction::Pause),
            "resume" => Some(WaveAction::Resume),
            _ => None,
        }
    }

    fn to_command(self, pool: &str, command_id: Option<Box<str>>) -> CommandBody {
        let pool = pool.into();
        match self {
            WaveAction::Start => CommandBody::StartWave(StartWave { pool, command_id }),
            WaveAction::Pause => CommandBody::PauseWave(PauseWave { pool, command_id }),
            WaveAction::Resume => CommandBody::ResumeWave(ResumeWave { pool, command_id }),
        }
    }
}

#[derive(Serialize)]
struct WaveBody<'a> {
    pool: &'a str,
    wave: u64,
    state: &'static str,
    /// Why no further instance starts maintenance; null if the next one starts now or
    /// the wave has ended.
    waiting_for: Option<WaitReason>,
    instances: Vec<InstanceBody<'a>>,
}

#[derive(Serialize)]
struct InstanceBody<'a> {
    name: &'a str,
    step: &'static str,
}

/// `POST /maintenance/POOL/ACTION`.
pub(super) async fn post<C: ControlPlane>(
    control: &C,
    pool: &str,
    action: WaveAction,
    req: Request<RequestBody>,
) -> Answer {
    let command_id = match read_json(req).await {
        Ok(value) => read_body(&value),
        Err(problem) => return problem.into_answer(),
    };
    let command_id = match command_id {
        Ok(command_id) => command_id,
        Err(faults) => return faults_answer(&faults),
    };
    match control.propose(action.to_command(pool, command_id)).await {
        Ok(proposed) => match proposed.answer {
            CommandAnswer::Wave(answer) => to_answer(pool, &answer),
            _ => command_id_taken(),
        },
        Err(error) => from_control(&error).into_answer(),
    }
}

fn read_body(value: &Value) -> Result<Option<Box<str>>, Box<[Fault]>> {
    let mut faults = Faults::default();
    let command_id = Node::root(value).object(&mut faults).and_then(|root| {
        root.only(&["command_id"], &mut faults);
        read_command_id(&root, &mut faults)
    });
    faults.into_result(command_id)
}

fn to_answer(pool: &str, answer: &WaveAnswer) -> Answer {
    let accepted =
        |state: &str| json_answer(StatusCode::OK, &json!({"pool": pool, "state": state}));
    let refuse = |kind, detail: String| Problem::new(kind, detail).into_answer();
    match answer {
        WaveAnswer::Started { wave } => {
            let body = json!({"pool": pool, "state": "started", "wave": wave});
            json_answer(StatusCode::OK, &body)
        }
        WaveAnswer::Paused => accepted("paused"),
        WaveAnswer::Resumed => accepted("resumed"),
        WaveAnswer::UnknownPool => refuse(
            ProblemKind::UnknownPool,
            format!("there is no pool {pool:?}; correct the name"),
        ),
        WaveAnswer::NoPlatform => refuse(
            ProblemKind::NoPlatform,
            "state $.platform.address in the configuration; without it nothing can drain \
             or reboot an instance"
                .to_owned(),
        ),
        WaveAnswer::InProgress { wave } => refuse(
            ProblemKind::WaveInProgress,
            format!("wave {wave} of {pool:?} has not ended; see 'maintenance status'"),
        ),
        WaveAnswer::NoWave => refuse(
            ProblemKind::NoWave,
            format!("no wave of {pool:?} is under way; start one"),
        ),
        WaveAnswer::Stepped { .. } | WaveAnswer::OverBudget { .. } | WaveAnswer::Stale => {
            command_id_taken()
        }
    }
}

/// `GET /maintenance`: the latest wave of each pool and the reason why it waits.
pub(super) async fn show<C: ControlPlane>(control: &C) -> Answer {
    if let Err(error) = control.catch_up().await {
        return from_control(&error).into_answer();
    }
    control.world(|world| {
        let waves = world.waves().iter();
        let waves: Vec<_> = waves
            .map(|(pool, wave)| wave_body(world, pool, wave))
            .collect();
        json_answer(StatusCode::OK, &json!({"waves": waves}))
    })
}

fn wave_body<'a>(world: &World, pool: &'a str, wave: &'a Wave) -> WaveBody<'a> {
    let instances = wave.instances.iter().map(|(name, state)| InstanceBody {
        name,
        step: step_text(state.step),
    });
    WaveBody {
        pool,
        wave: wave.id,
        state: match (wave.has_ended(), wave.paused) {
            (true, _) => "ended",
            (false, true) => "paused",
            (false, false) => "running",
        },
        waiting_for: wait_reason(world, pool),
        instances: instances.collect(),
    }
}
