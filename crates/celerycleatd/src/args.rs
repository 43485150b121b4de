//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs one instance of celerycleat until SIGTERM or SIGINT, which is a
/// graceful shutdown.
#[derive(Debug, FromArgs)]
#[argh(example = "{command_name} --settings e1.json")]
#[argh(example = "{command_name} --settings e1.json --check")]
#[argh(example = "{command_name} --dev")]
#[argh(error_code(2, "the settings or the command line are not valid"))]
#[argh(error_code(1, "the instance could not start"))]
pub struct Args {
    /// the instance's settings, a JSON file
    #[argh(option)]
    pub settings: Option<PathBuf>,

    /// check the settings and exit: 0 if they are valid, else 2
    #[argh(switch)]
    pub check: bool,

    /// run one instance with embedded defaults on loopback, a temporary data
    /// folder and a built-in example target
    #[argh(switch)]
    pub dev: bool,
}
