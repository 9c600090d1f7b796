//! The leader: proposals, progress of the other replicas, commit, lease, replacement of voters.

use buckthornmast_types::{id, time::Point};

use crate::{
    core::{
        Core, DRIFT_PERCENT, Effect, Effects, MAX_UNCOMMITTED_BYTES, MAX_UNCOMMITTED_ENTRIES, State,
    },
    machine::LogTime,
    message::{Member, Payload, Position},
};

/// Replication progress of another replica, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    pub(crate) instance: id::Instance,
    // Disk identity of the last answer. Progress counts for the instance with this disk only.
    pub(crate) disk: Option<id::Disk>,
    // Answers to messages that were sent before this time don't count as progress.
    pub(crate) valid_from: Point,
    pub(crate) match_index: id::Index,
    pub(crate) next_index: id::Index,
    // While probing, only heartbeats are sent, until one is accepted.
    pub(crate) is_probing: bool,
    // Index of the snapshot in transfer, and the offset of the next chunk.
    pub(crate) transfer: Option<(id::Index, u64)>,
    // Send time of the latest message that was answered, and time of the latest answer.
    pub(crate) acked_send: Option<Point>,
    pub(crate) last_answer: Point,
}

impl Progress {
    /// Returns the progress of a replica about which nothing is known; sending starts at `next`.
    pub(crate) fn new(instance: id::Instance, next: id::Index, now: Point) -> Self {
        Self {
            instance,
            disk: None,
            valid_from: now,
            match_index: id::Index(0),
            next_index: next,
            is_probing: true,
            transfer: None,
            acked_send: None,
            last_answer: now,
        }
    }
}

/// State of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    // Index of the first entry of the term. The leader lease and changes of the voter set wait until it is committed.
    pub(crate) first_index: id::Index,
    pub(crate) next_heartbeat: Point,
    pub(crate) progress: Vec<Progress>,
}

impl<C: Clone> Core<C> {
    /// Becomes leader. `founding` is the first voter set, or empty if the log exists.
    pub(crate) fn become_leader(
        &mut self,
        founding: Vec<Member>,
        now: Point,
        out: &mut Effects<C>,
    ) {
        let first = self.log.last().index.next();
        let progress = self
            .peers
            .iter()
            .map(|peer| Progress::new(peer.clone(), first, now));
        let leading = LeaderState {
            first_index: first,
            next_heartbeat: now,
            progress: progress.collect(),
        };
        self.state = State::Leader(leading);
        self.leader = Some(self.me.instance.clone());
        let payload = if founding.is_empty() {
            Payload::Noop
        } else {
            self.mark_bootstrapped(out);
            Payload::Voters(founding)
        };
        self.push_entry(LogTime(0), 0, payload);
        out.push(Effect::Append(first));
        self.advance_commit(out);
        self.tick_leader(now, out);
    }

    pub(crate) fn mark_bootstrapped(&mut self, out: &mut Effects<C>) {
        if !self.is_bootstrapped {
            self.is_bootstrapped = true;
            out.push(Effect::Bootstrapped);
        }
    }

    /// Steps down if it has lost its quorum, otherwise sends heartbeats when they are due.
    pub(crate) fn tick_leader(&mut self, now: Point, out: &mut Effects<C>) {
        let State::Leader(leading) = &mut self.state else {
            return;
        };
        let timeout = self.timing.election_min;
        let is_reachable = |member: &Member| {
            *member == self.me
                || leading.progress.iter().any(|progress| {
                    progress.instance == member.instance
                        && progress.disk.is_none_or(|disk| disk == member.disk)
                        && now < progress.last_answer + timeout
                })
        };
        if !self.voters.has_quorum(is_reachable) {
            return self.become_follower(None, now);
        }
        if !self.is_writable && self.commit_index > self.durable_index {
            // The others commit without this replica, so one of them can lead.
            return self.become_follower(None, now);
        }
        if now < leading.next_heartbeat {
            return;
        }
        leading.next_heartbeat = now + self.timing.heartbeat;
        if !self.is_writable && self.commit_index == self.log.last().index {
            self.append_noop(now, out);
        }
        self.rebalance(now, out);
        for peer in 0..self.peers.len() {
            self.send_heartbeat(peer, now, out);
        }
    }

    /// Appends an entry that changes nothing, which shows whether the others can commit without this replica.
    fn append_noop(&mut self, now: Point, out: &mut Effects<C>) {
        let index = self.log.last().index.next();
        self.push_entry(LogTime(0), 0, Payload::Noop);
        out.push(Effect::Append(index));
        for peer in 0..self.peers.len() {
            self.send_entries(peer, now, out);
        }
    }

    /// Sends heartbeats at the next tick if this replica leads.
    pub(crate) fn confirm(&mut self, now: Point) {
        if let State::Leader(leading) = &mut self.state {
            leading.next_heartbeat = now;
        }
    }

    /// Returns the index up to which entries are committed and durable here. While the disk is slow, the others commit entries
    /// that the next write still has to hold.
    fn settled_index(&self) -> id::Index {
        self.commit_index.min(self.durable_index)
    }

    /// Returns the total size of the commands that are not committed or not durable here.
    fn uncommitted_bytes(&self) -> u64 {
        let uncommitted = self.log.entries_from(self.settled_index().next());
        uncommitted.map(|entry| u64::from(entry.size)).sum()
    }

    /// Appends commands as leader.
    pub(crate) fn propose(
        &mut self,
        now: Point,
        wall: LogTime,
        commands: Vec<(C, u32)>,
        out: &mut Effects<C>,
    ) {
        let last = self.log.last().index;
        let uncommitted = last.0 - self.settled_index().0 + commands.len() as u64;
        let bytes: u64 = commands.iter().map(|(_, size)| u64::from(*size)).sum();
        let can_append = matches!(self.state, State::Leader(_))
            && self.is_writable
            && uncommitted <= MAX_UNCOMMITTED_ENTRIES
            && self.uncommitted_bytes() + bytes <= MAX_UNCOMMITTED_BYTES;
        if !can_append {
            return out.push(Effect::Refused);
        }
        let first = last.next();
        for (command, size) in commands {
            self.push_entry(wall, size, Payload::Command(command));
        }
        out.push(Effect::Append(first));
        out.push(Effect::Proposed(Position {
            term: self.hard.term,
            index: first,
        }));
        self.advance_commit(out);
        for peer in 0..self.peers.len() {
            self.send_entries(peer, now, out);
        }
    }

    /// Commits the entries that a quorum has, if the last of them is of the current term.
    pub(crate) fn advance_commit(&mut self, out: &mut Effects<C>) {
        let State::Leader(leading) = &self.state else {
            return;
        };
        let matched = |member: &Member| {
            if *member == self.me {
                return self.durable_index;
            }
            let progress = leading.progress.iter().find(|progress| {
                progress.instance == member.instance && progress.disk == Some(member.disk)
            });
            progress.map_or(id::Index(0), |progress| progress.match_index)
        };
        let Some(reached) = self.voters.quorum_value(matched) else {
            return;
        };
        if reached > self.commit_index && self.log.term_at(reached) == Some(self.hard.term) {
            self.commit_to(reached, out);
            // Committing a voter set may allow further entries to be committed.
            self.advance_commit(out);
        }
    }

    pub(crate) fn commit_to(&mut self, index: id::Index, out: &mut Effects<C>) {
        if index > self.commit_index {
            self.commit_index = index;
            if self.voters.commit(index) {
                self.record_settled(out);
                // The other voters are notified at the next tick, so that they don't depend on the majority of
                // the old set longer than necessary.
                if let State::Leader(leading) = &mut self.state {
                    leading.next_heartbeat = Point::ZERO;
                }
            }
            out.push(Effect::Commit(index));
        }
    }

    /// Replaces the disk identity of a voter that answers with another disk and is up to date.
    pub(crate) fn replace_voter(&mut self, peer: usize, now: Point, out: &mut Effects<C>) {
        let State::Leader(leading) = &self.state else {
            return;
        };
        let progress = &leading.progress[peer];
        let Some(disk) = progress.disk else {
            return;
        };
        let is_ready = progress.match_index >= self.commit_index
            && self.commit_index >= leading.first_index
            && !self.voters.is_joint();
        let Some(set) = self.voters.current().filter(|_| is_ready) else {
            return;
        };
        let mut members = set.members.clone();
        let old = members
            .iter_mut()
            .find(|member| member.instance == progress.instance && member.disk != disk);
        let Some(old) = old else {
            return;
        };
        old.disk = disk;
        self.append_voters(members, now, out);
    }

    /// Appends a voter set, which takes effect immediately.
    pub(crate) fn append_voters(&mut self, members: Vec<Member>, now: Point, out: &mut Effects<C>) {
        let index = self.log.last().index.next();
        self.push_entry(LogTime(0), 0, Payload::Voters(members));
        out.push(Effect::Append(index));
        self.advance_commit(out);
        for peer in 0..self.peers.len() {
            self.send_entries(peer, now, out);
        }
    }

    /// Returns the time until which this leader may answer reads without contacting a quorum.
    ///
    /// A voter that answered a message refuses other candidates for the shortest election timeout after it
    /// received the message, so no other leader can be elected before that.
    pub fn leader_lease(&self, now: Point) -> Option<Point> {
        let duration = self.timing.election_min * (100 - DRIFT_PERCENT) / 100;
        let until = self.confirmed_at(now)? + duration;
        (until > now).then_some(until)
    }

    /// Returns the time at which this replica certainly led: a majority has answered messages that it sent then or
    /// later. `None` if it doesn't lead, or doesn't know yet what was committed before its term.
    ///
    /// An entry that was committed before that time, by any leader, is covered by the commit index.
    pub fn confirmed_at(&self, now: Point) -> Option<Point> {
        let State::Leader(leading) = &self.state else {
            return None;
        };
        if self.commit_index < leading.first_index {
            return None;
        }
        let acked = |member: &Member| {
            if *member == self.me {
                return Some(now);
            }
            let progress = leading.progress.iter().find(|progress| {
                progress.instance == member.instance && progress.disk == Some(member.disk)
            });
            progress.and_then(|progress| progress.acked_send)
        };
        self.voters.quorum_value(acked)?
    }

    /// Returns when the next tick is due.
    pub fn next_tick(&self) -> Point {
        match &self.state {
            State::Leader(leading) => leading.next_heartbeat,
            _ => self.election_deadline,
        }
    }
}
