//! Targets that leave or are drained, over real processes.

#![expect(
    clippy::unwrap_used,
    reason = "a test ends if a part of it can't go on"
)]

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use buckthornmast_trial::prelude::*;

/// Time for which callers keep sending after a target began to leave; stand-ins count requests after 3 s.
const LOAD_WHILE_LEAVING: Duration = Duration::from_secs(7);

fn generations(cluster: &Cluster, target: usize) -> u64 {
    watch::engine(cluster, target)["engine"]["generations"]
        .as_u64()
        .unwrap()
}

fn call_until(is_stopped: &AtomicBool, address: SocketAddr) {
    for number in 0.. {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let prompt = format!("hello {number}");
        // An instance without any other engine refuses the request, which is correct here.
        for model in ["catalogue", "proof-reader"] {
            caller::chat(address, model, &prompt, 1);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an instance that keeps sending work to a leaving target, because the notice did not reach it or
/// because it is partitioned from all other instances.
#[test]
fn leave_with_instance_cut_off() {
    let mut cluster = press::start(&press::THREE);
    let engines = [("e1", "north"), ("e2", "north")];
    watch::set_policy(&cluster, "static");
    cluster.add_engines(&engines, &[]).unwrap();
    let cut_off = cluster.instances[2].ports.callers;
    let mut prompts = 0..;
    for target in [0, 1] {
        wait_for("work of the last instance at both engines", || {
            let before = generations(&cluster, target);
            // Requests with the same first message go to the same engine.
            let prompt = format!("hello {}", prompts.next()?);
            caller::chat(cut_off, "proof-reader", &prompt, 1);
            (generations(&cluster, target) > before).then_some(())
        });
    }
    watch::set_policy(&cluster, "marginal");
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        for instance in &cluster.instances {
            scope.spawn(|| call_until(&is_stopped, instance.ports.callers));
        }
        cluster.isolate(2, Mode::Partitioned);
        let answer = caller::post(cluster.targets[0].address, "/leave", "");
        assert_eq!(answer.status, 200);
        thread::sleep(LOAD_WHILE_LEAVING);
        is_stopped.store(true, Ordering::Relaxed);
    });
    let counters = watch::engine(&cluster, 0);
    assert_eq!(
        counters["engine"]["asked_after_leaving_bound"], 0,
        "{counters}"
    );
    cluster.wait_for_model(0, "catalogue");
}

/// Guards against an instance that routes to a drained target although the drain is in force there, a drain that
/// never completes, and requests that are refused although another engine has the model.
#[test]
fn drain_under_load() {
    let mut cluster = press::start(&press::THREE);
    let engines = [("e1", "north"), ("e2", "north"), ("e3", "north")];
    watch::set_policy(&cluster, "static");
    cluster.add_engines(&engines, &[]).unwrap();
    for index in 0..3 {
        wait_for("two copies", || {
            (watch::ready_at(&cluster, index, "proof-reader@1").len() >= 2).then_some(())
        });
        cluster.wait_for_model(index, "proof-reader");
    }
    watch::set_policy(&cluster, "marginal");
    let clients = [0, 2].map(|index| {
        watch::ChatClient::start(cluster.instances[index].ports.callers, "proof-reader")
    });
    let at = watch::ready_at(&cluster, 0, "proof-reader@1");
    let name = at.first().unwrap().clone();
    let drained = cluster.targets.iter().position(|t| t.name == name).unwrap();
    let revision = cluster.revision(0).unwrap();
    watch::set(
        &cluster,
        0,
        "platform",
        &format!("target/{name}/drain"),
        "yes",
    );
    for index in 0..3 {
        wait_for("the drain at all instances", || {
            (cluster.revision(index)? > revision).then_some(())
        });
    }
    // Requests that chose the engine before the drain was in force are over by then.
    clients
        .iter()
        .for_each(watch::ChatClient::wait_for_new_request);
    let before = generations(&cluster, drained);
    wait_for("the artifacts to move", || {
        (watch::engine(&cluster, drained)["used"] == 0).then_some(())
    });
    assert_eq!(generations(&cluster, drained), before);
    for client in clients {
        assert!(client.stop() > 0);
    }
    cluster.wait_for_model(0, "catalogue");
}

/// Guards against an instance that reports a drain as in force and still chooses the target.
#[test]
fn drain_at_once() {
    let mut cluster = press::start(&press::THREE);
    let engines = [("e1", "north"), ("e2", "north")];
    watch::set_policy(&cluster, "static");
    cluster.add_engines(&engines, &[]).unwrap();
    let port = cluster.instances[0].ports.callers;
    for round in 0..3 {
        wait_for("two copies", || {
            (watch::ready_at(&cluster, 0, "proof-reader@1").len() == 2).then_some(())
        });
        // Requests with the same first message go to the same engine as long as it may be chosen.
        let prompt = format!("round {round}");
        let drained = wait_for("an answer", || {
            let before = [0, 1].map(|target| generations(&cluster, target));
            let status = caller::chat(port, "proof-reader", &prompt, 1).status;
            let mut targets = [0, 1].into_iter();
            let used = targets.find(|target| generations(&cluster, *target) > before[*target]);
            used.filter(|_| status == 200)
        });
        let before = generations(&cluster, drained);
        let path = format!("target/{}/drain", cluster.targets[drained].name);
        for (value, is_drained) in [("yes", true), ("no", false)] {
            let revision = cluster.revision(0).unwrap();
            watch::set(&cluster, 0, "platform", &path, value);
            wait_for("the drain in force", || {
                (cluster.revision(0)? > revision).then_some(())
            });
            if is_drained {
                let answer = caller::chat(port, "proof-reader", &prompt, 1);
                assert_eq!(answer.status, 200, "{}", answer.text);
                assert_eq!(generations(&cluster, drained), before);
            }
        }
    }
}
