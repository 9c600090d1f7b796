//! Measures the processor time of one plan, which blocks the leader and with it all permits, against the size of a fleet.
//!
//! `cargo run --release -p buckthornmast_supply --example plan_time`
#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

use std::time::{Duration, Instant};

use buckthornmast_fleet::prelude::*;
use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_supply::{
    demand::{Demand, Item, Row},
    ledger::Ledger,
    order::Report,
    plan::Planner,
};
use buckthornmast_types::{id, rate::Rate, size::Bytes, time::Point};

/// Targets, models and adapters: the users' sites from small to large, and ten times the largest.
const FLEETS: [(usize, usize, usize); 4] = [
    (12, 21, 74),
    (60, 111, 284),
    (204, 353, 991),
    (2040, 820, 2500),
];

const ROUNDS: u32 = 9;

fn model(number: usize) -> id::Model {
    format!("m{number}").parse().unwrap()
}

fn pool(models: usize) -> Pool {
    let models = (0..models).map(|number| {
        let model = Model {
            name: model(number),
            weights: Bytes(65_000_000_000),
            load: Duration::from_secs(4),
            memory_load: Duration::from_millis(600),
            disk_load: Duration::from_secs(1),
            adapter: Bytes(60_000_000),
        };
        (model.name.clone(), model)
    });
    Pool {
        slots: 12,
        memory: Bytes(200_000_000_000),
        adapters: 8,
        loads: Rate::per_second(30.0).unwrap(),
        cache_tokens: 35_000,
        models: models.collect(),
    }
}

/// Returns a ledger of targets with three models each, which leaves no room for others.
fn ledger(targets: usize, models: usize, now: Point) -> Ledger {
    let mut registry = Registry::default();
    let resident = |number: usize| -> Vec<Resident> {
        let held = [number, number * 7 + 1, number * 13 + 2];
        let mut held: Vec<usize> = held.iter().map(|number| number % models).collect();
        held.sort_unstable();
        held.dedup();
        let resident = held.into_iter().map(|number| Resident {
            model: model(number),
            adapters: Vec::new(),
        });
        resident.collect()
    };
    let incarnation = id::Incarnation(1);
    for number in 0..targets {
        let announcement = Announcement {
            target: format!("t{number}").parse().unwrap(),
            incarnation,
            sequence: 1,
            service: "engines".parse().unwrap(),
            address: format!("10.0.{}.{}:80", number / 250, number % 250)
                .parse()
                .unwrap(),
            domain: "d1".parse().unwrap(),
            slots: 12,
            state: State::Ready,
            cold: Duration::ZERO,
            resident: resident(number),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            version: "v1".parse().ok(),
        };
        let update = Update {
            announcement,
            withdrawn: false,
        };
        registry.merge(update, Duration::ZERO, now);
    }
    let mut ledger = Ledger::default();
    ledger.observe(&registry, |_| true, now);
    for number in 0..targets {
        let report = Report {
            accepted: 0,
            is_busy: false,
            resident: resident(number),
            arriving: Vec::new(),
            incarnation: Some(incarnation),
            is_leaving: false,
        };
        ledger.apply_report(&format!("t{number}").parse().unwrap(), incarnation, &report);
    }
    ledger
}

/// Returns demand that falls with the number of a model, and that the present copies can't serve.
fn demand(models: usize, adapters: usize, now: Point) -> Demand {
    let mut demand = Demand::default();
    let row = |number: usize, adapter: Option<id::Adapter>| Row {
        item: Item {
            service: "engines".parse().unwrap(),
            model: model(number),
            adapter,
        },
        requests: u32::try_from(400 / (number + 1)).unwrap_or(0),
        ended: 1,
        slot_time: Duration::from_secs(1),
        events: 20,
        event_time: Duration::from_secs(1),
    };
    let mut rows: Vec<Row> = (0..models).map(|number| row(number, None)).collect();
    rows.extend((0..adapters).map(|number| {
        let adapter = format!("a{}", number / models).parse().unwrap();
        row(number % models, Some(adapter))
    }));
    demand.add(&rows, now);
    demand
}

fn main() {
    println!("targets, models, adapters: shortest, median and longest plan of {ROUNDS}, orders");
    for (targets, models, adapters) in FLEETS {
        let now = Point::from_millis(100_000);
        let pool = pool(models);
        let service = "engines".parse().unwrap();
        let ledger = ledger(targets, models, now);
        let demand = demand(models, adapters, now);
        let mut times = Vec::new();
        let mut orders = 0;
        for _ in 0..ROUNDS {
            let started = Instant::now();
            orders = Planner::new(&ledger, &service, &pool, &demand, now)
                .steps(3)
                .len();
            times.push(started.elapsed());
        }
        times.sort_unstable();
        let median = times[times.len() / 2];
        println!(
            "{targets}, {models}, {adapters}: {:?}, {median:?}, {:?}, {orders} orders",
            times[0],
            times[times.len() - 1]
        );
    }
}
