//! `celerycleat`: what operators type.

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    celerycleat::run(&words)
}
