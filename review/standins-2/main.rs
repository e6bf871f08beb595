//! The stand-ins of the second review's scripts: the platform that starts processes, and an
//! operator. It runs one case, writes what it saw to a file, and ends all processes that it started.
//!
//! Usage: `review-2 CASE RECORD TROUBLE`. The exit code is 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run.

mod control_cases;
mod fleet;
mod http;
mod record;

use std::process::ExitCode;

/// The outcome of a case.
pub enum Outcome {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = trouble != "0";
    let outcome = match case.as_str() {
        "6" => control_cases::founding_missed(&record, trouble),
        "7" => control_cases::founder_killed(&record, trouble),
        "8" => control_cases::seed_replaced(&record, trouble),
        other => Ok(Outcome::NotRun(format!("no case {other}"))),
    };
    let (code, text) = match outcome {
        Ok(Outcome::Held(text)) => (0, format!("held: {text}")),
        Ok(Outcome::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Outcome::NotRun(text)) => (2, format!("not run: {text}")),
        Err(error) => (2, format!("not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
