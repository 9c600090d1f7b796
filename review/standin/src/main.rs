//! Plays the scripts of the review: starts the system's programs with stand-ins around them, brings about a disruption,
//! and checks a rule from what clients and servers have seen.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod copy;
mod deployment;
mod forgotten;
mod oversized;
mod record;
mod server;
mod uploads;
mod wire;

use std::{env, path::PathBuf, process::ExitCode};

use crate::record::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(root), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standin CASE REPOSITORY FOLDER");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "case {case}, {} disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let outcome = match case.as_str() {
        "copy" => copy::play(&root, &record, has_trouble),
        "forgotten" => forgotten::play(&root, &record, has_trouble),
        "oversized" => oversized::play(&root, &record, has_trouble),
        "uploads" => uploads::play(&root, &record, has_trouble),
        _ => Outcome::NotRun("no such case".to_owned()),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
