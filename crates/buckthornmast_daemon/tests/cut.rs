//! Partitioned failure domains, unresponsive connections and a lost quorum, over real processes.

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

/// Three voters in two failure domains, and an instance in the second one that only follows the settings.
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

const TEAM: &str = "team/press";
const PATH: &str = "model/catalogue/priority";

fn wait_for_order(cluster: &Cluster, index: usize) {
    let (port, key) = (cluster.instances[index].ports.callers, id::Key::generate());
    wait_for("an accepted order", || {
        (caller::post_order(port, key, "LP 1").status == 200).then_some(())
    });
}

fn assert_order_denied(cluster: &Cluster, index: usize) {
    let port = cluster.instances[index].ports.callers;
    let denied = caller::post_order(port, id::Key::generate(), "LP 2");
    let found = (denied.status, denied.run());
    assert_eq!(found, (503, Some("no".to_owned())), "{}", denied.text);
}

fn partition_south(cluster: &Cluster, mode: Mode) {
    for (north, south) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        cluster.set_relay(north, south, mode);
        cluster.set_relay(south, north, mode);
    }
}

/// Guards against a partitioned domain that stops answering, runs a caller's order without a quorum, cannot repair its
/// own placements, or keeps old settings after the partition.
#[test]
fn domain_cut_off() {
    let mut cluster = press::start(&FOUR);
    let engines = [("s1", "south"), ("s2", "south")];
    cluster.add_engines(&engines, &[]).unwrap();
    let counter = cluster.add_plain_service("counter", "south", &[]).unwrap();
    let south = [2, 3];
    for index in south {
        cluster.wait_for_model(index, "catalogue");
        wait_for_order(&cluster, index);
    }
    let before = watch::engine(&cluster, counter)["plain"]["total"].clone();
    let clients = south
        .map(|index| watch::ChatClient::start(cluster.instances[index].ports.callers, "catalogue"));
    partition_south(&cluster, Mode::Partitioned);
    watch::set(&cluster, 0, TEAM, PATH, "8");
    wait_for("a status that shows the partition", || {
        let status = cluster.status(2);
        let rows = status["instances"].as_array()?;
        let row = rows.iter().find(|row| row["instance"] == "north-1")?;
        (row["state"] == "dead").then_some(())
    });
    for index in south {
        assert_order_denied(&cluster, index);
    }
    assert_eq!(watch::engine(&cluster, counter)["plain"]["total"], before);
    for client in clients {
        assert!(client.stop() > 0);
    }
    cluster.targets[0].process.kill();
    cluster.wait_for_model(3, "catalogue");
    cluster.wait_for_model(2, "proof-reader");
    assert_eq!(watch::engine(&cluster, 1)["engine"]["overcommitted"], 0);
    let newer = cluster.revision(0).unwrap();
    assert!(cluster.revision(3).unwrap() < newer);
    partition_south(&cluster, Mode::Open);
    for index in south {
        wait_for("the newer settings", || {
            (cluster.revision(index)? >= newer).then_some(())
        });
        wait_for_order(&cluster, index);
    }
}

/// Guards against a domain with a single instance that cannot repair its own placements while partitioned.
#[test]
fn lone_instance_cut_off() {
    let mut cluster = press::start(&press::THREE);
    let engines = [("s1", "south"), ("s2", "south")];
    cluster.add_engines(&engines, &[]).unwrap();
    cluster.wait_for_model(2, "catalogue");
    for north in [0, 1] {
        cluster.set_relay(north, 2, Mode::Partitioned);
        cluster.set_relay(2, north, Mode::Partitioned);
    }
    wait_for("a status that shows the partition", || {
        let status = cluster.status(2);
        let rows = status["instances"].as_array()?;
        let dead = rows.iter().filter(|row| row["state"] == "dead");
        (dead.count() == 2).then_some(())
    });
    assert_order_denied(&cluster, 2);
    // Copies that only the killed engine had are loaded at the other one.
    cluster.targets[0].process.kill();
    cluster.wait_for_model(2, "catalogue");
    cluster.wait_for_model(2, "proof-reader");
    assert_eq!(watch::engine(&cluster, 1)["engine"]["overcommitted"], 0);
}

/// Guards against instances that wait indefinitely on unresponsive connections, callers' orders that run twice
/// because of them, and chat requests that are refused without a quorum although they need none.
#[test]
fn connections_unresponsive_then_quorum_lost() {
    let mut cluster = press::start(&press::THREE);
    cluster.add_engine("s1", "south", &[]).unwrap();
    let counter = cluster.add_plain_service("counter", "south", &[]).unwrap();
    cluster.wait_for_model(2, "catalogue");
    for index in 0..3 {
        wait_for_order(&cluster, index);
    }
    let total = || {
        watch::engine(&cluster, counter)["plain"]["total"]
            .as_u64()
            .unwrap()
    };
    let before = total();
    for index in 0..3 {
        cluster.isolate(index, Mode::Stalled);
    }
    for (index, value) in ["7", "8", "9"].iter().enumerate() {
        wait_for_order(&cluster, index);
        watch::set(&cluster, index, TEAM, PATH, value);
    }
    assert_eq!(total(), before + 3);
    let client = watch::ChatClient::start(cluster.instances[2].ports.callers, "catalogue");
    cluster.kill(0);
    cluster.kill(1);
    assert_order_denied(&cluster, 2);
    wait_for("a status that shows the killed instances", || {
        let status = cluster.status(2);
        let rows = status["instances"].as_array()?;
        let dead = rows.iter().filter(|row| row["state"] == "dead");
        (dead.count() == 2).then_some(())
    });
    assert_order_denied(&cluster, 2);
    assert!(client.stop() > 0);
    let counters = watch::engine(&cluster, counter);
    assert_eq!(counters["repeated"], 0, "{counters}");
}
