//! Runs the driver on its threads, with a fake behind every port.

// Helpers parse constants and lock what no other test uses.
#![allow(clippy::unwrap_used)]

#[path = "support/fake.rs"]
mod fake;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use buckthornmast_controller::{
    driver::{Observation, Parts, start},
    port::{AttemptResult, LeaseAnswer, LogError},
    prelude::*,
};
use buckthornmast_lease::prelude::{Config as Candidate, Effect};
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::prelude::*;
use fake::{Domain, load};

/// Port of every kind that records its calls.
#[derive(Clone, Default)]
struct Port {
    calls: Arc<Mutex<Vec<&'static str>>>,
    is_log_down: bool,
}

impl Port {
    fn record_call(&self, call: &'static str) {
        self.calls.lock().unwrap().push(call);
    }

    fn has_seen(&self, call: &str) -> bool {
        self.calls.lock().unwrap().contains(&call)
    }
}

impl Log for Port {
    fn intend(&self, _: id::Token, _: &[Order]) -> Result<(), LogError> {
        if self.is_log_down {
            return Err(LogError::Unknown);
        }
        self.record_call("intend");
        Ok(())
    }

    fn resolve(&self, _: id::Token, _: &[ClosedOrder]) -> Result<(), LogError> {
        self.record_call("resolve");
        Ok(())
    }
}

impl Journals for Port {
    fn is_single_candidate(&self) -> bool {
        false
    }

    fn record(&self, _: id::Token, _: &[Order]) -> bool {
        self.record_call("journal");
        true
    }

    fn read(&self, _: id::Token) -> Intents {
        fake::journaled()
    }

    fn forget(&self, _: &[id::Order]) {}

    fn declare_clean(&self) {
        self.record_call("clean");
    }
}

impl OrderTransport for Port {
    fn send(&self, order: Order, attempt: Attempt, _: Point, answer: flume::Sender<AttemptResult>) {
        self.record_call("send");
        let _ = answer.send(AttemptResult {
            target: order.target,
            order: order.id,
            attempt,
            outcome: Outcome::Refused,
        });
    }
}

impl LeaseTransport for Port {
    fn post(&self, effect: Effect, answer: flume::Sender<LeaseAnswer>) {
        let reply = match effect {
            Effect::RequestLease { number } => LeaseAnswer::Granted {
                number,
                grant: fake::grant(5),
            },
            Effect::Renew { number, .. } => LeaseAnswer::Renewed { number },
            Effect::RequestPromise { .. } => return,
            Effect::Handover { .. } => {
                self.record_call("handover");
                LeaseAnswer::HandedOver
            }
        };
        let _ = answer.send(reply);
    }
}

struct OneLoad;

impl PlanSource for OneLoad {
    fn plan(&mut self, _: &View) -> Plan {
        Plan {
            moves: vec![load("t", "a@1", 4)],
            ..Plan::default()
        }
    }
}

/// Runs a controller until it has made a call, and returns all calls, including those during the stop.
fn run(is_log_down: bool, until: &str) -> Vec<&'static str> {
    let port = Port {
        is_log_down,
        ..Port::default()
    };
    let mut candidate = Candidate::new("a".parse().unwrap(), []);
    candidate.duration = Duration::from_millis(400);
    let clock = time::System::start();
    let mut config = fake::config();
    config.lease_margin = Duration::from_millis(20);
    let handle = start(Parts {
        candidate,
        config,
        round_interval: Duration::from_millis(10),
        log: port.clone(),
        journals: port.clone(),
        orders: port.clone(),
        peers: port.clone(),
        plan: OneLoad,
        clock,
    })
    .unwrap();
    let mut domain = Domain::new(&[("t", false, &[])]);
    for _ in 0..1_000 {
        if port.has_seen(until) {
            break;
        }
        handle.report(Observation {
            report: domain.next_report("t"),
            sampled_at: clock.now(),
            honours_tokens: false,
        });
        std::thread::sleep(Duration::from_millis(10));
    }
    handle.stop();
    let calls = port.calls.lock().unwrap();
    calls.clone()
}

fn position(calls: &[&str], call: &str) -> usize {
    calls
        .iter()
        .position(|c| *c == call)
        .unwrap_or_else(|| panic!("no call of {call}: {calls:?}"))
}

/// Guards against orders that are sent before their intent is recorded, intents that are never removed,
/// and a planned stop that does not hand the lease over.
#[test]
fn start_to_stop() {
    let calls = run(false, "resolve");
    assert!(position(&calls, "intend") < position(&calls, "send"));
    assert!(position(&calls, "send") < position(&calls, "resolve"));
    assert_eq!(calls.last(), Some(&"handover"));
}

/// Guards against a domain that stops repairing its placements while the quorum is unreachable.
#[test]
fn log_unreachable() {
    let calls = run(true, "send");
    assert!(position(&calls, "journal") < position(&calls, "send"));
    assert!(!calls.contains(&"intend"));
}
