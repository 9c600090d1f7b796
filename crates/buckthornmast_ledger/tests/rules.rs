//! Tests of the individual rules of the ledger.

#[path = "support/build.rs"]
mod support;

use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{
    prelude::*,
    report::Phase::{Loading, Ready, Unloading},
};
use support::{artifact, ledger, load, order, report, target, unload};

fn guard(needs: &[&[&str]], targets: &[&str]) -> Guard {
    let needs = needs
        .iter()
        .map(|need| need.iter().map(|a| artifact(a)).collect());
    Guard::new(needs, targets.iter().map(|name| target(name)))
}

fn empty_guard() -> Guard {
    Guard::default()
}

/// Guards against a load that is no longer counted after its answer was lost.
#[test]
fn reserve_over_capacity() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (1, 1), 0, &[("a@1", Ready, 4)]), false);
    let first = order(1, "t", 1, 1, load("b@1", 4));
    ledger.reserve(first.clone(), &empty_guard()).unwrap();
    let attempt = ledger.begin_attempt(&first.target, first.id).unwrap();
    assert_eq!(
        ledger.end_attempt(&first.target, first.id, attempt, Outcome::Unknown),
        None
    );
    ledger.observe(&report("t", (1, 9), 0, &[("a@1", Ready, 4)]), false);
    let second = order(2, "t", 1, 1, load("c@1", 3));
    let refused = ledger.reserve(second, &empty_guard());
    assert!(matches!(refused, Err(Refusal::Memory { .. })));
}

/// Guards against an unload that counts as done once it is answered, before a report confirms it.
#[test]
fn unload_frees_on_report() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (1, 1), 0, &[("a@1", Ready, 8)]), false);
    let first = order(1, "t", 1, 1, unload("a@1"));
    ledger.reserve(first.clone(), &empty_guard()).unwrap();
    let attempt = ledger.begin_attempt(&first.target, first.id).unwrap();
    ledger.end_attempt(&first.target, first.id, attempt, Outcome::Accepted);
    assert_eq!(ledger.free_memory(&first.target), Bytes(2));
    ledger.observe(&report("t", (1, 2), 0, &[("a@1", Unloading, 8)]), false);
    assert_eq!(ledger.free_memory(&first.target), Bytes(2));
    let closed = ledger.observe(&report("t", (1, 3), 0, &[]), false);
    assert_eq!(closed[0].end, End::Done);
    assert_eq!(ledger.free_memory(&first.target), Bytes(10));
}

/// Guards against a late report that resets the account to an earlier state.
#[test]
fn observe_out_of_order() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (2, 3), 0, &[("a@1", Ready, 8)]), false);
    for old in [(2, 2), (2, 3), (1, 9)] {
        ledger.observe(&report("t", old, 0, &[]), false);
    }
    assert_eq!(ledger.free_memory(&target("t")), Bytes(2));
}

/// Guards against an old attempt that arrives late at a target that ignores tokens.
#[test]
fn late_copy_ignoring_target() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (1, 1), 0, &[]), false);
    let first = order(1, "t", 1, 1, load("a@1", 6));
    ledger.reserve(first.clone(), &empty_guard()).unwrap();
    ledger.begin_attempt(&first.target, first.id).unwrap();
    let again = ledger.begin_attempt(&first.target, first.id).unwrap();
    ledger.end_attempt(&first.target, first.id, again, Outcome::Accepted);
    ledger.observe(&report("t", (1, 2), 0, &[("a@1", Ready, 6)]), false);
    assert_eq!(
        ledger.open_orders().count(),
        1,
        "the first attempt is still outstanding"
    );
    ledger.observe(&report("t", (1, 3), 0, &[]), false);
    assert_eq!(ledger.free_memory(&first.target), Bytes(4));
    let closed = ledger.observe(&report("t", (2, 1), 0, &[]), false);
    assert_eq!(closed[0].end, End::TargetRestarted);
    assert_eq!(ledger.free_memory(&first.target), Bytes(10));
}

/// Guards against fenced attempts that are kept forever, or dropped before a report shows the token.
#[test]
fn late_copy_fenced() {
    let mut ledger = ledger(7);
    let first = order(1, "t", 1, 3, load("a@1", 6));
    ledger.inherit(first.clone());
    ledger.observe(&report("t", (1, 1), 6, &[]), true);
    assert_eq!(ledger.free_memory(&first.target), Bytes(4));
    assert_eq!(ledger.unfenced_targets().count(), 1);
    let closed = ledger.observe(&report("t", (1, 2), 7, &[]), true);
    assert_eq!(closed[0].end, End::Dropped);
    assert_eq!(ledger.free_memory(&first.target), Bytes(10));
}

/// Guards against a successor that sends orders before its account is rebuilt.
#[test]
fn rebuild_conservative() {
    let mut ledger = Ledger::new(id::Token(7));
    ledger.require_position(
        &target("t"),
        Position {
            incarnation: id::Incarnation(1),
            sequence: 5,
        },
    );
    let proposed = order(1, "t", 1, 7, load("a@1", 1));
    ledger.observe(&report("t", (1, 4), 0, &[]), false);
    assert_eq!(
        ledger.check(&proposed, &empty_guard()),
        Err(Refusal::NotCurrent),
        "journals unread"
    );
    ledger.set_journals_read();
    assert_eq!(
        ledger.check(&proposed, &empty_guard()),
        Err(Refusal::NotCurrent),
        "report too old"
    );
    ledger.observe(&report("t", (1, 5), 0, &[]), false);
    assert_eq!(ledger.check(&proposed, &empty_guard()), Ok(()));
    let fenced = order(2, "u", 1, 7, load("a@1", 1));
    let mut ledger = Ledger::new(id::Token(7));
    ledger.observe(&report("u", (1, 1), 7, &[]), true);
    assert_eq!(
        ledger.check(&fenced, &empty_guard()),
        Ok(()),
        "the fence covers unread journals"
    );
}

/// Guards against an order that a late attempt of another one on the same artifact could undo.
#[test]
fn reserve_second_order() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (1, 1), 0, &[("a@1", Ready, 1)]), false);
    let first = order(1, "t", 1, 1, unload("a@1"));
    ledger.reserve(first.clone(), &empty_guard()).unwrap();
    ledger.begin_attempt(&first.target, first.id);
    ledger.observe(&report("t", (1, 2), 0, &[]), false);
    let second = order(2, "t", 1, 1, load("a@1", 1));
    assert_eq!(
        ledger.reserve(second, &empty_guard()),
        Err(Refusal::Open {
            order: first.id,
            is_load: false
        })
    );
}

/// Guards against two unloads that each rely on the copy that the other removes.
#[test]
fn unload_last_copy() {
    let mut ledger = ledger(1);
    for name in ["t", "u"] {
        ledger.observe(&report(name, (1, 1), 0, &[("a@1", Ready, 1)]), false);
    }
    let guard = guard(&[&["a@1"]], &["t", "u"]);
    ledger
        .reserve(order(1, "t", 1, 1, unload("a@1")), &guard)
        .unwrap();
    let refused = ledger.reserve(order(2, "u", 1, 1, unload("a@1")), &guard);
    assert!(matches!(refused, Err(Refusal::LastCopy { .. })));
}

/// Guards against an unload of the old version before the new one is ready on a target whose copies count.
#[test]
fn unload_old_version() {
    let mut ledger = ledger(1);
    ledger.observe(
        &report("t", (1, 1), 0, &[("a@1", Ready, 1), ("a@2", Loading, 1)]),
        false,
    );
    ledger.observe(&report("u", (1, 1), 0, &[("a@2", Ready, 1)]), false);
    let proposed = order(1, "t", 1, 1, unload("a@1"));
    let need: &[&[&str]] = &[&["a@2", "a@1"]];
    let refused = ledger.check(&proposed, &guard(need, &["t"]));
    assert!(matches!(refused, Err(Refusal::LastCopy { .. })));
    assert_eq!(ledger.check(&proposed, &guard(need, &["t", "u"])), Ok(()));
}

/// Guards against the removal of a model on which a loaded adapter is based.
#[test]
fn unload_below_adapter() {
    let mut ledger = ledger(1);
    let copies = [("a@1", Ready, 1), ("a@1+x@1", Ready, 1)];
    ledger.observe(&report("t", (1, 1), 0, &copies), false);
    let refused = ledger.check(&order(1, "t", 1, 1, unload("a@1")), &empty_guard());
    assert!(matches!(refused, Err(Refusal::NeededByAdapter { .. })));
}

/// Guards against orders with an older token, for an older incarnation or to a leaving target.
#[test]
fn reserve_bad_order() {
    let mut ledger = ledger(2);
    ledger.observe(&report("t", (2, 1), 0, &[]), false);
    let proposed = |incarnation, token| order(1, "t", incarnation, token, load("a@1", 1));
    let token = id::Token(1);
    assert_eq!(
        ledger.check(&proposed(2, 1), &empty_guard()),
        Err(Refusal::Token { token })
    );
    let incarnation = id::Incarnation(2);
    assert_eq!(
        ledger.check(&proposed(1, 2), &empty_guard()),
        Err(Refusal::Incarnation { incarnation })
    );
    let mut leaving = report("t", (2, 2), 0, &[]);
    leaving.is_leaving = true;
    ledger.observe(&leaving, false);
    assert_eq!(
        ledger.check(&proposed(2, 2), &empty_guard()),
        Err(Refusal::Leaving)
    );
}

/// Guards against a reservation that outlives an order that was certainly not executed.
#[test]
fn end_attempt_unexecuted() {
    let mut ledger = ledger(1);
    ledger.observe(&report("t", (1, 1), 0, &[]), false);
    let first = order(1, "t", 1, 1, load("a@1", 6));
    ledger.reserve(first.clone(), &empty_guard()).unwrap();
    let attempt = ledger.begin_attempt(&first.target, first.id).unwrap();
    ledger.end_attempt(&first.target, first.id, attempt, Outcome::NotSent);
    assert_eq!(
        ledger.free_memory(&first.target),
        Bytes(4),
        "it is still reserved"
    );
    assert!(ledger.open_orders().all(|entry| !entry.is_sent()));
    let attempt = ledger.begin_attempt(&first.target, first.id).unwrap();
    let closed = ledger.end_attempt(&first.target, first.id, attempt, Outcome::Refused);
    assert_eq!(closed.map(|closed| closed.end), Some(End::Dropped));
    assert_eq!(ledger.free_memory(&first.target), Bytes(10));
}
