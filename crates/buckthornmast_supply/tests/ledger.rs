//! Accounts of what targets hold, under lost, late and refused orders.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::time::Duration;

use buckthornmast_supply::{
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
};
use buckthornmast_types::{id, size::Bytes, time::Point};

use crate::pool::{BORN, adapter, at, held, model, observe, pool, shelf, target};

fn order(action: Action, expected: u64) -> Order {
    Order {
        target: target(0),
        born: BORN,
        action,
        expected,
    }
}

fn give(ledger: &mut Ledger, action: Action, expected: u64, outcome: Outcome, now: Point) {
    let order = order(action, expected);
    ledger.sent(&order, now + Duration::from_millis(500), now);
    ledger.answered(&order, outcome, now);
}

fn report(accepted: u64, models: &[(usize, &[usize])]) -> Report {
    Report {
        accepted,
        is_busy: false,
        held: held(models),
        born: None,
    }
}

fn load(number: usize, adapter_number: usize) -> Action {
    Action::LoadAdapter(model(number), adapter(adapter_number))
}

fn unload(number: usize, adapter_number: usize) -> Action {
    Action::UnloadAdapter(model(number), adapter(adapter_number))
}

fn start(models: &[(usize, &[usize])]) -> Ledger {
    let mut ledger = Ledger::default();
    observe(&mut ledger, &[models], 1, at(0));
    ledger.reported(&target(0), BORN, &report(0, models));
    ledger
}

/// Guards against the load of an adapter into the place of one that is still in use, which would overcommit the
/// target (LIMIT in trouble-1).
#[test]
fn adapter_in_use_keeps_its_place() {
    let mut ledger = start(&[(0, &[1, 2])]);
    give(&mut ledger, unload(0, 1), 0, Outcome::Accepted, at(10));
    let shelf = shelf(&ledger, 0);
    assert_eq!(shelf.adapters(), 2);
    assert!(!shelf.usable()[0].adapters.contains(&adapter(1)));
    assert!(shelf.is_free(), "other orders need not wait");
    ledger.reported(&target(0), BORN, &report(1, &[(0, &[1, 2])]));
    assert_eq!(crate::shelf(&ledger, 0).adapters(), 2);
    ledger.reported(&target(0), BORN, &report(1, &[(0, &[2])]));
    assert_eq!(crate::shelf(&ledger, 0).adapters(), 1);
}

/// Guards against memory that is given away while an order without an answer may still take it.
#[test]
fn unanswered_load_counts() {
    let pool = pool();
    let mut ledger = start(&[(0, &[])]);
    let before = shelf(&ledger, 0).free(&pool);
    give(
        &mut ledger,
        Action::Load(model(1)),
        0,
        Outcome::Unknown,
        at(10),
    );
    let weights = pool.models[&model(1)].weights;
    let left = Bytes(before.0 - weights.0);
    assert_eq!(shelf(&ledger, 0).free(&pool), left);
    ledger.reported(&target(0), BORN, &report(0, &[(0, &[])]));
    assert_eq!(
        shelf(&ledger, 0).free(&pool),
        left,
        "it may be carried out later"
    );
    give(&mut ledger, load(0, 1), 0, Outcome::Accepted, at(900));
    // The target refuses the earlier order now, since it expects another number.
    let small = pool.models[&model(0)].adapter;
    assert_eq!(shelf(&ledger, 0).free(&pool), Bytes(before.0 - small.0));
}

/// Guards against announcements from before the last order, which would free what was just loaded.
#[test]
fn old_announcement_changes_nothing() {
    let mut ledger = start(&[(0, &[])]);
    give(&mut ledger, load(0, 1), 0, Outcome::Accepted, at(10));
    for (sequence, now) in [(2, 100), (3, 2000), (4, 9000)] {
        observe(&mut ledger, &[&[(0, &[])]], sequence, at(now));
        assert_eq!(shelf(&ledger, 0).adapters(), 1, "at {now} ms");
    }
    let shelf = ledger.shelves.get_mut(&target(0)).unwrap();
    assert!(!shelf.is_free());
    assert!(
        shelf.wants_report(at(9000)),
        "the difference leads to a question"
    );
}

/// Guards against requests for a model that is about to go, and against its memory being free before it is gone.
#[test]
fn model_leaves_in_two_steps() {
    let pool = pool();
    let mut ledger = start(&[(0, &[]), (1, &[])]);
    let before = shelf(&ledger, 0).free(&pool);
    give(
        &mut ledger,
        Action::Unload(model(1)),
        0,
        Outcome::Accepted,
        at(10),
    );
    assert!(!shelf(&ledger, 0).is_usable(&model(1)));
    assert_eq!(shelf(&ledger, 0).free(&pool), before);
    observe(&mut ledger, &[&[(0, &[])]], 2, at(300));
    assert!(shelf(&ledger, 0).free(&pool) > before);
    assert!(shelf(&ledger, 0).is_free());
}

/// Guards against an order that another leader's order has overtaken, and against a restarted target that is taken
/// for the one before.
#[test]
fn refused_and_restarted() {
    let mut ledger = start(&[(0, &[])]);
    give(&mut ledger, load(0, 1), 0, Outcome::Conflict, at(10));
    let shelf = ledger.shelves.get_mut(&target(0)).unwrap();
    assert!(shelf.held[&model(0)].is_empty());
    assert!(!shelf.is_free());
    assert!(shelf.wants_report(at(20)));
    let other = Report {
        born: Some(id::Incarnation(99)),
        ..report(0, &[])
    };
    ledger.reported(&target(0), BORN, &other);
    assert!(!crate::shelf(&ledger, 0).is_free());
}
