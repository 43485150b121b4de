//! Stand-ins of the review: a runner, the platform's list of machines, an operator and
//! requesters, and the driver that starts the project's programs beside them.
//!
//! Only the standard library is used. The runner is a process of its own, so that a
//! crash is a SIGKILL. It tells the driver on its standard output what it starts and
//! ends; the driver tells it on its standard input what happens to the members of gangs.

mod cases;
mod fleet;
mod http;
mod runner;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let code = match args.as_slice() {
        ["runner", rest @ ..] => runner::run(rest),
        ["case", name, record, root] => cases::run(name, record, root),
        _ => {
            eprintln!("usage: standin case NAME RECORD ROOT");
            2
        }
    };
    std::process::exit(code);
}
