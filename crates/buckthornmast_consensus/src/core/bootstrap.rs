//! Bootstrap of the log with the first voter set.
//!
//! Only the instance with the lowest name among the listed voters initiates a bootstrap, and only from an empty
//! folder that was never bootstrapped. It obtains the disk identities by probes and requests a vote on the set from
//! every listed voter. A voter with an empty folder grants it like any other vote, once per term, so that two
//! attempts (the disk of the first may have been lost in between) can't both bootstrap a log.

use buckthornmast_storage::record::HardState;
use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effect, Effects, State},
    message::{Body, Member},
};

impl<C: Clone> Core<C> {
    /// Returns whether the folder is empty and was never bootstrapped.
    pub(crate) fn is_fresh(&self) -> bool {
        self.can_bootstrap
            && !self.is_bootstrapped
            && self.snapshot.is_none()
            && self.log.last().index == id::Index(0)
    }

    /// Asks the other listed voters whether their folders are empty, if this replica initiates the bootstrap.
    pub(crate) fn send_probes(&mut self, now: Point, out: &mut Effects<C>) {
        self.state = State::Follower;
        let is_first = self.founders.iter().all(|peer| self.me.instance < *peer);
        if !is_first || !self.is_fresh() {
            return;
        }
        self.state = State::Probing {
            fresh: vec![self.me.clone()],
        };
        for peer in &self.founders {
            self.send(peer, Body::Probe, out);
        }
        self.count_probes(now, out);
    }

    /// Counts an answer to a probe.
    pub(crate) fn handle_probe_answer(
        &mut self,
        now: Point,
        sender: Member,
        is_fresh: bool,
        term: id::Term,
        out: &mut Effects<C>,
    ) {
        if !matches!(self.state, State::Probing { .. }) {
            return;
        }
        // The term of the bootstrap must be higher than every term in which a listed voter has voted.
        if term > self.hard.term {
            self.hard = HardState {
                term,
                vote: None,
                ..self.hard
            };
            out.push(Effect::Hard(self.hard));
        }
        let State::Probing { fresh } = &mut self.state else {
            return;
        };
        fresh.retain(|member| member.instance != sender.instance);
        if is_fresh && self.founders.contains(&sender.instance) {
            fresh.push(sender);
        }
        self.count_probes(now, out);
    }

    fn count_probes(&mut self, now: Point, out: &mut Effects<C>) {
        let State::Probing { fresh } = &self.state else {
            return;
        };
        if fresh.len() > self.founders.len() {
            let mut founding = fresh.clone();
            founding.sort();
            self.request_votes(false, founding, now, out);
        }
    }
}
