//! Copies of attestations between the instances of the core, for the search.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use buckthornmast_origin::{lease::Content, prelude::*};
use buckthornmast_types::{id, time::Point};

use crate::world::{CORES, Model, Mutation, Random};

/// Time by which a planted lease is longer on one side than on the other.
const EXCESS: Duration = Duration::from_secs(6);

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Request(Point),
    Lease(Point, Content),
    Withdrawal(u64, Variant),
    Withdrawn(u64),
    Recovery(Duration),
    Recovered(Content),
}

#[derive(Debug, Clone)]
pub(crate) struct Envelope {
    from: usize,
    // Run of the process that sent it, and of the one that it is an answer to.
    run: u64,
    asked_run: u64,
    message: Message,
}

/// What the disk has.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    offered: Option<BTreeSet<Service>>,
    copies: Vec<(id::Instance, Point, Content)>,
}

/// Version that waits until nothing speaks against it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clearing {
    number: u64,
    withdrawn: BTreeSet<id::Instance>,
}

#[derive(Debug)]
/// Leases of one instance of the core.
pub(crate) struct Leases {
    grantor: Grantor,
    keeper: Keeper,
    disk: Disk,
    clearing: BTreeMap<Variant, Clearing>,
    numbers: u64,
    run: u64,
    inbox: VecDeque<Envelope>,
    /// Whether the disk takes no write.
    pub(crate) is_stuck: bool,
    /// Time for which the process stood still.
    pub(crate) stopped: Duration,
}

pub(crate) fn name(core: usize) -> id::Instance {
    format!("c{core}").parse().unwrap()
}

fn others(core: usize) -> impl Iterator<Item = usize> {
    (0..CORES).filter(move |other| *other != core)
}

impl Leases {
    /// Returns the leases of an instance of a system that has never run.
    pub(crate) fn founding(now: Point) -> Self {
        let disk = Disk {
            offered: Some(BTreeSet::new()),
            ..Disk::default()
        };
        Self::start(disk, 0, now)
    }

    /// Returns the leases of an instance whose disk is empty.
    pub(crate) fn empty(now: Point) -> Self {
        Self::start(Disk::default(), 0, now)
    }

    fn start(disk: Disk, run: u64, now: Point) -> Self {
        let mut keeper = Keeper::default();
        keeper.restore(disk.copies.iter().cloned(), now);
        Self {
            grantor: Grantor::new(disk.offered.clone(), now),
            keeper,
            disk,
            clearing: BTreeMap::new(),
            numbers: 0,
            run,
            inbox: VecDeque::new(),
            is_stuck: false,
            stopped: Duration::ZERO,
        }
    }

    /// Starts the instance anew, with what its disk has.
    pub(crate) fn restart(&mut self, mutation: Mutation, now: Point) {
        let mut disk = std::mem::take(&mut self.disk);
        if mutation == Mutation::ForgetOffered && disk.offered.is_some()
            || mutation == Mutation::TrustEmptyDisk
        {
            disk.offered = Some(BTreeSet::new());
        }
        *self = Self::start(disk, self.run + 1, now);
    }

    pub(crate) fn run(&self) -> u64 {
        self.run
    }

    /// Returns the leases of a process that follows another one.
    pub(crate) fn after(self, run: u64) -> Self {
        Self { run, ..self }
    }

    fn save(&mut self, now: Point) {
        let copies = self.keeper.copies();
        let copies =
            copies.map(|(instance, until, content)| (instance.clone(), until, content.clone()));
        self.disk = Disk {
            copies: copies.collect(),
            offered: self.grantor.offered(now).cloned(),
        };
    }
}

impl Model {
    fn send(&mut self, from: usize, to: usize, asked_run: u64, message: Message) {
        let run = self.cores[from].leases.run;
        self.cores[to].leases.inbox.push_back(Envelope {
            from,
            run,
            asked_run,
            message,
        });
    }

    /// Returns whether entry instances may be told of a version.
    fn is_released(&self, index: usize, variant: Variant) -> bool {
        let core = &self.cores[index];
        let names: Vec<id::Instance> = others(index).map(name).collect();
        let Some(clearing) = core.leases.clearing.get(&variant) else {
            return false;
        };
        core.register.attests(variant)
            || core.leases.grantor.is_released(
                variant.service,
                names.iter(),
                &clearing.withdrawn,
                self.now,
            )
    }

    /// Has the copies that contradict a version withdrawn.
    pub(crate) fn withdraw_copies(&mut self, index: usize, variant: Variant) {
        let leases = &mut self.cores[index].leases;
        leases.numbers += 1;
        let clearing = Clearing {
            number: leases.numbers,
            withdrawn: BTreeSet::new(),
        };
        leases.clearing.insert(variant, clearing);
        self.send_withdrawals(index);
        self.tell_released(index);
    }

    fn send_withdrawals(&mut self, index: usize) {
        let leases = &self.cores[index].leases;
        let (run, clearing) = (leases.run, leases.clearing.clone());
        for (variant, clearing) in clearing {
            for other in others(index) {
                if !clearing.withdrawn.contains(&name(other)) {
                    self.send(
                        index,
                        other,
                        run,
                        Message::Withdrawal(clearing.number, variant),
                    );
                }
            }
        }
    }

    /// Returns whether a version waits until nothing speaks against it.
    pub(crate) fn is_clearing(&self, index: usize, variant: Variant) -> bool {
        self.cores[index].leases.clearing.contains_key(&variant)
    }

    /// Tells entry instances of the versions against which nothing speaks any more.
    pub(crate) fn tell_released(&mut self, index: usize) {
        let waiting = self.cores[index].leases.clearing.keys().copied();
        for variant in waiting.collect::<Vec<Variant>>() {
            if self.is_released(index, variant) || self.mutation == Mutation::SkipRelease {
                self.cores[index].leases.clearing.remove(&variant);
                self.tell(index, variant);
            }
        }
    }

    /// Renews copies, and writes the file unless the disk is slow.
    pub(crate) fn tick_leases(&mut self, index: usize, random: &mut Random) {
        let core = &mut self.cores[index];
        let is_written = !core.leases.is_stuck && random.below(4) > 0;
        let attested = core.register.attested().map(|(service, _)| service);
        core.leases.grantor.offer(attested, self.now);
        if is_written {
            core.leases.save(self.now);
            core.leases.grantor.record_stored();
        }
        if self.mutation == Mutation::GrantUnstored {
            core.leases.grantor.record_stored();
        }
        let (run, started) = (core.leases.run, core.leases.grantor.started());
        for other in others(index) {
            self.send(index, other, run, Message::Request(self.now));
            if self.cores[index].leases.grantor.awaits(&name(other)) {
                let age = self.now.since(started);
                self.send(index, other, run, Message::Recovery(age));
            }
        }
        self.send_withdrawals(index);
        self.tell_released(index);
    }

    /// Writes the files of all instances.
    pub(crate) fn store_leases(&mut self) {
        for core in &mut self.cores {
            core.leases.is_stuck = false;
            core.leases.save(self.now);
        }
    }

    /// Loses the withdrawals that an instance has not received.
    pub(crate) fn lose_withdrawals(&mut self, index: usize) {
        let inbox = &mut self.cores[index].leases.inbox;
        inbox.retain(|envelope| !matches!(envelope.message, Message::Withdrawal(..)));
    }

    /// Drops the messages that an instance has not received, from one that is cut off or to it.
    pub(crate) fn drop_leases(&mut self, index: usize, cut_off: usize) {
        let inbox = &mut self.cores[index].leases.inbox;
        inbox.retain(|envelope| index != cut_off && envelope.from != cut_off);
    }

    /// Delivers any message that an instance has not received.
    pub(crate) fn deliver_lease(&mut self, index: usize, random: &mut Random) {
        let core = &mut self.cores[index];
        let position = random.below(core.leases.inbox.len().max(1));
        if core.is_frozen {
            return;
        }
        let Some(envelope) = core.leases.inbox.remove(position) else {
            return;
        };
        let (from, run) = (envelope.from, envelope.run);
        let is_answer = envelope.asked_run == core.leases.run;
        let now = self.now;
        let leases = &mut core.leases;
        match envelope.message {
            Message::Request(asked_at) => {
                let attested = core.register.attested().collect::<Vec<_>>();
                if let Some(attested) = leases.grantor.grant(&name(from), attested, now) {
                    let content = Content {
                        attested,
                        ..Content::default()
                    };
                    self.send(index, from, run, Message::Lease(asked_at, content));
                }
            }
            Message::Lease(asked_at, content) if is_answer => {
                let asked_at = if self.mutation == Mutation::CountFromAnswer {
                    now
                } else {
                    asked_at
                };
                leases.keeper.renew(&name(from), asked_at, content, now);
            }
            Message::Withdrawal(number, variant) => {
                leases.keeper.withdraw(&name(from), variant, now);
                if leases.is_stuck {
                    return;
                }
                if self.mutation != Mutation::AnswerUnstored {
                    leases.save(now);
                }
                self.send(index, from, run, Message::Withdrawn(number));
            }
            Message::Withdrawn(number) if is_answer => {
                let clearing = leases.clearing.iter_mut();
                let mut clearing = clearing.filter(|(_, clearing)| clearing.number == number);
                if let Some((variant, clearing)) = clearing.next() {
                    clearing.withdrawn.insert(name(from));
                    leases.grantor.release(variant.service, &name(from));
                }
                self.tell_released(index);
            }
            Message::Recovery(age) => {
                // A process that stood still may not know how much time has passed.
                let clock = match self.mutation {
                    Mutation::StoppedClock => now - leases.stopped,
                    Mutation::LongCopy => now - EXCESS,
                    _ => now,
                };
                let content = leases.keeper.found(&name(from), clock - age);
                self.send(index, from, run, Message::Recovered(content));
            }
            Message::Recovered(content) if is_answer => {
                let names: Vec<id::Instance> = others(index).map(name).collect();
                let found = leases.grantor.recover(name(from), content, names.iter());
                if let Some(content) = found {
                    core.register.adopt(content.attested, &core.history);
                    core.history.credit(core.register.attested(), now);
                    core.disk = core.register.attested().collect();
                    self.tell_released(index);
                }
            }
            Message::Lease(..) | Message::Withdrawn(_) | Message::Recovered(_) => {}
        }
    }

    /// Delivers all messages, in any order, while they cause others.
    pub(crate) fn deliver_leases(&mut self, random: &mut Random) {
        while let Some(core) = (0..CORES).find(|core| {
            let core = &self.cores[*core];
            !core.is_frozen && !core.leases.inbox.is_empty()
        }) {
            self.deliver_lease(core, random);
        }
    }
}
