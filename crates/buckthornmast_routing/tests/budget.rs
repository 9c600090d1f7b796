//! Extra attempts in windows of time.

use std::time::Duration;

use buckthornmast_routing::budget::{WINDOW_SHARE, Window, WindowConfig};
use buckthornmast_types::time::Point;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LENGTH: Duration = Duration::from_secs(10);

/// Guards against a budget that forgets what requests have earned, so that the streams of a failed target can't go on.
#[test]
fn take_after_traffic() {
    let config = WindowConfig {
        length: LENGTH,
        retries_per_request: 0.1,
        burst: 2.0,
    };
    let mut budget = Window::default();
    for request in 0..100 {
        budget.record_request(&config, Point::from_millis(request * 90));
    }
    let now = Point::from_millis(9100);
    let taken = (0..100).filter(|_| budget.take(&config, now)).count();
    assert_eq!(taken, 12);
    // What was taken counts until it has left the window, and so does what earned it.
    assert!(!budget.has_attempt(&config, now + LENGTH / 2));
    assert!(budget.has_attempt(&config, now + LENGTH * 2));
}

/// Guards against an instance without traffic that can't try any request again.
#[test]
fn take_without_traffic() {
    let config = WindowConfig {
        length: LENGTH,
        retries_per_request: 0.1,
        burst: 0.1,
    };
    let mut budget = Window::default();
    assert!(budget.take(&config, Point::ZERO));
    assert!(!budget.take(&config, Point::from_millis(9000)));
    assert!(budget.take(&config, Point::from_millis(11_000)));
}

/// Guards against more extra attempts in some window, over all instances, than the bound allows for the requests in it or in
/// the window before.
#[test]
fn take_within_any_window() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = rng.random_range(1..40);
        let (ratio, burst) = (0.2, 100.0);
        let config = WindowConfig {
            length: LENGTH,
            retries_per_request: ratio * WINDOW_SHARE,
            burst: burst * WINDOW_SHARE / f64::from(instances),
        };
        let mut budgets = vec![Window::default(); instances as usize];
        // Requests and extra attempts in each 100 ms, with bursts of requests and of failures.
        let mut counts: Vec<(u32, u32)> = Vec::new();
        for step in 0..600_u64 {
            let now = Point::from_millis(step * 100 + rng.random_range(0..100));
            let is_burst = rng.random_bool(0.1);
            let is_failing = rng.random_bool(0.2);
            let mut count = (0, 0);
            for budget in &mut budgets {
                for _ in 0..rng.random_range(0..if is_burst { 40 } else { 4 }) {
                    budget.record_request(&config, now);
                    count.0 += 1;
                }
                for _ in 0..if is_failing { 20 } else { 1 } {
                    count.1 += u32::from(budget.take(&config, now));
                }
            }
            counts.push(count);
        }
        for end in 100..=counts.len() {
            let sum = |from: usize, to: usize| {
                let window = &counts[from..to];
                let requests: u32 = window.iter().map(|count| count.0).sum();
                let extra: u32 = window.iter().map(|count| count.1).sum();
                (f64::from(requests), f64::from(extra))
            };
            let (requests, extra) = sum(end - 100, end);
            let earlier = if end >= 200 {
                sum(end - 200, end - 100).0
            } else {
                0.0
            };
            let half = if end >= 150 {
                sum(end - 150, end - 50).0
            } else {
                0.0
            };
            let allowed = ratio * requests.max(earlier).max(half) + burst;
            assert!(extra <= allowed, "seed {seed}, {end}: {extra} of {allowed}");
        }
    }
}
