//! Traffic of membership tables in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/common.rs"]
mod common;

use buckthornmast_types::id;

use crate::common::*;

/// Budget of control traffic per instance in bytes per second.
const BUDGET_BYTES_PER_SECOND: u64 = 20_000;

const DURATION_SECONDS: u64 = 10;

/// Traffic per instance in bytes per second.
struct Rates {
    mean: u64,
    highest: u64,
    received: u64,
    payload: u64,
}

/// Measures traffic after a warm-up of 4 s; `change` changes the progress of instances once per second.
fn measure(count: usize, domains: usize, mut change: impl FnMut(&mut Network, u64)) -> Rates {
    let mut network = Network::new(count, domains, 11);
    network.run(4000);
    assert_eq!(
        network.suspicions(),
        [],
        "{count} members are not all alive"
    );
    network.traffic.fill(Traffic::default());
    for second in 0..DURATION_SECONDS {
        change(&mut network, second);
        network.run(1000);
    }
    let total = |value: fn(&Traffic) -> u64| network.traffic.iter().map(value).sum::<u64>();
    let instance_seconds = DURATION_SECONDS * count as u64;
    Rates {
        mean: total(|traffic| traffic.sent_bytes) / instance_seconds,
        highest: network
            .traffic
            .iter()
            .map(|traffic| traffic.sent_bytes)
            .max()
            .unwrap()
            / DURATION_SECONDS,
        received: total(|traffic| traffic.received_bytes) / instance_seconds,
        payload: total(|traffic| traffic.sent_bytes - HEADER_BYTES * traffic.datagrams)
            / instance_seconds,
    }
}

/// Guards against heartbeats that exceed the budget of 20 KB/s of control traffic at 400 members.
#[test]
fn traffic_within_budget() {
    println!("members domains  mean highest received payload (bytes/s per instance, with headers)");
    for (count, domains) in [(6, 4), (50, 4), (100, 4), (400, 9)] {
        // Log positions change all the time and must not mark rows as changed.
        let rates = measure(count, domains, |network, second| {
            for progress in &mut network.progress {
                progress.log_index = id::Index(1_000_000 + second);
            }
        });
        let Rates {
            mean,
            highest,
            received,
            payload,
        } = rates;
        println!("{count:7} {domains:7} {mean:5} {highest:7} {received:8} {payload:7}");
        assert!(
            highest <= BUDGET_BYTES_PER_SECOND,
            "{count} members: {highest} B/s"
        );
    }
}

/// Guards against a settings change that makes all instances exceed the budget at once.
#[test]
fn traffic_new_revision() {
    let rates = measure(400, 9, |network, second| {
        for progress in &mut network.progress {
            progress.revision = id::Revision(1 + second);
        }
    });
    println!(
        "a revision a second at 400 members: mean {} highest {} bytes/s",
        rates.mean, rates.highest
    );
    assert!(
        rates.highest <= BUDGET_BYTES_PER_SECOND,
        "{} B/s",
        rates.highest
    );
}

/// Guards against backup senders that exceed the budget during and after a partition of all regions from each
/// other, with three of nine domains in each region.
#[test]
fn traffic_after_partition() {
    let region = |index: usize| index % 9 / 3;
    let mut network = Network::new(400, 9, 17);
    network.run(4000);
    for (name, is_cut) in [("during", true), ("after", false)] {
        network.passes = Box::new(move |from, to| !is_cut || region(from) == region(to));
        network.run(3000);
        network.traffic.fill(Traffic::default());
        network.run(DURATION_SECONDS * 1000);
        let sent = network
            .traffic
            .iter()
            .map(|traffic| traffic.sent_bytes / DURATION_SECONDS);
        let (highest, sum) = (sent.clone().max().unwrap(), sent.sum::<u64>());
        println!(
            "{name} a partition at 400 members: mean {} highest {highest} bytes/s",
            sum / 400
        );
        assert!(highest <= BUDGET_BYTES_PER_SECOND, "{name}: {highest} B/s");
    }
}
