//! Specification of orders: every interleaving of a bounded number of intents, sends, late attempts, lost
//! answers, stale reports, crashes, restarts and losses of the quorum.
//!
//! The specification calls the ledger and the journal. An engine executes every order that reaches it
//! without checking its memory, so that only the ledger prevents overcommitment. Two candidates hold the
//! lease alternately; the model check of the lease verifies that they never hold it at the same time.

// Helpers parse constants.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_controller::journal::{Coverage, Incarnation, Journal, coverage};
use buckthornmast_ledger::prelude::*;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Load, Phase},
};

#[path = "search.rs"]
mod search;

/// Fault planted in the controller of the specification, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// The successor takes over no open intents.
    ForgetIntents,
    /// An unload counts as done when it is sent.
    UnloadIsDone,
    /// The successor acts on reports that are older than those of the earlier holder.
    SkipPositions,
    /// Journals count as read when each candidate answered, although all may have restarted.
    AnsweredIsComplete,
    /// Journals are declared clean before the positions of closed orders are in the log.
    CleanBeforeResolved,
    /// Unloads are reserved without the guard of artifacts that must remain reachable.
    NoGuard,
    /// A single candidate without the quorum gives orders to targets that ignore tokens.
    AloneOrdersAll,
    /// The journal of a single candidate counts as complete after its restart.
    AloneIsComplete,
}

/// Scope of one check.
#[derive(Debug, Clone)]
pub struct Scope {
    pub mutation: Mutation,
    /// Whether each target honours tokens.
    pub honours_tokens: &'static [bool],
    pub memory: u64,
    /// Artifacts that are ready on every target at the start.
    pub ready: &'static [&'static str],
    pub artifacts: &'static [&'static str],
    /// Artifacts of which the last ready copy must not be unloaded.
    pub guarded: &'static [&'static str],
    pub orders: u8,
    pub attempts: u8,
    pub reports: u8,
    pub failovers: u8,
    pub target_restarts: u8,
    pub quorum_losses: u8,
    pub candidate_restarts: u8,
    /// Whether the domain has one candidate, which succeeds itself after a crash.
    pub is_alone: bool,
}

type Copies = BTreeMap<&'static str, Phase>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Engine {
    incarnation: u64,
    sequence: u64,
    token: u64,
    copies: Copies,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Spent {
    orders: u8,
    attempts: u8,
    reports: u8,
    failovers: u8,
    target_restarts: u8,
    quorum_losses: u8,
    candidate_restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    ledger: Ledger,
    holder: usize,
    journals: [Journal; 2],
    has_quorum: bool,
    log: BTreeMap<id::Order, Order>,
    positions: BTreeMap<id::Target, Position>,
    unresolved: Vec<ClosedOrder>,
    engines: Vec<Engine>,
    /// Attempts that may still arrive: order, and number and token of the attempt.
    in_flight: BTreeSet<(id::Order, u32, u64)>,
    orders: BTreeMap<id::Order, Order>,
    /// Answers that may still arrive: order, number and token of the attempt, and whether it was accepted.
    answers: BTreeSet<(id::Order, u32, u64, bool)>,
    /// Reports that may still arrive, by target, incarnation and sequence, with the engine's token and copies.
    reports: BTreeMap<(usize, u64, u64), (u64, Copies)>,
    spent: Spent,
    is_last_copy_lost: bool,
}

fn name(index: usize) -> id::Target {
    format!("t{index}").parse().unwrap()
}

fn index(target: &id::Target) -> usize {
    target.as_str()[1..].parse().unwrap()
}

fn artifact(text: &str) -> Artifact {
    format!("{text}@1").parse().unwrap()
}

impl Scope {
    fn start(&self) -> State {
        let mut ledger = Ledger::new(id::Token(1));
        ledger.set_journals_read();
        let engine = Engine {
            incarnation: 1,
            sequence: 0,
            token: 0,
            copies: self.ready.iter().map(|a| (*a, Phase::Ready)).collect(),
        };
        let mut state = State {
            ledger,
            holder: 0,
            journals: [0, 1].map(|incarnation| {
                let mut journal = Journal::new(Incarnation(incarnation));
                journal.declare_clean(Incarnation(incarnation));
                journal
            }),
            has_quorum: true,
            log: BTreeMap::new(),
            positions: BTreeMap::new(),
            unresolved: Vec::new(),
            engines: vec![engine; self.honours_tokens.len()],
            in_flight: BTreeSet::new(),
            orders: BTreeMap::new(),
            answers: BTreeSet::new(),
            reports: BTreeMap::new(),
            spent: Spent::default(),
            is_last_copy_lost: false,
        };
        for target in 0..self.honours_tokens.len() {
            self.publish(&mut state, target);
            state.reports.clear();
            let engine = state.engines[target].clone();
            self.observe(
                &mut state,
                target,
                engine.incarnation,
                engine.sequence,
                0,
                &engine.copies,
            );
        }
        state.spent = Spent::default();
        state
    }

    fn guard(&self) -> Guard {
        let guarded = match self.mutation {
            Mutation::NoGuard => &[][..],
            _ => self.guarded,
        };
        let needs = guarded.iter().map(|a| [artifact(a)].into_iter().collect());
        Guard::new(needs, (0..self.honours_tokens.len()).map(name))
    }

    fn report(&self, target: usize, position: (u64, u64), token: u64, copies: &Copies) -> Report {
        let copies = copies.iter().map(|(text, phase)| Copy {
            artifact: artifact(text),
            phase: *phase,
            bytes: Bytes(1),
        });
        Report {
            target: name(target),
            domain: "macon-a".parse().unwrap(),
            kind: "engine".parse().unwrap(),
            service: "draft-desk".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: id::Incarnation(position.0),
            sequence: position.1,
            is_leaving: false,
            accelerators: 1,
            memory: Bytes(self.memory),
            copies: copies.collect(),
            token: id::Token(token),
            load: Load::default(),
        }
    }

    fn publish(&self, state: &mut State, target: usize) {
        let engine = &mut state.engines[target];
        engine.sequence += 1;
        state.spent.reports += 1;
        let key = (target, engine.incarnation, engine.sequence);
        let content = (engine.token, engine.copies.clone());
        state.reports.insert(key, content);
        // Bounds the search: the last two reports of a target may still arrive, earlier ones are lost.
        let of_target = state.reports.keys().filter(|k| k.0 == target);
        let stale: Vec<_> = of_target.rev().skip(2).copied().collect();
        for key in stale {
            state.reports.remove(&key);
        }
    }

    fn observe(
        &self,
        state: &mut State,
        target: usize,
        incarnation: u64,
        sequence: u64,
        token: u64,
        copies: &Copies,
    ) {
        let report = self.report(target, (incarnation, sequence), token, copies);
        let closed = state.ledger.observe(&report, self.honours_tokens[target]);
        self.close(state, closed);
    }

    fn close(&self, state: &mut State, closed: impl IntoIterator<Item = ClosedOrder>) {
        state.unresolved.extend(closed);
        if state.has_quorum {
            for closed in std::mem::take(&mut state.unresolved) {
                state.log.remove(&closed.order.id);
                let position = state
                    .positions
                    .entry(closed.order.target.clone())
                    .or_default();
                *position = closed.position.max(*position);
                for journal in &mut state.journals {
                    journal.forget(&[closed.order.id]);
                }
            }
        }
    }

    /// Reserves an order and records its intent in the log, or in a journal without the quorum.
    fn intend(&self, state: &State, target: usize, action: Action) -> Option<State> {
        let mut next = state.clone();
        next.spent.orders += 1;
        let target = name(target);
        let order = Order {
            id: id::Order(uuid::Uuid::from_u128(next.spent.orders.into())),
            incarnation: next.ledger.incarnation(&target)?,
            token: next.ledger.token(),
            target,
            action,
        };
        next.ledger.reserve(order.clone(), &self.guard()).ok()?;
        next.orders.insert(order.id, order.clone());
        if next.has_quorum {
            next.log.insert(order.id, order);
        } else {
            let honours_tokens = self.honours_tokens[index(&order.target)];
            if self.is_alone && !honours_tokens && self.mutation != Mutation::AloneOrdersAll {
                return None;
            }
            let other = if self.is_alone {
                next.holder
            } else {
                1 - next.holder
            };
            let token = next.ledger.token();
            next.journals[other]
                .record(token, std::slice::from_ref(&order))
                .then_some(())?;
        }
        Some(next)
    }

    fn send(&self, state: &State, id: id::Order) -> Option<State> {
        let mut next = state.clone();
        next.spent.attempts += 1;
        let order = &state.orders[&id];
        let target = index(&order.target);
        if !next.ledger.is_current(&order.target) {
            return None;
        }
        let attempt = next.ledger.begin_attempt(&order.target, id)?;
        next.in_flight.insert((id, attempt.number, attempt.token.0));
        if let (Mutation::UnloadIsDone, Action::Unload { artifact: gone }) =
            (self.mutation, &order.action)
        {
            let mut copies = next.engines[target].copies.clone();
            copies.retain(|text, _| artifact(text) != *gone);
            let engine = next.engines[target].clone();
            self.observe(
                &mut next,
                target,
                engine.incarnation,
                engine.sequence + 1,
                engine.token,
                &copies,
            );
        }
        Some(next)
    }

    /// Delivers an attempt to its target, which executes it.
    fn deliver(&self, state: &State, attempt: (id::Order, u32, u64)) -> State {
        let mut next = state.clone();
        next.in_flight.remove(&attempt);
        let (id, number, token) = attempt;
        let order = &state.orders[&id];
        let target = index(&order.target);
        let honours_tokens = self.honours_tokens[target];
        let engine = &mut next.engines[target];
        if order.incarnation.0 != engine.incarnation {
            return next;
        }
        if honours_tokens && token < engine.token {
            next.answers.insert((id, number, token, false));
            return next;
        }
        if honours_tokens {
            engine.token = token;
        }
        for text in self.artifacts {
            match &order.action {
                Action::Load { artifact: a, .. } if *a == artifact(text) => {
                    let copies = &mut next.engines[target].copies;
                    copies.entry(text).or_insert(Phase::Loading);
                }
                Action::Unload { artifact: a } if *a == artifact(text) => {
                    let removed = next.engines[target].copies.remove(text);
                    let mut others = next.engines.iter();
                    let is_kept = others.any(|e| e.copies.get(text) == Some(&Phase::Ready));
                    next.is_last_copy_lost |=
                        removed == Some(Phase::Ready) && !is_kept && self.guarded.contains(text);
                }
                _ => {}
            }
        }
        next.answers.insert((id, number, token, true));
        next
    }

    fn answer(&self, state: &State, answer: (id::Order, u32, u64, bool)) -> State {
        let mut next = state.clone();
        next.answers.remove(&answer);
        let (id, number, token, is_accepted) = answer;
        let outcome = if is_accepted {
            Outcome::Accepted
        } else {
            Outcome::Fenced
        };
        let attempt = Attempt {
            number,
            token: id::Token(token),
        };
        let target = &state.orders[&id].target;
        let closed = next.ledger.end_attempt(target, id, attempt, outcome);
        self.close(&mut next, closed);
        next
    }

    /// Crashes the holder and grants the lease to the other candidate, which may be able to reach the
    /// crashed one after its restart.
    fn fail_over(&self, state: &State, is_reached: bool) -> State {
        let mut next = state.clone();
        next.spent.failovers += 1;
        self.restart(&mut next, state.holder);
        next.unresolved.clear();
        if !self.is_alone {
            next.holder = 1 - state.holder;
        }
        let token = id::Token(state.ledger.token().0 + 1);
        next.ledger = Ledger::new(token);
        if self.mutation != Mutation::SkipPositions {
            for (target, position) in &state.positions {
                next.ledger.require_position(target, *position);
            }
        }
        let mut contents = vec![Some(next.journals[next.holder].read(token))];
        if !self.is_alone {
            contents.push(is_reached.then(|| next.journals[state.holder].read(token)));
        }
        if self.mutation != Mutation::ForgetIntents {
            let journaled = contents
                .iter()
                .flatten()
                .flat_map(|contents| &contents.intents);
            for order in state.log.values().chain(journaled) {
                next.ledger.inherit(order.clone());
            }
        }
        let is_read = match coverage(&contents) {
            Coverage::Complete => true,
            Coverage::Answered => self.mutation == Mutation::AnsweredIsComplete,
            Coverage::SingleCandidate => self.mutation == Mutation::AloneIsComplete,
            Coverage::Partial => false,
        };
        if is_read {
            next.ledger.set_journals_read();
        } else if self.is_alone {
            next.ledger.set_ignoring_journals_read();
        }
        next
    }

    fn restart(&self, state: &mut State, candidate: usize) {
        let incarnation = state.journals[candidate].incarnation().0 + 2;
        state.journals[candidate] = Journal::new(Incarnation(incarnation));
    }

    /// Records in the log the intents that were only recorded at the other candidate.
    fn record_open(&self, state: &State) -> State {
        let mut next = state.clone();
        self.close(&mut next, []);
        for entry in state.ledger.open_orders() {
            next.log.insert(entry.order().id, entry.order().clone());
        }
        next
    }

    fn declare_clean(&self, state: &State) -> Option<State> {
        let is_logged = state
            .ledger
            .open_orders()
            .all(|e| state.log.contains_key(&e.order().id));
        let is_resolved =
            state.unresolved.is_empty() || self.mutation == Mutation::CleanBeforeResolved;
        let is_clean = is_logged && is_resolved;
        let has_other = !self.is_alone;
        if !has_other || !state.has_quorum || !state.ledger.are_journals_read() || !is_clean {
            return None;
        }
        let mut next = state.clone();
        let journal = &mut next.journals[1 - state.holder];
        journal.declare_clean(journal.incarnation());
        Some(next)
    }
}
