//! Command-line tool of buckthornmast.

use std::process::ExitCode;

use buckthornmast_config::folder::Scope;
use buckthornmast_ctl::{
    apply,
    client::Client,
    explain,
    flags::{Ctl, CtlCmd},
    outcome::{Failure, Outcome, USAGE},
    show,
};

/// Names of the reports that instances offer.
const REPORTS: [&str; 2] = ["burn", "policies"];

fn client(flags: &Ctl) -> Result<Client, Failure> {
    let from_env = |name: &str| std::env::var(name).unwrap_or_default();
    let mut servers = flags.server.clone();
    if servers.is_empty() {
        let list = from_env("BUCKTHORNMAST_SERVERS");
        servers = list
            .split(',')
            .filter(|server| !server.is_empty())
            .map(str::to_owned)
            .collect();
    }
    if servers.is_empty() {
        let message =
            "no instance to call: neither --server nor BUCKTHORNMAST_SERVERS is set".to_owned();
        return Err(Failure::Usage { message });
    }
    let token = flags
        .token
        .clone()
        .unwrap_or_else(|| from_env("BUCKTHORNMAST_TOKEN"));
    Ok(Client::new(servers, token))
}

fn run(flags: &Ctl) -> Outcome {
    let scope: Option<Scope> = match &flags.scope {
        Some(text) => Some(text.parse().map_err(|error| Failure::Usage {
            message: format!("--scope: {error}"),
        })?),
        None => None,
    };
    match &flags.subcommand {
        CtlCmd::Check(check) => apply::check(&check.dir),
        CtlCmd::Diff(diff) => apply::diff(&client(flags)?, &diff.dir, scope.as_ref()),
        CtlCmd::Apply(apply) => apply::apply(&client(flags)?, &apply.dir, scope.as_ref()),
        CtlCmd::Get(get) => show::get(
            &client(flags)?,
            get.path.as_deref().unwrap_or(""),
            flags.json,
        ),
        CtlCmd::History(history) => show::history(&client(flags)?, &history.team, flags.json),
        CtlCmd::Status(_) => show::status(&client(flags)?, flags.json),
        CtlCmd::Explain(request) => explain::explain(request, flags.json),
        CtlCmd::Report(report) if REPORTS.contains(&report.name.as_str()) => {
            let client = client(flags)?;
            match &report.svg {
                Some(file) => show::chart(&client, &report.name, file),
                None => show::report(&client, &report.name, flags.json),
            }
        }
        CtlCmd::Report(report) => {
            let message = format!("no report {:?}, expected burn or policies", report.name);
            Err(Failure::Usage { message })
        }
    }
}

fn main() -> ExitCode {
    let flags = match Ctl::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => error.exit(),
        Err(error) => {
            eprintln!("buckthornmastctl: {error}");
            return USAGE.into();
        }
    };
    match run(&flags) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("buckthornmastctl: {failure}");
            ExitCode::from(&failure)
        }
    }
}
