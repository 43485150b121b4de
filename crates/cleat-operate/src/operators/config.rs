//! Shows and changes the fleet configuration.

use cleat_http::RequestBody;
use cleat_json::{Fault, Faults, Node};
use cleat_link::MemberReport;
use cleat_world::{
    Answer as CommandAnswer, ApplyConfig, CommandBody, ConfigAnswer, ConfigRecord, FleetConfig,
    ProposedConfig, diff,
};
use http::{Request, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use super::command_id::{command_id_taken, read_command_id};
use crate::http::{Answer, from_control, json as json_answer, read_json};
use crate::{ControlError, ControlPlane};

#[derive(Serialize)]
struct FaultBody<'a> {
    path: &'a str,
    message: String,
    kind: &'a cleat_json::FaultKind,
}

#[derive(Serialize)]
struct HistoryBody<'a> {
    history: &'a [ConfigRecord],
}

#[derive(Serialize)]
struct InstanceBody {
    name: Box<str>,
    data_centre: Option<Box<str>>,
    version: Option<u64>,
    lease: &'static str,
    votes: bool,
}

/// `PUT /config`.
pub(super) async fn put<C: ControlPlane>(control: &C, req: Request<RequestBody>) -> Answer {
    let change = match read_json(req)
        .await
        .map(|value| read_change(control, &value))
    {
        Ok(Ok(change)) => change,
        Ok(Err(faults)) => return faults_answer(&faults),
        Err(problem) => return problem.into_answer(),
    };
    match apply(control, change).await {
        Ok(answer) => answer,
        Err(error) => from_control(&error).into_answer(),
    }
}

async fn apply<C: ControlPlane>(control: &C, change: ApplyConfig) -> Result<Answer, ControlError> {
    let proposed = control.propose(CommandBody::ApplyConfig(change)).await?;
    let CommandAnswer::Config(answer) = proposed.answer else {
        return Ok(command_id_taken());
    };
    match answer {
        ConfigAnswer::Accepted { version } => {
            let in_force = control.wait_in_force(proposed.index).await;
            // The command is committed, so after a failed wait its outcome is
            // unknown rather than undone.
            in_force.map_err(|_| ControlError::OutcomeUnknown)?;
            Ok(json_answer(StatusCode::OK, &json!({"version": version})))
        }
        ConfigAnswer::Refused {
            winner,
            winner_command_id,
        } => {
            let body = json!({"winner": winner, "winner_command_id": winner_command_id});
            Ok(json_answer(StatusCode::CONFLICT, &body))
        }
        ConfigAnswer::Invalid { faults } => Ok(faults_answer(&faults)),
        ConfigAnswer::OverBudget { pool, away, budget } => {
            Ok(faults_answer(&[over_budget(&pool, away, budget)]))
        }
    }
}

/// Parses a request to change the configuration. The paths of faults in the
/// configuration are relative to the configuration, those of faults in the
/// envelope are relative to the envelope.
fn read_change<C: ControlPlane>(control: &C, value: &Value) -> Result<ApplyConfig, Box<[Fault]>> {
    let mut faults = Faults::default();
    let change = read_envelope(value, &mut faults);
    let Some(envelope) = faults.into_result(change)? else {
        return Err(Box::default());
    };
    FleetConfig::parse(envelope.config)?;
    Ok(ApplyConfig {
        expect: envelope.expect,
        command_id: envelope.command_id,
        config: smallest_form(control, envelope.expect, envelope.config),
    })
}

/// Returns `config` as a patch to the expected version if this instance has that
/// version and a patch can express the change, otherwise as a whole.
fn smallest_form<C: ControlPlane>(control: &C, expect: u64, config: &Value) -> ProposedConfig {
    let base = control.world(|world| {
        let same = world.version() == expect && expect > 0;
        same.then(|| world.config_text().to_owned())
    });
    let base = base.and_then(|text| serde_json::from_str::<Value>(&text).ok());
    match base.and_then(|base| diff(&base, config)) {
        Some(patch) => ProposedConfig::Patch(patch.to_string().into()),
        None => ProposedConfig::Whole(config.to_string().into()),
    }
}

/// A request to change the configuration.
struct Envelope<'a> {
    expect: u64,
    command_id: Option<Box<str>>,
    config: &'a Value,
}

fn read_envelope<'a>(value: &'a Value, faults: &mut Faults) -> Option<Envelope<'a>> {
    let root = Node::root(value).object(faults)?;
    root.only(&["expect", "command_id", "config"], faults);
    let expect = root.require("expect", faults);
    let expect = expect.and_then(|node| node.number(0..=u64::MAX, faults));
    let command_id = read_command_id(&root, faults);
    let config = root.require("config", faults)?.value;
    Some(Envelope {
        expect: expect?,
        command_id,
        config,
    })
}

/// The fault of a configuration that would exceed the availability budget of `pool`
/// at this moment.
fn over_budget(pool: &str, away: u64, budget: u64) -> Fault {
    let path = cleat_json::Path::root().key("pools").key(pool);
    Fault {
        path: path.key("availability_budget").as_str().into(),
        kind: cleat_json::FaultKind::Conflict {
            with: path.key("instances").as_str().into(),
            rule: format!(
                "{away} instances of the pool would be away now and {budget} may be; \
                 apply it once they are back, or allow more"
            )
            .into(),
        },
    }
}

/// The answer that lists the faults of a request.
pub(super) fn faults_answer(faults: &[Fault]) -> Answer {
    let faults: Vec<_> = faults.iter().map(fault_body).collect();
    json_answer(StatusCode::UNPROCESSABLE_ENTITY, &json!({"faults": faults}))
}

fn fault_body(fault: &Fault) -> FaultBody<'_> {
    FaultBody {
        path: &fault.path,
        message: fault.kind.to_string(),
        kind: &fault.kind,
    }
}

/// `GET /config`.
pub(super) async fn show<C: ControlPlane>(control: &C) -> Answer {
    if let Err(error) = control.catch_up().await {
        return from_control(&error).into_answer();
    }
    let (version, text) = control.world(|world| {
        let text: Box<str> = world.config_text().into();
        (world.version(), text)
    });
    let config: Value = serde_json::from_str(&text).unwrap_or_default();
    json_answer(
        StatusCode::OK,
        &json!({"version": version, "config": config}),
    )
}

/// `GET /config/history`.
pub(super) async fn history<C: ControlPlane>(control: &C) -> Answer {
    if let Err(error) = control.catch_up().await {
        return from_control(&error).into_answer();
    }
    control.world(|world| {
        let history = world.history();
        json_answer(StatusCode::OK, &HistoryBody { history })
    })
}

/// `GET /config/status`: the applied version of each instance.
pub(super) async fn status<C: ControlPlane>(control: &C) -> Answer {
    let members = match control.members().await {
        Ok(members) => members,
        Err(error) => return from_control(&error).into_answer(),
    };
    if let Err(error) = control.catch_up().await {
        return from_control(&error).into_answer();
    }
    let (version, history) = control.world(|world| (world.version(), world.history().to_vec()));
    let body = |member| instance_body(control, member, &history);
    let instances: Vec<_> = members.into_iter().map(body).collect();
    let body = json!({"version": version, "instances": instances});
    json_answer(StatusCode::OK, &body)
}

fn instance_body<C: ControlPlane>(
    control: &C,
    member: MemberReport,
    history: &[ConfigRecord],
) -> InstanceBody {
    let data_centre = control.data_centre_of(&member.name);
    InstanceBody {
        data_centre,
        version: version_at(member.applied, history),
        lease: if member.lease_live { "live" } else { "lapsed" },
        votes: member.votes,
        name: member.name,
    }
}

/// Returns the configuration version at a log index, or `None` if that version is
/// no longer in the history.
fn version_at(index: u64, history: &[ConfigRecord]) -> Option<u64> {
    let record = history.iter().rev().find(|record| record.index <= index);
    match (record, history.first()) {
        (Some(record), _) => Some(record.version),
        (None, Some(first)) if first.version > 1 => None,
        (None, _) => Some(0),
    }
}
