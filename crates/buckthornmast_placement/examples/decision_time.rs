//! Prints the time that one decision of all teams and the arbiter takes, by size of the deployment.
//!
//! `cargo run --release -p buckthornmast_placement --example decision_time`
//!
//! The output is a Markdown table with the median and the longest of 50 decisions in milliseconds, and the mean number
//! of granted moves, for each size and policy. Memory is nearly full and demand shifts before every decision.

use std::time::{Duration, Instant};

use buckthornmast_placement::{named, prelude::*, view::*};
use buckthornmast_types::{prelude::*, report::Phase};

/// Number of adapters of each model.
const ADAPTERS_PER_MODEL: usize = 2;
/// Number of teams.
const TEAMS: usize = 4;
/// Number of decisions of which the median and the longest time are printed.
const DECISIONS: usize = 50;

type BoxError = Box<dyn std::error::Error>;

fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap_or_default()
}

fn target(i: usize) -> Result<Target, BoxError> {
    Ok(Target {
        service: 0,
        id: format!("t{i:04}").parse()?,
        domain: i % 4,
        memory: Bytes::gib(320),
        free: Bytes::gib(320),
        health: Health::Ready,
        is_controlled: true,
        load: report::Load::default(),
        capacity: rate(7_000.0),
    })
}

fn item(name: &str, model: usize, base: Option<usize>, gib: u64) -> Result<ArtifactView, BoxError> {
    Ok(ArtifactView {
        service: 0,
        artifact: name.parse()?,
        team: model % TEAMS,
        bytes: Bytes::gib(gib),
        base,
        replaced_by: None,
        demand: Demand::default(),
        copies: Default::default(),
        declared_targets: Default::default(),
        deadline: Duration::from_secs(8),
        weight: 1.0,
    })
}

/// Returns a view in which memory is nearly full of spare copies.
fn view(models: usize, targets: usize) -> Result<View, BoxError> {
    let mut view = View {
        targets: (0..targets).map(target).collect::<Result<_, _>>()?,
        store: Store {
            available_loads: 10,
            max_concurrent_loads: 10,
            bytes_per_second: 4e9,
        },
        ..View::default()
    };
    for i in 0..TEAMS {
        let id = format!("team{i}").parse()?;
        let (weight, moves) = (1.0, 1.0);
        view.teams.push(Team {
            id,
            weight,
            moves_weight: moves,
        });
    }
    for model in 0..models {
        let name = format!("m{model}@1");
        let gib = 40 + model as u64 * 7 % 60;
        let base = view.artifacts.len();
        view.artifacts.push(item(&name, model, None, gib)?);
        for adapter in 0..ADAPTERS_PER_MODEL {
            let name = format!("{name}+a{adapter}@1");
            view.artifacts.push(item(&name, model, Some(base), 1)?);
        }
    }
    for round in 0..targets * 8 {
        let model = round % models * (ADAPTERS_PER_MODEL + 1);
        let target = round * 13 % targets;
        let phase = Phase::Ready;
        for artifact in model..=model + ADAPTERS_PER_MODEL {
            let entry = &mut view.artifacts[artifact];
            let host = &mut view.targets[target];
            let is_placed = entry.copies.iter().any(|copy| copy.target == target);
            if host.free >= entry.bytes && !is_placed {
                host.free = host.free.saturating_sub(entry.bytes);
                entry.copies.push(Copy { target, phase });
            } else if artifact == model {
                break;
            }
        }
    }
    Ok(view)
}

/// Sets demand above the capacity and changes the hot models with every decision.
fn shift_demand(view: &mut View, decision: usize) {
    let capacity: f64 = view
        .targets
        .iter()
        .map(|target| target.capacity.get())
        .sum();
    let count = view.artifacts.len();
    let mean = 1.2 * capacity / count as f64;
    for (i, entry) in view.artifacts.iter_mut().enumerate() {
        let factor = if (i * 31 + decision * 17).is_multiple_of(10) {
            5.5
        } else {
            0.5
        };
        entry.demand.tokens = rate(mean * factor);
        entry.demand.rate = rate(mean * factor / 120.0);
    }
}

fn measure(policy: NamedPolicy, models: usize, targets: usize) -> Result<(), BoxError> {
    let mut view = view(models, targets)?;
    let mut teams: Vec<named::TeamPolicy> =
        (0..TEAMS).map(|_| named::TeamPolicy::new(policy)).collect();
    let mut times = Vec::new();
    let mut moves = 0;
    for decision in 0..DECISIONS {
        view.now = view.now + Duration::from_secs(200);
        shift_demand(&mut view, decision);
        let start = Instant::now();
        let deciding_teams = teams.iter_mut().enumerate();
        let proposals: Vec<_> = deciding_teams
            .map(|(at, team)| team.decide(&view, at, 16))
            .collect();
        let granted = arbitrate(&view, &proposals, 10);
        times.push(start.elapsed());
        moves += granted.len();
    }
    times.sort();
    let name = policy.to_string();
    let name = name.split(' ').next().unwrap_or_default();
    println!(
        "| {models} | {targets} | {name} | {:.2} | {:.2} | {:.1} |",
        times[DECISIONS / 2].as_secs_f64() * 1e3,
        times[DECISIONS - 1].as_secs_f64() * 1e3,
        moves as f64 / DECISIONS as f64
    );
    Ok(())
}

fn main() -> Result<(), BoxError> {
    println!("| models | targets | policy | median ms | longest ms | moves per decision |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (models, targets) in [(30, 20), (200, 120), (820, 470)] {
        for policy in ["static", "greedy", "marginal"] {
            measure(policy.parse()?, models, targets)?;
        }
    }
    Ok(())
}
