//! Placement of models and adapters under shifting demand, simulated against targets that carry out orders.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;
#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;

use buckthornmast_routes::document::Pool;
use buckthornmast_supply::{
    adapters::{self, Place},
    demand::Demand,
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
    plan::Planner,
};

use crate::{
    pool::{INCARNATION, TERM, at, model, observe, pool, registry, service, target},
    simulation::{MODELS, Simulation, item, row},
};

fn reported_ledger(targets: &[&[(usize, &[usize])]]) -> Ledger {
    let mut ledger = Ledger::default();
    observe(&mut ledger, targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = Report {
            accepted: 0,
            is_busy: false,
            resident: pool::resident_models(models),
            arriving: Vec::new(),
            incarnation: None,
            is_leaving: false,
        };
        ledger.apply_report(&target(number), INCARNATION, &report);
    }
    ledger
}

fn steps(ledger: &Ledger, pool: &Pool, demand: &Demand, loads: usize) -> Vec<Action> {
    let service = service();
    let planner = Planner::new(ledger, &service, pool, demand, at(0));
    let steps = planner.steps(loads);
    steps.into_iter().map(|step| step.action).collect()
}

/// Guards against models that stay without a copy since they have no demand, and against more loads than the load quota
/// of the weight store allows.
#[test]
fn plan_missing_models() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let ledger = reported_ledger(&[&[(0, &[]), (1, &[])], &[]]);
    let demand = Demand::default();
    assert_eq!(steps(&ledger, &pool, &demand, 0), []);
    let actions = steps(&ledger, &pool, &demand, 5);
    assert_eq!(actions, [Action::Load(model(2)), Action::Load(model(3))]);
}

/// Guards against models that count as resident at a target that crashed and no longer announces itself.
#[test]
fn plan_after_silent_crash() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = reported_ledger(targets);
    let mut announced = registry(targets, 2, at(0));
    // Announcements time out after 6 s, unless another instance reports the target as alive.
    let now = at(7000);
    announced.record_alive(&target(1), INCARNATION, now);
    ledger.observe(&announced, |_| true, now);
    let demand = Demand::default();
    let service = service();
    let planner = Planner::new(&ledger, &service, &pool, &demand, now);
    let steps = planner.steps(3);
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!(steps[0].target, target(1));
    assert_eq!(steps[0].action, Action::Load(model(0)));
}

/// Guards against evicting models in demand for one without demand.
#[test]
fn plan_keeps_hot_copies() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let full: &[(usize, &[usize])] = &[(0, &[]), (1, &[]), (2, &[])];
    let ledger = reported_ledger(&[full, full]);
    let mut demand = Demand::default();
    for number in 0..3 {
        demand.add(&[row(item(number, None), 30)], at(0));
    }
    assert_eq!(steps(&ledger, &pool, &demand, 3), []);
}

/// Guards against evicting several copies of one model at once because each decision relies on the other copies.
#[test]
fn plan_leaves_a_copy() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m6");
    let ledger = reported_ledger(&[
        &[(0, &[]), (1, &[]), (2, &[])],
        &[(0, &[]), (1, &[]), (2, &[])],
    ]);
    let mut demand = Demand::default();
    for number in 3..6 {
        demand.add(&[row(item(number, None), 20)], at(0));
    }
    let actions = steps(&ledger, &pool, &demand, 3);
    let evicted: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Unload(model) => Some(model.clone()),
            _ => None,
        })
        .collect();
    let distinct: BTreeSet<_> = evicted.iter().collect();
    assert_eq!(distinct.len(), evicted.len(), "{actions:?}");
}

/// Guards against an adapter that never gets a place while other requested adapters occupy all places.
#[test]
fn place_takes_turns() {
    let pool = pool();
    let mut ledger = reported_ledger(&[&[(0, &[])]]);
    let mut demand = Demand::default();
    let mut served = BTreeSet::new();
    let mut accepted = 0;
    for tick in 0..400 {
        let now = at(tick * 100);
        for number in 0..5 {
            demand.add(&[row(item(0, Some(number)), 1)], now);
        }
        for number in 0..5 {
            match adapters::place(&ledger, &pool, &demand, &item(0, Some(number)), now) {
                Place::Resident(_) => drop(served.insert(number)),
                Place::Order(target, action) => {
                    let order = Order {
                        target,
                        incarnation: INCARNATION,
                        expected: accepted,
                        action,
                    };
                    accepted += 1;
                    ledger.record_order(&order, TERM, now, now);
                    ledger.record_outcome(&order, Outcome::Accepted, now);
                }
                _ => {}
            }
        }
        let inventory = &ledger.inventories[&target(0)];
        assert!(inventory.adapters() <= 2, "more adapters than places");
        // Draining adapters are unloaded once they are no longer in use.
        if tick % 10 == 0 && !inventory.draining.is_empty() {
            let resident = inventory.usable();
            let report = Report {
                accepted,
                is_busy: false,
                resident,
                arriving: Vec::new(),
                incarnation: None,
                is_leaving: false,
            };
            ledger.apply_report(&target(0), INCARNATION, &report);
        }
    }
    assert_eq!(served.len(), 5, "{served:?}");
}

/// Guards against copies that don't follow the demand: each model in turn gets most requests for 20 s. Without any
/// orders, a third of the callers would be served in these simulations.
#[test]
fn play_moving_demand() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 8, 0);
        for tick in 0..600 {
            simulation.tick(tick, 14, &[((tick / 100) as usize % MODELS, 0.7)]);
        }
        let all: BTreeSet<usize> = simulation.resident.iter().flatten().copied().collect();
        assert_eq!(all.len(), MODELS, "a model has no copy");
        let share = simulation.served_share(0..MODELS);
        println!("seed {seed}: {share:.3} of the callers served");
        assert!(share > 0.6, "seed {seed}: {share:.3} of the callers served");
    }
}

/// Guards against rarely requested models that keep all places when there are fewer places than models, which leaves
/// one copy each for the two most requested models. The other models must alternate: each is served from time to time.
#[test]
fn play_more_models_than_places() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 3, 40);
        for tick in 0..600 {
            simulation.tick(tick, 11, &[(0, 0.5), (9, 0.4)]);
        }
        let hot = simulation.served_share([0, 9].into_iter());
        let others = simulation.served_share(1..9);
        println!(
            "seed {seed}: {hot:.3} of the callers of hot models served, {others:.3} of the others, {} loads",
            simulation.loads
        );
        assert!(
            hot > 0.9,
            "seed {seed}: {hot:.3} of the callers of hot models served"
        );
        for model in 1..9 {
            let share = simulation.served_share([model].into_iter());
            assert!(
                share > 0.5,
                "seed {seed}: {share:.3} of the callers of model {model} served"
            );
        }
    }
}

/// Guards against a model whose only target is known to be down and that is not loaded elsewhere until the target's
/// announcement timeout, and against a target that stays marked as down after it has announced itself again.
#[test]
fn plan_after_crash() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = reported_ledger(targets);
    ledger.mark_down(&target(0), INCARNATION, at(100));
    let announced = registry(targets, 2, at(0));
    ledger.observe(&announced, |_| true, at(200));
    let demand = Demand::default();
    let service = service();
    let planner = Planner::new(&ledger, &service, &pool, &demand, at(200));
    let steps = planner.steps(3);
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!(steps[0].target, target(1));
    assert_eq!(steps[0].action, Action::Load(model(0)));
    let announced = registry(targets, 3, at(1200));
    ledger.observe(&announced, |_| true, at(1300));
    assert!(ledger.has_usable(&service, &model(0)));
}
