//! Settings under races, resends, partitions and restarts, over real processes.

#[path = "support/press.rs"]
mod press;

use std::thread;

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

const SCOPE: &str = "team/press";
const PATH: &str = "model/catalogue/priority";

fn value(cluster: &Cluster, index: usize) -> Option<String> {
    let port = cluster.instances[index].ports.operators;
    let body = caller::operator_get(port, "/v1/settings/team/press").json();
    body["scopes"][SCOPE]["values"][PATH]
        .as_str()
        .map(str::to_owned)
}

/// Guards against two accepted writes among racing operators, an answer that changes on a resend, and a late
/// resend that reverts a newer write.
#[test]
fn write_racing_operators() {
    let cluster = press::start(&press::THREE);
    let ports: Vec<_> = cluster
        .instances
        .iter()
        .map(|instance| instance.ports.operators)
        .collect();
    let ids: Vec<id::Write> = ports.iter().map(|_| id::Write::generate()).collect();
    let write = |index: usize, base: u64| {
        let text = (index + 1).to_string();
        caller::write_settings(
            ports[index],
            SCOPE,
            ids[index],
            base,
            &[(PATH, Some(&text))],
        )
    };
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..3)
            .map(|index| scope.spawn(move || write(index, 1)))
            .collect();
        answers.extend(threads.into_iter().map(|thread| thread.join().unwrap()));
    });
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(
        statuses.iter().filter(|status| **status == 200).count(),
        1,
        "{statuses:?}"
    );
    assert_eq!(
        statuses.iter().filter(|status| **status == 409).count(),
        2,
        "{statuses:?}"
    );
    let winner = statuses.iter().position(|status| *status == 200).unwrap();
    assert_eq!(write(winner, 1), answers[winner]);
    let newer = caller::write_settings(
        ports[0],
        SCOPE,
        id::Write::generate(),
        2,
        &[(PATH, Some("9"))],
    );
    assert_eq!(newer.status, 200, "{}", newer.text);
    assert_eq!(write(winner, 1), answers[winner]);
    for index in 0..3 {
        wait_for("the newer value", || {
            (value(&cluster, index)? == "9").then_some(())
        });
    }
}

/// Guards against a partitioned instance that accepts a write, reverts to an older revision or does not report its
/// settings as possibly stale, and against a status that lists it as reached.
#[test]
fn write_during_cut() {
    let configs = [
        press::THREE[0],
        press::THREE[1],
        press::THREE[2],
        InstanceConfig {
            name: "south-2",
            domain: "south",
            is_voter: false,
        },
    ];
    let cluster = press::start(&configs);
    cluster.isolate(3, Mode::Partitioned);
    let id = id::Write::generate();
    let port = cluster.instances[0].ports.operators;
    let accepted = caller::write_settings(port, SCOPE, id, 1, &[(PATH, Some("8"))]);
    assert_eq!(accepted.status, 200, "{}", accepted.text);
    let cut_off = cluster.instances[3].ports.operators;
    let refused = caller::write_settings(
        cut_off,
        SCOPE,
        id::Write::generate(),
        1,
        &[(PATH, Some("7"))],
    );
    assert_eq!(refused.status, 503, "{}", refused.text);
    assert_eq!(
        cluster.revision(3),
        Some(2),
        "the old revision stays in force"
    );
    wait_for("a status that lists the instance as not reached", || {
        let status = cluster.status(0);
        let rows = status["instances"].as_array()?;
        let row = rows.iter().find(|row| row["instance"] == "south-2")?;
        (row["reached"] == false && row["state"] == "dead").then_some(())
    });
    let is_stale = || {
        let status = cluster.status(3);
        let rows = status["instances"].as_array()?;
        let row = rows.iter().find(|row| row["instance"] == "south-2")?;
        row["stale"].as_bool()
    };
    wait_for("an instance that reports its settings as stale", || {
        is_stale()?.then_some(())
    });
    cluster.isolate(3, Mode::Open);
    wait_for("the new revision", || {
        (cluster.revision(3)? == 3).then_some(())
    });
    assert_eq!(value(&cluster, 3).as_deref(), Some("8"));
    wait_for("confirmed settings", || (!is_stale()?).then_some(()));
}

/// Guards against a revision that decreases or is lost when all instances are killed at once, and against an
/// instance that answers callers without settings.
#[test]
fn restart_all_killed() {
    let mut cluster = press::start(&press::THREE);
    let port = cluster.instances[0].ports.operators;
    let written =
        caller::write_settings(port, SCOPE, id::Write::generate(), 1, &[(PATH, Some("4"))]);
    assert_eq!(written.status, 200, "{}", written.text);
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.launch(index).unwrap());
    for index in 0..3 {
        wait_for("the settings after the restart", || {
            (cluster.revision(index)? == 3).then_some(())
        });
        assert_eq!(value(&cluster, index).as_deref(), Some("4"));
    }
}

/// Guards against writes without a token, outside of the token's subtree, or with invalid settings.
#[test]
fn write_refused() {
    let cluster = press::start(&press::THREE);
    let port = cluster.instances[1].ports.operators;
    let bad = caller::write_settings(
        port,
        SCOPE,
        id::Write::generate(),
        1,
        &[(PATH, Some("high"))],
    );
    assert_eq!(bad.status, 422, "{}", bad.text);
    assert!(bad.text.contains("priority"), "{}", bad.text);
    let policy = [("policy/name", Some("gready"))];
    let bad = caller::write_settings(port, SCOPE, id::Write::generate(), 1, &policy);
    assert_eq!(bad.status, 422, "{}", bad.text);
    // A write on a base that no instance has cannot be checked, so it must not be accepted.
    let ahead = caller::write_settings(
        port,
        SCOPE,
        id::Write::generate(),
        7,
        &[(PATH, Some("high"))],
    );
    assert_eq!(
        (ahead.status, ahead.run().as_deref()),
        (503, Some("no")),
        "{}",
        ahead.text
    );
    let unsigned = caller::get(port, "/v1/settings/team/press");
    assert_eq!(unsigned.status, 401);
    assert_eq!(cluster.revision(1), Some(2));
}
