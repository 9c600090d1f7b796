//! Compares request path rules under load and faults.
//!
//! `cargo run --release -p buckthornmast_replay --example rules -- [SCENARIO or all] [RULE or all] [SEEDS] [FIRST]`;
//! scenarios and rules may be lists separated by commas. SEEDS is the number of runs (8 by default) and FIRST the seed
//! of the first one (1 by default).
//!
//! The output is a Markdown table with a row for each deployment, scenario and rule. A cell is the mean over the runs
//! and its standard error; the head of the table has the units.

use std::{io::Write, ops::Range, process::ExitCode, thread};

use buckthornmast_placement::{declared::Declared, marginal::Marginal, named::NamedPolicy};
use buckthornmast_replay::{
    deployment::{Deployment, KUEHLWERK, PEACH_GROOVE},
    path::{Daemon, Hedge, Simple},
    routing::{LeastLoaded, PowerOfTwo, Random},
    score::Score,
    trace::{FAULT_START_SECONDS, OVERLOAD_END_SECONDS, SCENARIOS, Scenario, Trace},
    world,
};
use buckthornmast_routing::{budget, dispatcher};

/// Rules, in the order of the printed table.
const RULES: [&str; 10] = [
    "random",
    "least-loaded",
    "power-of-two",
    "daemon",
    "no-adaptive-limit",
    "no-retry-budget",
    "hedge-2",
    "hedge-5",
    "hedge-10",
    "hedge-5-late",
];

/// Second from which requests count for the usual goodput; reports and estimates have settled by then.
const WARM_UP_SECOND: usize = 20;
/// Seconds over which goodput is averaged after an overload.
const RECOVERY_SPAN_SECONDS: usize = 5;
/// Share of the usual goodput that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

fn play(deployment: &Deployment, scenario: Scenario, rule: &str, seed: u64) -> Score {
    let specs = deployment.specs(seed);
    let trace = Trace::scenario(deployment, &specs, scenario, seed);
    let policy = match scenario {
        Scenario::Store => NamedPolicy::Marginal(Marginal::default()),
        _ => NamedPolicy::Static(Declared),
    };
    let default = dispatcher::Config::default();
    let hedge = |share, factor| Some(Hedge { share, factor });
    let (config, hedge) = match rule {
        "random" => return simple(deployment, &specs, &trace, policy, &Random, seed),
        "least-loaded" => return simple(deployment, &specs, &trace, policy, &LeastLoaded, seed),
        "power-of-two" => return simple(deployment, &specs, &trace, policy, &PowerOfTwo, seed),
        "no-adaptive-limit" => (
            dispatcher::Config {
                is_adaptive: false,
                ..default
            },
            None,
        ),
        "no-retry-budget" => (
            dispatcher::Config {
                budget: budget::Config {
                    retries_per_request: 4.0,
                    capacity: f64::INFINITY,
                    ..default.budget
                },
                ..default
            },
            None,
        ),
        "hedge-2" => (default, hedge(0.02, 1.0)),
        "hedge-5" => (default, hedge(0.05, 1.0)),
        "hedge-10" => (default, hedge(0.1, 1.0)),
        "hedge-5-late" => (default, hedge(0.05, 2.0)),
        _ => (default, None),
    };
    let path = |instance| Daemon::new(config, hedge, deployment, instance);
    world::play(deployment, &specs, &trace, &[policy; 2], path, seed)
}

fn simple<R: buckthornmast_replay::routing::Rule>(
    deployment: &Deployment,
    specs: &[buckthornmast_replay::deployment::Spec],
    trace: &Trace,
    policy: NamedPolicy,
    rule: &R,
    seed: u64,
) -> Score {
    let path = |_| Simple::new(rule, false, deployment);
    world::play(deployment, specs, trace, &[policy; 2], path, seed)
}

/// Returns the seconds from the end of the overload until the share of requests answered in time has
/// recovered, or the rest of the run if it never does.
fn recovery_seconds(attained: impl Fn(Range<usize>) -> f64, score: &Score) -> f64 {
    let usual = attained(WARM_UP_SECOND..FAULT_START_SECONDS as usize);
    let end = OVERLOAD_END_SECONDS as usize;
    let last = score.seconds.len().saturating_sub(RECOVERY_SPAN_SECONDS);
    let recovered =
        (end..last).find(|at| attained(*at..at + RECOVERY_SPAN_SECONDS) >= RECOVERED_SHARE * usual);
    (recovered.unwrap_or(last) - end) as f64
}

/// Returns the mean and the standard error of the mean.
fn mean(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
    (mean, deviation / count.max(1.0).sqrt())
}

fn row(deployment: &Deployment, scenario: Scenario, rule: &str, scores: &[Score]) -> String {
    let summary = |measure: &dyn Fn(&Score) -> f64| {
        let values: Vec<f64> = scores.iter().map(measure).collect();
        let (mean, error) = mean(&values);
        format!("{mean:.2} ± {error:.2}")
    };
    let share = |count: u64, score: &Score| 100.0 * count as f64 / score.requests.max(1) as f64;
    let fault_start = FAULT_START_SECONDS as usize;
    let cells = [
        summary(&|score| 100.0 * score.attainment()),
        summary(&|score| 100.0 * score.attained(fault_start..fault_start + 60)),
        summary(&|score| share(score.refused, score)),
        summary(&|score| share(score.failed_tries, score)),
        summary(&|score| 100.0 * score.wasted_share()),
        summary(&|score| share(score.dispatches, score)),
        summary(&|score| share(score.hedges, score)),
        summary(&Score::p95_first_token),
        match scenario {
            Scenario::Overload | Scenario::Classes => [
                summary(&|score| recovery_seconds(|span| score.attained(span), score)),
                summary(&|score| recovery_seconds(|span| score.attained_interactive(span), score)),
            ]
            .join(" | "),
            _ => " | ".to_owned(),
        },
    ];
    let (name, scenario) = (deployment.name, scenario.name());
    format!("| {name} | {scenario} | {rule} | {} |", cells.join(" | "))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let text = |at: usize| arguments.get(at).map_or("all", String::as_str);
    let number = |at: usize, default: u64| {
        arguments
            .get(at)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (seeds, first) = (number(2, 8), number(3, 1));
    let mut out = std::io::stdout().lock();
    let head = "| deployment | scenario | rules | in time % | in time % in the 60 s from the fault | refused % | errors per 100 requests | wasted slot time % | dispatches per 100 requests | second dispatches per 100 requests | p95 first token s | goodput back s | goodput of requests with 8 s back s |";
    let line = format!("|{}", " --- |".repeat(13));
    if writeln!(out, "{head}\n{line}").is_err() {
        return ExitCode::FAILURE;
    }
    for deployment in [KUEHLWERK, PEACH_GROOVE] {
        for scenario in SCENARIOS {
            for rule in RULES {
                let is_selected = |text: &str, name: &str| {
                    text == "all" || text.split(',').any(|only| only == name)
                };
                if !is_selected(text(0), scenario.name()) || !is_selected(text(1), rule) {
                    continue;
                }
                let scores: Option<Vec<Score>> = thread::scope(|scope| {
                    let runs: Vec<_> = (first..first + seeds)
                        .map(|seed| scope.spawn(move || play(&deployment, scenario, rule, seed)))
                        .collect();
                    runs.into_iter().map(|run| run.join().ok()).collect()
                });
                let Some(scores) = scores else {
                    eprintln!("error: a run panicked");
                    return ExitCode::FAILURE;
                };
                if writeln!(out, "{}", row(&deployment, scenario, rule, &scores)).is_err() {
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}
