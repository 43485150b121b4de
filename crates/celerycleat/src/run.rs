//! From words to an exit code.

use std::io::{self, Write};
use std::process::ExitCode;

use argh::FromArgs;
use snafu::ResultExt;

use crate::commands::Context;
use crate::error::StartSnafu;
use crate::{Arguments, CliError, Report};

/// Exit code of wrong usage; that of argh itself would mean "refused".
const USAGE: u8 = 2;

/// Runs the command that `words` state, the program's name first, and prints
/// its report on stdout or its error on stderr.
pub fn run(words: &[String]) -> ExitCode {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let Some((program, words)) = words.split_first() else {
        return ExitCode::from(USAGE);
    };
    match Arguments::from_args(&[base_name(program)], words) {
        Ok(arguments) => run_command(&arguments),
        Err(exit) if exit.status.is_ok() => {
            print(&mut io::stdout(), &exit.output);
            ExitCode::SUCCESS
        }
        Err(exit) => {
            print(&mut io::stderr(), &exit.output);
            ExitCode::from(USAGE)
        }
    }
}

fn run_command(arguments: &Arguments) -> ExitCode {
    match block_on(arguments) {
        Ok(report) => {
            print(&mut io::stdout(), &report.render(arguments.json));
            ExitCode::SUCCESS
        }
        Err(error) => {
            print(&mut io::stderr(), &error.to_string());
            ExitCode::from(error.exit_code())
        }
    }
}

fn block_on(arguments: &Arguments) -> Result<Report, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    let cx = Context {
        servers: &arguments.server,
    };
    runtime.block_on(arguments.command.run(&cx))
}

fn base_name(program: &str) -> &str {
    program.rsplit('/').next().unwrap_or(program)
}

/// A reader that went away, such as `head`, is no failure of ours.
fn print(to: &mut impl Write, text: &str) {
    let _ = writeln!(to, "{}", text.trim_end());
}
