//! Loop of the driver thread.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, PoisonError},
    time::Duration,
};

use buckthornmast_storage::{
    files::Files,
    record::{Record, Snapshot as File},
    store::{LOG, OpenError, Recovered, SNAPSHOT, Store, WriteError},
};
use buckthornmast_types::{
    id,
    time::{Clock, unix_millis},
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{
    core::{Core, Durable, Effect, Input},
    driver::{
        Config, Event, FolderSnafu, Proposal, ProposeError, Reply, SNAPSHOT_BYTES, Shared,
        StartError, Transport,
    },
    log::Log,
    machine::{LogTime, Machine},
    message::{Body, Entry, Member, Message, Payload, Position},
    snapshot::{Content, Snapshot},
    status::Role,
};

/// Events of one batch, so that one batch doesn't hold up heartbeats.
const MAX_BATCH: usize = 1024;
/// Longest wait, so that a clock that a test advances by hand is noticed.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Entries that stay in the log when it is compacted, so that a slow follower needs no snapshot.
const KEEP_ENTRIES: u64 = 512;

pub(super) struct Replica<F, M: Machine, T, K> {
    core: Core<M::Command>,
    store: Store<F>,
    shared: Arc<Shared<M>>,
    transport: T,
    clock: K,
    applied: id::Index,
    bytes: u64,
    snapshot_entries: u64,
    waiting: BTreeMap<id::Index, (id::Term, Reply<M>)>,
    damage: Option<String>,
    fault: Option<String>,
}

/// What one batch has to do, sorted by kind.
struct Work<C> {
    hard: bool,
    append: Option<id::Index>,
    install: Option<bool>,
    bootstrapped: bool,
    send: Vec<(id::Instance, Message<C>)>,
}

type Opened<F, C> = (Store<F>, Durable<C>, Option<String>);

/// Opens the folder. A damaged one is given up, since its replica may have forgotten votes and entries;
/// it starts over under a new disk identity, as a learner.
fn open_folder<F: Files, C: DeserializeOwned>(
    files: impl Fn() -> io::Result<F>,
) -> Result<Opened<F, C>, StartError> {
    let open = || {
        files().map_err(|source| OpenError::Open {
            step: "open",
            source,
        })
    };
    let loaded = open().and_then(Store::open).and_then(|(store, recovered)| {
        let durable = load(recovered)?;
        Ok((store, durable, None))
    });
    match loaded {
        Err(error @ OpenError::Damaged { .. }) => {
            log::error!(step = "open"; "folder given up, joining as a learner: {error}");
            let (store, recovered) = open().and_then(Store::reset).context(FolderSnafu)?;
            let durable = load(recovered).context(FolderSnafu)?;
            Ok((store, durable, Some(error.to_string())))
        }
        loaded => loaded.context(FolderSnafu),
    }
}

fn load<C: DeserializeOwned>(recovered: Recovered) -> Result<Durable<C>, OpenError> {
    let damaged = |file, detail: &str| OpenError::Damaged {
        file,
        detail: detail.to_owned(),
    };
    let (index, term) = recovered.base;
    let mut base_at = LogTime::default();
    let mut snapshot = None;
    if let Some(file) = recovered.snapshot {
        let content = Content::decode(&file.data)
            .ok_or_else(|| damaged(SNAPSHOT, "the content can't be decoded"))?;
        base_at = content.at;
        snapshot = Some(Snapshot {
            position: content.position,
            data: file.data,
        });
    }
    let mut log = Log::after(Position { term, index }, base_at);
    for (_, _, payload) in recovered.entries {
        let entry = postcard::from_bytes::<Entry<C>>(&payload)
            .map_err(|_| damaged(LOG, "an entry can't be decoded"))?;
        log.push(entry);
    }
    Ok(Durable {
        hard: recovered.hard,
        log,
        snapshot,
        bootstrapped: recovered.bootstrapped,
    })
}

impl<F, M, T, K> Replica<F, M, T, K>
where
    F: Files,
    M: Machine,
    T: Transport<Command = M::Command>,
    K: Clock,
{
    pub(super) fn open(
        config: Config,
        files: impl Fn() -> io::Result<F>,
        shared: Arc<Shared<M>>,
        transport: T,
        clock: K,
    ) -> Result<Self, StartError> {
        let (store, durable, damage) = open_folder(files)?;
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
        let now = clock.now();
        let core = Core::new(me, &config.voters, config.timing, durable, config.seed, now);
        let mut replica = Self {
            applied: core.commit(),
            core,
            store,
            shared,
            transport,
            clock,
            bytes: 0,
            snapshot_entries: config.snapshot_entries.max(1),
            waiting: BTreeMap::new(),
            damage,
            fault: None,
        };
        replica.publish();
        Ok(replica)
    }

    pub(super) fn run(mut self, events: &flume::Receiver<Event<M>>) {
        loop {
            let due = self.core.next_tick().since(self.clock.now());
            let first = match events.recv_timeout(due.min(MAX_WAIT)) {
                Ok(event) => Some(event),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => return,
            };
            let batch = first.into_iter().chain(events.try_iter().take(MAX_BATCH));
            if !self.batch(batch) {
                return;
            }
            self.publish();
        }
    }

    /// Processes a batch; false if it asks to stop.
    fn batch(&mut self, events: impl Iterator<Item = Event<M>>) -> bool {
        let now = self.clock.now();
        let before = (self.core.hard().term, self.core.commit());
        let mut effects = Vec::new();
        let mut proposals = Vec::new();
        let mut go_on = true;
        for event in events {
            match event {
                Event::Message(from, message) => {
                    let input = Input::Receive { from, message };
                    self.core.step(now, input, &mut effects);
                }
                Event::Propose(proposal) if proposal.take() => proposals.push(proposal),
                Event::Propose(_) => {}
                Event::Stop => go_on = false,
            }
        }
        self.propose(proposals, &mut effects);
        self.core.step(now, Input::Tick, &mut effects);
        self.carry_out(effects, before);
        if self.wants_snapshot() {
            self.save_snapshot();
        }
        go_on
    }

    fn propose(&mut self, proposals: Vec<Proposal<M>>, effects: &mut Vec<Effect<M::Command>>) {
        if proposals.is_empty() {
            return;
        }
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
                    self.waiting.insert(index, (term, reply));
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

    fn carry_out(
        &mut self,
        effects: Vec<Effect<M::Command>>,
        (term, commit): (id::Term, id::Index),
    ) {
        let mut work = self.sort(effects);
        if self.fault.is_none() {
            // Appends that say nothing new about term and commit hold no promise of this replica.
            let (early, late) = work.send.into_iter().partition(|(_, message)| {
                let plain =
                    matches!(&message.body, Body::Append { commit: told, .. } if *told <= commit);
                plain && message.term == term
            });
            work.send = late;
            self.send(early);
        }
        if let Err(error) = self.persist(&work) {
            self.stop_voting(error.to_string());
        }
        if self.fault.is_some() {
            return self.fail_waiting(|_| true);
        }
        self.send(work.send);
        if work.install == Some(true) {
            self.restore();
        }
        self.apply();
        let leads = self.core.role() == Role::Leader;
        let term = self.core.hard().term;
        self.fail_waiting(|appended| !leads || appended != term);
    }

    fn sort(&mut self, effects: Vec<Effect<M::Command>>) -> Work<M::Command> {
        let mut work = Work {
            hard: false,
            append: None,
            install: None,
            bootstrapped: false,
            send: Vec::new(),
        };
        for effect in effects {
            match effect {
                Effect::Hard(_) => work.hard = true,
                Effect::Append(from) => {
                    work.append = Some(work.append.map_or(from, |first| first.min(from)));
                }
                Effect::Install { restore } => {
                    work.install = Some(restore || work.install == Some(true));
                }
                Effect::Bootstrapped => work.bootstrapped = true,
                Effect::Send { to, message } => work.send.push((to, message)),
                Effect::Fault(reason) => self.stop_voting(reason.to_owned()),
                Effect::Commit(_) | Effect::Proposed(_) | Effect::Refused => {}
            }
        }
        work
    }

    fn send(&self, messages: Vec<(id::Instance, Message<M::Command>)>) {
        for (to, message) in messages {
            self.transport.send(&to, message);
        }
    }

    fn stop_voting(&mut self, reason: String) {
        log::error!(step = "persist", term = self.core.hard().term.0; "replica stops voting: {reason}");
        self.core
            .step(self.clock.now(), Input::Fault, &mut Vec::new());
        self.fault.get_or_insert(reason);
        // Proposers that get no answer find the reason in the status.
        self.publish();
    }

    fn persist(&mut self, work: &Work<M::Command>) -> Result<(), WriteError> {
        if self.fault.is_some() {
            return Ok(());
        }
        if work.bootstrapped {
            self.store.mark_bootstrapped()?;
        }
        let snapshot = self.core.snapshot().filter(|_| work.install.is_some());
        if let Some(snapshot) = snapshot {
            let base = self.core.log().base();
            let mut records = vec![
                Record::Hard(self.core.hard()),
                Record::Base {
                    index: base.index,
                    term: base.term,
                },
            ];
            records.extend(entries(self.core.log(), base.index.next())?);
            let file = File {
                index: snapshot.position.index,
                term: snapshot.position.term,
                data: Arc::clone(&snapshot.data),
            };
            return self.store.compact(&file, &records);
        }
        let mut records = Vec::new();
        if work.hard {
            records.push(Record::Hard(self.core.hard()));
        }
        if let Some(from) = work.append {
            records.extend(entries(self.core.log(), from)?);
        }
        self.store.append(&records)
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
        let commit = self.core.commit();
        if self.applied >= commit || self.fault.is_some() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let mut machine = shared
            .machine
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut answers = Vec::new();
        for entry in self.core.log().from(self.applied.next()) {
            let Position { term, index } = entry.position;
            if index > commit {
                break;
            }
            self.applied = index;
            self.bytes += u64::from(entry.size);
            let Payload::Command(command) = &entry.payload else {
                continue;
            };
            let answer = machine.apply(index, entry.at, command);
            if let Some((appended, reply)) = self.waiting.remove(&index) {
                // Another entry at this index means that the proposed one can't be committed any more.
                let own = appended == term;
                let answer = if own {
                    Ok(answer)
                } else {
                    Err(ProposeError::NotAppended)
                };
                answers.push((reply, answer));
            }
        }
        // Proposers read the machine next, so they are woken after the lock is free.
        drop(machine);
        for (reply, answer) in answers {
            let _ = reply.send(answer);
        }
    }

    fn fail_waiting(&mut self, test: impl Fn(id::Term) -> bool) {
        self.waiting.retain(|_, (term, reply)| {
            let fails = test(*term);
            if fails {
                let _ = reply.send(Err(ProposeError::Unknown));
            }
            !fails
        });
    }

    fn wants_snapshot(&self) -> bool {
        let last = self.core.snapshot();
        let covered = last.map_or(0, |snapshot| snapshot.position.index.0);
        let since = self.applied.0 - covered.min(self.applied.0);
        self.fault.is_none()
            && since > 0
            && (since >= self.snapshot_entries || self.bytes >= SNAPSHOT_BYTES)
    }

    fn save_snapshot(&mut self) {
        let machine = {
            let machine = self.shared.machine.read();
            machine.unwrap_or_else(PoisonError::into_inner).snapshot()
        };
        let input = Input::Compact {
            index: self.applied,
            machine,
            keep: KEEP_ENTRIES.min(self.snapshot_entries),
        };
        let mut effects = Vec::new();
        self.core.step(self.clock.now(), input, &mut effects);
        if effects.is_empty() {
            log::error!(step = "snapshot"; "the snapshot is too large and was not taken");
        }
        self.bytes = 0;
        let before = (self.core.hard().term, self.core.commit());
        self.carry_out(effects, before);
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
        status.commit = core.commit();
        status.applied = self.applied;
        status.snapshot = core
            .snapshot()
            .map_or(id::Index(0), |snapshot| snapshot.position.index);
        status.voters.clear();
        if let Some(set) = core.voters().current() {
            status.voters.extend_from_slice(&set.members);
        }
        status.leader_lease = core.leader_lease(now);
        status.fault.clone_from(&self.fault);
        status.damage.clone_from(&self.damage);
    }
}

fn entries<C: serde::Serialize>(log: &Log<C>, from: id::Index) -> Result<Vec<Record>, WriteError> {
    let encode = |entry: &Entry<C>| {
        let payload = postcard::to_stdvec(entry).map_err(|_| WriteError::TooLarge)?;
        Ok(Record::Entry {
            index: entry.position.index,
            term: entry.position.term,
            payload,
        })
    };
    log.from(from).map(encode).collect()
}
