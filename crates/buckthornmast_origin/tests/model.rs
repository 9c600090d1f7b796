//! Search over seeded orders of events: streams begin and are taken up at other instances while versions come, leave and are
//! forgotten, messages are late, connections and records are lost, and instances freeze or start anew, one or all of them.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/leases.rs"]
mod leases;
#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use buckthornmast_origin::{inquiry::MARGIN, prelude::*};

use crate::world::{CORES, ENTRIES, LIFE, Model, Mutation, Random};

const SEEDS: u64 = 1500;
const EVENTS: usize = 150;

impl Model {
    fn check(&mut self, entry: usize, stream: usize) -> Result<bool, String> {
        let (key, began, at) = self.streams[stream];
        if self.now.since(at) > LIFE {
            return Ok(false);
        }
        let version = self.resume(entry, Some(key));
        if version.is_some_and(|version| version != began) {
            return Err(format!("stream {stream} is mixed at {entry}"));
        }
        // A caller that names no request may have any of the streams.
        if self
            .resume(entry, None)
            .is_some_and(|version| version != began)
        {
            return Err(format!(
                "stream {stream} is mixed at {entry} without its name"
            ));
        }
        Ok(version.is_some())
    }

    /// All versions but one leave and are forgotten, and time passes until that is certain.
    fn settle(&mut self, random: &mut Random) {
        self.running.truncate(1);
        for core in 0..CORES {
            self.thaw(core);
        }
        for second in 0..(LIFE + MARGIN).as_secs() * 2 {
            self.pass_second(random);
            for core in 0..CORES {
                while !self.cores[core].inbox.is_empty() {
                    self.deliver_peer(core);
                }
                if second < LIFE.as_secs() {
                    self.forget(core % ENTRIES, core);
                }
            }
        }
        for entry in 0..ENTRIES {
            for core in 0..CORES {
                self.connect(entry, core);
                while !self.entries[entry].links[core].down.is_empty() {
                    self.deliver_down(entry, core);
                }
            }
            self.forget(entry, 0);
        }
    }

    /// A version comes after there has been one only for long, while one entry instance is cut off from the instance of the
    /// core that hears of it first. Others begin streams at once.
    fn come_settled(&mut self, entry: usize, core: usize, random: &mut Random) {
        self.settle(random);
        self.entries[entry].links[core].is_down = true;
        self.come(core);
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.deliver_down(other, core);
            self.begin(other, random);
        }
    }

    /// A version comes after there has been one only for long, and leaves. It may have been there before, or be known to one
    /// instance of the core only. Then much is restarted, and streams are taken up.
    fn come_and_go(&mut self, core: usize, random: &mut Random) -> Result<(), String> {
        self.settle(random);
        let version = world::mark(random.below(self.versions + 1));
        if self.running.contains(&version) {
            return Ok(());
        }
        self.versions += 1;
        self.running.push(version);
        self.announce(core, version);
        if random.below(2) == 0 {
            self.deliver_peers();
            self.cut_off(core, version, random);
        } else {
            for _ in 0..random.below(20) {
                self.deliver_peer(random.below(CORES));
            }
        }
        let first = self.streams.len();
        for entry in 0..ENTRIES {
            while !self.entries[entry].links[core].down.is_empty() {
                self.deliver_down(entry, core);
            }
            for _ in 0..3 {
                self.begin(entry, random);
            }
        }
        self.running.retain(|running| *running != version);
        for core in 0..CORES {
            self.forget(core % ENTRIES, core);
        }
        match random.below(4) {
            0 => self.restart_all(),
            1 => {
                self.wipe_core(core);
                self.restart_all();
            }
            2 => {
                self.restart_core(core);
                (0..ENTRIES).for_each(|entry| self.restart_entry(entry));
            }
            _ => {
                (0..ENTRIES).for_each(|entry| self.restart_entry(entry));
                (0..ENTRIES).for_each(|entry| self.entries[entry].links[core].is_down = true);
            }
        }
        for stream in first..self.streams.len() {
            for entry in 0..ENTRIES {
                self.check(entry, stream)?;
            }
        }
        Ok(())
    }

    /// A version comes at one instance of the core after there has been one only for long, while others may stand still. That
    /// instance ends, soon or late, and its disk is lost. Then streams are taken up.
    fn come_alone(&mut self, core: usize, random: &mut Random) -> Result<(), String> {
        self.cores[core].leases.is_stuck = random.below(4) == 0;
        self.settle(random);
        let version = world::mark(self.versions);
        self.versions += 1;
        self.running.push(version);
        (0..random.below(40)).for_each(|_| self.deliver_lease(core, random));
        let rest: Vec<usize> = (0..CORES).filter(|other| *other != core).collect();
        random
            .some_of(&rest)
            .iter()
            .for_each(|other| self.freeze(*other));
        self.announce(core, version);
        if random.below(2) == 0 {
            self.deliver_leases(random);
        }
        for _ in 0..random.few(9) {
            self.pass_second(random);
        }
        if random.below(2) == 0 {
            self.restart_core(core);
            self.announce(core, version);
        }
        let first = self.streams.len();
        for entry in 0..ENTRIES {
            while !self.entries[entry].links[core].down.is_empty() {
                self.deliver_down(entry, core);
            }
            for _ in 0..3 {
                self.begin(entry, random);
            }
        }
        self.running.retain(|running| *running != version);
        self.freeze(core);
        for _ in 0..random.few(5) {
            self.pass_second(random);
        }
        random
            .some_of(&rest)
            .iter()
            .for_each(|other| self.lose_withdrawals(*other));
        random
            .some_of(&rest)
            .iter()
            .for_each(|other| self.restart_core(*other));
        rest.iter().for_each(|other| self.thaw(*other));
        self.wipe_core(core);
        (0..CORES).for_each(|core| self.forget(core % ENTRIES, core));
        self.deliver_leases(random);
        // Those that stood still go on from what they attested.
        self.pass_second(random);
        self.deliver_leases(random);
        (0..ENTRIES).for_each(|entry| self.restart_entry(entry));
        for stream in first..self.streams.len() {
            for entry in 0..ENTRIES {
                self.check(entry, stream)?;
            }
        }
        Ok(())
    }

    fn step(&mut self, random: &mut Random) -> Result<(), String> {
        let (entry, core) = (random.below(ENTRIES), random.below(CORES));
        let event = random.below(44);
        if (23..=29).contains(&event) && random.below(4) < self.calm {
            return Ok(());
        }
        match event {
            0 => self.come(core),
            1 => self.leave(random),
            2..=3 => self.forget(entry, core),
            4..=8 => self.begin(entry, random),
            9..=13 => self.deliver_up(entry, core),
            14..=16 => self.deliver_down(entry, core),
            17..=18 => (0..=random.below(16)).for_each(|_| self.deliver_peer(core)),
            19 => self.entries[entry].links[core].is_down = true,
            20..=22 => self.connect(entry, core),
            23 => self.restart_entry(entry),
            24 => self.restart_core(core),
            25 => self.restart_all(),
            26 => (0..ENTRIES).for_each(|entry| self.restart_entry(entry)),
            27 => self.freeze(core),
            28 => self.thaw(core),
            // Both generations of records are dropped.
            29 => self.cores[core].memory = Memory::default(),
            30 => (0..=random.below(20)).for_each(|_| self.pass_second(random)),
            31..=32 => self.pass_second(random),
            34 if random.below(4) == 0 => self.wipe_core(core),
            35 if random.below(4) == 0 => self.come_and_go(core, random)?,
            33 if random.below(4) == 0 => self.come_settled(entry, core, random),
            36..=37 => (0..=random.below(16)).for_each(|_| self.deliver_lease(core, random)),
            38 => self.now = self.now + Duration::from_millis(250),
            39 if random.below(4) == 0 => self.come_alone(core, random)?,
            _ if !self.streams.is_empty() => {
                let recent = self.streams.len().min(6);
                let stream = self.streams.len() - 1 - random.below(recent);
                self.check(entry, stream)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// A stream of which nothing is recorded goes on once there has been one version for long, at each instance.
    fn check_only(&mut self, random: &mut Random) -> Result<(), String> {
        self.restart_all();
        self.settle(random);
        for entry in 0..ENTRIES {
            let version = self.resume(entry, Some(Key::new("unknown")));
            if version != Some(self.running[0]) {
                return Err(format!("a stream is refused at {entry} beside one version"));
            }
        }
        self.check_lasting(random)
    }

    /// The same right after a restart of all, also if a disk was lost.
    fn check_lasting(&mut self, random: &mut Random) -> Result<(), String> {
        self.pass_second(random);
        self.deliver_leases(random);
        self.store_leases();
        let replaced = random.below(CORES + 1);
        if replaced < CORES {
            self.wipe_core(replaced);
        }
        if replaced == CORES || random.below(2) == 0 {
            self.restart_all();
        }
        self.deliver_peers();
        self.pass_second(random);
        self.deliver_leases(random);
        for entry in 0..ENTRIES {
            (0..CORES).for_each(|core| self.connect(entry, core));
            let version = self.resume(entry, Some(Key::new("unknown")));
            if version != Some(self.running[0]) {
                return Err(format!(
                    "a stream is refused at {entry} after a restart of all"
                ));
            }
        }
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
        (0..CORES).for_each(|core| self.thaw(core));
        for entry in 0..ENTRIES {
            for core in 0..CORES {
                self.connect(entry, core);
            }
        }
        self.come(0);
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
    let mut model = Model::new(mutation, random.below(4));
    for _ in 0..EVENTS {
        model.step(&mut random)?;
    }
    model.check_kept(&mut random)?;
    model.check_only(&mut random)
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
        Mutation::TrustNow,
        Mutation::TrustOne,
        Mutation::TrustYoung,
        Mutation::SkipRounds,
        Mutation::Guess,
        Mutation::SkipReports,
        Mutation::SkipState,
        Mutation::KeepPermission,
        Mutation::KeepAttested,
        Mutation::SkipRelease,
        Mutation::GrantUnstored,
        Mutation::ForgetOffered,
        Mutation::TrustEmptyDisk,
        Mutation::LongCopy,
        Mutation::CountFromAnswer,
        Mutation::StoppedClock,
        Mutation::AnswerUnstored,
    ];
    for mutation in mutations {
        let is_found = (0..SEEDS).any(|seed| play(seed, mutation).is_err());
        assert!(is_found, "{mutation:?}");
    }
}
