//! Plays of load: what an organisation gets below its quota, and what one that presses gets.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use buckthornmast_types::time::Point;
use world::{Fault, Outcome, Setting, Spread, World, check_windows, quota};

fn setting(instances: usize, demand: f64, spread: Spread) -> Setting {
    Setting {
        instances,
        quota: quota(40_000.0, 40_000.0),
        changes: Vec::new(),
        demand,
        spread,
        cost: 700,
        slack: 7400.0,
        refused: 0.0,
        troubles: Vec::new(),
        fault: Fault::None,
        end: Point::from_millis(30_000),
        seed: 1,
    }
}

fn play(setting: &Setting) -> Outcome {
    let outcome = World::new(setting.clone()).run();
    let worst = check_windows(&outcome.runs, &setting.quota, setting.slack).unwrap();
    let run: u64 = outcome.runs.iter().map(|(_, cost)| cost).sum();
    println!(
        "{} instances, {:?}, {} x rate: {:.3} of the quota, worst window {worst:.3}, {} refused of {}, {:.0} messages/s, longest wait {:?}",
        setting.instances,
        setting.spread,
        setting.demand,
        run as f64 / (setting.quota.rate.get() * 30.0),
        outcome.refused,
        outcome.asked,
        outcome.messages as f64 / 30.0,
        outcome.longest_wait,
    );
    outcome
}

/// Guards against requests of an organisation below its quota that are refused or wait for more than a round trip or two.
#[test]
fn load_below_quota() {
    for instances in [1, 8, 69, 300] {
        for spread in [Spread::One, Spread::All, Spread::Moving] {
            // The last one uses the burst of each window.
            for demand in [0.3, 0.95, 1.1] {
                let outcome = play(&setting(instances, demand, spread));
                assert_eq!(outcome.refused, 0);
                assert!(outcome.longest_wait < Duration::from_millis(50));
            }
        }
    }
}

/// Guards against an organisation that loses much of its quota when it asks for more.
#[test]
fn load_beyond_quota() {
    for instances in [1, 8, 69, 300] {
        for spread in [Spread::One, Spread::All, Spread::Moving] {
            let setting = setting(instances, 7.0, spread);
            let outcome = play(&setting);
            let run: u64 = outcome.runs.iter().map(|(_, cost)| cost).sum();
            assert!(run as f64 >= 0.95 * 30.0 * setting.quota.rate.get());
        }
    }
}

/// Guards against credit that is lost with requests that targets refuse.
#[test]
fn load_refused_given_back() {
    let mut setting = setting(8, 1.5, Spread::All);
    setting.refused = 0.4;
    let outcome = play(&setting);
    // What was asked, less what targets refused, is below the quota, so nearly all the rest has run.
    let run: u64 = outcome.runs.iter().map(|(_, cost)| cost).sum();
    assert!(
        run as f64 >= 0.80 * 30.0 * setting.quota.rate.get(),
        "{run}"
    );
}
