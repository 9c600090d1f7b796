//! Accounting of the inventories of targets under lost, late and refused orders.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;

use std::time::Duration;

use buckthornmast_supply::{
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
};
use buckthornmast_types::{id, size::Bytes, time::Point};

use crate::pool::{
    INCARNATION, TERM, adapter, at, inventory, model, observe, pool, resident_models, target,
};

fn order(action: Action, expected: u64) -> Order {
    Order {
        target: target(0),
        incarnation: INCARNATION,
        action,
        expected,
    }
}

fn send(ledger: &mut Ledger, action: Action, expected: u64, outcome: Outcome, now: Point) {
    let order = order(action, expected);
    ledger.record_order(&order, TERM, now + Duration::from_millis(500), now);
    ledger.record_outcome(&order, outcome, now);
}

fn report(accepted: u64, models: &[(usize, &[usize])]) -> Report {
    Report {
        accepted,
        is_busy: false,
        resident: resident_models(models),
        arriving: Vec::new(),
        incarnation: None,
        is_leaving: false,
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
    ledger.apply_report(&target(0), INCARNATION, &report(0, models));
    ledger
}

/// Guards against loading an adapter into the place of one that is still in use, which would overcommit the target.
#[test]
fn adapter_in_use_keeps_its_place() {
    let mut ledger = start(&[(0, &[1, 2])]);
    send(&mut ledger, unload(0, 1), 0, Outcome::Accepted, at(10));
    let inventory = inventory(&ledger, 0);
    assert_eq!(inventory.adapters(), 2);
    assert!(!inventory.usable()[0].adapters.contains(&adapter(1)));
    assert!(inventory.is_free(), "other orders must not wait");
    ledger.apply_report(&target(0), INCARNATION, &report(1, &[(0, &[1, 2])]));
    assert_eq!(crate::inventory(&ledger, 0).adapters(), 2);
    ledger.apply_report(&target(0), INCARNATION, &report(1, &[(0, &[2])]));
    assert_eq!(crate::inventory(&ledger, 0).adapters(), 1);
}

/// Guards against memory that counts as free while an unanswered order may still take it.
#[test]
fn unanswered_load_counts() {
    let pool = pool();
    let mut ledger = start(&[(0, &[])]);
    let before = inventory(&ledger, 0).free(&pool);
    send(
        &mut ledger,
        Action::Load(model(1)),
        0,
        Outcome::Unknown,
        at(10),
    );
    let weights = pool.models[&model(1)].weights;
    let left = Bytes(before.0 - weights.0);
    assert_eq!(inventory(&ledger, 0).free(&pool), left);
    ledger.apply_report(&target(0), INCARNATION, &report(0, &[(0, &[])]));
    assert_eq!(
        inventory(&ledger, 0).free(&pool),
        left,
        "it may be carried out later"
    );
    send(&mut ledger, load(0, 1), 0, Outcome::Accepted, at(900));
    // The target now refuses the earlier order, since that expects another number.
    let small = pool.models[&model(0)].adapter;
    assert_eq!(inventory(&ledger, 0).free(&pool), Bytes(before.0 - small.0));
}

/// Guards against announcements from before the last order, which would free the memory of a new load.
#[test]
fn old_announcement_changes_nothing() {
    let mut ledger = start(&[(0, &[])]);
    send(&mut ledger, load(0, 1), 0, Outcome::Accepted, at(10));
    for (sequence, now) in [(2, 100), (3, 2000), (4, 9000)] {
        observe(&mut ledger, &[&[(0, &[])]], sequence, at(now));
        assert_eq!(inventory(&ledger, 0).adapters(), 1, "at {now} ms");
    }
    let inventory = ledger.inventories.get_mut(&target(0)).unwrap();
    assert!(!inventory.is_free());
    assert!(
        inventory.begin_query(at(9000)),
        "the difference must lead to a state query"
    );
}

/// Guards against requests for a model that is being unloaded, and against its memory counting as free before the
/// unload is complete.
#[test]
fn model_leaves_in_two_steps() {
    let pool = pool();
    let mut ledger = start(&[(0, &[]), (1, &[])]);
    let before = inventory(&ledger, 0).free(&pool);
    send(
        &mut ledger,
        Action::Unload(model(1)),
        0,
        Outcome::Accepted,
        at(10),
    );
    assert!(!inventory(&ledger, 0).is_usable(&model(1)));
    assert_eq!(inventory(&ledger, 0).free(&pool), before);
    observe(&mut ledger, &[&[(0, &[])]], 2, at(300));
    assert!(inventory(&ledger, 0).free(&pool) > before);
    assert!(inventory(&ledger, 0).is_free());
}

/// Guards against an order that another leader's order has overtaken, and against a restarted target that is mistaken
/// for its previous incarnation.
#[test]
fn refused_and_restarted() {
    let mut ledger = start(&[(0, &[])]);
    send(&mut ledger, load(0, 1), 0, Outcome::Conflict, at(10));
    let inventory = ledger.inventories.get_mut(&target(0)).unwrap();
    assert!(inventory.resident[&model(0)].is_empty());
    assert!(!inventory.is_free());
    assert!(inventory.begin_query(at(20)));
    let other = Report {
        incarnation: Some(id::Incarnation(99)),
        is_leaving: false,
        ..report(0, &[])
    };
    ledger.apply_report(&target(0), INCARNATION, &other);
    assert!(!crate::inventory(&ledger, 0).is_free());
}
