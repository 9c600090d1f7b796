//! Choice of a target by load and failures.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_forward::{
    board::{Board, Ended},
    choice::{Ask, Candidate, pick},
    mapping::Load,
};
use buckthornmast_types::{id, time::Point};

const NOW: Point = Point::from_millis(10_000);
const BORN: id::Incarnation = id::Incarnation(0);

fn candidates(count: usize) -> Vec<Candidate> {
    let names = (0..count).map(|number| format!("t{number}").parse().unwrap());
    names
        .map(|target| Candidate {
            target,
            born: BORN,
            slots: 8,
            is_near: true,
        })
        .collect()
}

fn ask(prefix: Option<u64>, draw: u64) -> Ask<'static> {
    Ask {
        prefix,
        tried: &[],
        draw,
    }
}

fn choose(candidates: &[Candidate], board: &Board, ask: Ask<'_>) -> String {
    let picked = pick(candidates, ask, board, NOW).unwrap();
    candidates[picked.index].target.to_string()
}

/// Guards against overloading one target, whose load is known only from its reports, while others are idle.
#[test]
fn pick_by_reported_load() {
    let all = candidates(2);
    let mut board = Board::default();
    let load = Load {
        running: 8,
        waiting: 6,
    };
    board.reported(&all[0].target, BORN, load, NOW);
    for draw in 0..50 {
        assert_eq!(choose(&all, &board, ask(None, draw)), "t1");
        assert_eq!(choose(&all, &board, ask(Some(draw), draw)), "t1");
    }
    let crowded = pick(&all[..1], ask(None, 1), &board, NOW).unwrap();
    assert!(crowded.wait > Duration::ZERO);
}

/// Guards against prefill of a shared prompt prefix at every target, and against instances that choose different
/// targets for the same prefix.
#[test]
fn pick_by_prefix() {
    let all = candidates(6);
    let mut reversed = candidates(6);
    reversed.reverse();
    let board = Board::default();
    let mut places: BTreeMap<String, u32> = BTreeMap::new();
    for prefix in 0..600 {
        let place = choose(&all, &board, ask(Some(prefix), prefix * 7));
        assert_eq!(place, choose(&reversed, &board, ask(Some(prefix), 1)));
        *places.entry(place).or_default() += 1;
    }
    assert!(
        places.values().all(|count| (60..=140).contains(count)),
        "{places:?}"
    );
}

/// Guards against requests to a failing target, and against ejecting all targets because of a fault that they share.
#[test]
fn pick_around_failures() {
    let all = candidates(3);
    let mut board = Board::default();
    for _ in 0..6 {
        board.started(&all[0].target, BORN);
        board.ended(&all[0].target, BORN, Ended::Failed, NOW);
    }
    for draw in 0..50 {
        assert_ne!(choose(&all, &board, ask(Some(draw), draw)), "t0");
    }
    for candidate in &all[1..] {
        for _ in 0..6 {
            board.started(&candidate.target, BORN);
            board.ended(&candidate.target, BORN, Ended::Failed, NOW);
        }
    }
    let places: std::collections::BTreeSet<String> = (0..50)
        .map(|draw| choose(&all, &board, ask(None, draw)))
        .collect();
    assert_eq!(places.len(), 3);
}

/// Guards against a retry at the same target.
#[test]
fn pick_untried() {
    let all = candidates(2);
    let tried = [all[0].target.clone()];
    let ask = Ask {
        prefix: None,
        tried: &tried,
        draw: 3,
    };
    let board = Board::default();
    assert_eq!(choose(&all, &board, ask), "t1");
    assert_eq!(pick(&all[..1], ask, &board, NOW), None);
}
