//! Replication of entries: windowed sending, log matching, acknowledgements.

use buckthornmast_types::{id, time::Point};

use crate::{
    core::{
        Core, Effect, Effects, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES, MAX_WINDOW_BYTES,
        MAX_WINDOW_ENTRIES, State, leader::Progress,
    },
    message::{Body, Entry, Member, Payload, Position},
};

/// Returns whether the indexes of the entries follow `prev` without a gap.
fn is_contiguous<C>(prev: Position, entries: &[Entry<C>]) -> bool {
    let numbers = entries.iter().map(|entry| entry.position.index.0);
    numbers.eq((prev.index.0 + 1..).take(entries.len()))
}

impl<C: Clone> Core<C> {
    pub(crate) fn progress_mut(&mut self, peer: usize) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leading) => leading.progress.get_mut(peer),
            _ => None,
        }
    }

    pub(crate) fn progress(&self, peer: usize) -> Option<&Progress> {
        match &self.state {
            State::Leader(leading) => leading.progress.get(peer),
            _ => None,
        }
    }

    /// Sends a message that every live replica answers: a heartbeat, or a snapshot chunk if the entries were compacted.
    pub(crate) fn send_heartbeat(&mut self, peer: usize, now: Point, out: &mut Effects<C>) {
        let Some(progress) = self.progress(peer) else {
            return;
        };
        let before = id::Index(progress.next_index.0 - 1);
        match self.log.term_at(before) {
            Some(term) => {
                let prev = Position {
                    term,
                    index: before,
                };
                self.send_append(peer, now, prev, Vec::new(), out);
            }
            None => self.send_chunk(peer, now, out),
        }
    }

    fn send_append(
        &self,
        peer: usize,
        now: Point,
        prev: Position,
        entries: Vec<Entry<C>>,
        out: &mut Effects<C>,
    ) {
        let body = Body::Append {
            sent: now,
            prev,
            commit: self.commit_index,
            entries,
        };
        self.send(&self.peers[peer], body, out);
    }

    /// Sends entries until the window is full.
    pub(crate) fn send_entries(&mut self, peer: usize, now: Point, out: &mut Effects<C>) {
        while let Some(progress) = self.progress(peer) {
            let next = progress.next_index;
            let unacknowledged = next.0 - 1 - progress.match_index.0.min(next.0 - 1);
            if progress.is_probing
                || next > self.log.last().index
                || unacknowledged >= MAX_WINDOW_ENTRIES
            {
                return;
            }
            let in_flight = self.log.entries_from(progress.match_index.next());
            let bytes = in_flight
                .take(usize::try_from(unacknowledged).unwrap_or(usize::MAX))
                .fold(0u32, |sum, entry| sum.saturating_add(entry.size));
            let before = id::Index(next.0 - 1);
            let Some(term) = self
                .log
                .term_at(before)
                .filter(|_| bytes < MAX_WINDOW_BYTES)
            else {
                return;
            };
            let entries = self.entries_to_send(next);
            let prev = Position {
                term,
                index: before,
            };
            let after = id::Index(next.0 + entries.len() as u64);
            self.send_append(peer, now, prev, entries, out);
            if let Some(progress) = self.progress_mut(peer) {
                progress.next_index = after;
            }
        }
    }

    fn entries_to_send(&self, from: id::Index) -> Vec<Entry<C>> {
        let mut bytes = 0u32;
        let mut entries = Vec::new();
        for entry in self.log.entries_from(from).take(MAX_APPEND_ENTRIES) {
            bytes = bytes.saturating_add(entry.size);
            if bytes > MAX_APPEND_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Processes entries from a leader.
    pub(crate) fn handle_append(
        &mut self,
        now: Point,
        from: &id::Instance,
        term: id::Term,
        (sent, prev, commit): (Point, Position, id::Index),
        entries: Vec<Entry<C>>,
        out: &mut Effects<C>,
    ) {
        let answer = |accepted, index| Body::Appended {
            sent,
            accepted,
            index,
        };
        if !is_contiguous(prev, &entries) {
            return;
        }
        if !self.accept_leader(now, from, term, out) {
            return self.send(from, answer(false, self.log.last().index), out);
        }
        if let Some(hint) = self.conflict_hint(prev) {
            return self.send(from, answer(false, hint), out);
        }
        let matched = entries
            .last()
            .map_or(prev.index, |entry| entry.position.index);
        let is_heartbeat = entries.is_empty();
        if !self.extend_log(entries, out) {
            return;
        }
        self.commit_to(commit.min(matched), out);
        self.acknowledge(from, sent, matched, is_heartbeat, out);
    }

    /// Follows the leader of the term; returns false if the sender's term is outdated.
    pub(crate) fn accept_leader(
        &mut self,
        now: Point,
        from: &id::Instance,
        term: id::Term,
        out: &mut Effects<C>,
    ) -> bool {
        if term < self.hard.term {
            return false;
        }
        if matches!(self.state, State::Leader(_)) {
            self.stop_on_fault("two leaders in one term", out);
            return false;
        }
        self.leader_contact = now;
        self.become_follower(Some(from), now);
        self.reset_deadline(now);
        true
    }

    /// Returns the index after which the leader should retry if the log doesn't contain a position.
    fn conflict_hint(&self, prev: Position) -> Option<id::Index> {
        let last = self.log.last().index;
        if prev.index > last {
            return Some(last);
        }
        // Entries up to the commit index match, whether or not they were compacted.
        if prev.index <= self.commit_index || self.log.term_at(prev.index) == Some(prev.term) {
            return None;
        }
        let conflicting = self.log.term_at(prev.index)?;
        let mut hint = prev.index;
        while hint > self.commit_index && self.log.term_at(hint) == Some(conflicting) {
            hint = id::Index(hint.0 - 1);
        }
        Some(hint)
    }

    fn extend_log(&mut self, entries: Vec<Entry<C>>, out: &mut Effects<C>) -> bool {
        let mut changed = None;
        for entry in entries {
            let position = entry.position;
            if position.index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(position.index) {
                Some(term) if term == position.term => continue,
                Some(_) if position.index <= self.commit_index => {
                    self.stop_on_fault("a committed entry differs from the leader's", out);
                    return false;
                }
                Some(_) => {
                    self.log.truncate(position.index);
                    self.durable_index = self.durable_index.min(id::Index(position.index.0 - 1));
                    self.voters.truncate(position.index);
                }
                None => {}
            }
            if position.index != self.log.last().index.next() {
                self.stop_on_fault("a gap in the leader's entries", out);
                return false;
            }
            if let Payload::Voters(members) = &entry.payload {
                self.voters.push(position, members.clone());
            }
            self.log.push(entry);
            changed.get_or_insert(position.index);
        }
        if let Some(from) = changed {
            self.mark_bootstrapped(out);
            out.push(Effect::Append(from));
        }
        true
    }

    /// Records an answer and returns the index of the sender; `None` if the answer must not count as progress.
    pub(crate) fn record_answer(
        &mut self,
        now: Point,
        sender: &Member,
        sent: Point,
    ) -> Option<usize> {
        let peer = self
            .peers
            .iter()
            .position(|peer| *peer == sender.instance)?;
        let next = self.log.last().index.next();
        let progress = self.progress_mut(peer)?;
        progress.last_answer = now;
        if progress.disk.is_some_and(|disk| disk != sender.disk) {
            // The instance has another disk. A late answer from the lost disk must not count for the new one, so
            // only answers to messages sent from now on are valid.
            progress.disk = Some(sender.disk);
            progress.valid_from = now;
            progress.match_index = id::Index(0);
            progress.next_index = next;
            progress.is_probing = true;
            progress.transfer = None;
            progress.acked_send = None;
            return None;
        }
        progress.disk = Some(sender.disk);
        if sent < progress.valid_from {
            return None;
        }
        progress.acked_send = progress.acked_send.max(Some(sent));
        Some(peer)
    }

    /// Processes the answer to an append.
    pub(crate) fn handle_append_answer(
        &mut self,
        now: Point,
        sender: &Member,
        sent: Point,
        accepted: bool,
        index: id::Index,
        out: &mut Effects<C>,
    ) {
        let last = self.log.last().index;
        let Some(peer) = self.record_answer(now, sender, sent) else {
            return;
        };
        if accepted {
            self.record_match(peer, now, index, out);
        } else if let Some(progress) = self.progress_mut(peer) {
            // The hint may be lower than the match index, since it skips a whole term.
            let next = index.max(progress.match_index).min(last).next();
            if progress.is_probing && next >= progress.next_index {
                return;
            }
            progress.next_index = next;
            progress.is_probing = true;
            self.send_heartbeat(peer, now, out);
        }
    }

    /// Records that a replica durably has the log up to an index, and continues replication from there.
    pub(crate) fn record_match(
        &mut self,
        peer: usize,
        now: Point,
        index: id::Index,
        out: &mut Effects<C>,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        let was_behind = progress.match_index < index;
        progress.match_index = progress.match_index.max(index.min(last));
        progress.next_index = progress.next_index.max(progress.match_index.next());
        progress.is_probing = false;
        progress.transfer = None;
        if was_behind {
            self.advance_commit(out);
        }
        self.replace_voter(peer, now, out);
        self.send_entries(peer, now, out);
    }
}
