//! The driver on its threads, with fakes behind every port.

// Helpers parse constants and lock what no other test uses.
#![allow(clippy::unwrap_used)]

#[path = "support/fake.rs"]
mod fake;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use buckthornmast_controller::{
    driver::{Heard, Parts, start},
    port::{Answered, LeaseAnswer, LogError},
    prelude::*,
};
use buckthornmast_lease::prelude::{Config as Candidate, Effect};
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::prelude::*;
use fake::{Domain, load};

/// Port of every kind that notes what it is asked for.
#[derive(Clone, Default)]
struct Port {
    calls: Arc<Mutex<Vec<&'static str>>>,
    is_log_down: bool,
}

impl Port {
    fn note(&self, call: &'static str) {
        self.calls.lock().unwrap().push(call);
    }

    fn seen(&self, call: &str) -> bool {
        self.calls.lock().unwrap().contains(&call)
    }
}

impl Log for Port {
    fn intend(&self, _: id::Token, _: &[Order]) -> Result<(), LogError> {
        if self.is_log_down {
            return Err(LogError::Unknown);
        }
        self.note("intend");
        Ok(())
    }

    fn resolve(&self, _: id::Token, _: &[Closed]) -> Result<(), LogError> {
        self.note("resolve");
        Ok(())
    }
}

impl Journal for Port {
    fn is_alone(&self) -> bool {
        false
    }

    fn record(&self, _: id::Token, _: &[Order]) -> bool {
        self.note("journal");
        true
    }

    fn read(&self, _: id::Token) -> Notes {
        fake::notes()
    }

    fn forget(&self, _: &[id::Order]) {}

    fn declare_clean(&self) {
        self.note("clean");
    }
}

impl Orders for Port {
    fn send(&self, order: Order, attempt: Attempt, _: Point, answer: flume::Sender<Answered>) {
        self.note("send");
        let _ = answer.send(Answered {
            target: order.target,
            order: order.id,
            attempt,
            outcome: Outcome::Refused,
        });
    }
}

impl Peers for Port {
    fn post(&self, effect: Effect, answer: flume::Sender<LeaseAnswer>) {
        let answered = match effect {
            Effect::Ask { number } => LeaseAnswer::Granted {
                number,
                grant: fake::grant(5),
            },
            Effect::Renew { number, .. } => LeaseAnswer::Renewed { number },
            Effect::RequestPromise { .. } => return,
            Effect::Handover { .. } => {
                self.note("handover");
                LeaseAnswer::HandedOver
            }
        };
        let _ = answer.send(answered);
    }
}

struct OneLoad;

impl Plan for OneLoad {
    fn plan(&mut self, _: &View) -> Planned {
        Planned {
            moves: vec![load("t", "a@1", 4)],
            ..Planned::default()
        }
    }
}

/// Runs a controller until a call was seen and returns all calls, including those of the stop.
fn run(is_log_down: bool, until: &str) -> Vec<&'static str> {
    let port = Port {
        is_log_down,
        ..Port::default()
    };
    let mut candidate = Candidate::new("a".parse().unwrap(), []);
    candidate.duration = Duration::from_millis(400);
    let clock = time::System::start();
    let mut config = fake::config();
    config.margin = Duration::from_millis(20);
    let handle = start(Parts {
        candidate,
        config,
        round_every: Duration::from_millis(10),
        log: port.clone(),
        journal: port.clone(),
        orders: port.clone(),
        peers: port.clone(),
        plan: OneLoad,
        clock,
    })
    .unwrap();
    let mut domain = Domain::new(&[("t", false, &[])]);
    for _ in 0..1_000 {
        if port.seen(until) {
            break;
        }
        handle.report(Heard {
            report: domain.next_report("t"),
            sampled: clock.now(),
            honours: false,
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
        .unwrap_or_else(|| panic!("no {call}: {calls:?}"))
}

/// Guards against orders before their intent, intents that are never removed, and a lease that a
/// planned stop keeps.
#[test]
fn start_to_stop() {
    let calls = run(false, "resolve");
    assert!(position(&calls, "intend") < position(&calls, "send"));
    assert!(position(&calls, "send") < position(&calls, "resolve"));
    assert_eq!(calls.last(), Some(&"handover"));
}

/// Guards against a domain that stops repairing its placements with the quorum out of reach.
#[test]
fn log_out_of_reach() {
    let calls = run(true, "send");
    assert!(position(&calls, "journal") < position(&calls, "send"));
    assert!(!calls.contains(&"intend"));
}
