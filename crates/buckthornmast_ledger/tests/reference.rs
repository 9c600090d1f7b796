//! Comparison of the ledger with a reference model, whose engines execute orders late, twice or never.

#[path = "support/build.rs"]
mod build;

use std::collections::BTreeMap;

use arbtest::{arbitrary::Unstructured, arbtest};
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{order::Action, prelude::*, report::Phase};
use build::{artifact, load, order, report, target, unload};

const TARGETS: [(&str, bool); 2] = [("t", false), ("u", true)];
const ARTIFACTS: [(&str, u64); 4] = [("a@1", 3), ("b@1", 4), ("c@1", 5), ("d@1", 6)];
const MEMORY: u64 = 10;

struct Engine {
    incarnation: u64,
    sequence: u64,
    token: u64,
    copies: BTreeMap<&'static str, Phase>,
    /// Attempts that may still arrive at the engine, each with its order.
    in_flight: Vec<(Order, Attempt)>,
    answers: Vec<(Order, Attempt, Outcome)>,
    reports: Vec<Report>,
}

struct World {
    ledger: Ledger,
    token: u64,
    number: u128,
    intents: BTreeMap<id::Order, Order>,
    positions: BTreeMap<id::Target, Position>,
    engines: Vec<Engine>,
}

fn bytes(text: &str) -> u64 {
    let mut sizes = ARTIFACTS.iter();
    sizes.find(|(name, _)| *name == text).map_or(0, |(_, b)| *b)
}

impl Engine {
    fn may_execute(&self, honours_tokens: bool, order: &Order, attempt: Attempt) -> bool {
        let is_fenced = honours_tokens && attempt.token.0 < self.token;
        order.incarnation.0 == self.incarnation && !is_fenced
    }

    /// Returns the memory used if every load in flight is executed.
    fn possible_memory(&self, honours_tokens: bool) -> u64 {
        let mut artifacts: Vec<&str> = self.copies.keys().copied().collect();
        for (order, attempt) in &self.in_flight {
            if let Action::Load { artifact: a, .. } = &order.action
                && self.may_execute(honours_tokens, order, *attempt)
            {
                let names = ARTIFACTS.iter().map(|(name, _)| *name);
                artifacts.extend(names.filter(|name| artifact(name) == *a));
            }
        }
        artifacts.sort_unstable();
        artifacts.dedup();
        artifacts.into_iter().map(bytes).sum()
    }

    fn execute(&mut self, honours_tokens: bool, index: usize) {
        let (order, attempt) = self.in_flight.swap_remove(index);
        if order.incarnation.0 != self.incarnation {
            return;
        }
        if !self.may_execute(honours_tokens, &order, attempt) {
            self.answers.push((order, attempt, Outcome::Fenced));
            return;
        }
        if honours_tokens {
            self.token = attempt.token.0;
        }
        for (name, _) in ARTIFACTS {
            match &order.action {
                Action::Load { artifact: a, .. } if *a == artifact(name) => {
                    self.copies.entry(name).or_insert(Phase::Loading);
                }
                Action::Unload { artifact: a } if *a == artifact(name) => {
                    self.copies.remove(name);
                }
                _ => {}
            }
        }
        self.answers.push((order, attempt, Outcome::Accepted));
    }
}

impl World {
    fn new() -> Self {
        let engine = |_| Engine {
            incarnation: 1,
            sequence: 0,
            token: 0,
            copies: BTreeMap::new(),
            in_flight: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
        };
        Self {
            ledger: build::ledger(1),
            token: 1,
            number: 0,
            intents: BTreeMap::new(),
            positions: BTreeMap::new(),
            engines: TARGETS.iter().map(engine).collect(),
        }
    }

    fn close(&mut self, closed: impl IntoIterator<Item = ClosedOrder>) {
        for closed in closed {
            self.intents.remove(&closed.order.id);
            let position = self.positions.entry(closed.order.target).or_default();
            *position = closed.position.max(*position);
        }
    }

    fn reserve_order(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
    ) -> arbtest::arbitrary::Result<bool> {
        let (name, size) = *u.choose(&ARTIFACTS)?;
        let action = if u.ratio(2, 3)? {
            load(name, size)
        } else {
            unload(name)
        };
        self.number += 1;
        let incarnation = self.ledger.incarnation(&target(TARGETS[index].0));
        let incarnation = incarnation.map_or(0, |i| i.0);
        let order = order(
            self.number,
            TARGETS[index].0,
            incarnation,
            self.token,
            action,
        );
        let is_reserved = self
            .ledger
            .reserve(order.clone(), &Guard::default())
            .is_ok();
        if is_reserved {
            self.intents.insert(order.id, order);
        }
        Ok(is_reserved)
    }

    fn send(&mut self, u: &mut Unstructured<'_>, index: usize) -> arbtest::arbitrary::Result<()> {
        let target = target(TARGETS[index].0);
        let due = self
            .ledger
            .orders_to_send()
            .map(|entry| entry.order().clone());
        let due: Vec<Order> = due.filter(|order| order.target == target).collect();
        if due.is_empty() || !self.ledger.is_current(&target) {
            return Ok(());
        }
        let order = u.choose(&due)?;
        if let Some(attempt) = self.ledger.begin_attempt(&target, order.id) {
            self.engines[index].in_flight.push((order.clone(), attempt));
        }
        Ok(())
    }

    fn fail_over(&mut self) {
        self.token += 1;
        self.ledger = build::ledger(self.token);
        for order in self.intents.values() {
            self.ledger.inherit(order.clone());
        }
        for (target, position) in &self.positions {
            self.ledger.require_position(target, *position);
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<bool> {
        let index = u.choose_index(TARGETS.len())?;
        let (name, honours_tokens) = TARGETS[index];
        let engine = &mut self.engines[index];
        match u.int_in_range(0..=19)? {
            0..=3 => return self.reserve_order(u, index),
            4..=7 => self.send(u, index)?,
            8..=10 if !engine.in_flight.is_empty() => {
                let chosen = u.choose_index(engine.in_flight.len())?;
                engine.execute(honours_tokens, chosen);
            }
            11..=12 if !engine.answers.is_empty() => {
                let chosen = u.choose_index(engine.answers.len())?;
                let (order, attempt, outcome) = engine.answers.swap_remove(chosen);
                let closed = self
                    .ledger
                    .end_attempt(&order.target, order.id, attempt, outcome);
                self.close(closed);
            }
            13 => engine.copies.values_mut().for_each(|p| *p = Phase::Ready),
            14 => {
                engine.sequence += 1;
                let copies = engine.copies.iter();
                let copies: Vec<_> = copies.map(|(n, p)| (*n, *p, bytes(n))).collect();
                let position = (engine.incarnation, engine.sequence);
                engine
                    .reports
                    .push(report(name, position, engine.token, &copies));
            }
            15..=17 if !engine.reports.is_empty() => {
                let report = u.choose(&engine.reports)?.clone();
                let closed = self.ledger.observe(&report, honours_tokens);
                self.close(closed);
            }
            18 if u.ratio(1, 4)? => {
                engine.incarnation += 1;
                engine.sequence = 0;
                engine.token = 0;
                engine.copies.clear();
            }
            19 if u.ratio(1, 4)? => self.fail_over(),
            19 if honours_tokens => engine.token = engine.token.max(self.token),
            19 if u.ratio(1, 4)? => {
                self.token += 1;
                self.ledger.raise_token(id::Token(self.token));
            }
            _ => {}
        }
        Ok(false)
    }

    fn check(&self) {
        for (engine, (name, honours_tokens)) in self.engines.iter().zip(TARGETS) {
            let possible = engine.possible_memory(honours_tokens);
            assert!(possible <= MEMORY, "{name} may use {possible} of {MEMORY}");
            let target = target(name);
            let is_same_incarnation =
                self.ledger.incarnation(&target).map(|i| i.0) == Some(engine.incarnation);
            if is_same_incarnation && self.ledger.is_current(&target) {
                let worst = self.ledger.worst_case_memory(&target).0;
                assert!(
                    worst >= possible,
                    "{name}: {worst} counted, {possible} possible"
                );
            }
        }
    }
}

/// Guards against any order of events in which a target could be overcommitted, or the ledger counts less memory
/// than may be used.
#[test]
fn ledger_against_reference() {
    // The low 32 bits of a seed are the number of random bytes from which the steps are drawn.
    const RANDOM_BYTES: u64 = 8_000;
    let mut reserved = 0_u64;
    for seed in 1..=100_u64 {
        arbtest(|u| {
            let mut world = World::new();
            while !u.is_empty() {
                reserved += u64::from(world.step(u)?);
                world.check();
            }
            Ok(())
        })
        .seed(seed << 32 | RANDOM_BYTES);
    }
    println!("{reserved} orders reserved");
    assert!(reserved > 1_000, "only {reserved} orders were reserved");
}
