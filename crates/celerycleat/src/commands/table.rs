//! The table of all commands.

use super::command::CommandEntry;
use super::config::{Apply, Check, History, Show, Status as ConfigStatus};
use super::customer::{List as CustomerList, Status as CustomerStatus};
use super::explain::Explain;
use super::instance::{List as InstanceList, Move};
use super::job::{Cancel, List as JobList, Status as JobStatus, Submit};
use super::maintenance::{Pause, Resume, Start, Status as MaintenanceStatus};
use super::pool::List as PoolList;
use super::settings::Default as SettingsDefault;
use super::status::Status;
use super::target::List as TargetList;
use super::worker::List as WorkerList;

/// Every command with its usage and examples.
pub fn command_table() -> Vec<CommandEntry> {
    vec![
        CommandEntry::of::<SettingsDefault>(),
        CommandEntry::of::<Check>(),
        CommandEntry::of::<Apply>(),
        CommandEntry::of::<Show>(),
        CommandEntry::of::<History>(),
        CommandEntry::of::<ConfigStatus>(),
        CommandEntry::of::<PoolList>(),
        CommandEntry::of::<InstanceList>(),
        CommandEntry::of::<Move>(),
        CommandEntry::of::<Start>(),
        CommandEntry::of::<MaintenanceStatus>(),
        CommandEntry::of::<Pause>(),
        CommandEntry::of::<Resume>(),
        CommandEntry::of::<TargetList>(),
        CommandEntry::of::<Submit>(),
        CommandEntry::of::<JobStatus>(),
        CommandEntry::of::<JobList>(),
        CommandEntry::of::<Cancel>(),
        CommandEntry::of::<WorkerList>(),
        CommandEntry::of::<CustomerList>(),
        CommandEntry::of::<CustomerStatus>(),
        CommandEntry::of::<Explain>(),
        CommandEntry::of::<Status>(),
    ]
}
