//! Advisories of targets, over the order of events.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_forward::advisory::{Board, MAX_PAUSE};
use buckthornmast_types::{id, time::Point};

const PAUSE: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(200);

/// What happens to a target. Incarnations are 1 and 2.
#[derive(Debug, Clone, Copy)]
enum Event {
    Leave(u64),
    Pause(u64),
    Announce(u64),
    Wait,
}

const EVENTS: [Event; 7] = [
    Event::Leave(1),
    Event::Leave(2),
    Event::Pause(1),
    Event::Pause(2),
    Event::Announce(1),
    Event::Announce(2),
    Event::Wait,
];

fn target() -> id::Target {
    "t1".parse().unwrap()
}

/// Returns whether an incarnation accepts requests by the history of events alone.
fn accepts_by_history(history: &[(Event, Point)], incarnation: u64, now: Point) -> bool {
    history.iter().all(|(event, at)| match event {
        Event::Leave(of) => *of != incarnation,
        Event::Pause(of) => *of != incarnation || now >= *at + PAUSE,
        Event::Announce(_) | Event::Wait => true,
    })
}

fn check(history: &[(Event, Point)], board: &Board, now: Point, known: u64) {
    for incarnation in known.max(1)..=2 {
        let accepts = board.accepts(&target(), id::Incarnation(incarnation), now);
        let expected = accepts_by_history(history, incarnation, now);
        assert_eq!(accepts, expected, "incarnation {incarnation}: {history:?}");
    }
}

/// Runs every sequence of events of a length, and checks the current and later incarnations after each event.
#[test]
fn accepts_any_order() {
    const LENGTH: u32 = 6;
    let mut checked = 0;
    for number in 0..EVENTS.len().pow(LENGTH) {
        let mut board = Board::default();
        let mut history = Vec::new();
        let mut now = Point::from_millis(1000);
        let mut known = 0;
        let mut rest = number;
        for _ in 0..LENGTH {
            let event = EVENTS[rest % EVENTS.len()];
            rest /= EVENTS.len();
            match event {
                Event::Leave(of) => {
                    board.record_leaving(&target(), id::Incarnation(of), now);
                }
                Event::Pause(of) => {
                    board.record_pause(&target(), id::Incarnation(of), PAUSE, now);
                }
                Event::Announce(of) => known = known.max(of),
                Event::Wait => now = now + STEP,
            }
            history.push((event, now));
            board.prune(|_| (known > 0).then_some(id::Incarnation(known)), now);
            check(&history, &board, now, known);
            checked += 1;
        }
    }
    println!("checked {checked} states");
}

#[test]
fn record_pause_bounds() {
    let now = Point::from_millis(1000);
    let incarnation = id::Incarnation(1);
    let cases = [
        (Duration::ZERO, None),
        (PAUSE, Some(PAUSE)),
        (Duration::MAX, Some(MAX_PAUSE)),
    ];
    for (pause, expected) in cases {
        let mut board = Board::default();
        board.record_pause(&target(), incarnation, pause, now);
        assert_eq!(board.pause(&target(), incarnation, now), expected);
    }
    let mut board = Board::default();
    board.record_pause(&target(), incarnation, PAUSE * 2, now);
    board.record_pause(&target(), incarnation, PAUSE, now);
    let remaining = board.pause(&target(), incarnation, now);
    assert_eq!(remaining, Some(PAUSE * 2), "a pause is not shortened");
}
