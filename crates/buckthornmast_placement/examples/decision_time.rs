//! Prints how long one decision of all teams and the arbiter takes, by size.

use std::time::{Duration, Instant};

use buckthornmast_placement::{named::Team, prelude::*, view::*};
use buckthornmast_types::{prelude::*, report::Phase};

/// Adapters for each model.
const ADAPTERS: usize = 2;
/// Teams.
const TEAMS: usize = 4;
/// Decisions of which the median and the longest are printed.
const DECISIONS: usize = 50;

type Failure = Box<dyn std::error::Error>;

fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap_or_default()
}

fn host(i: usize) -> Result<Host, Failure> {
    Ok(Host {
        service: 0,
        id: format!("t{i:04}").parse()?,
        domain: i % 4,
        memory: Bytes::gib(320),
        free: Bytes::gib(320),
        health: Health::Ready,
        controlled: true,
        load: report::Load::default(),
        capacity: rate(7_000.0),
    })
}

fn item(name: &str, model: usize, base: Option<usize>, gib: u64) -> Result<Item, Failure> {
    Ok(Item {
        service: 0,
        artifact: name.parse()?,
        team: model % TEAMS,
        bytes: Bytes::gib(gib),
        base,
        replaced_by: None,
        demand: Demand::default(),
        copies: Default::default(),
        declared: Default::default(),
        deadline: Duration::from_secs(8),
        weight: 1.0,
    })
}

/// Returns a view in which memory is nearly full of spare copies.
fn view(models: usize, targets: usize) -> Result<View, Failure> {
    let mut view = View {
        targets: (0..targets).map(host).collect::<Result<_, _>>()?,
        store: Store {
            available: 10,
            concurrent: 10,
            speed: 4e9,
        },
        ..View::default()
    };
    for i in 0..TEAMS {
        let id = format!("team{i}").parse()?;
        let (weight, moves) = (1.0, 1.0);
        view.teams
            .push(buckthornmast_placement::view::Team { id, weight, moves });
    }
    for model in 0..models {
        let name = format!("m{model}@1");
        let gib = 40 + model as u64 * 7 % 60;
        let base = view.artifacts.len();
        view.artifacts.push(item(&name, model, None, gib)?);
        for adapter in 0..ADAPTERS {
            let name = format!("{name}+a{adapter}@1");
            view.artifacts.push(item(&name, model, Some(base), 1)?);
        }
    }
    for turn in 0..targets * 8 {
        let model = turn % models * (ADAPTERS + 1);
        let target = turn * 13 % targets;
        let phase = Phase::Ready;
        for artifact in model..=model + ADAPTERS {
            let entry = &mut view.artifacts[artifact];
            let host = &mut view.targets[target];
            let placed = entry.copies.iter().any(|copy| copy.target == target);
            if host.free >= entry.bytes && !placed {
                host.free = host.free.saturating_sub(entry.bytes);
                entry.copies.push(Copy { target, phase });
            } else if artifact == model {
                break;
            }
        }
    }
    Ok(view)
}

/// Sets demand above the capacity and moves the hot models with every decision.
fn shift_demand(view: &mut View, turn: usize) {
    let capacity: f64 = view.targets.iter().map(|host| host.capacity.get()).sum();
    let count = view.artifacts.len();
    let mean = 1.2 * capacity / count as f64;
    for (i, entry) in view.artifacts.iter_mut().enumerate() {
        let factor = if (i * 31 + turn * 17).is_multiple_of(10) {
            5.5
        } else {
            0.5
        };
        entry.demand.tokens = rate(mean * factor);
        entry.demand.rate = rate(mean * factor / 120.0);
    }
}

fn measure(policy: Named, models: usize, targets: usize) -> Result<(), Failure> {
    let mut view = view(models, targets)?;
    let mut teams: Vec<Team> = (0..TEAMS).map(|_| Team::new(policy)).collect();
    let mut times = Vec::new();
    let mut moves = 0;
    for turn in 0..DECISIONS {
        view.now = view.now + Duration::from_secs(200);
        shift_demand(&mut view, turn);
        let start = Instant::now();
        let decided = teams.iter_mut().enumerate();
        let wishes: Vec<_> = decided
            .map(|(at, team)| team.decide(&view, at, 16))
            .collect();
        let granted = arbitrate(&view, &wishes, 10);
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

fn main() -> Result<(), Failure> {
    println!("| models | targets | policy | median ms | longest ms | moves per decision |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (models, targets) in [(30, 20), (200, 120), (820, 470)] {
        for policy in ["static", "greedy", "marginal"] {
            measure(policy.parse()?, models, targets)?;
        }
    }
    Ok(())
}
