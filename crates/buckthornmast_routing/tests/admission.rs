//! Admission, fair shares and adaptive limits.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_routing::{
    admission::{ExpectedCapacity, Next, Refusal},
    prelude::*,
};
use buckthornmast_types::prelude::*;

fn gate(capacity: u32) -> (Gate<u32>, id::Model) {
    let mut gate = Gate::new(admission::Config {
        assumed_service_time: Duration::from_millis(100),
        weights: BTreeMap::from([("heavy".parse().unwrap(), 3.0)]),
        ..admission::Config::default()
    });
    let model = "m".parse().unwrap();
    gate.set_capacity(&model, capacity);
    (gate, model)
}

fn request(key: u32, team: &str, priority: Priority, deadline: u64) -> AdmissionRequest<u32> {
    AdmissionRequest {
        key,
        team: team.parse().unwrap(),
        priority,
        deadline: Point::from_millis(deadline),
    }
}

/// Guards against queueing a request that can't be answered in time, and against an unbounded queue.
#[test]
fn offer_deadline_and_bounds() {
    let (mut gate, model) = gate(1);
    let now = Point::ZERO;
    let class = Priority::Standard;
    assert_eq!(
        gate.offer(&model, request(0, "a", class, 100), now),
        Verdict::Run
    );
    // At 100 ms each, nine waiting requests are answered by the deadline of 1 s, and a tenth is not.
    for key in 1..=9 {
        let verdict = gate.offer(&model, request(key, "a", class, 1000), now);
        assert_eq!(verdict, Verdict::Queued);
    }
    match gate.offer(&model, request(10, "a", class, 1000), now) {
        Verdict::Refused {
            reason: Refusal::Deadline,
            retry_after,
        } => assert!(retry_after >= Duration::from_secs(1)),
        other => panic!("{other:?}"),
    }
    // A request of a higher class goes ahead of all of them and is answered in time.
    let urgent = request(11, "a", Priority::Interactive, 300);
    assert_eq!(gate.offer(&model, urgent, now), Verdict::Queued);
    // Far in the future, but small enough for a time in microseconds.
    let far = u64::MAX / 2000;
    // At most 64 requests of a team wait for a model, and ten are waiting already.
    let queued = (0..100).filter(|key| {
        let verdict = gate.offer(&model, request(100 + key, "a", class, far), now);
        verdict == Verdict::Queued
    });
    assert_eq!(queued.count(), 64 - 10);
    let other = gate.offer(&model, request(300, "b", class, far), now);
    assert_eq!(
        other,
        Verdict::Queued,
        "the queue of one team blocks another team"
    );
    assert!(gate.withdraw(&model, &300));
    assert!(!gate.withdraw(&model, &300));
    // At 950 ms, a request of 100 ms can no longer be answered by a deadline of 1 s.
    let late = Point::from_millis(950);
    assert_eq!(gate.expire(late).len(), 10);
    assert_eq!(gate.waiting(&model), 64 - 10);
    let unknown = gate.offer(&"n".parse().unwrap(), request(0, "a", class, far), now);
    let reason = Refusal::Capacity;
    assert!(matches!(unknown, Verdict::Refused { reason: actual, .. } if actual == reason));
}

/// Guards against a team that takes the share of the others by flooding its queue, against weights without
/// effect, and against starved batch work.
#[test]
fn next_fair_shares() {
    let (mut gate, model) = gate(1);
    let now = Point::ZERO;
    // Far in the future, but small enough for a time in microseconds.
    let far = u64::MAX / 2000;
    let class = Priority::Standard;
    assert_eq!(
        gate.offer(&model, request(0, "a", class, far), now),
        Verdict::Run
    );
    for key in 0..60 {
        gate.offer(&model, request(1000 + key, "a", class, far), now);
        gate.offer(&model, request(2000 + key, "heavy", class, far), now);
    }
    for key in 0..10 {
        gate.offer(&model, request(3000 + key, "b", class, far), now);
        gate.offer(&model, request(4000 + key, "b", Priority::Batch, far), now);
    }
    let mut counts = BTreeMap::<u32, u32>::new();
    for _ in 0..40 {
        gate.finished(&model, Some(Duration::from_millis(100)));
        match gate.next(&model, now) {
            Some(Next::Run(key)) => *counts.entry(key / 1000).or_default() += 1,
            other => panic!("{other:?}"),
        }
        assert_eq!(
            gate.next(&model, now),
            None,
            "more requests in progress than the capacity"
        );
    }
    let count = |team| counts.get(&team).copied().unwrap_or(0);
    // One of eight picks goes to the lowest waiting class.
    assert_eq!(count(4), 5, "batch requests run: {counts:?}");
    assert!(
        count(3) + count(4) >= 7,
        "requests of team b run: {counts:?}"
    );
    let ratio = f64::from(count(2)) / f64::from(count(1));
    assert!(
        (2.3..=3.7).contains(&ratio),
        "requests of the team with weight 3 run: {counts:?}"
    );
}

/// Guards against a limit that lets a queue build up at a target, or that doesn't recover after one.
#[test]
fn limit_follows_latency() {
    let mut limit = limit::Adaptive::new(limit::Config::default());
    let unloaded = Duration::from_millis(100);
    limit.answered(unloaded, 1);
    // Beyond the slots of the target, latency grows with the number of requests in progress.
    let mut settle = |slots: f64| {
        for _ in 0..20_000 {
            let in_progress = limit.get();
            let factor = (f64::from(in_progress) / slots).max(1.0);
            limit.answered(unloaded.mul_f64(factor), in_progress);
        }
        limit.get()
    };
    let ten = settle(10.0);
    assert!((10..=40).contains(&ten), "limit of {ten} for 10 slots");
    let fifty = settle(50.0);
    assert!((50..=150).contains(&fifty), "limit of {fifty} for 50 slots");
    for _ in 0..200 {
        limit.dropped();
    }
    assert_eq!(limit.get(), 1);
    assert!(limit.allows(0), "a limit of 0 can't rise again");
}

/// Guards against refusing a request although a copy will be ready before its deadline, against queueing one
/// for a copy that will be late or is not being loaded, and against keeping it queued when the load is cancelled.
#[test]
fn offer_while_a_copy_is_loaded() {
    let (mut gate, model) = gate(0);
    let (now, class) = (Point::ZERO, Priority::Standard);
    let refused = |verdict| match verdict {
        Verdict::Refused {
            reason,
            retry_after,
        } => (reason, retry_after >= Duration::from_secs(1)),
        other => panic!("{other:?}"),
    };
    let offer = |gate: &mut Gate<u32>, key, deadline| {
        gate.offer(&model, request(key, "a", class, deadline), now)
    };
    assert_eq!(
        refused(offer(&mut gate, 0, 60_000)),
        (Refusal::Capacity, true)
    );
    let loading_copy = ExpectedCapacity {
        at: Point::from_millis(2000),
        capacity: 2,
    };
    gate.set_expected_capacity(&model, Some(loading_copy));
    // The load takes 2 s and the answer 0.1 s.
    assert_eq!(
        refused(offer(&mut gate, 1, 2050)),
        (Refusal::Deadline, true)
    );
    for key in 2..66 {
        assert_eq!(offer(&mut gate, key, 60_000), Verdict::Queued);
    }
    assert_eq!(
        refused(offer(&mut gate, 66, 60_000)),
        (Refusal::Queue, true)
    );
    assert_eq!(gate.next(&model, now), None);
    assert!(gate.take_unservable().is_empty());
    gate.set_capacity(&model, 2);
    gate.set_expected_capacity(&model, None);
    assert!(gate.take_unservable().is_empty());
    assert_eq!(gate.next(&model, loading_copy.at), Some(Next::Run(2)));
    assert_eq!(gate.next(&model, loading_copy.at), Some(Next::Run(3)));
    assert_eq!(gate.next(&model, loading_copy.at), None);
    gate.set_capacity(&model, 0);
    assert_eq!(gate.take_unservable(), (4..66).collect::<Vec<_>>());
    assert_eq!(gate.waiting(&model), 0);
}

/// Guards against a class that starves between a higher and a lower one.
#[test]
fn next_serves_all_classes() {
    let (mut gate, model) = gate(1);
    let now = Point::ZERO;
    // Far in the future, but small enough for a time in microseconds.
    let far = u64::MAX / 2000;
    gate.offer(&model, request(0, "a", Priority::Interactive, far), now);
    let classes = [Priority::Interactive, Priority::Standard, Priority::Batch];
    for number in 0..20 {
        for (class, priority) in (1u32..).zip(classes) {
            gate.offer(
                &model,
                request(class * 1000 + number, "a", priority, far),
                now,
            );
        }
    }
    let mut counts = BTreeMap::<u32, u32>::new();
    for _ in 0..16 {
        gate.finished(&model, Some(Duration::from_millis(100)));
        match gate.next(&model, now) {
            Some(Next::Run(key)) => *counts.entry(key / 1000).or_default() += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(counts, BTreeMap::from([(1, 14), (2, 1), (3, 1)]));
}
