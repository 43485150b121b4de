//! `config check`

use std::path::PathBuf;

use argh::FromArgs;
use cleat_world::FleetConfig;
use serde_json::json;

use super::super::{Command, Context, Example};
use crate::documents::Layers;
use crate::error::InvalidConfigSnafu;
use crate::{CliError, Report};

/// Check a configuration without a server. Every fault is reported with its
/// file and JSON path.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the base file, shared by all sites
    #[argh(positional)]
    base: PathBuf,
    /// the overlay of one site, a JSON Merge Patch
    #[argh(positional)]
    overlay: Option<PathBuf>,
}

impl Command for Check {
    const NAME: &'static str = "config check";
    const USAGE: &'static str = "config check BASE [OVERLAY]";

    fn examples() -> Vec<Example> {
        vec![
            Example {
                description: "Check a base file",
                words: "config check base.json",
                result: Some("valid: 1 data centre, 1 pool, 2 instances, 1 service".into()),
            },
            Example {
                description: "Check it as one site sees it",
                words: "config check base.json overlay.json",
                result: Some("valid: 2 data centres, 1 pool, 2 instances, 2 services".into()),
            },
        ]
    }

    async fn run(&self, _: &Context<'_>) -> Result<Report, CliError> {
        let layers = Layers::open(&self.base, self.overlay.as_deref())?;
        match FleetConfig::parse(&layers.merged()) {
            Ok(config) => Ok(valid(&config)),
            Err(faults) => {
                let faults = faults.iter();
                let locate =
                    |fault: &cleat_json::Fault| layers.locate(&fault.path, &fault.kind.to_string());
                let faults: Vec<_> = faults.map(locate).collect();
                InvalidConfigSnafu { faults }.fail()
            }
        }
    }
}

fn valid(config: &FleetConfig) -> Report {
    let data_centres = config.data_centres.len();
    let pools = config.pools.len();
    let instances = config.instances.len();
    let services = config.services.len();
    let json = json!({
        "valid": true,
        "data_centres": data_centres,
        "pools": pools,
        "instances": instances,
        "services": services,
    });
    let text = format!(
        "valid: {}, {}, {}, {}",
        count(data_centres, "data centre"),
        count(pools, "pool"),
        count(instances, "instance"),
        count(services, "service"),
    );
    Report::new(json, text)
}

fn count(n: usize, noun: &str) -> String {
    let plural = if n == 1 { "" } else { "s" };
    format!("{n} {noun}{plural}")
}
