//! Measures the time of a choice with 24 and 467 targets, and of an admission decision.
//!
//! `cargo run --release -p buckthornmast_routing --example measure`
//!
//! Prints the mean time of a step in the median and in the slowest of 20 batches of 100,000 steps.

use std::{
    error::Error,
    hint::black_box,
    time::{Duration, Instant},
};

use buckthornmast_routing::{choice::Prefix, prelude::*, table::Outcome};
use buckthornmast_types::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ROUNDS: u32 = 100_000;
const BATCHES: usize = 20;

type Outcomes = Result<(), Box<dyn Error>>;

fn report(index: usize, copies: &[Artifact], rng: &mut SmallRng) -> Result<Report, Box<dyn Error>> {
    let copies = copies.iter().map(|artifact| report::Copy {
        artifact: artifact.clone(),
        phase: report::Phase::Ready,
        bytes: Bytes::gib(10),
    });
    Ok(Report {
        target: format!("t{index}").parse()?,
        domain: "a".parse()?,
        kind: "engine".parse()?,
        service: "s".parse()?,
        address: "127.0.0.1:1".parse()?,
        incarnation: id::Incarnation(1),
        sequence: 1,
        is_leaving: false,
        accelerators: 4,
        memory: Bytes::gib(320),
        copies: copies.collect(),
        token: id::Token(0),
        load: report::Load {
            running: rng.random_range(0..32),
            waiting: 0,
            slots: 64,
        },
    })
}

/// Prints the median and the maximum of the mean times of the batches.
fn time(label: &str, mut step: impl FnMut(u32)) {
    let mut means = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let start = Instant::now();
        for round in 0..ROUNDS {
            step(round);
        }
        means.push(start.elapsed() / ROUNDS);
    }
    means.sort_unstable();
    let (median, worst) = (means[BATCHES / 2], means[BATCHES - 1]);
    println!("{label}: median {median:?}, slowest batch {worst:?}");
}

/// Measures choices with `models` artifacts spread over the targets; with 1, every target is a candidate.
fn choices(targets: usize, models: usize) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(0x5eed_0000_0005);
    let artifacts: Vec<Artifact> = (0..models)
        .map(|model| format!("m{model}@1").parse())
        .collect::<Result<_, _>>()?;
    let mut table = Table::new(table::Config::default(), "a".parse()?);
    for index in 0..targets {
        let copies: Vec<Artifact> = (0..4.min(models))
            .map(|copy| artifacts[(index + copy * 7) % models].clone())
            .collect();
        table.observe(
            report(index, &copies, &mut rng)?,
            Duration::ZERO,
            Point::ZERO,
        );
    }
    let rule = PowerOfTwo::default();
    let mut affinity = choice::Affinity::default();
    let answered = Outcome::Answered(Duration::from_millis(100));
    let label = format!("choice with start and end, {targets} targets, {models} models");
    time(&label, |round| {
        let now = Point::from_millis(1000) + Duration::from_micros(u64::from(round));
        let need = Need::Artifact(&artifacts[round as usize % models]);
        let found = table.candidates(need, &[], now);
        let prefix = Some(Prefix(u64::from(round % 5000)));
        if let Some(slot) = rule.choose(&found, prefix, &mut affinity, now, &mut rng) {
            table.started(slot, need, now);
            table.finished(slot, need, answered, now);
            black_box(slot);
        }
    });
    Ok(())
}

fn admission() -> Outcomes {
    let teams: Vec<id::Team> = (0..10)
        .map(|team| format!("team{team}").parse())
        .collect::<Result<_, _>>()?;
    let models: Vec<id::Model> = (0..30)
        .map(|model| format!("m{model}").parse())
        .collect::<Result<_, _>>()?;
    for queued in [0_u32, 50] {
        let mut gate = Gate::new(admission::Config::default());
        for model in &models {
            gate.set_capacity(model, 64);
        }
        let far = Point::from_millis(1_000_000_000);
        let request = |key: u32| AdmissionRequest {
            key,
            team: teams[key as usize % teams.len()].clone(),
            priority: Priority::Standard,
            deadline: far,
        };
        for model in &models {
            for key in 0..if queued > 0 { 64 + queued } else { 0 } {
                gate.offer(model, request(key), Point::ZERO);
            }
        }
        let label = format!("admission with end and next, 30 models, {queued} waiting each");
        time(&label, |round| {
            let model = &models[round as usize % models.len()];
            black_box(gate.offer(model, request(round), Point::ZERO));
            gate.finished(model, Some(Duration::from_millis(100)));
            black_box(gate.next(model, Point::ZERO));
        });
    }
    Ok(())
}

fn main() -> Outcomes {
    choices(24, 30)?;
    choices(24, 1)?;
    choices(467, 820)?;
    choices(467, 1)?;
    admission()
}
