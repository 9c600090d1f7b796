//! Places of models and adapters while demand moves, played against targets that carry orders out.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/play.rs"]
mod play;
#[path = "support/pool.rs"]
mod pool;

use std::collections::BTreeSet;

use buckthornmast_routes::document::Pool;
use buckthornmast_supply::{
    adapters::{self, Place},
    demand::Demand,
    ledger::Ledger,
    order::{Action, Order, Outcome, Report},
    plan::Situation,
};

use crate::{
    play::{MODELS, Play, item, row},
    pool::{BORN, at, model, observe, pool, registry, service, target},
};

fn known(targets: &[&[(usize, &[usize])]]) -> Ledger {
    let mut ledger = Ledger::default();
    observe(&mut ledger, targets, 1, at(0));
    for (number, models) in targets.iter().enumerate() {
        let report = Report {
            accepted: 0,
            is_busy: false,
            held: pool::held(models),
            born: None,
        };
        ledger.reported(&target(number), BORN, &report);
    }
    ledger
}

fn steps(ledger: &Ledger, pool: &Pool, demand: &Demand, loads: usize) -> Vec<Action> {
    let service = service();
    let situation = Situation::new(ledger, &service, pool, demand, at(0));
    let steps = situation.steps(loads);
    steps.into_iter().map(|step| step.action).collect()
}

/// Guards against models that nobody could ask for, and against more loads than the weight store allows.
#[test]
fn plan_missing_models() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let ledger = known(&[&[(0, &[]), (1, &[])], &[]]);
    let demand = Demand::default();
    assert_eq!(steps(&ledger, &pool, &demand, 0), []);
    let given = steps(&ledger, &pool, &demand, 5);
    assert_eq!(given, [Action::Load(model(2)), Action::Load(model(3))]);
}

/// Guards against models that count as held by a target that crashed and says nothing any more.
#[test]
fn plan_after_silent_crash() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = known(targets);
    let mut heard = registry(targets, 2, at(0));
    let now = at(7000);
    heard.note_alive(&target(1), BORN, now);
    ledger.observe(&heard, |_| true, now);
    let demand = Demand::default();
    let engines = service();
    let situation = Situation::new(&ledger, &engines, &pool, &demand, now);
    let steps = situation.steps(3);
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!(steps[0].target, target(1));
    assert_eq!(steps[0].action, Action::Load(model(0)));
}

/// Guards against copies of models that are asked for making room for one that nobody asks for.
#[test]
fn plan_keeps_hot_copies() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m4");
    let full: &[(usize, &[usize])] = &[(0, &[]), (1, &[]), (2, &[])];
    let ledger = known(&[full, full]);
    let mut demand = Demand::default();
    for number in 0..3 {
        demand.add(&[row(item(number, None), 30)], at(0));
    }
    assert_eq!(steps(&ledger, &pool, &demand, 3), []);
}

/// Guards against several copies of one model going at once because each decision counts on the others.
#[test]
fn plan_leaves_a_copy() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m6");
    let ledger = known(&[
        &[(0, &[]), (1, &[]), (2, &[])],
        &[(0, &[]), (1, &[]), (2, &[])],
    ]);
    let mut demand = Demand::default();
    for number in 3..6 {
        demand.add(&[row(item(number, None), 20)], at(0));
    }
    let given = steps(&ledger, &pool, &demand, 3);
    let gone: Vec<_> = given
        .iter()
        .filter_map(|action| match action {
            Action::Unload(model) => Some(model.clone()),
            _ => None,
        })
        .collect();
    let distinct: BTreeSet<_> = gone.iter().collect();
    assert_eq!(distinct.len(), gone.len(), "{given:?}");
}

/// Guards against an adapter that has no turn while others that are asked for hold all places.
#[test]
fn place_takes_turns() {
    let pool = pool();
    let mut ledger = known(&[&[(0, &[])]]);
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
                Place::Held(_) => drop(served.insert(number)),
                Place::Order(target, action) => {
                    let order = Order {
                        target,
                        born: BORN,
                        expected: accepted,
                        action,
                    };
                    accepted += 1;
                    ledger.sent(&order, now, now);
                    ledger.answered(&order, Outcome::Accepted, now);
                }
                _ => {}
            }
        }
        let shelf = &ledger.shelves[&target(0)];
        assert!(shelf.adapters() <= 2, "more adapters than places");
        // What is in use goes once it isn't used any more.
        if tick % 10 == 0 && !shelf.going.is_empty() {
            let held = shelf.usable();
            let report = Report {
                accepted,
                is_busy: false,
                held,
                born: None,
            };
            ledger.reported(&target(0), BORN, &report);
        }
    }
    assert_eq!(served.len(), 5, "{served:?}");
}

/// Guards against copies that don't follow the demand: each model in turn is asked for by most callers for 20 s.
/// Without any orders, a third of the callers would be served in these plays.
#[test]
fn play_moving_demand() {
    for seed in 0..4 {
        let mut play = Play::new(seed, 8, 0);
        for tick in 0..600 {
            play.tick(tick, 14, &[((tick / 100) as usize % MODELS, 0.7)]);
        }
        let all: BTreeSet<usize> = play.held.iter().flatten().copied().collect();
        assert_eq!(all.len(), MODELS, "a model has no copy left");
        let share = play.share(0..MODELS);
        println!("seed {seed}: {share:.3} of the callers served");
        assert!(share > 0.6, "seed {seed}: {share:.3} of the callers served");
    }
}

/// Guards against models that are hardly asked for keeping all places when there are fewer places than models, so that
/// the two that most callers ask for have one copy each. The others take turns: each is served now and then.
#[test]
fn play_more_models_than_places() {
    for seed in 0..4 {
        let mut play = Play::new(seed, 3, 40);
        for tick in 0..600 {
            play.tick(tick, 11, &[(0, 0.5), (9, 0.4)]);
        }
        let hot = play.share([0, 9].into_iter());
        let others = play.share(1..9);
        println!(
            "seed {seed}: {hot:.3} of the callers of hot models served, {others:.3} of the others, {} loads",
            play.loads
        );
        assert!(
            hot > 0.9,
            "seed {seed}: {hot:.3} of the callers of hot models served"
        );
        for model in 1..9 {
            let share = play.share([model].into_iter());
            assert!(
                share > 0.5,
                "seed {seed}: {share:.3} of the callers of model {model} served"
            );
        }
    }
}

/// Guards against a model whose only target is known to be down and that is loaded nowhere else until the target has
/// been silent for long; and against a target that stays lost after it has announced itself again.
#[test]
fn plan_after_crash() {
    let mut pool = pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let targets: &[&[(usize, &[usize])]] = &[&[(0, &[])], &[(1, &[])]];
    let mut ledger = known(targets);
    ledger.lose(&target(0), BORN, at(100));
    let heard = registry(targets, 2, at(0));
    ledger.observe(&heard, |_| true, at(200));
    let demand = Demand::default();
    let service = service();
    let situation = Situation::new(&ledger, &service, &pool, &demand, at(200));
    let steps = situation.steps(3);
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!(steps[0].target, target(1));
    assert_eq!(steps[0].action, Action::Load(model(0)));
    let heard = registry(targets, 3, at(1200));
    ledger.observe(&heard, |_| true, at(1300));
    assert!(ledger.has_usable(&service, &model(0)));
}
