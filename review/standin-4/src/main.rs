//! Cases of the review that need real processes. Exits with 1 if the rule of the case was broken, with 0 if it held, and with 2
//! if the case couldn't run.

mod around;
mod first;
mod http;
mod lab;
mod resume;
mod server;
mod slow;
mod streams;

use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

use lab::Record;

/// Whether a rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn run() -> Result<Verdict, Box<dyn std::error::Error>> {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        return Err("usage: standin-4 CASE ROOT RECORD".into());
    };
    let root = PathBuf::from(root).canonicalize()?;
    let record = Arc::new(Record::create(record.as_ref())?);
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    match case.as_str() {
        "around" => around::run(&root, &record, has_trouble),
        "first" => first::run(&root, &record, has_trouble),
        "slow" => slow::run(&root, &record, has_trouble),
        "resume" => resume::run(&root, &record, has_trouble),
        "streams" => streams::run(&root, &record, has_trouble),
        _ => Err(format!("no case {case}").into()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
