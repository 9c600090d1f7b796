//! Refusals of brittle targets, summed over all instances.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_forward::brittle::Board;
use buckthornmast_types::{id, rate::Rate, time::Point};

const STEP: Duration = Duration::from_millis(10);
const SLOTS: usize = 8;
const SERVICE_STEPS: usize = 20;
const STEPS: usize = 6000;

/// Time until the instances have learned that the target is brittle.
const NOTICE_STEPS: usize = 200;

fn key() -> (id::Target, id::Incarnation) {
    ("t1".parse().unwrap(), id::Incarnation(1))
}

fn rate(value: f64) -> Rate {
    Rate::per_second(value).unwrap()
}

struct Outcome {
    offered: usize,
    served: usize,
    // Steps at which the target refused a request.
    refused_at: Vec<usize>,
}

/// Has instances that know nothing of each other send requests to one brittle target. Every `spacing` steps, one of the
/// instances gets a request.
fn play(instances: u32, refusals: f64, requests: usize, spacing: usize) -> Outcome {
    let key = key();
    let places =
        (0..instances).map(|instance| u64::MAX / u64::from(instances) * u64::from(instance));
    let mut boards: Vec<Board> = places.map(Board::new).collect();
    for board in &mut boards {
        board.set_instances(instances);
        board.record(&key, Some(rate(refusals)), Point::ZERO, Point::ZERO);
    }
    // Instances, start and end of the running requests.
    let mut running: Vec<(usize, Point, usize)> = Vec::new();
    let mut outcome = Outcome {
        offered: 0,
        served: 0,
        refused_at: Vec::new(),
    };
    let mut next = 0;
    for step in 0..STEPS {
        let now = Point::ZERO + STEP * u32::try_from(step).unwrap();
        let used = running.iter().filter(|(_, _, end)| *end > step).count() as f64 / SLOTS as f64;
        let mut own = vec![0_u32; boards.len()];
        for (instance, _, _) in &running {
            own[*instance] += 1;
        }
        running.retain(|(instance, sent, end)| {
            let is_over = *end <= step;
            if is_over {
                boards[*instance].record(&key, Some(rate(refusals)), *sent, now);
                own[*instance] -= 1;
                boards[*instance].record_success(&key, own[*instance], Some(used), *sent);
            }
            !is_over
        });
        if step % spacing != 0 {
            continue;
        }
        for _ in 0..requests {
            next += 1;
            let instance = next * 7919 % boards.len();
            outcome.offered += 1;
            let own = running.iter().filter(|(of, _, _)| *of == instance).count();
            let own = u32::try_from(own).unwrap();
            let board = &mut boards[instance];
            if !board.accepts(&key, own, f64::from(own), SLOTS as f64, now) {
                continue;
            }
            board.record_dispatch(&key, own, now);
            if running.len() < SLOTS {
                running.push((instance, now, step + SERVICE_STEPS));
                outcome.served += 1;
            } else {
                outcome.refused_at.push(step);
                board.record_refusal(&key, own, now);
            }
        }
    }
    outcome
}

#[test]
fn refusals_over_instances() {
    for instances in [1, 3, 8, 30] {
        for refusals in [1.0, 3.0, 10.0] {
            // Three times the room: 8 slots of 200 ms take 4 requests in 100 ms.
            let outcome = play(instances, refusals, 12, 10);
            let late: Vec<usize> = outcome
                .refused_at
                .iter()
                .copied()
                .filter(|step| *step >= NOTICE_STEPS)
                .collect();
            let seconds = (STEPS - NOTICE_STEPS) as f64 / 100.0;
            let mean = late.len() as f64 / seconds;
            println!(
                "{instances} instances, {refusals}: mean {mean:.2}, served {}",
                outcome.served
            );
            assert!(mean <= refusals, "{instances} instances: {mean} a second");
            let most = late
                .iter()
                .map(|first| {
                    let window = *first..*first + 100;
                    late.iter().filter(|step| window.contains(step)).count()
                })
                .max();
            let most = most.unwrap_or(0);
            println!("most in one second: {most}");
            assert!(outcome.served > 0);
            assert!(
                most as f64 <= refusals,
                "{instances} instances: {most} in a second, allowed {refusals}"
            );
        }
    }
}

#[test]
fn room_used() {
    for instances in [1, 3, 30] {
        let outcome = play(instances, 1.0, 3, 10);
        assert!(outcome.refused_at.is_empty());
        assert_eq!(outcome.served, outcome.offered);
    }
}

#[test]
fn no_slot_no_request() {
    let mut board = Board::default();
    let now = Point::ZERO;
    assert!(board.accepts(&key(), 100, 100.0, 8.0, now));
    board.record(&key(), Some(rate(2.0)), now, now);
    assert!(board.accepts(&key(), 0, 7.0, 8.0, now));
    assert!(!board.accepts(&key(), 0, 8.0, 8.0, now));
}

#[test]
fn statement_ends() {
    let mut board = Board::default();
    let (early, heard, late) = (Point::ZERO, Point::ZERO + STEP, Point::ZERO + STEP * 2);
    assert!(board.record(&key(), Some(rate(2.0)), early, heard));
    assert!(!board.record(&key(), None, early, late));
    assert!(board.is_brittle(&key()));
    assert!(board.record(&key(), None, late, late));
    assert!(!board.is_brittle(&key()));
}

#[test]
fn bound_after_refusal() {
    let mut board = Board::default();
    board.set_instances(1);
    let start = Point::ZERO + STEP;
    let accepts = |board: &Board, own, now| board.accepts(&key(), own, 0.0, 8.0, now);
    board.record(&key(), Some(rate(2.0)), start, start);
    assert!(board.record_refusal(&key(), 3, start));
    assert!(accepts(&board, 2, start));
    assert!(!accepts(&board, 3, start));
    // An answer to an earlier request doesn't show that there is room.
    board.record_success(&key(), 5, Some(0.1), Point::ZERO);
    assert!(!accepts(&board, 3, start));
    // One more is tried in the next time slot.
    let trial = Point::ZERO + Duration::from_secs(2);
    assert!(accepts(&board, 3, trial));
    board.record_dispatch(&key(), 3, trial);
    assert!(!accepts(&board, 4, trial));
    board.record_success(&key(), 3, Some(1.0), trial);
    assert!(accepts(&board, 3, trial));
    assert!(!accepts(&board, 4, trial));
    board.record_success(&key(), 1, Some(0.5), trial);
    assert!(!accepts(&board, 4, trial));
    let trial = trial + Duration::from_secs(2);
    // The bound ends when the target has room to spare.
    board.record_success(&key(), 1, Some(0.5), trial);
    assert!(accepts(&board, 7, trial));
}
