//! Measures a ledger update and a controller round at the current size and at the design size.
//!
//! `cargo run --release -p buckthornmast_controller --example measure`
//!
//! Prints the median, the p99 and the longest time of each step over 200 rounds. A round includes neither the policy
//! nor the log nor the sends.

use std::time::{Duration, Instant};

use buckthornmast_controller::prelude::*;
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Load, Phase},
};

type Failure = Box<dyn std::error::Error>;

const ROUNDS: usize = 200;

fn artifact(model: usize, version: u32) -> Result<Artifact, Failure> {
    Ok(format!("model-{model}@{version}").parse()?)
}

fn report(index: usize, targets: usize, models: usize, sequence: u64) -> Result<Report, Failure> {
    // Every model has a copy, and small domains have several copies per target.
    let per_target = models.div_ceil(targets).max(2);
    let copies = (0..per_target).map(|n| {
        Ok(Copy {
            artifact: artifact((index * per_target + n) % models, 1)?,
            phase: Phase::Ready,
            bytes: Bytes::gib(16),
        })
    });
    Ok(Report {
        target: format!("engine-{index:03}").parse()?,
        domain: "macon-a".parse()?,
        kind: "engine".parse()?,
        service: "draft-desk".parse()?,
        address: "127.0.0.1:1".parse()?,
        incarnation: id::Incarnation(1),
        sequence,
        is_leaving: false,
        accelerators: 4,
        memory: Bytes::gib(320),
        copies: copies.collect::<Result<_, Failure>>()?,
        token: id::Token(1),
        load: Load::default(),
    })
}

fn print(label: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let p50 = times[times.len() / 2];
    let p99 = times[times.len() * 99 / 100];
    println!(
        "  {label}: p50 {p50:.1?}, p99 {p99:.1?}, max {:.1?}",
        times[times.len() - 1]
    );
}

fn measure_ledger(targets: usize, models: usize) -> Result<(), Failure> {
    let mut ledger = Ledger::new(id::Token(1));
    ledger.set_journals_read();
    let (mut updates, mut reserves) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS as u64 {
        for index in 0..targets {
            let report = report(index, targets, models, round)?;
            let start = Instant::now();
            ledger.observe(&report, true);
            updates.push(start.elapsed());
        }
        let index = round as usize % targets;
        let order = Order {
            id: id::Order::generate(),
            target: format!("engine-{index:03}").parse()?,
            incarnation: id::Incarnation(1),
            token: id::Token(1),
            action: Action::Load {
                artifact: artifact(round as usize, 9)?,
                bytes: Bytes::gib(1),
            },
        };
        let start = Instant::now();
        ledger.reserve(order, &Guard::default())?;
        reserves.push(start.elapsed());
    }
    print("ledger update (one report)", updates);
    print("ledger reserve (one load)", reserves);
    Ok(())
}

fn measure_round(targets: usize, models: usize, is_changing: bool) -> Result<(), Failure> {
    let rate = Rate::per_second(1_000.0).ok_or("bad rate")?;
    let mut core = Core::new(Config::new(rate, 10));
    let mut now = Point::from_millis(1_000_000);
    let grant = Grant {
        token: id::Token(1),
        is_first: true,
        intents: Vec::new(),
        positions: Vec::new(),
    };
    core.lease_acquired(now, &grant);
    let version = if is_changing { 2 } else { 1 };
    let needs = (0..models).map(|model| {
        Ok(Need {
            team: "peach".parse()?,
            service: "draft-desk".parse()?,
            artifact: artifact(model, version)?,
            bytes: Bytes::gib(16),
            old_versions: (1..version)
                .map(|v| artifact(model, v))
                .collect::<Result<_, _>>()?,
        })
    });
    let needs: Vec<Need> = needs.collect::<Result<_, Failure>>()?;
    let mut times = Vec::new();
    for round in 0..ROUNDS as u64 {
        for index in 0..targets {
            core.report(report(index, targets, models, round)?, now, true);
        }
        now = now + Duration::from_secs(1);
        let plan = Plan {
            needs: needs.clone(),
            ..Plan::default()
        };
        let start = Instant::now();
        let view = core.view(now);
        core.round(now, &view, plan);
        times.push(start.elapsed());
    }
    let label = if is_changing {
        "round, every version changing"
    } else {
        "round, nothing to do"
    };
    print(label, times);
    Ok(())
}

fn main() -> Result<(), Failure> {
    for (targets, models) in [(24, 30), (470, 820)] {
        println!("{targets} targets, {models} models:");
        measure_ledger(targets, models)?;
        measure_round(targets, models, false)?;
        measure_round(targets, models, true)?;
    }
    Ok(())
}
