//! Fake failure domain: engines, a log and the controller under test.

// Each test file uses some of the helpers; they only parse constants.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_controller::{core::Durability, prelude::*};
use buckthornmast_lease::prelude::Lease;
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Load, Phase},
};

pub struct Engine {
    pub honours_tokens: bool,
    pub report: Report,
}

impl Engine {
    /// Executes an order if its token allows it.
    pub fn execute(&mut self, order: &Order) -> Outcome {
        let report = &mut self.report;
        if order.incarnation != report.incarnation {
            return Outcome::Refused;
        }
        if self.honours_tokens && order.token < report.token {
            return Outcome::Fenced;
        }
        if self.honours_tokens {
            report.token = order.token;
        }
        match &order.action {
            Action::Load { artifact, bytes } if report.copy(artifact).is_none() => {
                report.copies.push(Copy {
                    artifact: artifact.clone(),
                    phase: Phase::Loading,
                    bytes: *bytes,
                });
            }
            Action::Unload { artifact } => report.copies.retain(|copy| copy.artifact != *artifact),
            _ => {}
        }
        let used: Bytes = report.copies.iter().map(|copy| copy.bytes).sum();
        assert!(used <= report.memory, "{} is overcommitted", report.target);
        Outcome::Accepted
    }

    pub fn finish_loads(&mut self) {
        for copy in &mut self.report.copies {
            copy.phase = Phase::Ready;
        }
    }
}

pub struct Domain {
    pub now: Point,
    pub token: u64,
    pub core: Core,
    pub engines: BTreeMap<String, Engine>,
    pub intents: BTreeMap<id::Order, Order>,
    pub positions: BTreeMap<id::Target, Position>,
    pub plan: Plan,
    pub is_log_down: bool,
}

pub fn config() -> Config {
    Config::new(Rate::per_second(100.0).unwrap(), 10)
}

pub fn journaled() -> Intents {
    Intents {
        intents: Vec::new(),
        coverage: Coverage::Complete,
    }
}

pub fn grant(token: u64) -> Grant {
    Grant {
        token: id::Token(token),
        is_first: false,
        intents: Vec::new(),
        positions: Vec::new(),
    }
}

pub fn artifact(text: &str) -> Artifact {
    text.parse().unwrap()
}

pub fn team() -> id::Team {
    "peach".parse().unwrap()
}

pub fn load(target: &str, text: &str, bytes: u64) -> Move {
    Move::Load {
        team: team(),
        target: target.parse().unwrap(),
        artifact: artifact(text),
        bytes: Bytes(bytes),
    }
}

pub fn need(text: &str, bytes: u64, old: &[&str]) -> Need {
    Need {
        team: team(),
        service: "draft-desk".parse().unwrap(),
        artifact: artifact(text),
        bytes: Bytes(bytes),
        old_versions: old.iter().map(|old| artifact(old)).collect(),
    }
}

/// Name of a target, whether it honours tokens, and its copies with their bytes. Each target has 10 bytes of memory.
pub type Target<'a> = (&'a str, bool, &'a [(&'a str, u64)]);

impl Domain {
    /// Returns a domain whose controller holds token 1 and has a report of every target.
    pub fn new(targets: &[Target<'_>]) -> Self {
        let mut domain = Self {
            now: Point::from_millis(60_000),
            token: 0,
            core: Core::new(config()),
            engines: BTreeMap::new(),
            intents: BTreeMap::new(),
            positions: BTreeMap::new(),
            plan: Plan::default(),
            is_log_down: false,
        };
        for (name, honours_tokens, copies) in targets {
            let copies = copies.iter().map(|(text, bytes)| Copy {
                artifact: artifact(text),
                phase: Phase::Ready,
                bytes: Bytes(*bytes),
            });
            let report = Report {
                target: name.parse().unwrap(),
                domain: "macon-a".parse().unwrap(),
                kind: "engine".parse().unwrap(),
                service: "draft-desk".parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                incarnation: id::Incarnation(1),
                sequence: 0,
                is_leaving: false,
                accelerators: 1,
                memory: Bytes(10),
                copies: copies.collect(),
                token: id::Token(0),
                load: Load::default(),
            };
            let honours_tokens = *honours_tokens;
            domain.engines.insert(
                (*name).to_owned(),
                Engine {
                    honours_tokens,
                    report,
                },
            );
        }
        domain.fail_over();
        domain
    }

    /// Replaces the controller by one that has only the state in the log.
    pub fn fail_over(&mut self) {
        self.token += 1;
        self.core = Core::new(config());
        let grant = Grant {
            token: id::Token(self.token),
            is_first: false,
            intents: self.intents.values().cloned().collect(),
            positions: self
                .positions
                .iter()
                .map(|(target, position)| (target.clone(), *position))
                .collect(),
        };
        self.core.lease_acquired(self.now, &grant);
        self.core.journals_read(self.now, &journaled());
        self.report();
        // After one second the load quota allows loads again; the fences are delivered.
        self.advance(1_000);
        for sent in self.round() {
            if sent.order.action == Action::Fence {
                self.deliver(&sent);
            }
        }
        self.report();
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub fn report(&mut self) {
        let names: Vec<String> = self.engines.keys().cloned().collect();
        for name in names {
            let report = self.next_report(&name);
            let honours_tokens = self.engines[&name].honours_tokens;
            self.core.report(report, self.now, honours_tokens);
        }
    }

    pub fn next_report(&mut self, name: &str) -> Report {
        let engine = self.engines.get_mut(name).unwrap();
        engine.report.sequence += 1;
        engine.report.clone()
    }

    pub fn lease(&self) -> Option<Lease> {
        Some(Lease {
            token: id::Token(self.token),
            expires_at: self.now + Duration::from_secs(1),
        })
    }

    /// Runs a round, records the intents and returns the orders to send.
    pub fn round(&mut self) -> Vec<Dispatch> {
        let view = self.core.view(self.now);
        self.core.round(self.now, &view, self.plan.clone());
        let orders = self.core.unlogged_orders();
        if !self.is_log_down {
            let orders = orders.iter();
            self.intents.extend(orders.map(|o| (o.id, o.clone())));
            self.core
                .recorded(&self.core.unlogged_orders(), Durability::Log);
        }
        let sent = std::iter::from_fn(|| self.core.send(self.now, self.lease())).collect();
        for closed in self.core.take_closed() {
            self.intents.remove(&closed.order.id);
            let position = self.positions.entry(closed.order.target).or_default();
            *position = closed.position.max(*position);
        }
        sent
    }

    pub fn deliver(&mut self, sent: &Dispatch) -> Outcome {
        let engine = self.engines.get_mut(sent.order.target.as_str()).unwrap();
        engine.execute(&sent.order)
    }

    pub fn answer(&mut self, sent: &Dispatch, outcome: Outcome) {
        self.core
            .end_attempt(&buckthornmast_controller::port::AttemptResult {
                target: sent.order.target.clone(),
                order: sent.order.id,
                attempt: sent.attempt,
                outcome,
            });
    }

    /// Runs rounds in which every order is executed and answered at once.
    pub fn settle(&mut self) {
        for _ in 0..12 {
            self.advance(1_000);
            for sent in self.round() {
                let outcome = self.deliver(&sent);
                self.answer(&sent, outcome);
            }
            self.report();
            self.engines.values_mut().for_each(Engine::finish_loads);
            self.report();
        }
    }

    pub fn has(&self, name: &str, text: &str) -> bool {
        self.engines[name].report.is_ready(&artifact(text))
    }

    /// Returns the numbers of loads, unloads and shifts that the controller has counted for the team.
    pub fn moves(&self) -> (u64, u64, u64) {
        let moves = self.core.counters().teams.get(&team());
        moves.map_or((0, 0, 0), |m| (m.loads, m.unloads, m.shifts))
    }
}
