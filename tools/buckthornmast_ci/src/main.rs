//! Runs every check of CI.
//!
//! The checks are the formatter, the linter and the documentation build with warnings as errors, the
//! README's test command, the quick start, and that only the adapter knows the platform's names. Tests that `KNOWN-RED.txt` lists are passed over by
//! name and printed, so that nobody mistakes them for passing.

use std::{
    path::Path,
    process::{Command, ExitCode},
    time::Instant,
};

const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Names of the platform's wire, one a line.
const WIRE_NAMES: &str = include_str!("../wire-names.txt");

/// Folders that may know them.
const WIRE_FOLDERS: [&str; 4] = ["platform", "deploy", "tools", "target"];

mod flags {
    xflags::xflags! {
        /// Runs every check of CI.
        cmd ci {
            /// Runs only this check: format, clippy, doc, test, quickstart or wire.
            optional --only name: String
        }
    }
}

struct Check {
    name: &'static str,
    program: &'static str,
    args: Vec<String>,
    env: Option<(&'static str, &'static str)>,
}

fn check(name: &'static str, program: &'static str, args: &str) -> Check {
    let args = args.split_whitespace().map(str::to_owned).collect();
    Check {
        name,
        program,
        args,
        env: None,
    }
}

/// Returns the names of the tests in `KNOWN-RED.txt`, which stand in lines that begin with `test:`.
fn known_red() -> Vec<String> {
    let text = std::fs::read_to_string(KNOWN_RED).unwrap_or_default();
    let tests = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("test:"));
    tests.map(|name| name.trim().to_owned()).collect()
}

fn checks(red: &[String]) -> Vec<Check> {
    let mut test = check("test", "cargo", "test --workspace");
    if !red.is_empty() {
        test.args.extend(["--".to_owned(), "--exact".to_owned()]);
        for name in red {
            test.args.extend(["--skip".to_owned(), name.clone()]);
        }
    }
    let mut doc = check(
        "doc",
        "cargo",
        "doc --workspace --no-deps --document-private-items",
    );
    doc.env = Some(("RUSTDOCFLAGS", "-D warnings"));
    let mut checks = vec![
        check("format", "cargo", "fmt --all --check"),
        check(
            "clippy",
            "cargo",
            "clippy --workspace --all-targets -- -D warnings",
        ),
        doc,
        test,
    ];
    if Path::new("quickstart.sh").exists() {
        checks.push(check("quickstart", "./quickstart.sh", ""));
    }
    checks
}

/// Returns the source files below a folder that name the platform's wire, with the names.
fn wire_leaks(folder: &Path, leaks: &mut Vec<String>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_exempt = folder == Path::new(".") && WIRE_FOLDERS.contains(&&*name);
        if name.starts_with('.') || is_exempt {
            continue;
        }
        if path.is_dir() {
            wire_leaks(&path, leaks)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path)?.to_lowercase();
            let names = WIRE_NAMES.lines().filter(|name| text.contains(name));
            leaks.extend(names.map(|name| format!("{}: {name}", path.display())));
        }
    }
    Ok(())
}

/// Checks that only the adapter knows the names of the platform's wire.
fn check_wire() -> bool {
    println!("== wire: names of the platform outside platform/ and deploy/");
    let mut leaks = Vec::new();
    let read = wire_leaks(Path::new("."), &mut leaks);
    if let Err(error) = &read {
        println!("sources can't be read: {error}");
    }
    for leak in &leaks {
        println!("{leak}");
    }
    read.is_ok() && leaks.is_empty()
}

fn run(check: &Check) -> bool {
    println!(
        "== {}: {} {}",
        check.name,
        check.program,
        check.args.join(" ")
    );
    let start = Instant::now();
    let status = Command::new(check.program)
        .args(&check.args)
        .envs(check.env)
        .status();
    let passed = status.is_ok_and(|status| status.success());
    let verdict = if passed { "passed" } else { "failed" };
    println!("== {}: {verdict} after {:.0?}", check.name, start.elapsed());
    passed
}

fn main() -> ExitCode {
    let flags = match flags::Ci::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let red = known_red();
    for name in &red {
        println!("known red, passed over: {name} (see {KNOWN_RED})");
    }
    let mut failed = Vec::new();
    for check in checks(&red) {
        if flags.only.as_deref().is_some_and(|only| only != check.name) {
            continue;
        }
        if !run(&check) {
            failed.push(check.name);
        }
    }
    if flags.only.as_deref().is_none_or(|only| only == "wire") && !check_wire() {
        failed.push("wire");
    }
    if failed.is_empty() {
        println!("all checks passed");
        return ExitCode::SUCCESS;
    }
    println!("failed checks: {}", failed.join(", "));
    ExitCode::FAILURE
}
