//! Durability: what a finished write lets the replica count and acknowledge.

use buckthornmast_storage::record::Hard;
use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effects, State, Unsynced},
    message::{Body, Position},
};

impl<C: Clone> Core<C> {
    /// Notes that a write is durable.
    pub(crate) fn note_synced(&mut self, last: Position, hard: Hard, out: &mut Effects<C>) {
        self.synced = hard;
        // Entries that were replaced during the write are covered by the next one.
        if self.log.term_at(last.index) == Some(last.term) {
            self.durable = self.durable.max(last.index);
        }
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit(out);
            return;
        }
        let Some(unsynced) = self.unsynced.take() else {
            return;
        };
        if unsynced.term != self.hard.term {
            return;
        }
        let Unsynced {
            leader,
            sent,
            matched,
            ..
        } = &unsynced;
        self.send_accepted(leader, *sent, *matched, out);
        self.unsynced = Some(unsynced).filter(|unsynced| unsynced.matched > self.durable);
    }

    /// Acknowledges entries as far as they are durable. The rest waits for a sync; only heartbeats are answered
    /// before it, so that the leader doesn't take a slow disk for a lost replica.
    pub(crate) fn acknowledge(
        &mut self,
        from: &id::Instance,
        sent: Point,
        matched: id::Index,
        is_heartbeat: bool,
        out: &mut Effects<C>,
    ) {
        if is_heartbeat || matched <= self.durable {
            self.send_accepted(from, sent, matched, out);
        }
        if matched > self.durable {
            self.await_sync(from, sent, matched);
        }
    }

    /// Notes that the leader is to be told of a durable index later.
    pub(crate) fn await_sync(&mut self, from: &id::Instance, sent: Point, matched: id::Index) {
        let term = self.hard.term;
        let before = self.unsynced.take().filter(|before| before.term == term);
        let (sent_before, matched_before) =
            before.map_or((sent, matched), |before| (before.sent, before.matched));
        self.unsynced = Some(Unsynced {
            leader: from.clone(),
            term,
            sent: sent.max(sent_before),
            matched: matched.max(matched_before),
        });
    }

    fn send_accepted(
        &self,
        to: &id::Instance,
        sent: Point,
        matched: id::Index,
        out: &mut Effects<C>,
    ) {
        let body = Body::Appended {
            sent,
            accepted: true,
            index: matched.min(self.durable),
        };
        self.send(to, body, out);
    }
}
