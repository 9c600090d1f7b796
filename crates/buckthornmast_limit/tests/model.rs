//! A search over instances, accounts, cuts and restarts for windows in which a target gets more than its limit allows.
//! Each case prints its setting, with the seed, if it fails.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use world::{Policy, Setting, World, check_windows};

const INSTANCES: [usize; 4] = [2, 8, 60, 300];
const RATES: [f64; 5] = [0.3, 2.1, 12.0, 80.0, 500.0];

/// Returns a setting without trouble, in which the target states a limit from second 2 on and callers want three times
/// as much.
fn calm(instances: usize, limit: f64, seed: u64) -> Setting {
    Setting {
        policy: Policy::Account,
        instances,
        demand: (3.0 * limit).max(20.0),
        skew: 0.8,
        limits: vec![(Point::ZERO, None), (Point::from_millis(2000), Some(limit))],
        end: Point::from_millis(22_000),
        losses: Vec::new(),
        cuts: Vec::new(),
        counts_cut: true,
        restarts: Vec::new(),
        seed,
    }
}

fn random_point(rng: &mut SmallRng, from: u64, to: u64) -> Point {
    Point::from_millis(rng.random_range(from..to))
}

/// Adds losses of the account, cuts and restarts at random times.
fn add_trouble(setting: &mut Setting) {
    let rng = &mut SmallRng::seed_from_u64(setting.seed ^ 0xfeed);
    for _ in 0..rng.random_range(0..4) {
        let time = Duration::from_millis(rng.random_range(200..1200));
        let at = random_point(rng, 2000, 20_000);
        setting.losses.push((at, time));
    }
    setting.losses.sort();
    for _ in 0..rng.random_range(0..setting.instances) {
        let index = rng.random_range(0..setting.instances);
        let from = random_point(rng, 1000, 18_000);
        let time = Duration::from_millis(rng.random_range(100..9000));
        setting.cuts.push((index, from, from + time));
    }
    for _ in 0..rng.random_range(0..setting.instances) {
        let index = rng.random_range(0..setting.instances);
        let at = random_point(rng, 1000, 20_000);
        setting.restarts.push((index, at));
    }
}

fn check(setting: &Setting) -> Result<(), String> {
    let (arrivals, _) = World::new(setting.clone()).run();
    check_windows(setting, &arrivals)
}

#[test]
fn windows_without_trouble() {
    for instances in INSTANCES {
        for (limit, seed) in RATES.into_iter().zip(1..) {
            let setting = calm(instances, limit, seed);
            check(&setting).unwrap();
        }
    }
}

#[test]
fn windows_with_cuts_and_restarts() {
    for instances in INSTANCES {
        for limit in RATES {
            for seed in 10..14 {
                let mut setting = calm(instances, limit, seed);
                add_trouble(&mut setting);
                check(&setting).unwrap();
            }
        }
    }
}

#[test]
fn windows_of_changing_limits() {
    for instances in [2, 60] {
        // The last ones: a new account granted many requests by a limit that was out of date.
        for seed in (20..40).chain([2010, 2013, 2120, 2472]) {
            let rng = &mut SmallRng::seed_from_u64(seed);
            let mut setting = calm(instances, 2.1, seed);
            // An instance that is cut off hears of a lower limit only from the answer to a request of its own.
            setting.counts_cut = false;
            let mut at = Point::from_millis(2000);
            while at < setting.end {
                let limit = rng.random_range(-1.5_f64..6.0).exp();
                setting.limits.push((at, Some(limit)));
                at = at + Duration::from_millis(rng.random_range(50..6000));
            }
            add_trouble(&mut setting);
            check(&setting).unwrap();
        }
    }
}

#[test]
fn windows_after_loss_of_account() {
    for instances in INSTANCES {
        for limit in RATES {
            let mut setting = calm(instances, limit, 50);
            // The account stays lost to the end.
            setting.losses = vec![(Point::from_millis(8000), Duration::from_secs(60))];
            check(&setting).unwrap();
        }
    }
}

#[test]
fn windows_while_half_are_cut() {
    for instances in INSTANCES {
        for limit in RATES {
            let mut setting = calm(instances, limit, 60);
            let end = setting.end;
            setting.cuts = (0..instances / 2)
                .map(|index| (index, Point::from_millis(7000), end))
                .collect();
            check(&setting).unwrap();
        }
    }
}

/// The search finds an equal share a window too small for it, and a whole limit for each instance.
#[test]
fn windows_with_planted_faults() {
    let mut setting = calm(60, 2.1, 1);
    setting.policy = Policy::WholeLimit;
    assert!(check(&setting).is_err());
    setting.policy = Policy::EqualShare;
    // Equal shares are a request in 29 s here, and all of them come together.
    setting.end = Point::from_millis(40_000);
    assert!(check(&setting).is_err());
}

#[test]
fn nine_tenths_used() {
    for instances in INSTANCES {
        for limit in RATES {
            let setting = calm(instances, limit, 70);
            let (arrivals, world) = World::new(setting.clone()).run();
            let from = Point::from_millis(5000);
            let served = arrivals.iter().filter(|arrival| arrival.at >= from).count() as f64;
            let allowed = limit * setting.end.since(from).as_secs_f64();
            // One request more or less at either end of the time.
            assert!(
                served + 2.0 >= 0.9 * allowed,
                "{served} of {allowed}: {setting:?}"
            );
            assert!(world.refused > 0, "{setting:?}");
        }
    }
}

/// A target is not left without any request because the account is lost.
#[test]
fn requests_without_account() {
    for instances in [2, 8, 60] {
        let mut setting = calm(instances, 2.1, 80);
        setting.end = Point::from_millis(120_000);
        setting.losses = vec![(Point::from_millis(8000), Duration::from_secs(600))];
        let (arrivals, _) = World::new(setting.clone()).run();
        let alone = arrivals
            .iter()
            .filter(|arrival| arrival.at >= Point::from_millis(12_000))
            .count();
        assert!(alone > 0, "{setting:?}");
    }
}

/// The end of a limit is noticed, and requests then come back in steps.
#[test]
fn end_of_limit() {
    for instances in [2, 60] {
        for seed in 90..95 {
            let mut setting = calm(instances, 2.1, seed);
            setting.demand = 200.0;
            let end = Point::from_millis(10_000);
            setting.limits.push((end, None));
            let (arrivals, _) = World::new(setting.clone()).run();
            let count = |from: u64, to: u64| {
                let (from, to) = (
                    end + Duration::from_millis(from),
                    end + Duration::from_millis(to),
                );
                let within = arrivals
                    .iter()
                    .filter(|arrival| from <= arrival.at && arrival.at < to);
                within.count()
            };
            // One interval until a request is granted, and 2 s until the rate is no longer accounted for.
            assert!(count(6000, 8000) > 300, "{setting:?}");
            assert!(count(0, 1000) < 20, "{setting:?}");
        }
    }
}

/// Callers that are refused one after the other are told to come back one after the other.
#[test]
fn advice_spread() {
    let setting = calm(8, 2.1, 100);
    let (_, world) = World::new(setting).run();
    let last = &world.advices[world.advices.len() - 20..];
    assert!(
        last.iter()
            .all(|advice| *advice > Duration::from_millis(400))
    );
    assert!(last.iter().all(|advice| *advice <= Duration::from_secs(11)));
}
