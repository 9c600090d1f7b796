//! Traffic of the table in virtual time.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "support/common.rs"]
mod common;

use buckthornmast_types::id;

use crate::common::*;

/// Traffic that control may cause per instance in bytes a second.
const BUDGET: u64 = 20_000;

const SECONDS: u64 = 10;

struct Sums {
    mean: u64,
    highest: u64,
    received: u64,
    payload: u64,
}

/// Measures after a warm-up; `change` alters progress once a second.
fn measure(count: usize, domains: usize, mut change: impl FnMut(&mut Net, u64)) -> Sums {
    let mut net = Net::new(count, domains, 11);
    net.run(4000);
    assert_eq!(net.doubts(), [], "{count} members are not all alive");
    net.traffic.fill(Traffic::default());
    for second in 0..SECONDS {
        change(&mut net, second);
        net.run(1000);
    }
    let total = |value: fn(&Traffic) -> u64| net.traffic.iter().map(value).sum::<u64>();
    let share = SECONDS * count as u64;
    Sums {
        mean: total(|traffic| traffic.sent) / share,
        highest: net
            .traffic
            .iter()
            .map(|traffic| traffic.sent)
            .max()
            .unwrap()
            / SECONDS,
        received: total(|traffic| traffic.received) / share,
        payload: total(|traffic| traffic.sent - HEADERS * traffic.datagrams) / share,
    }
}

/// Guards against heartbeats that outgrow the 20 KB/s of control traffic at 400 members.
#[test]
fn traffic_within_budget() {
    println!("members domains  mean highest received payload (bytes/s per instance, with headers)");
    for (count, domains) in [(6, 4), (50, 4), (100, 4), (400, 9)] {
        // Log positions move all the time and must not make rows hot.
        let sums = measure(count, domains, |net, second| {
            for progress in &mut net.progress {
                progress.log = id::Index(1_000_000 + second);
            }
        });
        let Sums {
            mean,
            highest,
            received,
            payload,
        } = sums;
        println!("{count:7} {domains:7} {mean:5} {highest:7} {received:8} {payload:7}");
        assert!(highest <= BUDGET, "{count} members: {highest} B/s");
    }
}

/// Guards against a settings change that makes every instance exceed the budget at once.
#[test]
fn traffic_new_revision() {
    let sums = measure(400, 9, |net, second| {
        for progress in &mut net.progress {
            progress.revision = id::Revision(1 + second);
        }
    });
    println!(
        "a revision a second at 400 members: mean {} highest {} bytes/s",
        sums.mean, sums.highest
    );
    assert!(sums.highest <= BUDGET, "{} B/s", sums.highest);
}

/// Guards against backup senders that exceed the budget when all regions were cut off and are heard
/// again, with three of nine domains in each region.
#[test]
fn traffic_after_partition() {
    let region = |index: usize| index % 9 / 3;
    let mut net = Net::new(400, 9, 17);
    net.run(4000);
    for (name, is_cut) in [("during", true), ("after", false)] {
        net.passes = Box::new(move |from, to| !is_cut || region(from) == region(to));
        net.run(3000);
        net.traffic.fill(Traffic::default());
        net.run(SECONDS * 1000);
        let sent = net.traffic.iter().map(|traffic| traffic.sent / SECONDS);
        let (highest, sum) = (sent.clone().max().unwrap(), sent.sum::<u64>());
        println!(
            "{name} a partition at 400 members: mean {} highest {highest} bytes/s",
            sum / 400
        );
        assert!(highest <= BUDGET, "{name}: {highest} B/s");
    }
}
