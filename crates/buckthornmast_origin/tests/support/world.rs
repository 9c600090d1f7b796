//! Entry instances, instances of the core and versions of a fleet, and what can happen to them, for the search.

use std::{collections::VecDeque, time::Duration};

use buckthornmast_origin::{inquiry::MARGIN, origin::only_version, prelude::*};
use buckthornmast_types::{id, time::Point};

use crate::leases::Leases;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const CORES: usize = 3;
/// Instances of the core that are told of a stream.
pub(crate) const COPIES: usize = 2;
/// Time after its beginning in which a stream is taken up.
pub(crate) const LIFE: Duration = Duration::from_secs(20);
/// Time between two announcements of the same version.
pub(crate) const ANNOUNCE_INTERVAL_SECONDS: u64 = 4;

/// Messages about leases that arrive within a second at most; most of those that are sent.
const LEASE_MESSAGES: usize = 60;

/// Time at which the search starts.
const START: Point = Point::from_millis(1000);

/// Fault planted in the specification, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// What an instance of the core that can't be asked may know is taken to be nothing.
    TakeAsComplete,
    /// The only version that is known now is taken, as it was before instances of the core stated since when.
    TrustNow,
    /// One instance of the core that has seen one version for long is believed, whatever the others state.
    TrustOne,
    /// Evidence of a shorter time than a stream lives is taken.
    TrustYoung,
    /// An instance of the core records versions only as they are announced, not while they are known.
    SkipRounds,
    /// Any version is taken if none is recorded.
    Guess,
    /// No instance of the core is told of a stream.
    SkipReports,
    /// An instance of the core that starts isn't told what the entry instances know.
    SkipState,
    /// An instance of the core keeps its permission for a version while it attests another one.
    KeepPermission,
    /// A withdrawal isn't stored.
    KeepAttested,
    /// Entry instances are told of a version while copies that contradict it count.
    SkipRelease,
    /// Copies are granted before the disk shows that.
    GrantUnstored,
    /// An instance that starts doesn't know of which services copies may have been granted, and takes that for none.
    ForgetOffered,
    /// The same where the disk is empty.
    TrustEmptyDisk,
    /// A copy counts for longer than its grant binds.
    LongCopy,
    /// A copy counts from when the answer arrives, however late that is.
    CountFromAnswer,
    /// The clock by which copies count stands while their keeper does.
    StoppedClock,
    /// A keeper answers a withdrawal before its disk has it.
    AnswerUnstored,
}

/// Random numbers (splitmix64).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((mixed ^ (mixed >> 31)) % u64::try_from(bound).unwrap()).unwrap()
    }
}

impl Random {
    /// Returns a number below a bound that is often zero.
    pub(crate) fn few(&mut self, bound: usize) -> usize {
        if self.below(2) == 0 {
            0
        } else {
            self.below(bound)
        }
    }

    /// Returns all, none or some of these.
    pub(crate) fn some_of(&mut self, all: &[usize]) -> Vec<usize> {
        match self.below(4) {
            0 => Vec::new(),
            1 => all.to_vec(),
            _ => {
                let chosen = all.iter().copied();
                chosen.filter(|_| self.below(2) == 0).collect()
            }
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) is_down: bool,
    pub(crate) up: VecDeque<Record>,
    /// Targets that are announced, by their versions.
    pub(crate) down: VecDeque<Mark>,
}

pub(crate) struct Entry {
    pub(crate) own: Memory,
    pub(crate) versions: Vec<Mark>,
    pub(crate) links: Vec<Link>,
}

pub(crate) struct Core {
    pub(crate) memory: Memory,
    pub(crate) history: History,
    /// Versions of the targets that are known here, also of those that have left.
    pub(crate) versions: Vec<Mark>,
    /// Versions of the targets that are restored after a start.
    pub(crate) file: Vec<Mark>,
    /// Versions that other instances of the core pass on.
    pub(crate) inbox: VecDeque<Mark>,
    /// What is attested, and stored.
    pub(crate) register: Register,
    pub(crate) disk: Vec<(Service, Sole)>,
    pub(crate) leases: Leases,
    pub(crate) is_frozen: bool,
    frozen_at: Point,
}

impl Core {
    fn new(leases: Leases) -> Self {
        Self {
            memory: Memory::default(),
            history: History::default(),
            versions: Vec::new(),
            file: Vec::new(),
            inbox: VecDeque::new(),
            register: Register::default(),
            disk: Vec::new(),
            leases,
            is_frozen: false,
            frozen_at: START,
        }
    }
}

pub(crate) struct Model {
    pub(crate) mutation: Mutation,
    pub(crate) service: id::Service,
    pub(crate) entries: Vec<Entry>,
    pub(crate) cores: Vec<Core>,
    /// Streams with the versions that began them, and when.
    pub(crate) streams: Vec<(Key, Mark, Point)>,
    /// Versions of targets that run.
    pub(crate) running: Vec<Mark>,
    pub(crate) versions: usize,
    pub(crate) now: Point,
    /// Instance of the core that alone hears of a version, because it is cut off from the others.
    pub(crate) cut_off: Option<(usize, Mark)>,
    /// Number of four events that are spared among those that end or freeze something.
    pub(crate) calm: usize,
}

pub(crate) fn mark(version: usize) -> Mark {
    Mark::new(&format!("v{version}"))
}

impl Model {
    pub(crate) fn new(mutation: Mutation, calm: usize) -> Self {
        let entry = || Entry {
            own: Memory::default(),
            versions: Vec::new(),
            links: (0..CORES).map(|_| Link::default()).collect(),
        };
        let mut model = Self {
            mutation,
            service: "s".parse().unwrap(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            cores: (0..CORES)
                .map(|_| Core::new(Leases::founding(START)))
                .collect(),
            streams: Vec::new(),
            running: vec![mark(0)],
            versions: 1,
            now: START,
            cut_off: None,
            calm,
        };
        for core in 0..CORES {
            model.announce(core, mark(0));
        }
        model
    }

    /// Targets of a version announce themselves to one instance of the core.
    pub(crate) fn announce(&mut self, core: usize, version: Mark) {
        if self.cores[core].is_frozen || !self.learn(core, version) {
            return;
        }
        for (other, peer) in self.cores.iter_mut().enumerate() {
            if other != core && !peer.is_frozen {
                peer.inbox.push_back(version);
            }
        }
    }

    /// An instance of the core hears of a version. Entry instances are told once nothing speaks against it.
    pub(crate) fn learn(&mut self, index: usize, version: Mark) -> bool {
        let core = &mut self.cores[index];
        core.history
            .see(Service::new(&self.service), Some(version), self.now);
        if core.versions.contains(&version) {
            return false;
        }
        core.versions.push(version);
        let variant = self.variant(version);
        let is_told = self.cores[index].register.is_cleared(variant);
        self.clear(index, version);
        if is_told {
            self.send_version(index, version);
        }
        true
    }

    pub(crate) fn variant(&self, version: Mark) -> Variant {
        Variant {
            service: Service::new(&self.service),
            mark: Some(version),
        }
    }

    fn send_version(&mut self, index: usize, version: Mark) {
        for entry in &mut self.entries {
            if !entry.links[index].is_down {
                entry.links[index].down.push_back(version);
            }
        }
    }

    /// Withdraws what an instance of the core attests against a version, unless it has done so before.
    fn clear(&mut self, index: usize, version: Mark) {
        let variant = self.variant(version);
        let is_clearing = self.is_clearing(index, variant);
        let core = &mut self.cores[index];
        if is_clearing || core.register.is_cleared(variant) {
            return;
        }
        core.register.withdraw(variant);
        if self.mutation != Mutation::KeepAttested {
            core.disk = core.register.attested().collect();
        }
        self.withdraw_copies(index, variant);
    }

    /// Tells entry instances of a version, if its targets are still known.
    pub(crate) fn tell(&mut self, index: usize, variant: Variant) {
        let core = &mut self.cores[index];
        let is_cleared = core.register.clear(variant);
        // A planted fault may bring back what speaks against a version while it waits.
        assert!(is_cleared || self.mutation != Mutation::None);
        if !is_cleared {
            return;
        }
        let mut versions = core.versions.iter().copied();
        if let Some(version) = versions.find(|version| variant.mark == Some(*version)) {
            self.send_version(index, version);
        }
    }

    pub(crate) fn come(&mut self, core: usize) {
        let version = mark(self.versions);
        self.versions += 1;
        self.running.push(version);
        self.announce(core, version);
    }

    /// Cuts an instance of the core off from the others for longer than evidence covers. They forget a version that it alone
    /// hears of.
    pub(crate) fn cut_off(&mut self, core: usize, version: Mark, random: &mut Random) {
        self.cut_off = Some((core, version));
        for _ in 0..(LIFE + MARGIN).as_secs() + 10 {
            self.pass_second(random);
            for (other, peer) in self.cores.iter_mut().enumerate() {
                peer.inbox.clear();
                if other != core {
                    peer.versions.retain(|known| *known != version);
                }
            }
        }
        self.cut_off = None;
    }

    /// The targets of a version end.
    pub(crate) fn leave(&mut self, random: &mut Random) {
        if self.running.len() > 1 {
            self.running.remove(random.below(self.running.len()));
        }
    }

    /// An instance of the core forgets the targets that have left, and so does an entry instance.
    pub(crate) fn forget(&mut self, entry: usize, core: usize) {
        let running = &self.running;
        self.cores[core]
            .versions
            .retain(|version| running.contains(version));
        self.entries[entry]
            .versions
            .retain(|version| running.contains(version));
    }

    /// Begins a stream at a target that is known and runs.
    pub(crate) fn begin(&mut self, index: usize, random: &mut Random) {
        let key = Key::new(&format!("r{}", self.streams.len()));
        let entry = &mut self.entries[index];
        let known: Vec<Mark> = entry
            .versions
            .iter()
            .copied()
            .filter(|version| self.running.contains(version))
            .collect();
        let Some(version) = known.get(random.below(known.len().max(1))).copied() else {
            return;
        };
        let record = Record { key, mark: version };
        entry.own.record(record, self.now);
        if self.mutation != Mutation::SkipReports {
            let first = random.below(CORES);
            let order = (0..CORES).map(|core| (first + core) % CORES);
            let order: Vec<usize> = order.filter(|core| !entry.links[*core].is_down).collect();
            for core in order.into_iter().take(COPIES) {
                entry.links[core].up.push_back(record);
            }
        }
        self.streams.push((key, version, self.now));
    }

    pub(crate) fn deliver_up(&mut self, entry: usize, core: usize) {
        if let Some(record) = self.entries[entry].links[core].up.pop_front() {
            self.cores[core].memory.record(record, self.now);
        }
    }

    pub(crate) fn deliver_down(&mut self, entry: usize, core: usize) {
        let entry = &mut self.entries[entry];
        if let Some(version) = entry.links[core].down.pop_front()
            && !entry.versions.contains(&version)
        {
            entry.versions.push(version);
        }
    }

    /// Delivers all messages between instances of the core.
    pub(crate) fn deliver_peers(&mut self) {
        while let Some(core) = (0..CORES).find(|core| !self.cores[*core].inbox.is_empty()) {
            self.deliver_peer(core);
        }
    }

    pub(crate) fn deliver_peer(&mut self, core: usize) {
        if let Some(version) = self.cores[core].inbox.pop_front() {
            self.learn(core, version);
        }
    }

    pub(crate) fn answer(&self, core: usize, question: Question) -> Answer {
        let core = &self.cores[core];
        Answer {
            entry: question.key.and_then(|key| core.memory.get(key)),
            sole: core.history.sole(question.service, self.now),
        }
    }

    /// Returns the version at which an entry instance resumes a stream.
    pub(crate) fn resume(&mut self, index: usize, key: Option<Key>) -> Option<Mark> {
        if let Some(entry) = key.and_then(|key| self.entries[index].own.get(key)) {
            return entry.mark();
        }
        let question = Question {
            service: Service::new(&self.service),
            key,
        };
        let asked: Vec<usize> = (0..CORES)
            .filter(|core| !self.entries[index].links[*core].is_down)
            .collect();
        let is_complete = asked.len() == CORES || self.mutation == Mutation::TakeAsComplete;
        let mut inquiry = Inquiry::new(asked.len(), is_complete);
        let mut finding = inquiry.result();
        let mut oldest: Option<Sole> = None;
        for core in asked {
            // The request arrives after what this instance sent before, and the answer after what the core did.
            while !self.entries[index].links[core].up.is_empty() {
                self.deliver_up(index, core);
            }
            while !self.entries[index].links[core].down.is_empty() {
                self.deliver_down(index, core);
            }
            if finding.is_none() {
                let answer = self.answer(core, question);
                oldest = oldest
                    .into_iter()
                    .chain(answer.sole)
                    .max_by_key(|sole| sole.age);
                finding = inquiry.answer(answer);
            }
        }
        let versions = self.entries[index].versions.iter();
        let known = only_version(versions.copied().map(Some));
        match (self.mutation, finding?) {
            (_, Finding::Known(mark)) => Some(mark),
            (Mutation::Guess, _) => self.entries[index].versions.first().copied(),
            (Mutation::TrustNow, Finding::Only(_) | Finding::Nowhere) => known,
            (Mutation::TrustOne, Finding::Only(_) | Finding::Nowhere) => {
                Finding::Only(oldest?).version(LIFE, known)
            }
            (Mutation::TrustYoung, Finding::Only(sole)) => {
                let age = sole.age + LIFE + MARGIN;
                Finding::Only(Sole { age, ..sole }).version(LIFE, known)
            }
            (_, finding) => finding.version(LIFE, known),
        }
    }

    pub(crate) fn connect(&mut self, entry: usize, core: usize) {
        if self.cores[core].is_frozen {
            return;
        }
        let recent = self.entries[entry]
            .own
            .recent(Duration::from_secs(60), self.now);
        let versions = self.cores[core].versions.iter().copied();
        let told = |version: &Mark| {
            let variant = self.variant(*version);
            self.cores[core].register.is_cleared(variant)
        };
        let versions = versions.filter(told).collect();
        let link = &mut self.entries[entry].links[core];
        *link = Link::default();
        link.down = versions;
        if self.mutation != Mutation::SkipState {
            link.up.extend(recent);
        }
    }

    /// Starts an entry instance anew. It sends nothing before an instance of the core has told it its targets.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        self.entries[index].own = Memory::default();
        self.entries[index].versions.clear();
        for core in 0..CORES {
            self.entries[index].links[core] = Link {
                is_down: true,
                ..Link::default()
            };
            self.connect(index, core);
        }
        while !self.entries[index].links[0].down.is_empty() {
            self.deliver_down(index, 0);
        }
    }

    /// Connects an instance of the core to all others, which tell it all versions that they know.
    pub(crate) fn connect_core(&mut self, index: usize) {
        let known: Vec<Mark> = self.cores[index].versions.clone();
        for other in (0..CORES).filter(|other| *other != index) {
            if !self.cores[other].is_frozen {
                self.cores[other].inbox.extend(&known);
                let versions = self.cores[other].versions.clone();
                self.cores[index].inbox.extend(versions);
            }
        }
        for entry in 0..ENTRIES {
            self.connect(entry, index);
        }
    }

    /// Ends an instance of the core, which starts with what its disk has.
    fn end_core(&mut self, index: usize) {
        let mut leases = Leases::empty(self.now);
        std::mem::swap(&mut self.cores[index].leases, &mut leases);
        let core = std::mem::replace(&mut self.cores[index], Core::new(Leases::empty(self.now)));
        leases.restart(self.mutation, self.now);
        let mut register = Register::default();
        register.restore(core.disk.iter().copied());
        let mut history = History::default();
        history.keep(self.now);
        history.credit(core.disk.iter().copied(), self.now);
        self.cores[index] = Core {
            file: core.file.clone(),
            register,
            history,
            disk: core.disk,
            ..Core::new(leases)
        };
        for version in core.file {
            self.learn(index, version);
        }
    }

    pub(crate) fn restart_core(&mut self, index: usize) {
        self.end_core(index);
        self.connect_core(index);
    }

    /// Replaces the disk of an instance of the core.
    pub(crate) fn wipe_core(&mut self, index: usize) {
        let run = self.cores[index].leases.run();
        self.cores[index] = Core::new(Leases::empty(self.now).after(run));
        self.restart_core(index);
    }

    /// Kills all instances at the same time.
    pub(crate) fn restart_all(&mut self) {
        for entry in &mut self.entries {
            entry.own = Memory::default();
            entry.versions.clear();
        }
        (0..CORES).for_each(|core| self.end_core(core));
        (0..CORES).for_each(|core| self.connect_core(core));
        (0..ENTRIES).for_each(|entry| self.restart_entry(entry));
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        let core = &mut self.cores[index];
        if !core.is_frozen {
            core.frozen_at = self.now;
        }
        core.is_frozen = true;
        core.inbox.clear();
        for entry in &mut self.entries {
            entry.links[index] = Link {
                is_down: true,
                ..Link::default()
            };
        }
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        if std::mem::replace(&mut self.cores[index].is_frozen, false) {
            let core = &mut self.cores[index];
            core.leases.stopped += self.now.since(core.frozen_at);
            self.connect_core(index);
        }
    }

    /// Lets a second pass: the instances of the core record the versions of their targets, and write their files.
    pub(crate) fn pass_second(&mut self, random: &mut Random) {
        self.now = self.now + Duration::from_secs(1);
        let service = Service::new(&self.service);
        for index in 0..CORES {
            for version in self.cores[index].versions.clone() {
                if !self.cores[index].is_frozen {
                    self.clear(index, version);
                }
            }
        }
        for core in self.cores.iter_mut().filter(|core| !core.is_frozen) {
            if core.history.keep(self.now) {
                core.history.credit(core.register.attested(), self.now);
            }
            if self.mutation != Mutation::SkipRounds {
                for version in &core.versions {
                    core.history.see(service, Some(*version), self.now);
                }
            }
            let before = core.register.clone();
            if core.register.attest(&core.history, LIFE + MARGIN, self.now) {
                core.disk = core.register.attested().collect();
            }
            if self.mutation == Mutation::KeepPermission {
                core.register = before;
            }
            let versions = core.versions.iter().copied();
            core.file = versions
                .filter(|version| self.running.contains(version))
                .collect();
        }
        for index in 0..CORES {
            if !self.cores[index].is_frozen {
                self.tick_leases(index, random);
            }
        }
        if let Some((core, _)) = self.cut_off {
            (0..CORES).for_each(|other| self.drop_leases(other, core));
        }
        for _ in 0..random.below(LEASE_MESSAGES) {
            self.deliver_lease(random.below(CORES), random);
        }
        if (self.now.0 / 1_000_000).is_multiple_of(ANNOUNCE_INTERVAL_SECONDS) {
            for version in self.running.clone() {
                let core = match self.cut_off {
                    Some((core, only)) if only == version => core,
                    _ => random.below(CORES),
                };
                self.announce(core, version);
            }
        }
    }
}
