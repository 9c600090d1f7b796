//! Invariants of short runs with fixed seeds. Scores are not checked.

use buckthornmast_placement::named::NamedPolicy;
use buckthornmast_replay::{
    deployment::{Deployment, KUEHLWERK, PEACH_GROOVE},
    prelude::*,
    routing::{LeastLoaded, PowerOfTwo, Random},
    trace::{Fault, KINDS},
};

const RUN_SECONDS: f64 = 300.0;

#[cfg(test)]
fn play<R: Rule>(deployment: &Deployment, kind: Kind, policy: &str, seed: u64, rule: &R) -> Score {
    let specs = deployment.specs(seed);
    let trace = Trace::new(deployment, &specs, kind, seed, RUN_SECONDS);
    let policy: NamedPolicy = policy.parse().expect("a policy");
    world::run(deployment, &specs, &trace, &[policy; 2], rule, seed)
}

/// Guards against overcommitted memory, loads beyond the load quota, unloads of a last copy and orders
/// that an engine refuses. The run itself records these violations.
#[test]
fn run_every_trace() {
    for deployment in [KUEHLWERK, PEACH_GROOVE] {
        for kind in KINDS {
            for policy in [
                "static",
                "greedy",
                "marginal",
                "marginal cost=0 hold=0 knee=0.5",
            ] {
                let score = play(&deployment, kind, policy, 7, &PowerOfTwo);
                let case = format!("{} {} {policy}", deployment.name, kind.name());
                assert_eq!(score.violations, Vec::<String>::new(), "{case}");
                assert!(
                    score.requests > 0 && score.in_time <= score.requests,
                    "{case}"
                );
            }
        }
    }
}

/// Guards against artifacts that lose all copies although no engine is lost, including during a rollout.
#[test]
fn run_keeps_copies() {
    for kind in [
        Kind::Morning,
        Kind::Burst,
        Kind::Cold,
        Kind::Orders,
        Kind::Store,
        Kind::Rollout,
    ] {
        for policy in ["static", "greedy", "marginal cost=0 hold=0 knee=0.5"] {
            let score = play(&KUEHLWERK, kind, policy, 8, &PowerOfTwo);
            assert_eq!(score.unreachable_seconds, 0.0, "{} {policy}", kind.name());
            assert_eq!(
                score.replaced_copies, 0,
                "{policy} leaves copies of replaced versions"
            );
        }
    }
}

/// Guards against a crashed engine whose artifacts are never loaded elsewhere.
#[test]
fn run_replaces_dead_engine() {
    let specs = PEACH_GROOVE.specs(9);
    let mut trace = Trace::new(&PEACH_GROOVE, &specs, Kind::Morning, 9, RUN_SECONDS);
    trace.faults = vec![(30.0, Fault::Crash(3))];
    let declared = PEACH_GROOVE.declared(&specs);
    let only_copies = declared.iter().filter(|targets| **targets == [3]).count();
    assert!(
        only_copies > 0,
        "no artifact is declared at this engine alone; choose another seed"
    );
    for policy in ["static", "greedy", "marginal"] {
        let policies = [policy.parse::<NamedPolicy>().unwrap(); 2];
        let score = world::run(&PEACH_GROOVE, &specs, &trace, &policies, &PowerOfTwo, 9);
        // Each of these artifacts may be without a copy for up to 120 s.
        let limit = only_copies as f64 * 120.0;
        assert!(
            score.unreachable_seconds < limit,
            "{policy}: {} artifact-seconds without a copy",
            score.unreachable_seconds
        );
    }
}

/// Guards against runs with the same seed that differ, which would make figures irreproducible.
#[test]
fn run_same_seed() {
    let run = || play(&PEACH_GROOVE, Kind::Orders, "marginal", 10, &PowerOfTwo);
    let (first, second) = (run(), run());
    assert_eq!(first.log, second.log);
    assert_eq!(first.in_time, second.in_time);
}

/// Guards against policies of two teams that move or unload each other's artifacts.
#[test]
fn run_mixed_policies() {
    let specs = KUEHLWERK.specs(12);
    let trace = Trace::new(&KUEHLWERK, &specs, Kind::Burst, 12, RUN_SECONDS);
    let policies = ["greedy fill=0.3", "marginal"].map(|text| text.parse::<NamedPolicy>().unwrap());
    let score = world::run(&KUEHLWERK, &specs, &trace, &policies, &PowerOfTwo, 12);
    assert_eq!(score.violations, Vec::<String>::new());
    assert_eq!(score.unreachable_seconds, 0.0);
}

/// Guards against a routing rule with which no request is answered in time.
#[test]
fn run_every_rule() {
    let deployment = PEACH_GROOVE;
    let (kind, policy) = (Kind::Burst, "static");
    let least = play(&deployment, kind, policy, 11, &LeastLoaded);
    let random = play(&deployment, kind, policy, 11, &Random);
    assert!(least.in_time > 0 && random.in_time > 0);
}
