//! Faults of the controller, one at a time.

#[path = "support/fake.rs"]
mod fake;

use std::time::Duration;

use buckthornmast_controller::prelude::*;
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{order::Action, prelude::*};
use fake::{Domain, artifact, load, need};

fn loads(sent: &[Dispatch]) -> Vec<&Dispatch> {
    let is_load = |d: &&Dispatch| matches!(d.order.action, Action::Load { .. });
    sent.iter().filter(is_load).collect()
}

/// Guards against an intent that is lost when the controller dies before it sends the order.
#[test]
fn kill_between_intent_and_send() {
    for honours_tokens in [false, true] {
        let mut domain = Domain::new(&[("t", honours_tokens, &[])]);
        domain.plan.moves = vec![load("t", "a@1", 6)];
        let unsent = domain.round();
        domain.plan.moves = vec![load("t", "b@1", 6)];
        domain.fail_over();
        if honours_tokens {
            // The fence proves that the order was never executed.
            domain.settle();
            assert!(domain.has("t", "b@1") && !domain.has("t", "a@1"));
        } else {
            // Unresolved orders are resent after 2 s.
            domain.advance(2_000);
            domain.report();
            let again = domain.round();
            assert_eq!(loads(&again).len(), 1, "the other load must wait");
            assert_eq!(again[0].order.id, unsent[0].order.id);
            assert!(again[0].order.token > unsent[0].order.token);
        }
    }
}

/// Guards against overcommitting with a load that the dead controller had sent.
#[test]
fn kill_between_send_and_answer() {
    for honours_tokens in [false, true] {
        let mut domain = Domain::new(&[("t", honours_tokens, &[])]);
        domain.plan.moves = vec![load("t", "a@1", 6)];
        let sent = domain.round();
        domain.plan.moves = vec![load("t", "b@1", 6)];
        domain.fail_over();
        let late = domain.deliver(&sent[0]);
        let expected = if honours_tokens {
            Outcome::Fenced
        } else {
            Outcome::Accepted
        };
        assert_eq!(late, expected);
        domain.settle();
        assert_eq!(domain.has("t", "b@1"), honours_tokens);
        assert_eq!(domain.has("t", "a@1"), !honours_tokens);
    }
}

/// Guards against abandoning an order without an answer, and against resending it too often.
#[test]
fn lost_answer() {
    let mut domain = Domain::new(&[("t", false, &[])]);
    domain.plan.moves = vec![load("t", "a@1", 6)];
    let first = domain.round();
    domain.answer(&first[0], Outcome::Unknown);
    // Unresolved orders are resent after 2 s.
    domain.advance(1_900);
    domain.report();
    assert!(domain.round().is_empty());
    domain.advance(200);
    let second = domain.round();
    assert_eq!(second[0].order, first[0].order);
    assert_ne!(second[0].attempt, first[0].attempt);
    domain.deliver(&second[0]);
    domain.report();
    domain.advance(5_000);
    domain.report();
    assert!(domain.round().is_empty(), "the load is in progress");
    assert_eq!(domain.moves(), (1, 0, 0));
}

/// Guards against a controller that continues after its token was superseded.
#[test]
fn fenced() {
    let mut domain = Domain::new(&[("t", true, &[])]);
    domain.plan.moves = vec![load("t", "a@1", 6)];
    let sent = domain.round();
    domain.engines.get_mut("t").unwrap().report.token = id::Token(99);
    let outcome = domain.deliver(&sent[0]);
    domain.answer(&sent[0], outcome);
    assert!(domain.core.is_fenced());
}

/// Guards against an answer of an earlier lease that ends an attempt of the present one.
#[test]
fn answer_of_earlier_lease() {
    let mut domain = Domain::new(&[("t", false, &[])]);
    domain.plan.moves = vec![load("t", "a@1", 6)];
    let first = domain.round();
    domain.fail_over();
    // Unresolved orders are resent after 2 s.
    domain.advance(2_000);
    domain.report();
    domain.round();
    domain.answer(&first[0], Outcome::Refused);
    let ledger = domain.core.ledger().unwrap();
    assert_eq!(ledger.free_memory(&first[0].order.target), Bytes(4));
}

/// Guards against orders that are sent before their intent is recorded.
#[test]
fn log_down() {
    let mut domain = Domain::new(&[("t", false, &[])]);
    domain.plan.moves = vec![load("t", "a@1", 6)];
    domain.is_log_down = true;
    assert!(domain.round().is_empty());
    let pending = domain.core.unlogged_orders();
    let journals = buckthornmast_controller::core::Durability::Journals;
    domain.core.recorded(&pending, journals);
    assert!(!domain.core.is_clean());
    assert_eq!(loads(&domain.round()).len(), 1);
    assert_eq!(
        domain.core.unlogged_orders(),
        pending,
        "the order must be recorded in the log later"
    );
}

/// Guards against orders that are sent after the end of the lease, or within its margin.
#[test]
fn send_without_lease() {
    let mut domain = Domain::new(&[("t", false, &[])]);
    domain.plan.moves = vec![load("t", "a@1", 6)];
    let view = domain.core.view(domain.now);
    domain.core.round(domain.now, &view, domain.plan.clone());
    let pending = domain.core.unlogged_orders();
    domain
        .core
        .recorded(&pending, buckthornmast_controller::core::Durability::Log);
    let lease = domain.lease().unwrap();
    let mut other = lease;
    other.token = id::Token(99);
    let margin = fake::config().lease_margin;
    for (now, lease) in [
        (domain.now, None),
        (domain.now, Some(other)),
        (lease.expires_at - margin, Some(lease)),
    ] {
        assert_eq!(domain.core.send(now, lease), None);
    }
    assert!(domain.core.send(domain.now, Some(lease)).is_some());
}

/// Guards against a failover that causes a second burst of loads from the weight store.
#[test]
fn load_quota_after_failover() {
    let names: Vec<String> = (0..15).map(|n| format!("t{n:02}")).collect();
    let targets: Vec<_> = names.iter().map(|n| (n.as_str(), false, &[][..])).collect();
    let mut domain = Domain::new(&targets);
    domain.plan.moves = names.iter().map(|n| load(n, "a@1", 6)).collect();
    let sent = domain.round();
    assert_eq!(loads(&sent).len(), 10, "10 concurrent loads");
    for dispatch in &sent[..5] {
        domain.deliver(dispatch);
    }
    domain.fail_over();
    let again = domain.round();
    let ids: Vec<id::Order> = sent.iter().map(|d| d.order.id).collect();
    assert!(
        again.iter().all(|d| ids.contains(&d.order.id)),
        "5 reported and 5 unresolved"
    );
    let view = domain.core.view(domain.now);
    assert_eq!(view.waiting.len(), 5, "excess moves must be kept");
    domain.settle();
    assert!(names.iter().all(|n| domain.has(n, "a@1")));
}

/// Guards against loads that exceed the rate of the weight store.
#[test]
fn load_rate_limit() {
    let mut domain = Domain::new(&[("t", false, &[]), ("u", false, &[]), ("v", false, &[])]);
    let mut config = fake::config();
    config.load_rate = Rate::per_second(1.0).unwrap();
    domain.core = Core::new(config);
    domain.core.lease_acquired(domain.now, &fake::grant(1));
    domain.core.journals_read(domain.now, &fake::journaled());
    domain.report();
    domain.plan.moves = ["t", "u", "v"].map(|n| load(n, "a@1", 6)).to_vec();
    let mut sent = Vec::new();
    for _ in 0..20 {
        sent.push(loads(&domain.round()).len());
        domain.advance(100);
    }
    assert_eq!(
        sent.iter().sum::<usize>(),
        1,
        "the first load has to wait a second: {sent:?}"
    );
    assert_eq!(sent[..9].iter().sum::<usize>(), 0);
}

/// Guards against a model that remains unreachable because other moves go first.
#[test]
fn missing_model_first() {
    let mut domain = Domain::new(&[("t", false, &[("x@1", 5)]), ("u", false, &[])]);
    domain.plan.moves = vec![load("u", "b@1", 8)];
    domain.plan.needs = vec![need("x@1", 5, &[]), need("a@1", 4, &[])];
    let sent = domain.round();
    assert_eq!(loads(&sent).len(), 2);
    domain.core = Core::new(Config {
        max_concurrent_loads: 1,
        ..fake::config()
    });
    domain.intents.clear();
    domain.core.lease_acquired(domain.now, &fake::grant(1));
    domain.core.journals_read(domain.now, &fake::journaled());
    domain.report();
    domain.advance(1_000);
    let sent = domain.round();
    let expected = Action::Load {
        artifact: artifact("a@1"),
        bytes: Bytes(4),
    };
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].order.action, expected);
    assert_eq!(
        sent[0].order.target.as_str(),
        "t",
        "the target with the least sufficient memory is chosen"
    );
}

/// Guards against a version change that unloads the old version for lack of memory.
#[test]
fn version_change_waits() {
    let mut domain = Domain::new(&[("t", true, &[("a@1", 6), ("x@1", 2)])]);
    domain.plan.needs = vec![need("a@2", 6, &["a@1"])];
    domain.settle();
    assert!(domain.has("t", "a@1") && !domain.has("t", "a@2"));
    domain.engines.get_mut("t").unwrap().report.memory = Bytes(14);
    domain.report();
    let sent = domain.round();
    assert_eq!(loads(&sent).len(), 1);
    domain.deliver(&sent[0]);
    domain.answer(&sent[0], Outcome::Accepted);
    domain.report();
    domain.round();
    assert!(domain.has("t", "a@1"), "the new version is still loading");
    domain.settle();
    assert!(!domain.has("t", "a@1") && domain.has("t", "a@2"));
    assert_eq!(domain.moves(), (1, 1, 0));
}

/// Guards against unloading an old version while an instance may have no report of another one.
#[test]
fn version_change_min_ready_time() {
    let mut domain = Domain::new(&[("t", false, &[("a@1", 4), ("a@2", 4)])]);
    domain.plan.needs = vec![need("a@2", 4, &["a@1"])];
    domain.core = Core::new(Config {
        min_ready_time: Duration::from_secs(1),
        ..fake::config()
    });
    domain.core.lease_acquired(domain.now, &fake::grant(1));
    domain.core.journals_read(domain.now, &fake::journaled());
    domain.report();
    for _ in 0..9 {
        domain.advance(100);
        domain.report();
        assert_eq!(domain.round().len(), 0);
    }
    domain.advance(100);
    domain.report();
    let sent = domain.round();
    let expected = Action::Unload {
        artifact: artifact("a@1"),
    };
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].order.action, expected);
}

/// Guards against a version change that leaves fewer copies, or changes only one of them.
#[test]
fn version_change_of_each_copy() {
    let copies: &[(&str, u64)] = &[("a@1", 4)];
    let mut domain = Domain::new(&[("t", false, copies), ("u", true, copies)]);
    domain.plan.needs = vec![need("a@2", 4, &["a@1"])];
    domain.settle();
    for name in ["t", "u"] {
        assert!(domain.has(name, "a@2") && !domain.has(name, "a@1"));
    }
}

/// Guards against a drain that unloads a model before it is ready elsewhere, or never ends.
#[test]
fn drain_shifts() {
    let mut domain = Domain::new(&[("t", false, &[("a@1", 4)]), ("u", true, &[])]);
    domain.plan.needs = vec![need("a@1", 4, &[])];
    domain.plan.drains = ["t".parse().unwrap()].into();
    let sent = domain.round();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].order.target.as_str(), "u");
    domain.deliver(&sent[0]);
    domain.answer(&sent[0], Outcome::Accepted);
    domain.report();
    assert!(domain.round().is_empty(), "the new copy is still loading");
    domain.settle();
    assert!(domain.has("u", "a@1") && !domain.has("t", "a@1"));
    assert_eq!(domain.moves(), (0, 0, 1));
}

/// Guards against a model that only a drained or leaving target has and that waits for other loads of its
/// team while the load quota is used up: for loads of lost models and for moves of earlier plans.
#[test]
fn drain_before_other_loads() {
    for is_leaving in [false, true] {
        let mut domain = Domain::new(&[("t", false, &[("a@1", 4)]), ("u", true, &[])]);
        let rate = Rate::per_second(1.0).unwrap();
        domain.plan.load_quota = Some((rate, 1));
        domain.round();
        domain.plan.needs = vec![need("lost@1", 3, &[]), need("a@1", 4, &[])];
        domain.plan.moves = vec![load("u", "planned@1", 1)];
        if is_leaving {
            domain.engines.get_mut("t").unwrap().report.is_leaving = true;
            domain.report();
        } else {
            domain.plan.drains = ["t".parse().unwrap()].into();
        }
        let mut order = Vec::new();
        for _ in 0..3 {
            domain.advance(1_000);
            domain.report();
            let sent = domain.round();
            for load in loads(&sent) {
                domain.deliver(load);
                domain.answer(load, Outcome::Accepted);
                let Action::Load { artifact, .. } = &load.order.action else {
                    continue;
                };
                order.push(artifact.to_string());
            }
            domain
                .engines
                .values_mut()
                .for_each(fake::Engine::finish_loads);
        }
        assert_eq!(
            order,
            ["a@1", "lost@1", "planned@1"],
            "leaving: {is_leaving}"
        );
    }
}

/// Guards against a drain for one team that delays the lost models of another team.
#[test]
fn drain_order_within_team() {
    let mut domain = Domain::new(&[("t", false, &[("a@1", 4)]), ("u", true, &[])]);
    domain.plan.load_quota = Some((Rate::per_second(1.0).unwrap(), 1));
    domain.round();
    let mut other = need("other@1", 3, &[]);
    other.team = "kiosk".parse().unwrap();
    domain.plan.needs = vec![other, need("a@1", 4, &[])];
    domain.plan.drains = ["t".parse().unwrap()].into();
    domain.advance(1_000);
    domain.report();
    let sent = domain.round();
    let loads = loads(&sent);
    assert_eq!(loads.len(), 1);
    let expected = Action::Load {
        artifact: artifact("other@1"),
        bytes: Bytes(3),
    };
    assert_eq!(loads[0].order.action, expected);
}

/// Guards against relying on the copies of a target that stopped reporting.
#[test]
fn unresponsive_target_is_replaced() {
    let mut domain = Domain::new(&[("t", false, &[("a@1", 4)]), ("u", false, &[])]);
    domain.plan.needs = vec![need("a@1", 4, &[])];
    assert!(domain.round().is_empty());
    // A target counts as unresponsive once its newest report is 2.5 s old.
    domain.advance(2_600);
    let report = domain.next_report("u");
    domain.core.report(report, domain.now, false);
    let sent = domain.round();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].order.target.as_str(), "u");
}

/// Guards against orders to targets that ignore tokens while a journal is unread.
#[test]
fn journals_unread() {
    let mut domain = Domain::new(&[("t", false, &[]), ("u", true, &[])]);
    let mut core = Core::new(fake::config());
    core.lease_acquired(domain.now, &fake::grant(1));
    domain.core = core;
    domain.report();
    domain.advance(1_000);
    domain.plan.moves = vec![load("t", "a@1", 4), load("u", "a@1", 4)];
    let sent = domain.round();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].order.target.as_str(), "u");
    let journaled = Intents {
        coverage: Coverage::Answered,
        ..fake::journaled()
    };
    domain.core.journals_read(domain.now, &journaled);
    assert!(
        domain.core.is_awaiting_journals(),
        "every candidate may have restarted"
    );
    // After 30 s, orders that only a lost journal had are assumed to have been executed and reported.
    domain.advance(30_000);
    domain.core.journals_read(domain.now, &journaled);
    assert!(!domain.core.is_awaiting_journals());
}
