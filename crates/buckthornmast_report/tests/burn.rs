//! Burn rates, alerts and coverage.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_report::{
    burn::{Burn, Level, Objective, Row},
    collector::{Collector, End, Event, Windows},
    extract::Extract,
    fleet::{Fleet, Source},
};

const MINUTE: u64 = 60_000;
const HOUR: u64 = 3_600_000;
const START: u64 = 1_000 * 86_400_000;

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

/// Records `bad` late and `good` timely requests at one moment.
fn feed(collector: &mut Collector, at: u64, good: u32, bad: u32) {
    let team = "press".parse().unwrap();
    let target = "engine-1".parse().unwrap();
    for number in 0..good + bad {
        let event = Event {
            team: &team,
            objective: "counter",
            model: if number < good { "fast" } else { "slow" },
            target: Some(&target),
            end: End::Answered,
            met: number < good,
            first_token: Some(Duration::from_millis(100)),
            total: Duration::from_millis(if number < good { 200 } else { 4000 }),
        };
        collector.record(at, &event);
    }
}

fn source(name: &str, domain: &str, extract: Option<Extract>) -> Source {
    Source {
        instance: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        heard_ms: Some(START + HOUR),
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

fn assert_near(value: Option<f64>, wanted: f64) {
    let value = value.unwrap();
    assert!((value - wanted).abs() < 1e-9, "{value} is not {wanted}");
}

// Fails if a window takes in requests that are older than it, or leaves out some that are not.
#[test]
fn burn_over_windows() {
    let mut collector = Collector::new(START);
    let now = START + 10 * 86_400_000;
    feed(&mut collector, now - 9 * 86_400_000, 900, 0);
    feed(&mut collector, now - 2 * 86_400_000, 80, 20);
    feed(&mut collector, now - 5 * HOUR, 95, 5);
    feed(&mut collector, now - 30 * MINUTE, 190, 10);
    feed(&mut collector, now - 2 * MINUTE, 99, 1);
    let (_, row) = report(now, &collector, 0.99);
    // 1/100, 11/300, 16/400, 36/500 and 36/1400 of the requests missed, of which 1/100 may.
    for (window, wanted) in row
        .windows
        .iter()
        .zip([1.0, 11.0 / 3.0, 4.0, 7.2, 3600.0 / 1400.0])
    {
        assert_near(window.rate, wanted);
    }
    assert_near(row.budget_left, 1.0 - 3600.0 / 1400.0);
    assert_eq!(row.models[0].name, "slow");
    assert_near(Some(row.models[0].share), 1.0);
    assert_eq!(row.total.unwrap().samples, 300);
    assert_eq!(row.total.unwrap().p50, 200);
    assert!(row.total.unwrap().p99 >= 4000);
}

// Fails if a fast burn does not page, or if the page does not say where to look.
#[test]
fn alert_fast_burn() {
    let mut collector = Collector::new(START);
    let now = START + 4 * 86_400_000;
    for minute in 0..60 {
        feed(&mut collector, now - minute * MINUTE, 8, 2);
    }
    let (burn, row) = report(now, &collector, 0.99);
    assert_eq!(row.alert.level, Level::Page);
    // A fiftieth of the budget of 28 days in an hour.
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
    // The short window ends the page soon after the burn.
    let (_, row) = report(now + 6 * MINUTE, &collector, 0.99);
    assert_ne!(row.alert.level, Level::Page);
}

// Fails if a slow burn pages or goes unnoticed.
#[test]
fn alert_slow_burn() {
    let mut collector = Collector::new(START);
    let now = START + 4 * 86_400_000;
    for hour in 0..72 {
        feed(&mut collector, now - hour * HOUR, 98, 2);
    }
    let (_, row) = report(now, &collector, 0.99);
    assert_eq!(row.alert.level, Level::Ticket);
    assert!(
        row.alert
            .line
            .starts_with("TICKET press/counter: burns 2.0")
    );
}

// Fails if a short spike, or a single miss of a team with few requests, raises an alert.
#[test]
fn alert_spike() {
    let mut collector = Collector::new(START);
    let now = START + 4 * 86_400_000;
    for minute in 0..72 * 60 {
        feed(&mut collector, now - minute * MINUTE, 10, 0);
    }
    feed(&mut collector, now - MINUTE, 0, 20);
    let (_, row) = report(now, &collector, 0.99);
    assert!(row.windows[0].rate.unwrap() > row.page_at);
    assert_eq!(row.alert.level, Level::Quiet);
    let mut few = Collector::new(START);
    feed(&mut few, now, 1, 1);
    assert_eq!(report(now, &few, 0.99).1.alert.level, Level::Quiet);
}

// Fails if an objective whose rate can't reach the usual threshold never pages.
#[test]
fn alert_lax_objective() {
    let mut collector = Collector::new(START);
    feed(&mut collector, START + HOUR, 0, 20);
    let (_, row) = report(START + HOUR, &collector, 0.90);
    assert_eq!(row.alert.level, Level::Page);
}

// Fails if an instance that did not answer counts as one without requests.
#[test]
fn missing_instance() {
    let mut collector = Collector::new(START);
    let now = START + 2 * HOUR;
    feed(&mut collector, now, 10, 0);
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

// Fails if buckets that were lost with a process pass for hours without requests.
#[test]
fn restart_covered_span() {
    let now = START + 5 * HOUR;
    let mut old = Collector::new(START - 40 * 86_400_000);
    feed(&mut old, now, 10, 0);
    let mut restarted = Collector::new(now - 20 * MINUTE);
    feed(&mut restarted, now, 10, 0);
    let extract = |collector: &Collector| Some(collector.extract(now, &windows()));
    let sources = [
        source("a-1", "a", extract(&old)),
        source("a-2", "a", extract(&restarted)),
    ];
    let burn = Burn::compute(&Fleet::merge(now, sources), &[objective(0.99)]);
    let windows = &burn.objectives[0].windows;
    assert_eq!(windows[0].covered_ms, 5 * MINUTE);
    assert_eq!(windows[1].covered_ms, 20 * MINUTE);
    assert!(burn.text().contains("for the last 20 min (start of a-2)"));
    assert!(burn.text().contains("0.00 (20 min only)"));
}
