//! `maintenance status`

use argh::FromArgs;
use serde_json::Value;

use super::super::{Command, Context, Example};
use super::waves::{Instance, Wave, Waves};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// Show the latest wave of each pool and what it waits for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

impl Command for Status {
    const NAME: &'static str = "maintenance status";
    const USAGE: &'static str = "maintenance status";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See how far the waves are and what they wait for",
            words: "maintenance status",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/maintenance", describe).await
    }
}

fn describe(found: &Waves) -> Box<str> {
    let mut table = Table::new(["POOL", "STATE", "DONE", "UNDER WAY", "FAILED", "WAITS FOR"]);
    for wave in &found.waves {
        let done = wave.instances.iter().filter(|i| &*i.step == "done").count();
        let done = format!("{done}/{}", wave.instances.len());
        let under_way = names(wave, |step| {
            matches!(step, "draining" | "rebooting" | "probation")
        });
        let failed = names(wave, |step| matches!(step, "failed" | "skipped"));
        let waits_for = wave.waiting_for.as_ref().map_or("-".into(), waiting_text);
        table.row([
            &wave.pool,
            &wave.state,
            &done,
            &under_way,
            &failed,
            &waits_for,
        ]);
    }
    table.render()
}

fn names(wave: &Wave, wanted: impl Fn(&str) -> bool) -> String {
    let name = |i: &Instance| format!("{} ({})", i.name, i.step);
    let found: Vec<_> = wave
        .instances
        .iter()
        .filter(|i| wanted(&i.step))
        .map(name)
        .collect();
    match found.is_empty() {
        true => "-".to_owned(),
        false => found.join(", "),
    }
}

fn waiting_text(waiting: &Value) -> String {
    let list = |key: &str| {
        let names = waiting[key].as_array().into_iter().flatten();
        let names: Vec<_> = names.filter_map(Value::as_str).collect();
        names.join(", ")
    };
    match waiting["reason"].as_str().unwrap_or("") {
        "paused" => "an operator to resume it".to_owned(),
        "no-budget" => "a budget of at least 1".to_owned(),
        "budget" => format!(
            "one of {} to come back; {} may be away",
            list("away"),
            waiting["budget"]
        ),
        "reserve" => format!(
            "one of {} to come back; with more than {} away a rack's loss would break the budget",
            list("away"),
            waiting["allowed"]
        ),
        "under-way" => "the last instances".to_owned(),
        "moving" => format!("{} to arrive in another pool", list("instances")),
        "no-platform" => "a platform in the configuration".to_owned(),
        other => other.to_owned(),
    }
}
