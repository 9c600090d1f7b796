//! Event loop of the protocol thread.

mod compaction;

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, PoisonError},
    time::Duration,
};

use buckthornmast_storage::{files::Files, store::WriteError};
use buckthornmast_types::{
    id,
    time::{Clock, Point, unix_millis},
};
use snafu::ResultExt;

use crate::{
    core::{Core, Effect, Input},
    driver::{
        Config, Event, PROPOSAL_BYTES, Proposal, ProposeError, Reply, STALLED_AFTER, Shared,
        StartError, ThreadSnafu, Transport,
        disk::Disk,
        folder,
        reads::{ConfirmError, Reads},
        writer::{Job, Outcome, Writer},
    },
    limits::Limits,
    machine::StateMachine,
    message::{Member, Message, Payload, Position},
    snapshot::Content,
    status::Role,
    writes::Writes,
};

/// Maximum number of events in a batch, so that a batch doesn't delay heartbeats.
const MAX_BATCH_EVENTS: usize = 1024;
/// Longest wait for an event, so that a clock that a test advances by hand takes effect.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(20);
pub(super) struct Replica<M: StateMachine, T, K> {
    core: Core<M::Command>,
    writes: Writes<M::Command>,
    writer: Writer,
    shared: Arc<Shared<M>>,
    transport: T,
    clock: K,
    applied: id::Index,
    snapshot_entries: u64,
    limits: Limits,
    // Whether the next write or the one in flight compacts the log.
    is_compacting: bool,
    // Applied index from which the next snapshot is tried, after one that would have been too large.
    next_snapshot: id::Index,
    // Size of the log file after it was last rewritten, or at the start.
    rewritten_log: u64,
    disk: Disk,
    reads: Reads,
    // Commit index, and since when it has not advanced although there are entries to commit.
    progress: (id::Index, Point),
    max_leader_write: Duration,
    // Start time of the write in flight.
    write_started: Option<Point>,
    pending_replies: BTreeMap<id::Index, (id::Term, Reply<M>)>,
    damage: Option<String>,
    fault: Option<String>,
}

impl<M, T, K> Replica<M, T, K>
where
    M: StateMachine,
    T: Transport<Command = M::Command>,
    K: Clock,
{
    pub(super) fn open<F: Files>(
        config: Config,
        files: impl Fn() -> io::Result<F>,
        inbox: flume::Sender<Event<M>>,
        shared: Arc<Shared<M>>,
        transport: T,
        clock: K,
    ) -> Result<Self, StartError> {
        let (store, durable, damage) = folder::open(files)?;
        let content = durable.snapshot.as_ref();
        if let Some(content) = content.and_then(|snapshot| Content::decode(&snapshot.data)) {
            let machine = shared.machine.write();
            let mut machine = machine.unwrap_or_else(PoisonError::into_inner);
            machine.restore(&content.machine)?;
        }
        let me = Member {
            instance: config.instance,
            disk: store.disk(),
        };
        let disk = Disk::new(store.usage());
        let report = move |outcome| inbox.send(Event::Written(outcome)).is_ok();
        let writer = Writer::start(store, report).context(ThreadSnafu)?;
        let now = clock.now();
        let mut core = Core::new(me, &config.voters, config.timing, durable, config.seed, now);
        if !config.can_bootstrap {
            core.forbid_bootstrap();
        }
        let mut replica = Self {
            applied: core.commit_index(),
            core,
            writes: Writes::default(),
            writer,
            shared,
            transport,
            clock,
            snapshot_entries: config.snapshot_entries.max(1),
            limits: config.limits,
            is_compacting: false,
            next_snapshot: id::Index(1),
            rewritten_log: disk.usage().log,
            disk,
            reads: Reads::default(),
            progress: (id::Index(0), now),
            max_leader_write: config.max_leader_write,
            write_started: None,
            pending_replies: BTreeMap::new(),
            damage,
            fault: None,
        };
        replica.publish();
        Ok(replica)
    }

    /// Runs until stopped.
    pub(super) fn run(mut self, events: flume::Receiver<Event<M>>) {
        loop {
            let due = self.core.next_tick().since(self.clock.now());
            let first = match events.recv_timeout(due.min(MAX_EVENT_WAIT)) {
                Ok(event) => Some(event),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => break,
            };
            let batch = first
                .into_iter()
                .chain(events.try_iter().take(MAX_BATCH_EVENTS));
            if !self.process_batch(batch, || events.is_empty()) {
                break;
            }
            self.publish();
        }
        // The writer may be blocked on a full inbox.
        drop(events);
        self.writer.stop();
    }

    /// Processes a batch; returns false if the thread has to stop.
    fn process_batch(
        &mut self,
        events: impl Iterator<Item = Event<M>>,
        is_drained: impl Fn() -> bool,
    ) -> bool {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let mut proposals = Vec::new();
        let mut is_running = true;
        for event in events {
            match event {
                Event::Message(from, message) => {
                    let input = Input::Receive { from, message };
                    self.core.step(now, input, &mut effects);
                }
                Event::SetPool(pool) => self.core.step(now, Input::SetPool(pool), &mut effects),
                Event::Propose(proposal) if proposal.try_take() => proposals.push(proposal),
                Event::Propose(_) => {}
                Event::Confirm(reply) => {
                    self.reads.push(reply);
                    self.core.step(now, Input::Confirm, &mut effects);
                }
                Event::Written(outcome) => self.finish_write(outcome, &mut effects),
                Event::Stop => is_running = false,
            }
        }
        self.propose(proposals, &mut effects);
        // A message from the leader may still be queued, so the election timeout is checked only after all are read.
        if self.core.role() == Role::Leader || is_drained() {
            self.core.step(now, Input::Tick, &mut effects);
        }
        self.check_writer(now, &mut effects);
        self.apply();
        if self.needs_snapshot() {
            // After the entries of the write that has just ended were applied and before the next write, so that the log grows
            // by no more than one of them.
            self.save_snapshot(&mut effects);
        }
        self.execute_effects(effects);
        self.answer_reads();
        self.reads.end_batch(self.clock.now());
        self.record_progress();
        is_running
    }

    /// Answers the reads for which it is certain that this replica knows everything that was committed before them.
    fn answer_reads(&mut self) {
        if self.fault.is_some() || self.core.role() != Role::Leader {
            let hint = self.core.leader().cloned();
            return self.reads.fail(&ConfirmError::NotLeader { hint });
        }
        if self.applied < self.core.commit_index() {
            return;
        }
        if let Some(confirmed_at) = self.core.confirmed_at(self.clock.now()) {
            self.reads.confirm(confirmed_at);
        }
    }

    fn record_progress(&mut self) {
        let commit = self.core.commit_index();
        let has_uncommitted = self.core.log().last().index > commit;
        let is_leader = self.core.role() == Role::Leader;
        if !is_leader || !has_uncommitted || commit != self.progress.0 {
            self.progress = (commit, self.clock.now());
        }
    }

    /// Returns whether this leader can't commit entries, so that further ones would only wait behind them.
    fn is_stalled(&self) -> bool {
        self.clock.now() >= self.progress.1 + STALLED_AFTER
    }

    fn propose(&mut self, proposals: Vec<Proposal<M>>, effects: &mut Vec<Effect<M::Command>>) {
        if self.core.role() == Role::Leader && self.is_stalled() {
            for proposal in proposals {
                // The proposer may have given up.
                let _ = proposal.reply.send(Err(ProposeError::NotAppended));
            }
            return;
        }
        let mut group = Vec::new();
        let mut bytes = 0;
        for proposal in proposals {
            bytes += u64::from(proposal.size);
            if bytes > PROPOSAL_BYTES && !group.is_empty() {
                self.propose_group(std::mem::take(&mut group), effects);
                bytes = u64::from(proposal.size);
            }
            group.push(proposal);
        }
        if !group.is_empty() {
            self.propose_group(group, effects);
        }
    }

    /// Proposes commands, all of which are appended or none.
    fn propose_group(
        &mut self,
        proposals: Vec<Proposal<M>>,
        effects: &mut Vec<Effect<M::Command>>,
    ) {
        let (commands, replies): (Vec<_>, Vec<_>) = proposals
            .into_iter()
            .map(|proposal| ((proposal.command, proposal.size), proposal.reply))
            .unzip();
        let start = effects.len();
        let input = Input::Propose {
            wall: unix_millis(),
            commands,
        };
        self.core.step(self.clock.now(), input, effects);
        let first = effects[start..].iter().find_map(|effect| match effect {
            Effect::Proposed(first) => Some(*first),
            _ => None,
        });
        for (offset, reply) in (0..).zip(replies) {
            match first {
                Some(Position { term, index }) => {
                    let index = id::Index(index.0 + offset);
                    self.pending_replies.insert(index, (term, reply));
                }
                None => {
                    let _ = reply.send(Err(self.refusal()));
                }
            }
        }
    }

    fn refusal(&self) -> ProposeError {
        if self.core.role() == Role::Leader {
            return ProposeError::NotAppended;
        }
        ProposeError::NotLeader {
            hint: self.core.leader().cloned(),
        }
    }

    fn execute_effects(&mut self, effects: Vec<Effect<M::Command>>) {
        for effect in &effects {
            if let Effect::Fault(reason) = effect {
                self.stop_voting((*reason).to_owned());
            }
        }
        let send = self.writes.process(&self.core, effects);
        if self.fault.is_none() {
            self.send(send);
            if let Err(error) = self.write() {
                self.stop_voting(error.to_string());
            }
        }
        if self.fault.is_some() {
            return self.fail_pending_proposals(|_| true);
        }
        self.apply();
        let is_leader = self.core.role() == Role::Leader;
        let term = self.core.hard().term;
        self.fail_pending_proposals(|appended| !is_leader || appended != term);
    }

    /// Passes the next write to the writer thread, unless one is in flight.
    fn write(&mut self) -> Result<(), WriteError> {
        if !self.disk.may_write(self.clock.now()) {
            return Ok(());
        }
        let Some(write) = self.writes.start(&self.core) else {
            return Ok(());
        };
        let job = Job::new(&self.core, &write)?;
        self.writer.write(job);
        self.write_started = Some(self.clock.now());
        Ok(())
    }

    fn check_writer(&mut self, now: Point, effects: &mut Vec<Effect<M::Command>>) {
        if self.fault.is_none() && self.writer.is_finished() {
            self.stop_voting("the writer thread has ended".to_owned());
        }
        let is_late = |started| now >= started + self.max_leader_write;
        if self.core.role() == Role::Leader && self.write_started.is_some_and(is_late) {
            log::warn!(step = "persist", term = self.core.hard().term.0; "leader steps down: a write to the data folder takes too long");
            self.core.step(now, Input::Resign, effects);
        }
    }

    /// Processes the result of a write.
    fn finish_write(&mut self, outcome: Outcome, effects: &mut Vec<Effect<M::Command>>) {
        self.write_started = None;
        self.disk.set_usage(outcome.usage);
        let now = self.clock.now();
        match outcome.result {
            Ok(()) if self.disk.accept(now) => {
                self.core.step(now, Input::SetWritable(true), effects);
            }
            Ok(()) => {}
            Err(error) if error.is_refusal() => {
                if self.writes.refuse() {
                    self.is_compacting = false;
                    return self.disk.refuse_compaction(&error, now);
                }
                if self.disk.refuse(&error, now) {
                    self.core.step(now, Input::SetWritable(false), effects);
                }
                return;
            }
            Err(error) => return self.stop_voting(error.to_string()),
        }
        let Some(finished) = self.writes.finish().filter(|_| self.fault.is_none()) else {
            return;
        };
        if finished.has_snapshot {
            self.is_compacting = false;
            self.rewritten_log = self.disk.usage().log;
            self.disk.accept_compaction();
        }
        self.send(finished.send);
        self.core.step(now, finished.input, effects);
        if finished.needs_restore {
            self.restore();
        }
    }

    fn send(&self, messages: Vec<(id::Instance, Message<M::Command>)>) {
        for (to, message) in messages {
            self.transport.send(&to, message);
        }
    }

    fn stop_voting(&mut self, reason: String) {
        log::error!(step = "persist", term = self.core.hard().term.0; "replica of the log stops voting and acknowledging: {reason}");
        self.core
            .step(self.clock.now(), Input::Fault, &mut Vec::new());
        self.fault.get_or_insert(reason);
        // Proposers without an answer find the reason in the status.
        self.publish();
    }

    fn restore(&mut self) {
        let Some(snapshot) = self.core.snapshot() else {
            return;
        };
        let index = snapshot.position.index;
        let Some(content) = Content::decode(&snapshot.data) else {
            return;
        };
        let restored = {
            let machine = self.shared.machine.write();
            let mut machine = machine.unwrap_or_else(PoisonError::into_inner);
            machine.restore(&content.machine)
        };
        match restored {
            Ok(()) => self.applied = index,
            Err(error) => self.stop_voting(error.to_string()),
        }
    }

    fn apply(&mut self) {
        let commit = self.core.commit_index().min(self.core.durable_index());
        // A log that starts after the applied index belongs to a snapshot that is not durable yet.
        let is_behind = self.applied < self.core.log().base().index;
        if self.applied >= commit || is_behind || self.fault.is_some() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let mut machine = shared
            .machine
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut answers = Vec::new();
        for entry in self.core.log().entries_from(self.applied.next()) {
            let Position { term, index } = entry.position;
            if index > commit {
                break;
            }
            self.applied = index;
            let Payload::Command(command) = &entry.payload else {
                continue;
            };
            let answer = machine.apply(index, entry.at, command);
            if let Some((appended, reply)) = self.pending_replies.remove(&index) {
                // An entry of another term at this index means that the proposed one can no longer be committed.
                let is_same_entry = appended == term;
                let answer = if is_same_entry {
                    Ok(answer)
                } else {
                    Err(ProposeError::NotAppended)
                };
                answers.push((reply, answer));
            }
        }
        // Proposers read the machine next, so they are woken after the lock is released.
        drop(machine);
        for (reply, answer) in answers {
            let _ = reply.send(answer);
        }
    }

    fn fail_pending_proposals(&mut self, predicate: impl Fn(id::Term) -> bool) {
        self.pending_replies.retain(|_, (term, reply)| {
            let fails = predicate(*term);
            if fails {
                let _ = reply.send(Err(ProposeError::Unknown));
            }
            !fails
        });
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let core = &self.core;
        let status = self.shared.status.lock();
        let mut status = status.unwrap_or_else(PoisonError::into_inner);
        status.disk = Some(core.me().disk);
        status.role = core.role();
        status.term = core.hard().term;
        status.leader = core.leader().cloned();
        status.last = core.log().last().index;
        status.commit = core.commit_index();
        status.applied = self.applied;
        status.snapshot = core
            .snapshot()
            .map_or(id::Index(0), |snapshot| snapshot.position.index);
        status.settled = core.is_settled();
        status.voters.clear();
        if let Some(set) = core.voters().current() {
            status.voters.extend_from_slice(&set.members);
        }
        status.leader_lease = core.leader_lease(now);
        status.refusal = self.disk.refusal().map(str::to_owned);
        status.refused_writes = self.disk.refused_writes();
        status.log_bytes = self.disk.usage().log;
        status.snapshot_bytes = self.disk.usage().snapshot;
        status.fault.clone_from(&self.fault);
        status.damage.clone_from(&self.damage);
    }
}
