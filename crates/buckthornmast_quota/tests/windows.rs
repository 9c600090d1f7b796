//! A search over losses, cuts, restarts, suspended processes and changes of leader and quota for windows in which an
//! organisation spends more than its quota allows. Each mechanism that is switched off is found.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use world::{Fault, Setting, Spread, Trouble, World, check_windows, quota};

const CASES: u64 = 100;

/// Returns a setting with troubles at random times, in which callers ask for several times the quota.
fn setting(seed: u64, fault: Fault) -> Setting {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let instances = [2, 6, 24][rng.random_range(0..3)];
    let rate = [2_000.0, 40_000.0][rng.random_range(0..2)];
    let mut troubles = Vec::new();
    for _ in 0..rng.random_range(0..5) {
        let index = rng.random_range(0..instances);
        let trouble = match rng.random_range(0..5) {
            // As many as a failure domain has.
            0 => {
                let at = Point::from_millis(rng.random_range(1000..20_000));
                let time = Duration::from_millis(rng.random_range(500..6000));
                for index in 0..instances / 4 {
                    troubles.push((at, time, Trouble::Cut(index)));
                }
                continue;
            }
            1 => Trouble::Freeze(index),
            2 => Trouble::Restart(index),
            3 => Trouble::Leader,
            _ => Trouble::FreezeLeader,
        };
        let at = Point::from_millis(rng.random_range(1000..20_000));
        troubles.push((
            at,
            Duration::from_millis(rng.random_range(100..3000)),
            trouble,
        ));
    }
    Setting {
        instances,
        quota: quota(rate, rate * [0.2, 1.0, 3.0][rng.random_range(0..3)]),
        changes: Vec::new(),
        demand: [0.7, 1.5, 7.0][rng.random_range(0..3)],
        spread: [Spread::One, Spread::All, Spread::Moving][rng.random_range(0..3)],
        cost: [50, 400][rng.random_range(0..2)],
        slack: 0.0,
        refused: [0.0, 0.1, 0.7][rng.random_range(0..3)],
        troubles,
        fault,
        end: Point::from_millis(24_000),
        seed,
    }
}

fn check(setting: &Setting) -> Result<f64, String> {
    let outcome = World::new(setting.clone()).run();
    check_windows(&outcome.runs, &setting.quota, 4.0 * setting.cost as f64)
}

#[test]
fn windows_with_troubles() {
    for seed in 0..CASES {
        let setting = setting(seed, Fault::None);
        check(&setting).unwrap_or_else(|error| panic!("{error}: {setting:?}"));
    }
}

/// Returns a setting in which callers at all of 24 instances ask for several times the quota.
fn hard(fault: Fault, seed: u64) -> Setting {
    let mut setting = Setting {
        instances: 24,
        quota: quota(20_000.0, 20_000.0),
        changes: Vec::new(),
        demand: 7.0,
        spread: Spread::All,
        cost: 200,
        slack: 0.0,
        refused: 0.0,
        troubles: Vec::new(),
        fault,
        end: Point::from_millis(24_000),
        seed,
    };
    let at = Point::from_millis;
    match fault {
        Fault::None => {}
        Fault::Lifetime => setting.spread = Spread::Gathering,
        Fault::FullStart => {
            let changes = (1..10).map(|turn| {
                let time = Duration::from_millis(500);
                (at(turn * 2000), time, Trouble::Leader)
            });
            setting.troubles = changes.collect();
        }
        Fault::Duplicates | Fault::OldReturns => setting.refused = 0.7,
        Fault::Reserve => {
            let time = Duration::from_millis(1400);
            setting.troubles = vec![(at(13_600), time, Trouble::FreezeLeader)];
            (setting.spread, setting.cost) = (Spread::Gathering, 50);
        }
    }
    setting
}

/// Guards against a search that finds nothing: without one of the mechanisms, windows have too much.
#[test]
fn windows_with_faults_found() {
    for fault in [
        Fault::Lifetime,
        Fault::FullStart,
        Fault::Duplicates,
        Fault::Reserve,
        Fault::OldReturns,
    ] {
        for seed in 0..3 {
            let mut setting = hard(fault, seed);
            assert!(check(&setting).is_err(), "{fault:?} isn't found");
            setting.fault = Fault::None;
            check(&setting).unwrap_or_else(|error| panic!("{error}: {setting:?}"));
        }
    }
}

/// Guards against a lowered quota that doesn't bind one window later.
#[test]
fn windows_after_lowered_quota() {
    for seed in 0..20 {
        let mut setting = setting(seed, Fault::None);
        let lower = quota(setting.quota.rate.get() / 4.0, setting.quota.burst / 4.0);
        setting.demand = 7.0;
        setting.changes = vec![(Point::from_millis(6000), lower)];
        setting.end = Point::from_millis(26_000);
        let outcome = World::new(setting.clone()).run();
        let from = Point::from_millis(100_000 + 6000 + 1000);
        let later: Vec<_> = outcome
            .runs
            .into_iter()
            .filter(|(at, _)| *at >= from)
            .collect();
        check_windows(&later, &lower, 4.0 * setting.cost as f64).unwrap();
    }
}
