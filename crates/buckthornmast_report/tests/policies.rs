//! Policies against each other, and the merge of extracts.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_report::{
    collector::{Collector, End, Event, MAX_KEYS, Windows},
    extract::{Extract, MAX_ROWS, Moves, OTHER, Period},
    fleet::{Fleet, Source},
    policies::{Policies, spread},
};
use buckthornmast_types::id;

const MINUTE: u64 = 60_000;
const START: u64 = 1_000 * 86_400_000;

fn team() -> id::Team {
    "press".parse().unwrap()
}

fn period(revision: u64, since_ms: u64, policy: &str, shadow: Option<&str>) -> Period {
    Period {
        team: team(),
        revision,
        since_ms,
        policy: policy.to_owned(),
        shadow: shadow.map(str::to_owned),
    }
}

fn feed(collector: &mut Collector, at: u64, model: &str, met: bool) {
    let event = Event {
        team: &team(),
        objective: "counter",
        model,
        target: None,
        end: if met { End::Answered } else { End::Refused },
        met,
        first_token: None,
        total: Duration::from_millis(at % 977 + 1),
    };
    collector.record(at, &event);
}

fn loads(loads: u64) -> Moves {
    Moves {
        loads,
        ..Moves::default()
    }
}

fn source(name: &str, domain: &str, extract: Option<Extract>) -> Source {
    Source {
        instance: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        heard_ms: None,
        extract,
    }
}

fn report(now: u64, extract: Extract) -> Policies {
    let fleet = Fleet::merge(now, [source("a-1", "a", Some(extract))]);
    Policies::compute(&fleet, &BTreeSet::from([team()]))
}

// Fails if requests, use or moves after an exchange count for the policy before it.
#[test]
fn exchange_within_window() {
    let mut collector = Collector::new(START);
    collector.set_policy(period(1, START, "static", None));
    for number in 0..10 {
        feed(&mut collector, START + MINUTE, "m", number < 5);
    }
    let second = Duration::from_secs(1);
    collector.use_accelerators(START + MINUTE, &team(), 4.0, second);
    collector.count_moves(START + MINUTE, &team(), loads(3));
    let later = START + 2 * MINUTE;
    collector.set_policy(period(2, later, "marginal", Some("greedy")));
    for number in 0..10 {
        feed(&mut collector, later, "m", number < 9);
    }
    collector.use_accelerators(later, &team(), 2.0, second);
    collector.count_moves(later, &team(), loads(4));
    collector.count_shadow(later, &team(), loads(6));
    let report = report(later, collector.extract(later, &Windows::new()));
    let [marginal, fixed] = &report.rows[..] else {
        panic!("{:?}", report.rows)
    };
    assert_eq!((fixed.policy.as_str(), fixed.moves), ("static", loads(3)));
    assert_eq!(fixed.per_accelerator, Some(0.5 / 4.0));
    assert_eq!(marginal.per_accelerator, Some(0.9 / 2.0));
    assert_eq!(marginal.moves, loads(1));
    assert_eq!(marginal.shadows[0].moves, loads(6));
    assert_eq!(marginal.shadows[0].real, loads(1));
    assert_eq!(report.periods[0].until_ms, Some(later));
    assert!(report.text().contains(report.caveat));
    assert!(report.svg().unwrap().contains("marginal"));
}

// Fails if a controller that starts over makes moves vanish or count twice.
#[test]
fn counters_reset() {
    let mut collector = Collector::new(START);
    collector.set_policy(period(1, START, "static", None));
    for count in [5, 7, 2, 3] {
        collector.count_moves(START, &team(), loads(count));
    }
    let report = report(START, collector.extract(START, &Windows::new()));
    // 5 and 2 more, then 2 of the new controller and 1 more.
    assert_eq!(report.rows[0].moves, loads(10));
}

// Fails if accelerators of two domains are averaged instead of added up.
#[test]
fn accelerators_of_domains() {
    let extract = |used: f64| {
        let mut collector = Collector::new(START);
        collector.set_policy(period(1, START, "static", None));
        feed(&mut collector, START, "m", true);
        collector.use_accelerators(START, &team(), used, Duration::from_secs(2));
        Some(collector.extract(START, &Windows::new()))
    };
    let sources = [
        source("a-1", "a", extract(3.0)),
        source("b-1", "b", extract(1.0)),
    ];
    let fleet = Fleet::merge(START, sources);
    let report = Policies::compute(&fleet, &BTreeSet::from([team()]));
    assert_eq!(report.rows[0].accelerators, Some(4.0));
    let other = BTreeSet::from(["other".parse().unwrap()]);
    assert!(Policies::compute(&fleet, &other).rows.is_empty());
}

// Fails if the interval changes from run to run or leaves out the mean.
#[test]
fn spread_of_slots() {
    assert_eq!(spread(&[1.0, 2.0]), None);
    let values = [1.0, 2.0, 3.0, 4.0, 5.0];
    let first = spread(&values).unwrap();
    assert_eq!(spread(&values), Some(first));
    assert!((first.deviation - 2.5f64.sqrt()).abs() < 1e-9);
    assert!(first.low < 3.0 && 3.0 < first.high);
}

// Fails if names from callers make the tables or the extract grow without bound, or lose requests.
#[test]
fn bound_of_names() {
    let mut collector = Collector::new(START);
    let count = MAX_KEYS + 100;
    for number in 0..count {
        feed(&mut collector, START, &format!("m{number}"), false);
    }
    let extract = collector.extract(START, &Windows::new());
    assert!(extract.rows.len() <= MAX_ROWS + 1);
    assert!(extract.rows.iter().any(|row| row.key.model == OTHER));
    let total: u64 = extract.rows.iter().map(|row| row.sums[0].total).sum();
    assert_eq!(total, count as u64);
    assert_eq!(extract.dropped, 0);
}

// Fails if the report depends on which instance answers first, or if an extract changes on its way.
#[test]
fn merge_in_any_order() {
    arbtest::arbtest(|u| {
        let mut sources = Vec::new();
        for number in 0..u.int_in_range(1..=5)? {
            let mut collector = Collector::new(START - u.int_in_range(0..=100)? * MINUTE);
            collector.set_policy(period(u.int_in_range(0..=3)?, START, "static", None));
            for _ in 0..u.int_in_range(0..=20)? {
                let at = START + u.int_in_range(0..=200)? * MINUTE;
                feed(&mut collector, at, u.choose(&["x", "y"])?, u.arbitrary()?);
                let used = f64::from(u.int_in_range(0..=9u8)?) / 7.0;
                collector.use_accelerators(at, &team(), used, Duration::from_millis(333));
            }
            let extract = collector.extract(START + 200 * MINUTE, &Windows::new());
            let sent = serde_json::to_string(&extract).unwrap();
            assert_eq!(serde_json::from_str::<Extract>(&sent).unwrap(), extract);
            let domain = u.choose(&["a", "b"])?;
            let answered: bool = u.arbitrary()?;
            sources.push(source(
                &format!("i-{number}"),
                domain,
                answered.then_some(extract),
            ));
        }
        let one = Fleet::merge(START, sources.clone());
        for at in (1..sources.len()).rev() {
            sources.swap(at, u.int_in_range(0..=at)?);
        }
        assert_eq!(Fleet::merge(START, sources), one);
        Ok(())
    })
    .seed(0x5eed_0000_0400);
}
