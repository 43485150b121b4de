//! The daemon's entry point.

use std::process::ExitCode;

fn main() -> ExitCode {
    celerycleatd::main()
}
