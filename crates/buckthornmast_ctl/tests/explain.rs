//! Flags and tables of explanations.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::ffi::OsString;

use buckthornmast_ctl::{
    explain,
    flags::{Ctl, CtlCmd, Explain},
    outcome::USAGE,
};

fn parse(flags: &str) -> Explain {
    let flags: Vec<OsString> = flags.split(' ').map(OsString::from).collect();
    match Ctl::from_vec(flags).unwrap().subcommand {
        CtlCmd::Explain(request) => request,
        other => panic!("{other:?}"),
    }
}

/// Guards against flags that don't reach the instance.
#[test]
fn path_of_flags() {
    let request = parse(
        "explain --instance 10.0.0.1:1 --service engines --model m1 --adapter a1 --prefix ff --tokens 9 --objective-ms 300 --organisation acme --priority 2 --route chat --request r1",
    );
    assert_eq!(
        explain::path(&request).unwrap(),
        "/explain?service=engines&route=chat&model=m1&adapter=a1&prefix=ff&tokens=9&objective_ms=300&organisation=acme&priority=2&request=r1"
    );
    let request = parse("explain --instance 10.0.0.1:1 --service a&b");
    assert_eq!(explain::path(&request).unwrap_err().code(), USAGE);
}

/// Guards against tables that leave out the outcome or the reason of an excluded target.
#[test]
fn format_tables() {
    let body = serde_json::json!({
        "instance": "e1", "domain": "d1", "service": "engines", "asks_leader": true,
        "candidates": [{"target": "t1", "is_chosen": true, "score": 1.0625, "load_age_ms": null}],
        "excluded": [{"target": "t2", "domain": "d1", "reason": "paused", "remaining_ms": 900}],
        "omitted": 3,
        "outcome": "refusal", "cause": "the targets are full", "status": 503, "retry_after_ms": 700,
    });
    let text = explain::format(&body);
    for expected in [
        "the leader is asked",
        "t1      -       yes     1.062",
        "t2        d1      paused  900",
        "and 3 more targets",
        "refused with 503, Retry-After 700 ms: the targets are full",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}
