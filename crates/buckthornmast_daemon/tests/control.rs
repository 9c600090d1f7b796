//! Controllers that are killed or frozen, and orders that are lost, over real processes.

#![expect(
    clippy::unwrap_used,
    reason = "a test ends if a part of it can't go on"
)]

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

use std::{
    sync::{Mutex, PoisonError},
    thread,
    time::Duration,
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::{
    id,
    order::{Action, Order},
};

/// Serialises the tests, since two clusters at once slow each other down.
static ONE_CLUSTER: Mutex<()> = Mutex::new(());

const TEAM: &str = "team/press";
const VERSION: &str = "model/catalogue/version";
const ENGINES: [(&str, &str); 3] = [("e1", "north"), ("e2", "north"), ("e3", "north")];

/// Maximum error of a comparison of times that two stand-ins report, in milliseconds.
const CLOCK_SLACK_MS: u64 = 5;

fn assert_not_overcommitted(cluster: &Cluster) {
    for target in 0..cluster.targets.len() {
        let counters = watch::engine(cluster, target);
        if !counters.is_null() {
            assert_eq!(counters["engine"]["overcommitted"], 0, "{counters}");
        }
    }
}

fn engine_index(cluster: &Cluster, name: &str) -> usize {
    let mut targets = cluster.targets.iter();
    targets.position(|target| target.name == name).unwrap()
}

/// Writes a version of the catalogue and returns the engines with a ready copy of it.
fn change_version(cluster: &Cluster, version: u32) -> Vec<usize> {
    watch::set(cluster, 2, TEAM, VERSION, &version.to_string());
    let artifact = format!("catalogue@{version}");
    wait_for(&artifact, || {
        let ready = watch::ready_at(cluster, 2, &artifact);
        (!ready.is_empty()).then(|| ready.iter().map(|n| engine_index(cluster, n)).collect())
    })
}

/// Returns an order with a fencing token of an earlier holder of the lease.
fn stale_order(cluster: &Cluster, target: usize, token: u64) -> Order {
    let counters = watch::engine(cluster, target);
    Order {
        id: id::Order::generate(),
        target: cluster.targets[target].name.parse().unwrap(),
        incarnation: id::Incarnation(counters["started"].as_u64().unwrap()),
        token: id::Token(token),
        action: Action::Unload {
            artifact: "catalogue@4".to_owned().try_into().unwrap(),
        },
    }
}

/// Guards against a domain that stays without a controller after a kill or a freeze, a lost model that is not
/// loaded again, a resumed holder whose lease still counts as valid, and engines that execute its orders.
#[test]
fn controller_killed_then_frozen() {
    let _one = ONE_CLUSTER.lock().unwrap_or_else(PoisonError::into_inner);
    let mut cluster = press::start(&press::THREE);
    cluster.add_engines(&ENGINES, &[]).unwrap();
    cluster.wait_for_model(2, "catalogue");
    let (first, first_token) = watch::wait_for_holder(&cluster, 2, "north", 0);
    let lost = watch::ready_at(&cluster, 2, "catalogue@3");
    assert!(lost.len() < ENGINES.len(), "no engine would be left");
    cluster.kill(first);
    for name in &lost {
        let index = engine_index(&cluster, name);
        cluster.targets[index].process.kill();
    }
    let (second, second_token) = watch::wait_for_holder(&cluster, 2, "north", first_token);
    assert_ne!(second, first);
    wait_for("the model at another engine", || {
        let ready = watch::ready_at(&cluster, 2, "catalogue@3");
        ready.difference(&lost).next().map(drop)
    });
    cluster.wait_for_model(2, "catalogue");
    cluster.launch(first).unwrap();
    wait_for("the restarted instance", || cluster.revision(first));
    cluster.signal(second, "STOP").unwrap();
    let (third, third_token) = watch::wait_for_holder(&cluster, 2, "north", second_token);
    assert_eq!(third, first);
    let engines = change_version(&cluster, 4);
    cluster.signal(second, "CONT").unwrap();
    for _ in 0..20 {
        let holders = watch::holders(&cluster, 2, "north");
        let reported_by_resumed = watch::holders(&cluster, second, "north");
        for holders in [holders, reported_by_resumed] {
            let others = holders.iter().filter(|(_, token)| *token < third_token);
            assert_eq!(others.count(), 0, "{holders:?}");
            assert!(holders.len() <= 1, "{holders:?}");
        }
        thread::sleep(Duration::from_millis(50));
    }
    for engine in engines {
        let before = watch::engine(&cluster, engine);
        let order = stale_order(&cluster, engine, second_token);
        let answer = caller::send_engine_order(cluster.targets[engine].address, &order);
        assert_eq!((answer.status, answer.text.as_str()), (200, "\"fenced\""));
        let after = watch::engine(&cluster, engine);
        let count = before["engine"]["fenced"].as_u64().unwrap();
        assert_eq!(after["engine"]["fenced"], count + 1);
    }
    change_version(&cluster, 5);
    assert_not_overcommitted(&cluster);
}

/// Guards against overcommitted memory when engines that accept orders with any token receive them late or not at
/// all, while versions change and the controller is killed.
#[test]
fn controller_fencing_ignored() {
    let _one = ONE_CLUSTER.lock().unwrap_or_else(PoisonError::into_inner);
    let edits = [("fencing = honoured", "fencing = ignored")];
    let mut cluster = press::start_edited(&press::THREE, &edits);
    for (seed, (name, domain)) in ["1", "2", "3"].iter().zip(ENGINES) {
        let mut flags = vec!["--ignore-fencing", "--delay-orders", "300ms"];
        flags.extend(["--lose-orders", "0.2", "--seed", seed]);
        cluster.add_engine(name, domain, &flags).unwrap();
    }
    cluster.wait_for_model(2, "catalogue");
    let client = watch::ChatClient::start(cluster.instances[2].ports.callers, "catalogue");
    let (first, token) = watch::wait_for_holder(&cluster, 2, "north", 0);
    for version in 4..8 {
        watch::set(&cluster, 2, TEAM, VERSION, &version.to_string());
        thread::sleep(Duration::from_millis(700));
        assert_not_overcommitted(&cluster);
    }
    cluster.kill(first);
    watch::set(&cluster, 2, TEAM, VERSION, "8");
    watch::wait_for_holder(&cluster, 2, "north", token);
    for version in 9..12 {
        watch::set(&cluster, 2, TEAM, VERSION, &version.to_string());
        thread::sleep(Duration::from_millis(700));
    }
    thread::sleep(Duration::from_secs(2));
    client.stop();
    assert_not_overcommitted(&cluster);
}

/// Guards against a version change that interrupts service or overcommits memory, and against more concurrent
/// loads than the domain's share of the load quota.
#[test]
fn version_change_under_load() {
    let _one = ONE_CLUSTER.lock().unwrap_or_else(PoisonError::into_inner);
    let edits = [("loads-at-once = 8", "loads-at-once = 2")];
    let mut cluster = press::start_edited(&press::THREE, &edits);
    cluster.add_engines(&ENGINES, &[]).unwrap();
    for index in [0, 2] {
        cluster.wait_for_model(index, "catalogue");
    }
    let clients: Vec<_> = [0, 2]
        .map(|index| watch::ChatClient::start(cluster.instances[index].ports.callers, "catalogue"))
        .into();
    for version in 4..8 {
        change_version(&cluster, version);
    }
    for client in clients {
        assert!(client.stop() > 0);
    }
    assert_not_overcommitted(&cluster);
    let mut loads = Vec::new();
    for target in 0..cluster.targets.len() {
        let counters = watch::engine(&cluster, target);
        let started = counters["started"].as_u64().unwrap();
        for load in counters["engine"]["loads"].as_array().unwrap() {
            let at = |key: &str| started + load[key].as_u64().unwrap();
            loads.push((at("begun_ms"), at("done_ms")));
        }
    }
    // Half of the two concurrent loads is this domain's share, so its loads must not overlap.
    loads.sort_unstable();
    assert!(loads.len() > 4, "{loads:?}");
    for pair in loads.windows(2) {
        assert!(pair[0].1 <= pair[1].0 + CLOCK_SLACK_MS, "{loads:?}");
    }
}
