//! Requests that must not be repeated (callers' orders to a plain service), over real processes.

#[path = "support/press.rs"]
mod press;

use std::{thread, time::Duration};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

/// Returns the number of orders that a plain service has run.
fn runs(cluster: &Cluster, target: usize) -> u64 {
    let counters = caller::counters(cluster.targets[target].address);
    counters["plain"]["total"].as_u64().unwrap_or(u64::MAX)
}

/// Sends an order until the log has a leader to commit its claim. A 503 means that the order was not run.
fn order_until_leader(cluster: &Cluster, index: usize, key: id::Key, body: &str) -> caller::Answer {
    let port = cluster.instances[index].ports.callers;
    wait_for("an answer other than 503 for lack of a leader", || {
        let answer = caller::post_order(port, key, body);
        (answer.status != 503).then_some(answer)
    })
}

fn wait_for_order(cluster: &Cluster, index: usize) {
    let port = cluster.instances[index].ports.callers;
    wait_for("an accepted order", || {
        (caller::post_order(port, id::Key::generate(), "warm up").status == 200).then_some(())
    });
}

/// Guards against a second run when the first instance is killed while the service works, and against an
/// answer other than `unknown` to a resend.
#[test]
fn order_owner_killed() {
    let mut cluster = press::start(&press::THREE);
    let counter = cluster
        .add_plain_service("counter", "north", &["--call-time", "1500ms"])
        .unwrap();
    wait_for_order(&cluster, 0);
    wait_for_order(&cluster, 2);
    let before = runs(&cluster, counter);
    let (port, key) = (cluster.instances[0].ports.callers, id::Key::generate());
    let first = thread::spawn(move || caller::post_order(port, key, "LP 7"));
    wait_for("the run", || {
        (runs(&cluster, counter) == before + 1).then_some(())
    });
    cluster.kill(0);
    let answer = first.join().unwrap();
    assert_eq!(
        answer.status, 0,
        "the killed instance has answered: {}",
        answer.text
    );
    for index in [1, 2, 1] {
        let resend = order_until_leader(&cluster, index, key, "LP 7");
        assert_eq!(
            (resend.status, resend.run().as_deref()),
            (409, Some("unknown"))
        );
    }
    assert_eq!(runs(&cluster, counter), before + 1);
}

/// Guards against an instance that dispatches without a quorum, and against a request that was reported as not
/// run and cannot be run afterwards.
#[test]
fn order_minority() {
    let mut cluster = press::start(&press::THREE);
    let counter = cluster.add_plain_service("counter", "north", &[]).unwrap();
    wait_for_order(&cluster, 0);
    wait_for_order(&cluster, 2);
    let before = runs(&cluster, counter);
    cluster.isolate(0, Mode::Partitioned);
    let (port, key) = (cluster.instances[0].ports.callers, id::Key::generate());
    let denied = caller::post_order(port, key, "LP 8");
    assert_eq!(
        (denied.status, denied.run().as_deref()),
        (503, Some("no")),
        "{}",
        denied.text
    );
    assert_eq!(runs(&cluster, counter), before);
    cluster.isolate(0, Mode::Open);
    // The claim of the denied request may still be held until its release is committed.
    let ran = wait_for("the order to run", || {
        let answer = caller::post_order(port, key, "LP 8");
        (answer.status == 200).then_some(answer)
    });
    let resend = order_until_leader(&cluster, 2, key, "LP 8");
    assert_eq!((resend.status, resend.text), (200, ran.text));
    assert_eq!(runs(&cluster, counter), before + 1);
}

/// Guards against a key that is reused for a different request, and against keys without a valid time.
#[test]
fn order_bad_key() {
    let mut cluster = press::start(&press::THREE);
    let counter = cluster.add_plain_service("counter", "north", &[]).unwrap();
    wait_for_order(&cluster, 0);
    let before = runs(&cluster, counter);
    let port = cluster.instances[0].ports.callers;
    let key = id::Key::generate();
    assert_eq!(order_until_leader(&cluster, 0, key, "LP 9").status, 200);
    assert_eq!(order_until_leader(&cluster, 0, key, "LP 10").status, 422);
    let random: id::Key = "5bd9d0a4-0c83-4e9b-8b8e-0d3f8ac6f3b1".parse().unwrap();
    // A UUIDv7 of the year 2020.
    let old: id::Key = "016f5e66-e800-7000-8000-000000000000".parse().unwrap();
    for key in [random, old] {
        let answer = order_until_leader(&cluster, 0, key, "LP 11");
        assert_eq!((answer.status, answer.run().as_deref()), (400, Some("no")));
    }
    assert_eq!(
        caller::post(port, "/services/ledger/orders", "LP 12").status,
        400
    );
    assert_eq!(runs(&cluster, counter), before + 1);
}

/// Guards against claims that fill up unnoticed: the status and metrics of a voter must count them.
#[test]
fn order_shown_to_operators() {
    let mut cluster = press::start(&press::THREE);
    cluster.add_plain_service("counter", "north", &[]).unwrap();
    wait_for_order(&cluster, 0);
    wait_for("a claim in the status", || {
        let status = cluster.status(0);
        let instances = status["instances"].as_array()?;
        let mut claims = instances.iter().map(|entry| &entry["replica"]["claims"]);
        claims
            .all(|claims| claims["claims"].as_u64() >= Some(1) && claims["percent"] == 0)
            .then_some(())
    });
    let port = cluster.instances[0].ports.callers;
    wait_for("a claim in the metrics", || {
        let text = caller::get(port, "/metrics").text;
        let mut lines = text.lines();
        let claims = lines.find_map(|line| line.strip_prefix("buckthornmast_claims "))?;
        let has_fill = text.contains("buckthornmast_claims_fill_ratio 0");
        (has_fill && claims.parse::<f64>().ok()? >= 1.0).then_some(())
    });
}

/// Guards against claims that are lost when two voters lose their disks one after the other.
#[test]
fn order_disks_lost_in_turn() {
    let mut cluster = press::start(&press::THREE);
    let counter = cluster.add_plain_service("counter", "north", &[]).unwrap();
    wait_for_order(&cluster, 0);
    let before = runs(&cluster, counter);
    let key = id::Key::generate();
    assert_eq!(order_until_leader(&cluster, 0, key, "LP 13").status, 200);
    // The outcome may be recorded shortly after the answer.
    wait_for("the recorded outcome", || {
        let port = cluster.instances[2].ports.callers;
        (caller::post_order(port, key, "LP 13").status == 200).then_some(())
    });
    for lost in [0, 1] {
        cluster.kill(lost);
        cluster.delete_data(lost).unwrap();
        cluster.launch(lost).unwrap();
        wait_for("the replaced voter", || {
            let status = cluster.status(2);
            let instances = status["instances"].as_array()?;
            let name = cluster.instances[lost].config.name;
            let row = instances.iter().find(|row| row["instance"] == name)?;
            let role = row["replica"]["role"].as_str()?;
            let is_settled = row["replica"]["settled"] == true;
            (is_settled && matches!(role, "follower" | "leader")).then_some(())
        });
    }
    thread::sleep(Duration::from_millis(200));
    for index in 0..3 {
        let resend = order_until_leader(&cluster, index, key, "LP 13");
        assert_eq!(resend.status, 200, "{}", resend.text);
    }
    assert_eq!(runs(&cluster, counter), before + 1);
}
