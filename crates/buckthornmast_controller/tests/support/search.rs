//! Search of the state space of the specification.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use buckthornmast_types::{order::Action, prelude::*, report::Phase};
use pathfinding::prelude::{bfs, bfs_reach};

use super::{Copies, Engine, Scope, State, artifact, index};

/// State with its depth, which is not part of its identity.
#[derive(Clone)]
struct Node(Rc<State>, usize);

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl Scope {
    fn successors(&self, state: &State) -> Vec<(String, State)> {
        let mut all = Vec::new();
        self.holder_steps(state, &mut all);
        for copy in &state.in_flight {
            all.push((format!("execute {copy:?}"), self.deliver(state, *copy)));
        }
        for answer in &state.answers {
            all.push((format!("answer {answer:?}"), self.answer(state, *answer)));
        }
        for ((target, incarnation, sequence), (token, copies)) in &state.reports {
            let mut next = state.clone();
            self.observe(&mut next, *target, *incarnation, *sequence, *token, copies);
            all.push((format!("report {target} {incarnation}.{sequence}"), next));
        }
        self.target_steps(state, &mut all);
        let is_unchanged = |next: &State| next == state;
        all.retain(|(_, next)| !is_unchanged(next));
        all
    }

    fn holder_steps(&self, state: &State, all: &mut Vec<(String, State)>) {
        if state.spent.orders < self.orders {
            for target in 0..self.honours_tokens.len() {
                for text in self.artifacts {
                    let artifact = artifact(text);
                    let load = Action::Load {
                        artifact: artifact.clone(),
                        bytes: Bytes(1),
                    };
                    let unload = Action::Unload { artifact };
                    for (verb, action) in [("load", load), ("unload", unload)] {
                        let next = self.intend(state, target, action);
                        all.extend(next.map(|next| (format!("{verb} {text} on {target}"), next)));
                    }
                }
            }
        }
        if state.spent.attempts < self.attempts {
            let guard = self.guard();
            for entry in state
                .ledger
                .orders_to_send()
                .filter(|e| state.ledger.may_send(e, &guard))
            {
                let id = entry.order().id;
                let next = self.send(state, id);
                all.extend(next.map(|next| (format!("send {id}"), next)));
            }
        }
        for (target, _) in state.ledger.unfenced_targets() {
            let mut next = state.clone();
            next.engines[index(target)].token = state.ledger.token().0;
            all.push((format!("fence {target}"), next));
        }
        if state.has_quorum && state.spent.failovers < self.failovers {
            for is_reached in [false, true] {
                let next = self.fail_over(state, is_reached);
                all.push((format!("fail over, reached: {is_reached}"), next));
            }
        }
        if state.has_quorum {
            all.push(("record open".to_owned(), self.record_open(state)));
        } else {
            let mut next = state.clone();
            next.has_quorum = true;
            all.push(("regain quorum".to_owned(), next));
        }
        if state.has_quorum && state.spent.quorum_losses < self.quorum_losses {
            let mut next = state.clone();
            next.has_quorum = false;
            next.spent.quorum_losses += 1;
            all.push(("lose quorum".to_owned(), next));
        }
        if self.quorum_losses > 0 {
            let next = self.declare_clean(state);
            all.extend(next.map(|next| ("declare clean".to_owned(), next)));
        }
        if state.spent.candidate_restarts < self.candidate_restarts {
            let mut next = state.clone();
            next.spent.candidate_restarts += 1;
            self.restart(&mut next, 1 - state.holder);
            all.push(("restart the other candidate".to_owned(), next));
        }
    }

    fn target_steps(&self, state: &State, all: &mut Vec<(String, State)>) {
        for target in 0..self.honours_tokens.len() {
            if state.spent.reports < self.reports {
                let mut next = state.clone();
                self.publish(&mut next, target);
                all.push((format!("publish {target}"), next));
            }
            if state.spent.target_restarts < self.target_restarts {
                let mut next = state.clone();
                next.spent.target_restarts += 1;
                next.engines[target] = Engine {
                    incarnation: state.engines[target].incarnation + 1,
                    sequence: 0,
                    token: 0,
                    copies: Copies::new(),
                };
                all.push((format!("restart {target}"), next));
            }
            let loading = state.engines[target].copies.iter();
            for (text, _) in loading.filter(|(_, phase)| **phase == Phase::Loading) {
                let mut next = state.clone();
                next.engines[target].copies.insert(text, Phase::Ready);
                all.push((format!("ready {text} on {target}"), next));
            }
        }
    }

    fn is_violated(&self, state: &State) -> bool {
        let is_overcommitted = |e: &Engine| e.copies.len() as u64 > self.memory;
        state.is_last_copy_lost || state.engines.iter().any(is_overcommitted)
    }

    fn next(&self, state: &State) -> Vec<State> {
        let all = self.successors(state);
        all.into_iter().map(|(_, next)| next).collect()
    }

    /// Visits every reachable state.
    pub fn check(&self, title: &str) {
        let start = Node(Rc::new(self.start()), 0);
        let next = |node: &Node| -> Vec<Node> {
            let next = self.next(&node.0).into_iter();
            next.map(|state| Node(Rc::new(state), node.1 + 1)).collect()
        };
        let (mut visited, mut deepest) = (0, 0);
        for Node(state, depth) in bfs_reach(start, next) {
            visited += 1;
            deepest = deepest.max(depth);
            assert!(!self.is_violated(&state), "{title}: {state:#?}");
        }
        println!("{title}: {visited} states, depth {deepest}");
    }

    /// Prints the shortest path to a violation; a planted fault must have one.
    pub fn find(&self) {
        let path = bfs(&self.start(), |s| self.next(s), |s| self.is_violated(s));
        let path = path.unwrap_or_else(|| panic!("no violation found for {:?}", self.mutation));
        println!(
            "{:?} is found after {} steps:",
            self.mutation,
            path.len() - 1
        );
        for pair in path.windows(2) {
            let all = self.successors(&pair[0]);
            let step = all.iter().find(|(_, next)| *next == pair[1]);
            println!("  {}", step.map_or("?", |(label, _)| label));
        }
    }
}
