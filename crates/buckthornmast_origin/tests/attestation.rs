//! What an instance of the core attests, and the versions that it may use.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_origin::{
    attestation::{Register, STATEMENT_LIFE, Statement, Variant},
    prelude::*,
};
use buckthornmast_types::{id, time::Point};

const AGE: Duration = Duration::from_secs(20);

fn at(seconds: u64) -> Point {
    Point::from_millis(seconds * 1000)
}

fn service() -> Service {
    Service::new(&"s".parse().unwrap())
}

fn variant(version: &str) -> Variant {
    Variant {
        service: service(),
        mark: Some(Mark::new(version)),
    }
}

fn statement(version: &str) -> Statement {
    Statement {
        service: service(),
        mark: Mark::new(version),
    }
}

fn names() -> [id::Instance; 3] {
    ["a", "b", "c"].map(|name| name.parse().unwrap())
}

/// Returns a history with one version until a time.
fn history(version: &str, seconds: u64) -> History {
    let mut history = History::default();
    for second in 1..=seconds {
        history.keep(at(second));
        history.see(service(), Some(Mark::new(version)), at(second));
    }
    history
}

/// Guards against targets that are used before enough instances have withdrawn, this one among them.
#[test]
fn clear_required() {
    let [a, b, c] = names();
    let mut register = Register::default();
    let number = register.clear(variant("v2")).unwrap();
    assert_eq!(register.clear(variant("v2")), None);
    assert_eq!(register.record_withdrawal(number, &b, &a, 2), None);
    assert_eq!(register.record_withdrawal(number, &c, &a, 2), None);
    assert!(!register.is_cleared(variant("v2")));
    let cleared = register.record_withdrawal(number, &a, &a, 2);
    assert_eq!(cleared, Some(variant("v2")));
    assert!(register.is_cleared(variant("v2")) && !register.is_cleared(variant("v1")));
    assert_eq!(register.record_withdrawal(number, &a, &a, 2), None);
    assert_eq!(register.pending().count(), 0);
}

/// Guards against an answer to an earlier question that counts after the permission was taken back.
#[test]
fn clear_again() {
    let [a, b, _] = names();
    let mut register = Register::default();
    let first = register.clear(variant("v2")).unwrap();
    register.record_withdrawal(first, &a, &a, 2);
    assert_eq!(
        register.state(&history("v1", 30), AGE, at(30)),
        [statement("v1")]
    );
    let second = register.clear(variant("v2")).unwrap();
    register.record_withdrawal(first, &b, &a, 2);
    register.record_withdrawal(second, &a, &a, 2);
    assert!(!register.is_cleared(variant("v2")));
}

/// Guards against a question that is repeated, and counts as a sight of its version, after the version has left.
#[test]
fn retain_pending_known() {
    let [a, _, _] = names();
    let mut register = Register::default();
    let granted = register.clear(variant("v1")).unwrap();
    register.record_withdrawal(granted, &a, &a, 1);
    register.clear(variant("v2")).unwrap();
    register.clear(variant("v3")).unwrap();
    register.retain_pending(&[variant("v3")].into());
    let pending: Vec<Variant> = register.pending().map(|(_, variant)| variant).collect();
    assert_eq!(pending, [variant("v3")]);
    assert!(register.is_cleared(variant("v1")));
}

/// Guards against an instance that attests what not all state, or what one stated long ago.
#[test]
fn attest_all_state() {
    let [_, b, c] = names();
    let history = history("v1", 30);
    let own = [statement("v1")];
    let attest = |statements: &[(&id::Instance, &str, u64)]| {
        let mut register = Register::default();
        for (from, version, seconds) in statements {
            register.record_statements(from, &[statement(version)], at(*seconds));
        }
        register.attest(&own, &[&b, &c], &history, at(30))
    };
    let recent = 30 - STATEMENT_LIFE.as_secs();
    assert!(attest(&[(&b, "v1", recent), (&c, "v1", 30)]));
    assert!(!attest(&[(&b, "v1", 30)]));
    assert!(!attest(&[(&b, "v1", recent - 1), (&c, "v1", 30)]));
    assert!(!attest(&[(&b, "v2", 30), (&c, "v1", 30)]));
}

/// Guards against an attestation that outlives a withdrawal, and against a statement from before it that counts.
#[test]
fn withdraw_statements() {
    let [_, b, _] = names();
    let history = history("v1", 30);
    let mut register = Register::default();
    register.record_statements(&b, &[statement("v1")], at(30));
    assert!(register.attest(&[statement("v1")], &[&b], &history, at(30)));
    assert!(register.attests(service(), Mark::new("v1")));
    register.withdraw(variant("v1"));
    assert!(register.attests(service(), Mark::new("v1")));
    register.record_statements(&b, &[statement("v1")], at(30));
    register.withdraw(variant("v2"));
    assert_eq!(register.attested().count(), 0);
    assert!(!register.attest(&[statement("v1")], &[&b], &history, at(30)));
    // Targets that state no version are of another one.
    register.record_statements(&b, &[statement("v1")], at(30));
    assert!(register.attest(&[statement("v1")], &[&b], &history, at(30)));
    register.clear(Variant {
        service: service(),
        mark: None,
    });
    assert_eq!(register.attested().count(), 0);
}

/// Guards against a file that is written each second because the time in it grows.
#[test]
fn attest_seldom_stored() {
    let mut register = Register::default();
    let own = [statement("v1")];
    let writes =
        (30..300).filter(|second| register.attest(&own, &[], &history("v1", *second), at(*second)));
    assert_eq!(writes.count(), 4);
}
