//! The stand-ins and the measuring tools as one program.

mod commands;

use std::process::ExitCode;

use commands::Arguments;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match commands::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cleat-fakes: {e}");
            ExitCode::FAILURE
        }
    }
}
