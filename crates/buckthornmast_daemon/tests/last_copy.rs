//! Targets that are drained or leave with the only ready copy of a model, over real processes.

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

/// Serialises the tests, since two clusters at once slow each other down.
static ONE_CLUSTER: Mutex<()> = Mutex::new(());

/// Time after which a target that is leaving gets no new work (promise P7 of `docs/PROOFS.md`).
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Three voters and an instance that only follows the settings.
const FOUR: [InstanceConfig; 4] = [
    press::THREE[0],
    press::THREE[1],
    press::THREE[2],
    InstanceConfig {
        name: "south-2",
        domain: "south",
        is_voter: false,
    },
];

/// At this rate the catalogue takes 5 s to load, which is longer than [`LEAVING_BOUND`] and well within the 20 s that
/// callers wait.
const LOAD_RATE: [&str; 2] = ["--load-rate", "1600MiB"];

/// Starts two engines, one of which has the only copy of the catalogue, and returns the position of that one.
fn start() -> (Cluster, usize) {
    let mut cluster = press::start(&FOUR);
    // This policy adds no further copies.
    watch::set(&cluster, 0, "team/press", "policy/name", "static");
    cluster
        .add_engines(&[("e1", "north"), ("e2", "north")], &LOAD_RATE)
        .unwrap();
    for index in 0..FOUR.len() {
        wait_for("two copies", || {
            (watch::ready_at(&cluster, index, "proof-reader@1").len() == 2).then_some(())
        });
        cluster.wait_for_model(index, "catalogue");
    }
    let ready = watch::ready_at(&cluster, 0, "catalogue@3");
    assert_eq!(ready.len(), 1, "{ready:?}");
    let mut targets = cluster.targets.iter();
    let only = targets.position(|target| ready.contains(&target.name));
    (cluster, only.unwrap())
}

/// Starts a client at each instance and waits until all have been answered.
fn chat(cluster: &Cluster) -> Vec<watch::ChatClient> {
    let start = |index: usize| {
        watch::ChatClient::start(cluster.instances[index].ports.callers, "catalogue")
    };
    let clients: Vec<_> = (0..FOUR.len()).map(start).collect();
    for client in &clients {
        client.wait_for_new_request();
    }
    clients
}

fn wait_for_other_copy(cluster: &Cluster, than: usize) {
    let name = &cluster.targets[than].name;
    wait_for("the model at the other engine", || {
        let ready = watch::ready_at(cluster, 0, "catalogue@3");
        ready.iter().any(|at| at != name).then_some(())
    });
}

fn generations(cluster: &Cluster, target: usize) -> u64 {
    let counters = watch::engine(cluster, target);
    counters["engine"]["generations"].as_u64().unwrap()
}

/// Guards against requests that are refused while the model of a drained engine is loaded elsewhere, and against
/// work at the drained engine for longer than [`LEAVING_BOUND`].
#[test]
fn drain_only_copy() {
    let _one = ONE_CLUSTER.lock().unwrap_or_else(PoisonError::into_inner);
    let (cluster, drained) = start();
    let clients = chat(&cluster);
    let path = format!("target/{}/drain", cluster.targets[drained].name);
    let revision = cluster.revision(0).unwrap();
    watch::set(&cluster, 0, "platform", &path, "yes");
    for index in 0..FOUR.len() {
        wait_for("the drain at all instances", || {
            (cluster.revision(index)? > revision).then_some(())
        });
    }
    thread::sleep(LEAVING_BOUND);
    let after_bound = generations(&cluster, drained);
    wait_for_other_copy(&cluster, drained);
    clients
        .iter()
        .for_each(watch::ChatClient::wait_for_new_request);
    wait_for("the artifacts to move", || {
        (watch::engine(&cluster, drained)["used"] == 0).then_some(())
    });
    for client in clients {
        assert!(client.stop() > 0);
    }
    assert_eq!(generations(&cluster, drained), after_bound);
}

/// Guards against requests that are refused while the model of a leaving engine is loaded elsewhere, and against
/// work at the leaving engine for longer than [`LEAVING_BOUND`].
#[test]
fn leave_with_only_copy() {
    let _one = ONE_CLUSTER.lock().unwrap_or_else(PoisonError::into_inner);
    let (cluster, leaving) = start();
    let clients = chat(&cluster);
    let answer = caller::post(cluster.targets[leaving].address, "/leave", "");
    assert_eq!(answer.status, 200);
    wait_for_other_copy(&cluster, leaving);
    clients
        .iter()
        .for_each(watch::ChatClient::wait_for_new_request);
    for client in clients {
        assert!(client.stop() > 0);
    }
    let counters = watch::engine(&cluster, leaving);
    assert_eq!(
        counters["engine"]["asked_after_leaving_bound"], 0,
        "{counters}"
    );
}
