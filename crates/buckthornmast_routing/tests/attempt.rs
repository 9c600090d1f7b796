//! Decisions after failed attempts.

use std::time::Duration;

use buckthornmast_routing::{
    attempt::{Conditions, History, Reason, decide},
    estimate::Estimate,
    prelude::*,
};
use buckthornmast_types::prelude::*;

const DISPATCHES: [Dispatch; 5] = [
    Dispatch::NotSent,
    Dispatch::Refused,
    Dispatch::Sent,
    Dispatch::Streaming { next: 0 },
    Dispatch::Streaming { next: 7 },
];

/// Returns all sequences of one to three failed attempts.
fn sequences() -> Vec<Vec<Dispatch>> {
    let mut all: Vec<Vec<Dispatch>> = vec![vec![]];
    let mut last = all.clone();
    for _ in 0..3 {
        let longer = last.iter().flat_map(|start| {
            DISPATCHES
                .iter()
                .map(|dispatch| [start.clone(), vec![*dispatch]].concat())
        });
        last = longer.collect();
        all.extend(last.clone());
    }
    all.remove(0);
    all
}

fn history(attempts: &[Dispatch]) -> History {
    let mut history = History::default();
    attempts.iter().for_each(|dispatch| history.add(*dispatch));
    history
}

/// Guards against reporting a request as not run although a target may have run it, and against a second run
/// of a request that must not be repeated.
#[test]
fn decide_every_combination() {
    let now = Point::from_millis(1000);
    let mut checked = 0;
    for attempts in sequences() {
        // 7 bits: repeatable, resumable, target left, attempts left, time left, budget left, may end targets.
        for conditions in 0..128_u32 {
            let is_set = |index: u32| conditions >> index & 1 == 1;
            let count = u32::try_from(attempts.len()).unwrap();
            let conditions = Conditions {
                is_repeatable: is_set(0),
                is_resumable: is_set(1),
                may_end_targets: is_set(6),
                has_untried_target: is_set(2),
                max_attempts: if is_set(3) { count + 1 } else { count },
                expected_time: Duration::from_millis(100),
                deadline: Point::from_millis(if is_set(4) { 1100 } else { 1099 }),
            };
            let mut budget_called = false;
            let decision = decide(&history(&attempts), &conditions, now, || {
                budget_called = true;
                is_set(5)
            });
            let is_not_run =
                |dispatch: &Dispatch| matches!(dispatch, Dispatch::NotSent | Dispatch::Refused);
            let certain = attempts.iter().all(is_not_run);
            let next = attempts.iter().filter_map(|dispatch| match dispatch {
                Dispatch::Streaming { next } => Some(*next),
                _ => None,
            });
            let next = next.max();
            let may_continue =
                (certain || is_set(0)) && (next.is_none() || is_set(1)) && !is_set(6);
            let is_continued = may_continue && is_set(2) && is_set(3) && is_set(4);
            let expected = match next {
                None => Decision::Retry,
                Some(index) => Decision::Resume { index },
            };
            match decision {
                Decision::End { execution, reason } => {
                    let expected = if certain {
                        Execution::No
                    } else {
                        Execution::Unknown
                    };
                    assert_eq!(execution, expected, "{attempts:?} {conditions:?}");
                    assert!(!(is_continued && is_set(5)), "{attempts:?} {conditions:?}");
                    assert_eq!(
                        reason == Reason::Budget,
                        is_continued,
                        "{attempts:?} {conditions:?}"
                    );
                }
                other => {
                    assert!(
                        is_continued && is_set(5),
                        "{attempts:?} {conditions:?} {other:?}"
                    );
                    assert_eq!(other, expected, "{attempts:?} {conditions:?}");
                }
            }
            assert_eq!(
                budget_called, is_continued,
                "budget called without need for an attempt, or not called: {attempts:?}"
            );
            checked += 1;
        }
    }
    assert_eq!(checked, (5 + 25 + 125) * 128);
}

/// Guards against retries that multiply an overload, and against a budget that doesn't refill.
#[test]
fn budget_share_of_traffic() {
    let config = budget::Config::default();
    let mut budget = budget::Retry::new(config, Point::ZERO);
    let retries = (0..1000).filter(|_| {
        budget.record_request();
        budget.take(Point::ZERO)
    });
    let retries = retries.count();
    // 10 % of the requests, and the 10 attempts that the budget holds at the start.
    assert!(
        (100..=110).contains(&retries),
        "{retries} retries for 1000 requests"
    );
    assert!(!budget.take(Point::ZERO));
    // Without traffic the budget refills by an attempt in 2 s.
    assert!(
        budget.take(Point::from_millis(2000)),
        "the budget doesn't refill without traffic"
    );
    let mut full = budget::Retry::new(config, Point::ZERO);
    assert!(
        !full.take_hedge(false, Point::ZERO),
        "hedged a request that must not be repeated"
    );
    assert!(full.take_hedge(true, Point::ZERO));
    let latency = Estimate::new(Duration::from_millis(100));
    let hedge = |repeatable, deadline| {
        budget::hedge_at(
            Point::ZERO,
            &latency,
            repeatable,
            Point::from_millis(deadline),
        )
    };
    assert_eq!(hedge(true, 300), Some(Point::from_millis(200)));
    assert_eq!((hedge(true, 299), hedge(false, 300)), (None, None));
}
