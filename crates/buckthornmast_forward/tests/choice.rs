//! Choice of a target by load and failures.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_forward::{
    choice::{Candidate, Query, pick, rank},
    mapping::Load,
    stats::{Ended, StatsTable},
};
use buckthornmast_types::{id, time::Point};

const NOW: Point = Point::from_millis(10_000);
const INCARNATION: id::Incarnation = id::Incarnation(0);

fn candidates(count: usize) -> Vec<Candidate> {
    let names = (0..count).map(|number| format!("t{number}").parse().unwrap());
    names
        .map(|target| Candidate {
            target,
            incarnation: INCARNATION,
            slots: 8,
            is_local: true,
        })
        .collect()
}

fn query(prefix: Option<u64>, tie_breaker: u64) -> Query<'static> {
    Query {
        prefix,
        tried: &[],
        tie_breaker,
    }
}

fn choose(candidates: &[Candidate], table: &StatsTable, query: Query<'_>) -> String {
    let picked = pick(candidates, query, table, NOW).unwrap();
    candidates[picked.index].target.to_string()
}

/// Guards against overloading one target, whose load is known only from its reports, while others are idle.
#[test]
fn pick_by_reported_load() {
    let all = candidates(2);
    let mut table = StatsTable::default();
    let load = Load {
        running: 8,
        waiting: 6,
        ..Load::default()
    };
    table.record_load(&all[0].target, INCARNATION, load, NOW);
    for tie_breaker in 0..50 {
        assert_eq!(choose(&all, &table, query(None, tie_breaker)), "t1");
        assert_eq!(
            choose(&all, &table, query(Some(tie_breaker), tie_breaker)),
            "t1"
        );
    }
    let picked = pick(&all[..1], query(None, 1), &table, NOW).unwrap();
    assert!(picked.wait > Duration::ZERO);
}

/// Guards against prefill of a shared prompt prefix at every target, and against instances that choose different
/// targets for the same prefix.
#[test]
fn pick_by_prefix() {
    let all = candidates(6);
    let mut reversed = candidates(6);
    reversed.reverse();
    let table = StatsTable::default();
    let mut places: BTreeMap<String, u32> = BTreeMap::new();
    for prefix in 0..600 {
        let place = choose(&all, &table, query(Some(prefix), prefix * 7));
        assert_eq!(place, choose(&reversed, &table, query(Some(prefix), 1)));
        *places.entry(place).or_default() += 1;
    }
    // On average, each of the 6 targets has 100 of the 600 prefixes.
    assert!(
        places.values().all(|count| (60..=140).contains(count)),
        "{places:?}"
    );
}

/// Guards against requests to a failing target, and against ejecting all targets because of a fault that they share.
#[test]
fn pick_around_failures() {
    let all = candidates(3);
    let mut table = StatsTable::default();
    for _ in 0..6 {
        table.record_dispatch(&all[0].target, INCARNATION);
        table.record_end(&all[0].target, INCARNATION, Ended::Failed, NOW);
    }
    for tie_breaker in 0..50 {
        assert_ne!(
            choose(&all, &table, query(Some(tie_breaker), tie_breaker)),
            "t0"
        );
    }
    for candidate in &all[1..] {
        for _ in 0..6 {
            table.record_dispatch(&candidate.target, INCARNATION);
            table.record_end(&candidate.target, INCARNATION, Ended::Failed, NOW);
        }
    }
    let places: std::collections::BTreeSet<String> = (0..50)
        .map(|tie_breaker| choose(&all, &table, query(None, tie_breaker)))
        .collect();
    assert_eq!(places.len(), 3);
}

/// Guards against a retry at the same target.
#[test]
fn pick_untried() {
    let all = candidates(2);
    let tried = [all[0].target.clone()];
    let query = Query {
        prefix: None,
        tried: &tried,
        tie_breaker: 3,
    };
    let table = StatsTable::default();
    assert_eq!(choose(&all, &table, query), "t1");
    assert_eq!(pick(&all[..1], query, &table, NOW), None);
}

/// Guards against a target that is chosen although work takes longer there at the moment, and against an old statement
/// that outlives its cause.
#[test]
fn pick_by_slowdown() {
    let all = candidates(2);
    let mut table = StatsTable::default();
    let slow = Load {
        slowdown: "250".parse().unwrap(),
        ..Load::default()
    };
    table.record_load(&all[0].target, INCARNATION, slow, NOW);
    for number in 0..50 {
        assert_eq!(choose(&all, &table, query(None, number)), "t1");
        assert_eq!(choose(&all, &table, query(Some(number), number)), "t1");
    }
    let later = NOW + Duration::from_secs(3);
    let picks = (0..50).map(|number| pick(&all, query(None, number), &table, later).unwrap());
    assert!(picks.filter(|picked| picked.index == 0).count() > 10);
}

/// Guards against a herd: twenty instances that see the same old figures, one target of which looks best to all.
#[test]
fn pick_among_many_instances() {
    let all = candidates(4);
    let mut chosen: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..20 {
        let mut table = StatsTable::default();
        for (number, candidate) in all.iter().enumerate() {
            let load = Load {
                running: if number == 0 { 1 } else { 2 },
                ..Load::default()
            };
            table.record_load(&candidate.target, INCARNATION, load, NOW);
        }
        for request in 0..3 {
            let query = query(None, instance * 1000 + request);
            let picked = pick(&all, query, &table, NOW + Duration::from_millis(300)).unwrap();
            let target = &all[picked.index].target;
            table.record_dispatch(target, INCARNATION);
            *chosen.entry(target.to_string()).or_default() += 1;
        }
    }
    // The best one has room for more than its share, but not for twice as much.
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    assert!(chosen.values().all(|count| *count <= 30), "{chosen:?}");
}

/// Guards against an explanation that ranks targets in another way than the choice, and against terms that don't make up
/// the score.
#[test]
fn rank_agrees_with_pick() {
    let all = candidates(6);
    let mut table = StatsTable::default();
    for (number, candidate) in (0..).zip(&all) {
        let load = Load {
            running: number,
            waiting: number / 2,
            ..Load::default()
        };
        table.record_load(&candidate.target, INCARNATION, load, NOW);
    }
    table.record_dispatch(&all[0].target, INCARNATION);
    table.record_end(&all[0].target, INCARNATION, Ended::Unreachable, NOW);
    for number in 0..200 {
        let query = query((number % 2 == 0).then_some(number), number);
        let before = pick(&all, query, &table, NOW);
        let ranking = rank(&all, query, &table, NOW).unwrap();
        assert_eq!(ranking, rank(&all, query, &table, NOW).unwrap());
        assert_eq!(pick(&all, query, &table, NOW), before);
        assert_eq!(before.unwrap().index, ranking.chosen.index);
        assert!(ranking.scored.contains(&ranking.chosen));
        assert!(ranking.scored.is_sorted_by_key(|scored| scored.score()));
        // The target that couldn't be reached is ejected.
        assert_eq!(ranking.scored.len(), 5);
        if query.prefix.is_none() {
            assert_eq!(ranking.chosen, ranking.scored[0]);
        }
    }
}
