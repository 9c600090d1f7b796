//! Search over seeded orders of events: streams begin and are taken up at other instances while versions appear, messages are
//! late, connections are lost and instances start anew.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::VecDeque, time::Duration};

use buckthornmast_origin::{origin::only_version, prelude::*};
use buckthornmast_types::{id, time::Point};

const ENTRIES: usize = 3;
const CORES: usize = 3;
/// Instances of the core that are told of a stream.
const COPIES: usize = 2;
const SEEDS: u64 = 600;
const EVENTS: usize = 80;

/// Fault planted in the specification, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// What an instance of the core that can't be asked may know is taken to be nothing.
    TakeAsComplete,
    /// Versions are compared before the core has answered.
    CompareEarly,
    /// Any version is taken if none is recorded.
    Guess,
    /// No instance of the core is told of a stream.
    SkipReports,
    /// An instance of the core that starts isn't told what the entry instances know.
    SkipState,
}

/// Random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((mixed ^ (mixed >> 31)) % u64::try_from(bound).unwrap()).unwrap()
    }
}

#[derive(Debug, Default)]
struct Link {
    is_down: bool,
    up: VecDeque<Record>,
    /// Targets that are announced, by their versions.
    down: VecDeque<Mark>,
}

struct Entry {
    own: Memory,
    versions: Vec<Mark>,
    links: Vec<Link>,
}

struct Core {
    memory: Memory,
    /// Versions of the targets that announced themselves here. They are stored.
    versions: Vec<Mark>,
}

struct Model {
    mutation: Mutation,
    entries: Vec<Entry>,
    cores: Vec<Core>,
    /// Streams with the versions that began them.
    streams: Vec<(Key, Mark)>,
    versions: usize,
    now: Point,
}

fn mark(version: usize) -> Mark {
    Mark::new(&format!("v{version}"))
}

impl Model {
    fn new(mutation: Mutation) -> Self {
        let entry = || Entry {
            own: Memory::default(),
            versions: vec![mark(0)],
            links: (0..CORES).map(|_| Link::default()).collect(),
        };
        let core = || Core {
            memory: Memory::default(),
            versions: vec![mark(0)],
        };
        Self {
            mutation,
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            cores: (0..CORES).map(|_| core()).collect(),
            streams: Vec::new(),
            versions: 1,
            now: Point::from_millis(1000),
        }
    }

    /// A target of a new version announces itself to one instance of the core.
    fn announce(&mut self, core: usize) {
        let version = mark(self.versions);
        self.versions += 1;
        self.cores[core].versions.push(version);
        for entry in &mut self.entries {
            if !entry.links[core].is_down {
                entry.links[core].down.push_back(version);
            }
        }
    }

    fn begin(&mut self, index: usize, random: &mut Random) {
        let service: id::Service = "s".parse().unwrap();
        let key = Key::new(&service, &format!("r{}", self.streams.len()));
        let entry = &mut self.entries[index];
        let Some(version) = entry
            .versions
            .get(random.below(entry.versions.len().max(1)))
            .copied()
        else {
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
        self.streams.push((key, version));
    }

    fn deliver_up(&mut self, entry: usize, core: usize) {
        if let Some(record) = self.entries[entry].links[core].up.pop_front() {
            self.cores[core].memory.record(record, self.now);
        }
    }

    fn deliver_down(&mut self, entry: usize, core: usize) {
        let entry = &mut self.entries[entry];
        if let Some(version) = entry.links[core].down.pop_front()
            && !entry.versions.contains(&version)
        {
            entry.versions.push(version);
        }
    }

    /// Returns the version at which an entry instance resumes a stream.
    fn resume(&mut self, index: usize, key: Key) -> Option<Mark> {
        if let Some(mark) = self.entries[index].own.get(key) {
            return Some(mark);
        }
        let only =
            |model: &Self| only_version(model.entries[index].versions.iter().copied().map(Some));
        let early = only(self);
        let asked: Vec<usize> = (0..CORES)
            .filter(|core| !self.entries[index].links[*core].is_down)
            .collect();
        let is_complete = asked.len() == CORES || self.mutation == Mutation::TakeAsComplete;
        let mut inquiry = Inquiry::new(asked.len(), is_complete);
        let mut finding = inquiry.result();
        for core in asked {
            // The request arrives after what this instance sent before, and the answer after what the core did.
            while !self.entries[index].links[core].up.is_empty() {
                self.deliver_up(index, core);
            }
            while !self.entries[index].links[core].down.is_empty() {
                self.deliver_down(index, core);
            }
            if finding.is_none() {
                finding = inquiry.answer(self.cores[core].memory.get(key));
            }
        }
        let only = if self.mutation == Mutation::CompareEarly {
            early
        } else {
            only(self)
        };
        match finding {
            Some(Finding::Known(mark)) => Some(mark),
            _ if self.mutation == Mutation::Guess => self.entries[index].versions.first().copied(),
            Some(Finding::Nowhere) => only,
            Some(Finding::Unknown) | None => None,
        }
    }

    fn connect(&mut self, entry: usize, core: usize) {
        let recent = self.entries[entry]
            .own
            .recent(Duration::from_secs(60), self.now);
        let versions = self.cores[core].versions.iter().copied().collect();
        let link = &mut self.entries[entry].links[core];
        *link = Link::default();
        link.down = versions;
        if self.mutation != Mutation::SkipState {
            link.up.extend(recent);
        }
    }

    /// Starts an entry instance anew. It sends nothing before an instance of the core has told it its targets.
    fn restart_entry(&mut self, index: usize) {
        self.entries[index].own = Memory::default();
        self.entries[index].versions.clear();
        for core in 0..CORES {
            self.entries[index].links[core] = Link::default();
            self.connect(index, core);
        }
        while !self.entries[index].links[0].down.is_empty() {
            self.deliver_down(index, 0);
        }
    }

    fn restart_core(&mut self, core: usize) {
        self.cores[core].memory = Memory::default();
        for entry in 0..ENTRIES {
            self.connect(entry, core);
        }
    }

    fn check(&mut self, entry: usize, stream: usize) -> Result<bool, String> {
        let (key, began) = self.streams[stream];
        match self.resume(entry, key) {
            Some(version) if version != began => {
                Err(format!("stream {stream} is mixed at {entry}"))
            }
            version => Ok(version.is_some()),
        }
    }

    fn step(&mut self, random: &mut Random) -> Result<(), String> {
        let (entry, core) = (random.below(ENTRIES), random.below(CORES));
        match random.below(16) {
            0 => self.announce(core),
            1..=3 => self.begin(entry, random),
            4..=6 => self.deliver_up(entry, core),
            7..=9 => self.deliver_down(entry, core),
            10 => self.entries[entry].links[core].is_down = true,
            11 => self.connect(entry, core),
            12 => self.restart_entry(entry),
            13 => self.restart_core(core),
            _ if !self.streams.is_empty() => {
                self.check(entry, random.below(self.streams.len()))?;
            }
            _ => {}
        }
        self.now = self.now + Duration::from_millis(10);
        Ok(())
    }

    fn deliver_all_up(&mut self, entry: usize) {
        for core in 0..CORES {
            while !self.entries[entry].links[core].up.is_empty() {
                self.deliver_up(entry, core);
            }
        }
    }

    /// Streams that begin while all are connected go on at each instance, also after the one that served them and one
    /// instance of the core have started anew.
    fn check_kept(&mut self, random: &mut Random) -> Result<(), String> {
        for entry in 0..ENTRIES {
            for core in 0..CORES {
                self.connect(entry, core);
            }
        }
        self.announce(0);
        for _ in 0..2000 {
            self.deliver_up(random.below(ENTRIES), random.below(CORES));
            self.deliver_down(random.below(ENTRIES), random.below(CORES));
        }
        let first = self.streams.len();
        for _ in 0..4 {
            self.begin(0, random);
        }
        self.deliver_all_up(0);
        if random.below(2) == 0 {
            // The instance that served the streams outlives the whole core.
            for core in 0..CORES {
                self.restart_core(core);
            }
            self.deliver_all_up(0);
        }
        self.restart_core(random.below(CORES));
        self.restart_entry(0);
        for stream in first..self.streams.len() {
            for entry in 0..ENTRIES {
                if !self.check(entry, stream)? {
                    return Err(format!("stream {stream} is refused at {entry}"));
                }
            }
        }
        Ok(())
    }
}

fn play(seed: u64, mutation: Mutation) -> Result<(), String> {
    let mut random = Random(seed);
    let mut model = Model::new(mutation);
    for _ in 0..EVENTS {
        model.step(&mut random)?;
    }
    model.check_kept(&mut random)
}

/// Guards against streams that go on at another version, and against refusals of those whose version is known somewhere.
#[test]
fn search_streams() {
    for seed in 0..SEEDS {
        play(seed, Mutation::None).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    }
}

/// Guards against a search that would miss a fault.
#[test]
fn search_streams_planted_faults() {
    let mutations = [
        Mutation::TakeAsComplete,
        Mutation::CompareEarly,
        Mutation::Guess,
        Mutation::SkipReports,
        Mutation::SkipState,
    ];
    for mutation in mutations {
        let is_found = (0..SEEDS).any(|seed| play(seed, mutation).is_err());
        assert!(is_found, "{mutation:?}");
    }
}
