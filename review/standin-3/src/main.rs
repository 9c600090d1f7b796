//! Clients, servers and the platform for the cases of the review.
//!
//! The first argument names the case. Its folder for temporary files stands in `CASE_FOLDER`, its record is written to
//! the file in `RECORD`, and `TROUBLE=0` leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run.

mod memory;
mod places;
mod record;
mod server;
mod site;
mod stream;
mod take_up;
mod versions;
mod wire;

use std::process::ExitCode;

use crate::record::Record;

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Failed,
}

impl Verdict {
    fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create();
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "memory" => memory::run(has_trouble, &record),
        "places" => places::run(has_trouble, &record),
        "take-up" => take_up::run(take_up::Kind::Unnamed, has_trouble, &record),
        "take-up-named" => take_up::run(take_up::Kind::Named, has_trouble, &record),
        "versions" => versions::run(has_trouble, &record),
        _ => Verdict::Failed,
    };
    record.line(&format!("verdict: {verdict:?}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::Failed => ExitCode::from(2),
    }
}
