//! Stand-ins for clients, runners, the platform and the adviser, and the cases of the
//! second review that are scripts. `standin CASE RECORD` exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod platform;
mod proxy;
mod record;
mod runner;

use std::path::Path;
use std::process::ExitCode;

use cases::Outcome;
use record::Record;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, file] = words.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {case}, trouble {trouble}"));
    let outcome = cases::run(case, trouble, &record);
    match outcome {
        Ok(Outcome::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken(what)) => {
            record.note(&format!("the rule was broken: {what}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
