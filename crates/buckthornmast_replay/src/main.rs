//! Replays traces against policies and prints a table of the results.

use std::{process::ExitCode, thread};

use buckthornmast_placement::named::NamedPolicy;
use buckthornmast_replay::{
    deployment::{Deployment, KUEHLWERK, PEACH_GROOVE},
    routing::{LeastLoaded, PowerOfTwo, Random},
    score::Score,
    trace::{KINDS, Kind, Trace},
    world,
};

mod flags {
    xflags::xflags! {
        /// Replays traces against placement policies and routing rules.
        cmd replay {
            /// Deployment: kuehlwerk or peach-groove; both by default.
            optional --deployment name: String
            /// Trace; all by default.
            optional --trace name: String
            /// Policy with parameters, such as "greedy fill=0.4"; repeated. All by default.
            repeated --policy text: String
            /// Routing rule: least-loaded, random or power-of-two (default).
            optional --rule name: String
            /// Number of seeds; 10 by default.
            optional --seeds count: u64
            /// First seed; 1 by default.
            optional --first seed: u64
            /// Length of a run in virtual seconds; 2400 by default.
            optional --seconds seconds: f64
            /// Threads, at most 12; 8 by default.
            optional --threads count: usize
        }
    }
}

struct Job {
    deployment: Deployment,
    kind: Kind,
    policy: NamedPolicy,
}

struct Plan {
    jobs: Vec<Job>,
    seeds: std::ops::Range<u64>,
    seconds: f64,
    rule: String,
    threads: usize,
}

fn plan(flags: &flags::Replay) -> Result<Plan, String> {
    let matches =
        |filter: &Option<String>, name: &str| filter.as_deref().is_none_or(|only| only == name);
    let texts = match flags.policy.is_empty() {
        true => ["static", "greedy", "marginal"].map(str::to_owned).to_vec(),
        false => flags.policy.clone(),
    };
    let policies: Result<Vec<NamedPolicy>, _> = texts.iter().map(|text| text.parse()).collect();
    let policies = policies.map_err(|error| error.to_string())?;
    let mut jobs = Vec::new();
    for deployment in [KUEHLWERK, PEACH_GROOVE] {
        for kind in KINDS {
            if matches(&flags.deployment, deployment.name) && matches(&flags.trace, kind.name()) {
                let job = |policy: &NamedPolicy| Job {
                    deployment,
                    kind,
                    policy: *policy,
                };
                jobs.extend(policies.iter().map(job));
            }
        }
    }
    if jobs.is_empty() {
        return Err("the given names match no deployment or no trace".to_owned());
    }
    let first = flags.first.unwrap_or(1);
    Ok(Plan {
        jobs,
        seeds: first..first + flags.seeds.unwrap_or(10),
        seconds: flags.seconds.unwrap_or(2400.0),
        rule: flags
            .rule
            .clone()
            .unwrap_or_else(|| "power-of-two".to_owned()),
        threads: flags.threads.unwrap_or(8).clamp(1, 12),
    })
}

fn play(plan: &Plan, job: &Job, seed: u64) -> Result<Score, String> {
    let specs = job.deployment.specs(seed);
    let trace = Trace::new(&job.deployment, &specs, job.kind, seed, plan.seconds);
    let policies = [job.policy; 2];
    let deployment = &job.deployment;
    match plan.rule.as_str() {
        "least-loaded" => Ok(world::run(
            deployment,
            &specs,
            &trace,
            &policies,
            &LeastLoaded,
            seed,
        )),
        "random" => Ok(world::run(
            deployment, &specs, &trace, &policies, &Random, seed,
        )),
        "power-of-two" => Ok(world::run(
            deployment,
            &specs,
            &trace,
            &policies,
            &PowerOfTwo,
            seed,
        )),
        rule => Err(format!("routing rule {rule:?} is not known")),
    }
}

/// Returns the mean and the sample standard deviation.
fn mean_and_deviation(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let values: Vec<f64> = values.collect();
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0).max(1.0)).sqrt())
}

fn print(job: &Job, scores: &[Score]) {
    let summary = |measure: fn(&Score) -> f64| mean_and_deviation(scores.iter().map(measure));
    let owned = summary(Score::per_owned);
    let occupied = summary(Score::per_occupied);
    let attainment = summary(|score| 100.0 * score.attainment());
    let moves = summary(|score| score.moves as f64);
    let first = summary(Score::p95_first_token);
    let refused = summary(|score| 100.0 * score.refused_share());
    let lost = summary(|score| score.unreachable_seconds);
    let violations: usize = scores.iter().map(|score| score.violations.len()).sum();
    println!(
        "| {} | {} | {} | {:.3} ± {:.3} | {:.3} | {:.2} ± {:.2} | {:.1} ± {:.1} | {:.2} ± {:.2} | {:.2} ± {:.2} | {:.0} | {violations} |",
        job.deployment.name,
        job.kind.name(),
        job.policy,
        owned.0,
        owned.1,
        occupied.0,
        attainment.0,
        attainment.1,
        moves.0,
        moves.1,
        first.0,
        first.1,
        refused.0,
        refused.1,
        lost.0,
    );
    for score in scores {
        if let Some(violation) = score.violations.first() {
            println!("  fault: {violation}");
        }
    }
}

fn replay(flags: &flags::Replay) -> Result<(), String> {
    let plan = plan(flags)?;
    println!(
        "| deployment | trace | policy | attainment % per accelerator owned | per accelerator occupied | attainment % | moves | p95 first token s | refused % | unreachable artifact-s | faults |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for job in &plan.jobs {
        let seeds: Vec<u64> = plan.seeds.clone().collect();
        let chunk = seeds.len().div_ceil(plan.threads).max(1);
        let scores: Result<Vec<Vec<Score>>, String> = thread::scope(|scope| {
            let plan = &plan;
            let runs: Vec<_> = seeds
                .chunks(chunk)
                .map(|seeds| {
                    scope.spawn(move || seeds.iter().map(|seed| play(plan, job, *seed)).collect())
                })
                .collect();
            let joined = runs.into_iter().map(|run| {
                run.join()
                    .unwrap_or_else(|_| Err("a run panicked".to_owned()))
            });
            joined.collect()
        });
        print(job, &scores?.concat());
    }
    Ok(())
}

fn main() -> ExitCode {
    let flags = match flags::Replay::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match replay(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
