//! One command a file.

mod command;
mod command_id;
mod config;
mod customer;
mod explain;
mod instance;
mod job;
mod maintenance;
mod pool;
mod settings;
mod status;
mod table;
mod target;
mod worker;

use argh::FromArgs;

pub use command::{Command, CommandEntry, Context, Example};
pub use table::command_table;

use crate::{CliError, Report};

/// Every command, the first word of each.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Subcommand {
    /// `settings …`
    Settings(settings::SettingsGroup),
    /// `config …`
    Config(config::ConfigGroup),
    /// `pool …`
    Pool(pool::PoolGroup),
    /// `instance …`
    Instance(instance::InstanceGroup),
    /// `maintenance …`
    Maintenance(maintenance::MaintenanceGroup),
    /// `target …`
    Target(target::TargetGroup),
    /// `job …`
    Job(job::JobGroup),
    /// `customer …`
    Customer(customer::CustomerGroup),
    /// `worker …`
    Worker(worker::WorkerGroup),
    /// `explain`
    Explain(explain::Explain),
    /// `status`
    Status(status::Status),
}

impl Subcommand {
    pub(crate) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match self {
            Subcommand::Settings(group) => group.run(cx).await,
            Subcommand::Config(group) => group.run(cx).await,
            Subcommand::Pool(group) => group.run(cx).await,
            Subcommand::Instance(group) => group.run(cx).await,
            Subcommand::Maintenance(group) => group.run(cx).await,
            Subcommand::Target(group) => group.run(cx).await,
            Subcommand::Job(group) => group.run(cx).await,
            Subcommand::Customer(group) => group.run(cx).await,
            Subcommand::Worker(group) => group.run(cx).await,
            Subcommand::Explain(command) => command.run(cx).await,
            Subcommand::Status(command) => command.run(cx).await,
        }
    }
}
