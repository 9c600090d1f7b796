//! Comparison of policies, and the merge of extracts.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_report::{
    collector::{Collector, FinishedRequest, MAX_KEYS, Outcome, Windows},
    extract::{Extract, MAX_ROWS, Moves, OTHER_MODEL, Period},
    fleet::{Fleet, Source},
    policies::{Policies, spread},
};
use buckthornmast_types::id;

const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_000 * 86_400_000;

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

fn record(collector: &mut Collector, now_ms: u64, model: &str, is_in_time: bool) {
    let request = FinishedRequest {
        team: &team(),
        objective: "counter",
        model,
        target: None,
        outcome: if is_in_time {
            Outcome::Answered
        } else {
            Outcome::Refused
        },
        is_in_time,
        first_token: None,
        total: Duration::from_millis(now_ms % 977 + 1),
    };
    collector.record(now_ms, &request);
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

/// Guards against requests, usage or moves after a change of policy that are counted for the previous policy.
#[test]
fn policy_change_within_window() {
    let mut collector = Collector::new(START_MS);
    collector.set_policy(period(1, START_MS, "static", None));
    for number in 0..10 {
        record(&mut collector, START_MS + MINUTE_MS, "m", number < 5);
    }
    let second = Duration::from_secs(1);
    collector.record_usage(START_MS + MINUTE_MS, &team(), 4.0, second);
    collector.record_counters(START_MS + MINUTE_MS, &team(), loads(3));
    let later = START_MS + 2 * MINUTE_MS;
    collector.set_policy(period(2, later, "marginal", Some("greedy")));
    for number in 0..10 {
        record(&mut collector, later, "m", number < 9);
    }
    collector.record_usage(later, &team(), 2.0, second);
    collector.record_counters(later, &team(), loads(4));
    collector.add_shadow_moves(later, &team(), loads(6));
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

/// Guards against moves that are lost or counted twice when the counters of a new controller start again.
#[test]
fn counters_reset() {
    let mut collector = Collector::new(START_MS);
    collector.set_policy(period(1, START_MS, "static", None));
    for count in [5, 7, 2, 3] {
        collector.record_counters(START_MS, &team(), loads(count));
    }
    let report = report(START_MS, collector.extract(START_MS, &Windows::new()));
    // 5 and 2 more of the first controller, then 2 and 1 more of the next one.
    assert_eq!(report.rows[0].moves, loads(10));
}

/// Guards against accelerators of two domains that are averaged instead of added up.
#[test]
fn accelerators_of_domains() {
    let extract = |used: f64| {
        let mut collector = Collector::new(START_MS);
        collector.set_policy(period(1, START_MS, "static", None));
        record(&mut collector, START_MS, "m", true);
        collector.record_usage(START_MS, &team(), used, Duration::from_secs(2));
        Some(collector.extract(START_MS, &Windows::new()))
    };
    let sources = [
        source("a-1", "a", extract(3.0)),
        source("b-1", "b", extract(1.0)),
    ];
    let fleet = Fleet::merge(START_MS, sources);
    let report = Policies::compute(&fleet, &BTreeSet::from([team()]));
    assert_eq!(report.rows[0].accelerators, Some(4.0));
    let other_team = BTreeSet::from(["other".parse().unwrap()]);
    assert!(Policies::compute(&fleet, &other_team).rows.is_empty());
}

/// Guards against an interval that changes from run to run or does not contain the mean.
#[test]
fn spread_of_slots() {
    assert_eq!(spread(&[1.0, 2.0]), None);
    let values = [1.0, 2.0, 3.0, 4.0, 5.0];
    let first = spread(&values).unwrap();
    assert_eq!(spread(&values), Some(first));
    assert!((first.deviation - 2.5f64.sqrt()).abs() < 1e-9);
    assert!(first.low < 3.0 && 3.0 < first.high);
}

/// Guards against tables or an extract that grow without bound with the model names that callers send, and against
/// requests that are lost because of the bounds.
#[test]
fn model_names_bounded() {
    let mut collector = Collector::new(START_MS);
    let count = MAX_KEYS + 100;
    for number in 0..count {
        record(&mut collector, START_MS, &format!("m{number}"), false);
    }
    let extract = collector.extract(START_MS, &Windows::new());
    assert!(extract.rows.len() <= MAX_ROWS + 1);
    assert!(extract.rows.iter().any(|row| row.key.model == OTHER_MODEL));
    let total: u64 = extract.rows.iter().map(|row| row.sums[0].total).sum();
    assert_eq!(total, count as u64);
    assert_eq!(extract.dropped, 0);
}

/// Guards against a report that depends on the order of answers, and against an extract that is changed by its
/// serialisation.
#[test]
fn merge_in_any_order() {
    /// Merges the sources of one case in two orders.
    fn merge_shuffled(
        u: &mut arbtest::arbitrary::Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()> {
        let mut sources = Vec::new();
        for number in 0..u.int_in_range(1..=5)? {
            let mut collector = Collector::new(START_MS - u.int_in_range(0..=100)? * MINUTE_MS);
            collector.set_policy(period(u.int_in_range(0..=3)?, START_MS, "static", None));
            for _ in 0..u.int_in_range(0..=20)? {
                let at = START_MS + u.int_in_range(0..=200)? * MINUTE_MS;
                record(&mut collector, at, u.choose(&["x", "y"])?, u.arbitrary()?);
                let used = f64::from(u.int_in_range(0..=9u8)?) / 7.0;
                collector.record_usage(at, &team(), used, Duration::from_millis(333));
            }
            let extract = collector.extract(START_MS + 200 * MINUTE_MS, &Windows::new());
            let text = serde_json::to_string(&extract).unwrap();
            assert_eq!(serde_json::from_str::<Extract>(&text).unwrap(), extract);
            let domain = u.choose(&["a", "b"])?;
            let answered: bool = u.arbitrary()?;
            sources.push(source(
                &format!("i-{number}"),
                domain,
                answered.then_some(extract),
            ));
        }
        let expected = Fleet::merge(START_MS, sources.clone());
        for index in (1..sources.len()).rev() {
            sources.swap(index, u.int_in_range(0..=index)?);
        }
        assert_eq!(Fleet::merge(START_MS, sources), expected);
        Ok(())
    }
    // The low 32 bits of a seed are the number of random bytes of its case.
    for number in 1..=200 {
        arbtest::arbtest(merge_shuffled).seed(number << 32 | 1024);
    }
}
