//! Measures one plan of a controller that sees the targets of all failure domains.
//!
//! `cargo run --release -p buckthornmast_daemon --example plan_time`
//!
//! Prints the load average of the machine, and for each size the number of models and adapters ("names") and of
//! targets, and the median and the longest time of five plans.

use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    time::{Duration, Instant},
};

use buckthornmast_consensus::machine::{LogTime, StateMachine};
use buckthornmast_controller::plan::{PlanSource, View};
use buckthornmast_daemon::{
    current::Current,
    demand::Demand,
    plan::Planner,
    reports::Reports,
    shadow::Shadows,
    targets::{Origin, Targets},
};
use buckthornmast_state::{
    machine::{Command, State},
    settings::{Change, Scope, Write},
};
use buckthornmast_types::{
    id,
    report::{Copy, Load, Phase, Report},
    size::Bytes,
    time::{System, unix_millis},
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Adapters of each model.
const ADAPTERS_PER_MODEL: usize = 4;

/// Measured plans of each size.
const PLAN_COUNT: usize = 5;

fn write(state: &mut State, scope: Scope, values: &[(String, String)]) {
    for values in values.chunks(1000) {
        let change = |(path, value): &(String, String)| Change {
            path: path.clone(),
            value: Some(value.clone()),
        };
        let write = Write {
            scope: scope.clone(),
            id: id::Write::generate(),
            base: state.tree().scope_revision(&scope),
            changes: values.iter().map(change).collect(),
        };
        state.apply(id::Index(1), LogTime(unix_millis()), &Command::Write(write));
    }
}

fn settings(models: usize) -> Result<Current> {
    let row = |path: &str, value: &str| (path.to_owned(), value.to_owned());
    let mut state = State::default();
    let platform = [
        row("platform/name", "measured"),
        row("domain/north/region", "demo"),
        row("kind/engine/role", "model"),
        row("kind/engine/fencing", "honoured"),
        row("kind/engine/access", "checked"),
        row("service/chat/kind", "engine"),
        row("team/press/share", "1"),
    ];
    write(&mut state, Scope::Platform, &platform);
    let mut team = vec![
        row("policy/name", "static"),
        row("objective/chat/deadline", "20s"),
        row("objective/chat/attainment", "0.95"),
        row("objective/chat/window", "28d"),
    ];
    for model in 0..models {
        let key = |name: &str| format!("model/model-{model:04}/{name}");
        for (name, value) in [
            ("service", "chat"),
            ("version", "7"),
            ("memory", "14GiB"),
            ("objective", "chat"),
            ("copies", "2"),
        ] {
            team.push((key(name), value.to_owned()));
        }
        for adapter in 0..ADAPTERS_PER_MODEL {
            let key = |name: &str| format!("adapter/adapter-{model:04}-{adapter}/{name}");
            team.push((key("model"), format!("model-{model:04}")));
            team.push((key("version"), "3".to_owned()));
            team.push((key("memory"), "300MiB".to_owned()));
        }
    }
    write(&mut state, Scope::Team("press".parse()?), &team);
    let current = Current::default();
    current.advance(state.tree());
    Ok(current)
}

/// Returns the report of an engine; all engines together have every artifact.
fn report(target: usize, count: usize, models: usize) -> Result<Report> {
    let copy = |artifact: String| -> Result<Copy> {
        Ok(Copy {
            artifact: artifact.parse()?,
            phase: Phase::Ready,
            bytes: Bytes(300 << 20),
        })
    };
    let mut copies = Vec::new();
    let each = models.div_ceil(count);
    for model in (0..each).map(|number| (target * each + number) % models) {
        let base = format!("model-{model:04}@7");
        copies.push(copy(base.clone())?);
        for adapter in 0..ADAPTERS_PER_MODEL {
            copies.push(copy(format!("{base}+adapter-{model:04}-{adapter}@3"))?);
        }
    }
    Ok(Report {
        target: format!("engine-{target:04}").parse()?,
        domain: "north".parse()?,
        kind: "engine".parse()?,
        service: "chat".parse()?,
        address: "10.20.30.40:8000".parse()?,
        incarnation: id::Incarnation(1),
        sequence: 1,
        is_leaving: false,
        accelerators: 4,
        memory: Bytes(320 << 30),
        copies,
        token: id::Token(1),
        load: Load::default(),
    })
}

fn measure(models: usize, count: usize) -> Result<()> {
    let clock = System::start();
    let current = settings(models)?;
    let names = current.get().catalog.models.len();
    let targets = Targets::new(clock);
    for target in 0..count {
        targets.accept(
            report(target, count, models)?,
            Duration::ZERO,
            Origin::Instance,
        );
    }
    let demand = Demand::new(clock, []);
    let mut planner = Planner {
        domain: "north".parse()?,
        current: current.clone(),
        targets,
        demand,
        clock,
        teams: BTreeMap::new(),
        shadows: Shadows::new(Reports::new(current.clone())),
    };
    let mut times = Vec::new();
    for _ in 0..PLAN_COUNT {
        let controlled = View::default();
        let start = Instant::now();
        std::hint::black_box(planner.plan(&controlled));
        times.push(start.elapsed());
    }
    times.sort();
    println!(
        "{names} names, {count} targets: median {:.1?}, longest {:.1?}",
        times[PLAN_COUNT / 2],
        times[PLAN_COUNT - 1]
    );
    Ok(())
}

fn main() -> Result<()> {
    println!("load {}", fs::read_to_string("/proc/loadavg")?.trim());
    for (models, targets) in [(30, 24), (200, 120), (820, 467), (820, 4200)] {
        measure(models, targets)?;
    }
    Ok(())
}
