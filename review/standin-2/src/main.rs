//! Plays one case of the review: starts the system's processes with stand-ins around them, brings about a disruption, and
//! checks one rule by what clients, engines and the operator see.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not be played.

mod engine;
mod http;
mod names;
mod record;
mod scenes;
mod site;

use std::{path::PathBuf, process::ExitCode};

/// Whether the rule was kept, or why the case could not be played.
pub type Verdict = Result<bool, String>;

/// What a case is played with.
#[derive(Clone)]
pub struct Stage {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub record: record::Record,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scene, program, folder, record] = args.as_slice() else {
        eprintln!("scene NAME PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = record::Record::create(record) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {scene}, trouble {has_trouble}"));
    let stage = Stage {
        program: program.into(),
        folder: folder.into(),
        record: record.clone(),
        has_trouble,
    };
    let verdict = scenes::play(scene, &stage);
    record.line(format!("verdict {verdict:?}"));
    println!("{verdict:?}");
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
