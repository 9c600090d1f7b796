//! Snapshots: compaction, transfer in chunks, installation.

use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effect, Effects, MAX_CHUNK_BYTES},
    log::Log,
    message::{Body, Member, Position},
    snapshot::{Content, Incoming, MAX_SNAPSHOT_BYTES, Snapshot},
};

impl<C: Clone> Core<C> {
    /// Replaces the start of the log with a snapshot of the machine.
    pub(crate) fn compact(
        &mut self,
        index: id::Index,
        machine: Vec<u8>,
        retained: (u64, u64),
        out: &mut Effects<C>,
    ) {
        let Some(entry) = self.log.get(index).filter(|_| index <= self.commit_index) else {
            let snapshot = self.snapshot.as_ref();
            if snapshot.is_some_and(|snapshot| snapshot.position.index == index) {
                // The snapshot is current, and rewriting the log removes what was replaced in it.
                out.push(Effect::Install {
                    needs_restore: false,
                });
            }
            return;
        };
        let Some(set) = self.voters.in_effect_at(index) else {
            return;
        };
        let content = Content {
            position: entry.position,
            at: entry.at,
            voters_at: set.position,
            voters: set.members.clone(),
            machine,
        };
        let Some(snapshot) = content.encode() else {
            return;
        };
        self.snapshot = Some(snapshot);
        let retained = self.log.tail_before(index, retained);
        self.log
            .compact(id::Index(index.0.saturating_sub(retained)));
        out.push(Effect::Install {
            needs_restore: false,
        });
    }

    /// Returns whether a snapshot can cover this index.
    pub fn can_compact(&self, index: id::Index) -> bool {
        let snapshot = self.snapshot.as_ref();
        let is_current = snapshot.is_some_and(|snapshot| snapshot.position.index == index);
        let is_in_log = index <= self.commit_index && self.log.get(index).is_some();
        is_current || (is_in_log && self.voters.in_effect_at(index).is_some())
    }

    /// Sends the next chunk of the snapshot.
    pub(crate) fn send_chunk(&mut self, peer: usize, now: Point, out: &mut Effects<C>) {
        let Some(Snapshot { position, data }) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        let index = position.index;
        let current = progress.transfer.filter(|(current, _)| *current == index);
        let (_, offset) = current.unwrap_or((index, 0));
        progress.transfer = Some((index, offset));
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let end = data.len().min(start + MAX_CHUNK_BYTES);
        let body = Body::Chunk {
            sent: now,
            position,
            total: data.len() as u64,
            offset: start as u64,
            data: data[start..end].to_vec(),
        };
        self.send(&self.peers[peer], body, out);
    }

    /// Processes a chunk of a snapshot.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn handle_chunk(
        &mut self,
        now: Point,
        from: &id::Instance,
        term: id::Term,
        sent: Point,
        (position, total, offset): (Position, u64, u64),
        data: &[u8],
        out: &mut Effects<C>,
    ) {
        if !self.accept_leader(now, from, term, out) || total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let index = position.index;
        let received = if index <= self.commit_index {
            self.incoming = None;
            total
        } else {
            self.collect_chunk((position, total, offset), data, out)
        };
        let is_covered = index <= self.commit_index;
        let done = is_covered && index <= self.durable_index;
        if is_covered && !done {
            self.defer_acknowledgement(from, sent, index);
        }
        let body = Body::Received {
            sent,
            index,
            offset: received,
            done,
        };
        self.send(from, body, out);
    }

    fn collect_chunk(
        &mut self,
        (position, total, offset): (Position, u64, u64),
        data: &[u8],
        out: &mut Effects<C>,
    ) -> u64 {
        let fits = |incoming: &Incoming| incoming.position == position && incoming.total == total;
        let mut incoming = match self.incoming.take().filter(fits) {
            Some(incoming) => incoming,
            None => Incoming {
                position,
                total,
                data: Vec::new(),
            },
        };
        let received = incoming.data.len() as u64;
        if offset == received && data.len() as u64 <= total - received {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.incoming = Some(incoming);
            return received;
        }
        match Content::decode(&incoming.data) {
            Some(content) if content.position == position => {
                self.install(&content, incoming.data, out);
                total
            }
            // The chunks don't form a valid snapshot, so the transfer starts over.
            _ => 0,
        }
    }

    fn install(&mut self, content: &Content, data: Vec<u8>, out: &mut Effects<C>) {
        let position = content.position;
        self.snapshot = Some(Snapshot {
            position,
            data: data.into(),
        });
        if self.log.term_at(position.index) == Some(position.term) {
            self.log.compact(position.index);
        } else {
            self.log = Log::after(position, content.at);
            // Only the committed part of the old log is known to match the new one.
            self.durable_index = self.durable_index.min(self.commit_index);
        }
        self.commit_index = position.index;
        self.load_voters();
        self.mark_bootstrapped(out);
        out.push(Effect::Install {
            needs_restore: true,
        });
        out.push(Effect::Commit(self.commit_index));
    }

    /// Processes the answer to a chunk of a snapshot.
    pub(crate) fn handle_chunk_answer(
        &mut self,
        now: Point,
        sender: &Member,
        sent: Point,
        (index, offset, done): (id::Index, u64, bool),
        out: &mut Effects<C>,
    ) {
        let Some(peer) = self.record_answer(now, sender, sent) else {
            return;
        };
        if done {
            return self.record_match(peer, now, index, out);
        }
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        if progress
            .transfer
            .is_some_and(|(current, sent)| current == index && sent != offset)
        {
            progress.transfer = Some((index, offset));
            self.send_chunk(peer, now, out);
        }
    }
}
