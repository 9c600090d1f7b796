//! Durability: counting and acknowledging entries after a finished write.

use buckthornmast_storage::record::HardState;
use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effects, PendingAck, State},
    message::{Body, Position},
};

impl<C: Clone> Core<C> {
    /// Records that a write is durable.
    pub(crate) fn handle_synced(&mut self, last: Position, hard: HardState, out: &mut Effects<C>) {
        self.durable_hard = hard;
        // Entries that were replaced during the write are covered by the next write.
        if self.log.term_at(last.index) == Some(last.term) {
            self.durable_index = self.durable_index.max(last.index);
        }
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit(out);
            return;
        }
        let Some(pending) = self.pending_ack.take() else {
            return;
        };
        if pending.term != self.hard.term {
            return;
        }
        let PendingAck {
            leader,
            sent,
            match_index: matched,
            ..
        } = &pending;
        self.send_accepted(leader, *sent, *matched, out);
        self.pending_ack = Some(pending).filter(|pending| pending.match_index > self.durable_index);
    }

    /// Acknowledges entries as far as they are durable. The rest waits for a sync; only heartbeats are answered
    /// before it, so that the leader doesn't mistake a slow disk for a lost replica.
    pub(crate) fn acknowledge(
        &mut self,
        from: &id::Instance,
        sent: Point,
        matched: id::Index,
        is_heartbeat: bool,
        out: &mut Effects<C>,
    ) {
        if is_heartbeat || matched <= self.durable_index {
            self.send_accepted(from, sent, matched, out);
        }
        if matched > self.durable_index {
            self.defer_acknowledgement(from, sent, matched);
        }
    }

    /// Records an acknowledgement that is sent to the leader after the next sync.
    pub(crate) fn defer_acknowledgement(
        &mut self,
        from: &id::Instance,
        sent: Point,
        matched: id::Index,
    ) {
        let term = self.hard.term;
        let before = self.pending_ack.take().filter(|before| before.term == term);
        let (sent_before, index_before) =
            before.map_or((sent, matched), |before| (before.sent, before.match_index));
        self.pending_ack = Some(PendingAck {
            leader: from.clone(),
            term,
            sent: sent.max(sent_before),
            match_index: matched.max(index_before),
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
            index: matched.min(self.durable_index),
        };
        self.send(to, body, out);
    }
}
