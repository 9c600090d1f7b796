//! Runs all CI checks.
//!
//! The checks are the formatter, the linter and the documentation build with warnings as errors, the README's test
//! command, the quick start, and a search for names of the platform's protocol outside `platform/`, `deploy/` and
//! `tools/`. Tests that `KNOWN-RED.txt` lists are skipped by name and printed, so that they are not mistaken for
//! passing.

use std::{
    path::Path,
    process::{Command, ExitCode},
    time::Instant,
};

/// File that lists the tests with known failures.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Names of the platform's wire protocol, one per line.
const WIRE_NAMES: &str = include_str!("../wire-names.txt");

/// Top-level folders whose sources may contain these names.
const WIRE_EXEMPT_FOLDERS: [&str; 4] = ["platform", "deploy", "tools", "target"];

mod flags {
    xflags::xflags! {
        /// Runs all CI checks, or a single one.
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

/// Returns the names of the tests in `KNOWN-RED.txt`, which are on lines that begin with `test:`.
fn known_failures() -> Vec<String> {
    let text = std::fs::read_to_string(KNOWN_RED).unwrap_or_default();
    let tests = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("test:"));
    tests.map(|name| name.trim().to_owned()).collect()
}

/// Returns the checks that run a program, in order; the search for wire names is not among them.
fn checks(known_failures: &[String]) -> Vec<Check> {
    let mut test = check("test", "cargo", "test --workspace");
    if !known_failures.is_empty() {
        test.args.extend(["--".to_owned(), "--exact".to_owned()]);
        for name in known_failures {
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

/// Collects the source files below a folder that contain names of the platform's protocol, with these names.
fn find_wire_names(folder: &Path, leaks: &mut Vec<String>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_exempt = folder == Path::new(".") && WIRE_EXEMPT_FOLDERS.contains(&&*name);
        if name.starts_with('.') || is_exempt {
            continue;
        }
        if path.is_dir() {
            find_wire_names(&path, leaks)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path)?.to_lowercase();
            let names = WIRE_NAMES.lines().filter(|name| text.contains(name));
            leaks.extend(names.map(|name| format!("{}: {name}", path.display())));
        }
    }
    Ok(())
}

/// Checks that only the exempt folders contain names of the platform's wire protocol.
fn check_wire() -> bool {
    println!("== wire: names of the platform's protocol outside platform/, deploy/ and tools/");
    let mut leaks = Vec::new();
    let result = find_wire_names(Path::new("."), &mut leaks);
    if let Err(error) = &result {
        println!(
            "the search for names of the platform's protocol can't read a source file: {error}"
        );
    }
    for leak in &leaks {
        println!("{leak}");
    }
    result.is_ok() && leaks.is_empty()
}

/// Runs a check with its output passed through and returns whether it passed.
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
    let has_passed = status.is_ok_and(|status| status.success());
    let verdict = if has_passed { "passed" } else { "failed" };
    println!("== {}: {verdict} after {:.0?}", check.name, start.elapsed());
    has_passed
}

fn main() -> ExitCode {
    let flags = match flags::Ci::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let known_failures = known_failures();
    for name in &known_failures {
        println!("known red, passed over: {name} (see {KNOWN_RED})");
    }
    let mut failed = Vec::new();
    for check in checks(&known_failures) {
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
