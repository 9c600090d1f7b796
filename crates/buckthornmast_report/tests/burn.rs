//! Burn rates, alerts and coverage.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_report::{
    burn::{Burn, Level, Objective, Row},
    collector::{Collector, FinishedRequest, Outcome, Windows},
    extract::Extract,
    fleet::{Fleet, Source},
};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_000 * 86_400_000;

fn objective(attainment: f64) -> Objective {
    Objective {
        team: "press".parse().unwrap(),
        name: "counter".to_owned(),
        attainment,
        window: Duration::from_secs(28 * 86400),
    }
}

fn windows() -> Windows {
    let declared = objective(0.99);
    BTreeMap::from([((declared.team, declared.name), declared.window)])
}

/// Records `good` requests within the deadline and `late` ones after it, all at the same time.
fn record(collector: &mut Collector, now_ms: u64, good: u32, late: u32) {
    let team = "press".parse().unwrap();
    let target = "engine-1".parse().unwrap();
    for number in 0..good + late {
        let request = FinishedRequest {
            team: &team,
            objective: "counter",
            model: if number < good { "fast" } else { "slow" },
            target: Some(&target),
            outcome: Outcome::Answered,
            is_in_time: number < good,
            first_token: Some(Duration::from_millis(100)),
            total: Duration::from_millis(if number < good { 200 } else { 4000 }),
        };
        collector.record(now_ms, &request);
    }
}

fn source(name: &str, domain: &str, extract: Option<Extract>) -> Source {
    Source {
        instance: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        heard_ms: Some(START_MS + HOUR_MS),
        extract,
    }
}

fn report(now: u64, collector: &Collector, attainment: f64) -> (Burn, Row) {
    let extract = collector.extract(now, &windows());
    let fleet = Fleet::merge(now, [source("a-1", "a", Some(extract))]);
    let burn = Burn::compute(&fleet, &[objective(attainment)]);
    let row = burn.objectives[0].clone();
    (burn, row)
}

fn assert_near(value: Option<f64>, expected: f64) {
    let value = value.unwrap();
    assert!(
        (value - expected).abs() < 1e-9,
        "{value} instead of {expected}"
    );
}

/// Guards against a window that counts requests older than it, or leaves out requests within it.
#[test]
fn burn_over_windows() {
    let mut collector = Collector::new(START_MS);
    let now = START_MS + 10 * 86_400_000;
    record(&mut collector, now - 9 * 86_400_000, 900, 0);
    record(&mut collector, now - 2 * 86_400_000, 80, 20);
    record(&mut collector, now - 5 * HOUR_MS, 95, 5);
    record(&mut collector, now - 30 * MINUTE_MS, 190, 10);
    record(&mut collector, now - 2 * MINUTE_MS, 99, 1);
    let (_, row) = report(now, &collector, 0.99);
    // The shares of missed requests are 1/100, 11/300, 16/400, 36/500 and 36/1400; the objective allows 1/100.
    for (window, expected) in row
        .windows
        .iter()
        .zip([1.0, 11.0 / 3.0, 4.0, 7.2, 3600.0 / 1400.0])
    {
        assert_near(window.rate, expected);
    }
    assert_near(row.budget_left, 1.0 - 3600.0 / 1400.0);
    assert_eq!(row.models[0].name, "slow");
    assert_near(Some(row.models[0].share), 1.0);
    assert_eq!(row.total.unwrap().samples, 300);
    assert_eq!(row.total.unwrap().p50, 200);
    assert!(row.total.unwrap().p99 >= 4000);
}

/// Guards against a fast burn that does not raise a page, and a page that does not name the model, the target and the
/// cause.
#[test]
fn alert_fast_burn() {
    let mut collector = Collector::new(START_MS);
    let now = START_MS + 4 * 86_400_000;
    for minute in 0..60 {
        record(&mut collector, now - minute * MINUTE_MS, 8, 2);
    }
    let (burn, row) = report(now, &collector, 0.99);
    assert_eq!(row.alert.level, Level::Page);
    // The rate that spends a fiftieth of the budget of 28 days within an hour.
    assert_near(Some(row.page_at), 13.44);
    for part in [
        "PAGE press/counter",
        "model slow 100 %",
        "target engine-1",
        "120 late",
    ] {
        assert!(row.alert.line.contains(part), "{}", row.alert.line);
    }
    assert!(burn.svg().unwrap().starts_with("<svg"));
    // The short window ends the page soon after the burn has stopped.
    let (_, row) = report(now + 6 * MINUTE_MS, &collector, 0.99);
    assert_ne!(row.alert.level, Level::Page);
}

/// Guards against a slow burn that raises a page or no alert.
#[test]
fn alert_slow_burn() {
    let mut collector = Collector::new(START_MS);
    let now = START_MS + 4 * 86_400_000;
    for hour in 0..72 {
        record(&mut collector, now - hour * HOUR_MS, 98, 2);
    }
    let (_, row) = report(now, &collector, 0.99);
    assert_eq!(row.alert.level, Level::Ticket);
    assert!(
        row.alert
            .line
            .starts_with("TICKET press/counter: burns 2.0")
    );
}

/// Guards against an alert for a short spike, or for a single missed request of a team with few requests.
#[test]
fn alert_spike() {
    let mut collector = Collector::new(START_MS);
    let now = START_MS + 4 * 86_400_000;
    for minute in 0..72 * 60 {
        record(&mut collector, now - minute * MINUTE_MS, 10, 0);
    }
    record(&mut collector, now - MINUTE_MS, 0, 20);
    let (_, row) = report(now, &collector, 0.99);
    assert!(row.windows[0].rate.unwrap() > row.page_at);
    assert_eq!(row.alert.level, Level::None);
    let mut few = Collector::new(START_MS);
    record(&mut few, now, 1, 1);
    assert_eq!(report(now, &few, 0.99).1.alert.level, Level::None);
}

/// Guards against an objective that never raises a page because its burn rate can't reach the usual threshold.
#[test]
fn alert_lax_objective() {
    let mut collector = Collector::new(START_MS);
    record(&mut collector, START_MS + HOUR_MS, 0, 20);
    let (_, row) = report(START_MS + HOUR_MS, &collector, 0.90);
    assert_eq!(row.alert.level, Level::Page);
}

/// Guards against an instance that did not answer and is counted as one without requests.
#[test]
fn missing_instance() {
    let mut collector = Collector::new(START_MS);
    let now = START_MS + 2 * HOUR_MS;
    record(&mut collector, now, 10, 0);
    let extract = collector.extract(now, &windows());
    let sources = [source("a-1", "a", Some(extract)), source("b-1", "b", None)];
    let burn = Burn::compute(&Fleet::merge(now, sources), &[objective(0.99)]);
    assert_eq!(burn.missing[0].instance.as_str(), "b-1");
    assert_eq!(burn.missing_domains[0].as_str(), "b");
    let text = burn.text();
    assert!(text.contains("data of 1 of 2 instances"), "{text}");
    assert!(text.contains("MISSING: b-1 in domain b did not answer (silent for 1 h)"));
    let none = Fleet::merge(now, [source("b-1", "b", None)]);
    let burn = Burn::compute(&none, &[objective(0.99)]);
    assert_eq!(burn.objectives[0].windows[0].rate, None);
    assert_eq!(burn.objectives[0].budget_left, None);
    assert!(burn.text().contains("no data press/counter"));
}

/// Guards against buckets that were lost in a restart and are counted as time without requests.
#[test]
fn restart_covered_span() {
    let now = START_MS + 5 * HOUR_MS;
    let mut old = Collector::new(START_MS - 40 * 86_400_000);
    record(&mut old, now, 10, 0);
    let mut restarted = Collector::new(now - 20 * MINUTE_MS);
    record(&mut restarted, now, 10, 0);
    let extract = |collector: &Collector| Some(collector.extract(now, &windows()));
    let sources = [
        source("a-1", "a", extract(&old)),
        source("a-2", "a", extract(&restarted)),
    ];
    let burn = Burn::compute(&Fleet::merge(now, sources), &[objective(0.99)]);
    let windows = &burn.objectives[0].windows;
    assert_eq!(windows[0].covered_ms, 5 * MINUTE_MS);
    assert_eq!(windows[1].covered_ms, 20 * MINUTE_MS);
    assert!(burn.text().contains("for the last 20 min (start of a-2)"));
    assert!(burn.text().contains("0.00 (20 min only)"));
}
