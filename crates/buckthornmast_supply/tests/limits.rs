//! Permits and placement with targets that take requests at a limited rate only.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/pool.rs"]
mod pool;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use buckthornmast_limit::{
    account::Account,
    statement::{Key, Report, Statement},
};
use buckthornmast_supply::{
    adapters::{self, Place},
    demand::{Demand, Item},
    ledger::Ledger,
    order::{self, Action},
    permits::{Permit, Queue, Request},
    plan::Planner,
};
use buckthornmast_types::{id, rate::Rate, time::Point};
use smallvec::SmallVec;

use crate::{
    pool::{INCARNATION, at, model, observe, service, target},
    simulation::{item, row},
};

const LIMIT: f64 = 2.0;

fn key(number: usize) -> Key {
    (target(number), INCARNATION)
}

/// Returns a queue whose account has a limit for some targets. Nothing has been granted yet.
fn queue(limited: &[usize], now: Point) -> Queue {
    let mut queue = Queue::default();
    queue.limits = Account::open(id::Term(1), Point::ZERO);
    for number in limited {
        let report = Report {
            key: key(*number),
            statement: Statement::Limited(Rate::per_second(LIMIT).unwrap()),
            age: Duration::ZERO,
            grant: None,
        };
        assert!(queue.limits.record(&report, now));
    }
    queue
}

fn ledger(targets: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let models: &[(usize, &[usize])] = &[(0, &[])];
    observe(&mut ledger, &vec![models; targets], 1, at(0));
    ledger
}

/// Has a target report the models and adapters that it has.
fn report_state(ledger: &mut Ledger, number: usize, models: &[(usize, &[usize])]) {
    let report = order::Report {
        accepted: 0,
        is_busy: false,
        resident: pool::resident_models(models),
        arriving: Vec::new(),
        incarnation: None,
        is_leaving: false,
    };
    ledger.apply_report(&target(number), INCARNATION, &report);
}

fn request() -> Request {
    Request {
        item: Item {
            service: service(),
            model: model(0),
            adapter: None,
        },
        prompt_tokens: 10,
        prefix: None,
        objective: Duration::from_millis(300),
        max_wait: Duration::from_secs(2),
        avoid: SmallVec::new(),
        priority: 1,
        organisation: None,
        answer_tokens: 0,
        prefixes: SmallVec::new(),
    }
}

#[test]
fn request_with_other_target() {
    let mut queue = queue(&[0], at(0));
    let (ledger, demand) = (ledger(2), Demand::default());
    let mut limited = 0;
    for millis in (0..10_000).step_by(200) {
        let mut permits = queue.poll(&ledger, at(millis));
        permits.push(queue.request(request(), &ledger, &demand, at(millis)));
        for (_, permit) in permits {
            match permit {
                Permit::Go(chosen) => assert_eq!(chosen, target(1)),
                Permit::Limited(chosen, _) => {
                    assert_eq!(chosen, target(0));
                    limited += 1;
                }
                Permit::Wait(_) => {}
                permit => panic!("{permit:?}"),
            }
        }
    }
    // Now and then, to learn whether the limit still holds.
    assert!((3..=6).contains(&limited), "{limited}");
}

#[test]
fn request_at_limited_rate() {
    let mut queue = queue(&[0, 1], at(0));
    let (ledger, demand) = (ledger(2), Demand::default());
    let mut sent = 0;
    let mut refused = 0;
    let mut longest = Duration::ZERO;
    for millis in (0..20_000).step_by(20) {
        let mut permits = queue.poll(&ledger, at(millis));
        permits.push(queue.request(request(), &ledger, &demand, at(millis)));
        for (_, permit) in permits {
            match permit {
                Permit::Limited(..) => sent += 1,
                Permit::Refuse(wait) => {
                    refused += 1;
                    longest = longest.max(wait);
                }
                Permit::Wait(_) => {}
                permit => panic!("{permit:?}"),
            }
        }
    }
    // Two targets at 2 a second, for 20 s.
    assert!((72..=84).contains(&sent), "{sent}");
    assert!(refused > 500, "{refused}");
    assert!(queue.waiting() < 10);
    // Refused callers don't all come back together.
    assert!(longest > Duration::from_secs(5), "{longest:?}");
}

/// Guards against adapters that stay at the rate of a target with a limit although another target has their model.
#[test]
fn place_adapter_beside_limited() {
    let pool = pool::pool();
    let mut ledger = Ledger::default();
    observe(&mut ledger, &[&[(0, &[1])], &[(0, &[])]], 1, at(0));
    for (number, models) in [(0, &[(0, &[1][..])]), (1, &[(0, &[][..])])] {
        report_state(&mut ledger, number, models);
    }
    let demand = Demand::default();
    let wanted = item(0, Some(1));
    let adapter = wanted.adapter.clone().unwrap();
    let place = |ledger: &Ledger| adapters::place(ledger, &pool, &demand, &wanted, at(0));
    assert_eq!(place(&ledger), Place::Resident(target(0)));
    ledger.inventories.get_mut(&target(0)).unwrap().limit = Rate::per_second(LIMIT);
    let order = Action::LoadAdapter(model(0), adapter);
    assert_eq!(place(&ledger), Place::Order(target(1), order));
    // Two targets with a limit are no better than one.
    ledger.inventories.get_mut(&target(1)).unwrap().limit = Rate::per_second(LIMIT);
    assert_eq!(place(&ledger), Place::Resident(target(0)));
}

/// Guards against models whose only copy is at a target with a limit, which the plan takes for a target with room.
#[test]
fn plan_copy_beside_limited() {
    let mut pool = pool::pool();
    pool.models.retain(|name, _| name.as_str() < "m2");
    let mut ledger = Ledger::default();
    observe(&mut ledger, &[&[(0, &[])], &[(1, &[])]], 1, at(0));
    for (number, models) in [(0, &[(0, &[][..])]), (1, &[(1, &[][..])])] {
        report_state(&mut ledger, number, models);
    }
    let mut demand = Demand::default();
    demand.add(&[row(item(0, None), 8), row(item(1, None), 1)], at(0));
    let saved_requests = |ledger: &Ledger| -> f64 {
        let service = service();
        let steps = Planner::new(ledger, &service, &pool, &demand, at(0)).steps(5);
        let of_copy = steps
            .iter()
            .filter(|step| step.target == target(1) && step.action == Action::Load(model(0)));
        of_copy.map(|step| step.saved_requests).sum()
    };
    let before = saved_requests(&ledger);
    ledger.inventories.get_mut(&target(0)).unwrap().limit = Rate::per_second(LIMIT);
    let with_limit = saved_requests(&ledger);
    assert!(with_limit > 2.0 * before, "{before} {with_limit}");
}
