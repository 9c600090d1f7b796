//! Search over seeded orders of events: one request that ends each target comes again at several entry instances, sound
//! requests are lost beside it, messages are late, connections are lost and instances start anew.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::VecDeque, time::Duration};

use buckthornmast_quarantine::prelude::*;
use buckthornmast_types::{id, time::Point};

const ENTRIES: usize = 3;
const CORES: usize = 2;
const SOUND: usize = 6;
const SEEDS: u64 = 400;
const EVENTS: usize = 60;

/// Attempts of one arrival.
const ATTEMPTS: usize = 2;

/// Targets that one request may end.
const MAX_CRASHES: usize = 3;

/// Fault planted in the specification, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// Evidence stays at the entry instance that has it.
    KeepEvidence,
    /// An entry instance that connects isn't told what the core knows.
    SkipState,
    /// Requests are repeated although two targets have ended under them.
    Repeat,
    /// Answers don't clear requests.
    IgnoreAnswers,
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

#[derive(Debug, Clone)]
enum Message {
    Crash(Evidence),
    Progress(Set),
    Quarantines(Vec<Notice>),
}

#[derive(Debug, Default)]
struct Link {
    is_down: bool,
    up: VecDeque<Message>,
    down: VecDeque<Message>,
}

struct Model {
    mutation: Mutation,
    guards: Vec<Guard>,
    cores: Vec<Ledger>,
    links: Vec<Vec<Link>>,
    targets: u64,
    /// Targets that ended under the deadly request.
    crashes: usize,
    /// Targets that ended under each sound request since it was last answered.
    lost: [usize; SOUND],
    now: Point,
}

fn request(number: usize) -> Part {
    Part::of_request(&[u8::try_from(number).unwrap(); 32])
}

const DEADLY: usize = 200;

impl Model {
    fn new(mutation: Mutation) -> Self {
        let links = || (0..CORES).map(|_| Link::default()).collect();
        Self {
            mutation,
            guards: vec![Guard::default(); ENTRIES],
            cores: vec![Ledger::default(); CORES],
            links: (0..ENTRIES).map(|_| links()).collect(),
            targets: 0,
            crashes: 0,
            lost: [0; SOUND],
            now: Point::from_millis(1000),
        }
    }

    fn is_refused(&mut self, entry: usize, number: usize) -> bool {
        let verdict = self.guards[entry].check(&Set::of(request(number)), self.now);
        matches!(verdict, Verdict::Refuse { .. })
    }

    fn send_up(&mut self, entry: usize, message: &Message) {
        for link in self.links[entry].iter_mut().filter(|link| !link.is_down) {
            link.up.push_back(message.clone());
        }
    }

    fn end_target(&mut self) -> Crash {
        self.targets += 1;
        Crash {
            target: format!("t{}", self.targets).parse().unwrap(),
            incarnation: id::Incarnation(1),
        }
    }

    fn suspect(&mut self, entry: usize, crash: &Crash, number: usize) {
        let evidence = Evidence::against_request(crash.clone(), request(number));
        if self.mutation != Mutation::KeepEvidence {
            self.send_up(entry, &Message::Crash(evidence.clone()));
        }
        self.guards[entry].record_crash(evidence, self.now);
    }

    /// Sends the deadly request to an entry instance, with sound ones beside it at the targets that it ends.
    fn arrive(&mut self, entry: usize, random: &mut Random) {
        for _ in 0..ATTEMPTS {
            if self.is_refused(entry, DEADLY) {
                return;
            }
            let crash = self.end_target();
            self.crashes += 1;
            for _ in 0..random.below(3) {
                let (other, sound) = (random.below(ENTRIES), random.below(SOUND));
                if !self.is_refused(other, sound) && self.lost[sound] < MAX_CRASHES - 1 {
                    self.lost[sound] += 1;
                    self.suspect(other, &crash, sound);
                }
            }
            self.suspect(entry, &crash, DEADLY);
            if self.mutation != Mutation::Repeat && self.guards[entry].watches(request(DEADLY)) {
                return;
            }
        }
    }

    fn answer(&mut self, entry: usize, sound: usize) {
        if self.mutation == Mutation::IgnoreAnswers {
            self.lost[sound] = 0;
            return;
        }
        if self.guards[entry].clear_request(request(sound)) {
            self.send_up(entry, &Message::Progress(Set::of(request(sound))));
        }
    }

    fn publish(&mut self, core: usize, message: &Message) {
        for links in &mut self.links {
            if !links[core].is_down {
                links[core].down.push_back(message.clone());
            }
        }
    }

    fn deliver_up(&mut self, entry: usize, core: usize) {
        let Some(message) = self.links[entry][core].up.pop_front() else {
            return;
        };
        let ledger = &mut self.cores[core];
        match message {
            Message::Crash(evidence) => {
                let suspected = evidence.parts.clone();
                if ledger.record_crash(evidence, self.now) {
                    let mut notices = ledger.notices(self.now);
                    notices.retain(|notice| notice.parts.is_subset(&suspected));
                    self.publish(core, &Message::Quarantines(notices));
                }
            }
            Message::Progress(parts) => {
                if ledger.record_progress(&parts) {
                    self.publish(core, &Message::Progress(parts));
                }
            }
            Message::Quarantines(notices) => {
                if ledger.merge(&notices, self.now) {
                    self.publish(core, &Message::Quarantines(notices));
                }
            }
        }
    }

    fn deliver_down(&mut self, entry: usize, core: usize) {
        match self.links[entry][core].down.pop_front() {
            Some(Message::Quarantines(notices)) => {
                self.guards[entry].merge(&notices, self.now);
            }
            Some(Message::Progress(parts)) => {
                self.guards[entry].merge_progress(&parts);
            }
            Some(Message::Crash(_)) | None => {}
        }
    }

    fn settle(&mut self) {
        for _ in 0..1000 {
            for entry in 0..ENTRIES {
                for core in 0..CORES {
                    self.deliver_up(entry, core);
                    self.deliver_down(entry, core);
                }
            }
        }
        let links = self.links.iter().flatten();
        assert!(
            links
                .clone()
                .all(|link| link.up.is_empty() && link.down.is_empty())
        );
    }

    fn connect(&mut self, entry: usize, core: usize) {
        self.links[entry][core] = Link::default();
        let own = self.guards[entry].notices(self.now);
        self.links[entry][core]
            .up
            .push_back(Message::Quarantines(own));
        if self.mutation != Mutation::SkipState {
            let known = self.cores[core].notices(self.now);
            self.links[entry][core]
                .down
                .push_back(Message::Quarantines(known));
        }
    }

    fn step(&mut self, random: &mut Random) -> Result<(), String> {
        let (entry, core) = (random.below(ENTRIES), random.below(CORES));
        match random.below(12) {
            0 => self.arrive(entry, random),
            1 | 2 => self.answer(entry, random.below(SOUND)),
            3..=5 => self.deliver_up(entry, core),
            6..=8 => self.deliver_down(entry, core),
            9 => self.links[entry][core].is_down = true,
            10 => self.connect(entry, core),
            _ => self.restart_entry(entry),
        }
        self.now = self.now + Duration::from_millis(10);
        self.check_sound()
    }

    /// Starts an entry instance anew, which sends no request before the core has told it its state.
    fn restart_entry(&mut self, entry: usize) {
        self.guards[entry] = Guard::default();
        for core in 0..CORES {
            self.connect(entry, core);
            self.links[entry][core].up.clear();
            self.deliver_down(entry, core);
        }
    }

    /// Sound requests that were lost with fewer targets than it takes are served.
    fn check_sound(&mut self) -> Result<(), String> {
        for entry in 0..ENTRIES {
            for sound in 0..SOUND {
                if self.is_refused(entry, sound) {
                    return Err(format!("sound request {sound} is refused at {entry}"));
                }
            }
        }
        Ok(())
    }

    /// Plays arrivals with all messages delivered between them: no instance that is connected may end more targets than
    /// one request may, counted since all of them are.
    fn check_end(&mut self, random: &mut Random) -> Result<(), String> {
        for entry in 0..ENTRIES {
            for core in 0..CORES {
                self.connect(entry, core);
            }
        }
        self.settle();
        let before = self.crashes;
        for arrival in 0..12 {
            self.arrive(arrival % ENTRIES, random);
            for sound in 0..SOUND {
                self.answer(arrival % ENTRIES, sound);
                self.lost[sound] = 0;
            }
            self.settle();
            self.check_sound()?;
        }
        let since = self.crashes - before;
        if since > MAX_CRASHES {
            return Err(format!("{since} targets ended after {before}"));
        }
        Ok(())
    }
}

fn play(seed: u64, mutation: Mutation, events: usize) -> Result<(), String> {
    let mut random = Random(seed);
    let mut model = Model::new(mutation);
    for _ in 0..events {
        model.step(&mut random)?;
    }
    model.check_end(&mut random)
}

/// Guards against a request that ends more targets than it takes to know it, and against sound requests refused beside it.
#[test]
fn search_repeated_request() {
    for seed in 0..SEEDS {
        for events in [0, EVENTS] {
            play(seed, Mutation::None, events)
                .unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        }
    }
}

/// Guards against a search that would miss a fault.
#[test]
fn search_repeated_request_planted_faults() {
    let mutations = [
        Mutation::KeepEvidence,
        Mutation::SkipState,
        Mutation::Repeat,
        Mutation::IgnoreAnswers,
    ];
    for mutation in mutations {
        let is_found = (0..SEEDS).any(|seed| {
            [0, EVENTS]
                .iter()
                .any(|events| play(seed, mutation, *events).is_err())
        });
        assert!(is_found, "{mutation:?}");
    }
}

fn crash(number: usize) -> Crash {
    Crash {
        target: format!("t{number}").parse().unwrap(),
        incarnation: id::Incarnation(1),
    }
}

fn lose(ledger: &mut Ledger, target: usize, number: usize) -> bool {
    let evidence = Evidence::against_request(crash(target), request(number));
    ledger.record_crash(evidence, Point::from_millis(1000))
}

/// Guards against several copies of a popular request, lost with one target, that count as several crashes.
#[test]
fn record_copies_lost_together() {
    let mut ledger = Ledger::default();
    for _ in 0..5 {
        assert!(!lose(&mut ledger, 1, 7));
    }
    assert!(!ledger.watches(request(7)));
}

/// Guards against watched requests that take the place of quarantines, or grow without bound.
#[test]
fn record_watched_beside_quarantine() {
    let mut ledger = Ledger::default();
    for target in 1..=3 {
        lose(&mut ledger, target, 250);
    }
    for number in 0..200 {
        lose(&mut ledger, 1000 + 2 * number, number);
        lose(&mut ledger, 1001 + 2 * number, number);
    }
    assert!(ledger.covers(&Set::of(request(250))));
    let notices = ledger.notices(Point::from_millis(1000));
    assert_eq!(
        notices.iter().filter(|notice| notice.is_watch()).count(),
        64
    );
    for target in 2001..=2003 {
        lose(&mut ledger, target, 249);
    }
    assert!(ledger.covers(&Set::of(request(249))));
}

/// Guards against a quarantined request whose failed trial doesn't lengthen the time until the next one, and against trials
/// of requests that are only watched.
#[test]
fn begin_trial_of_request() {
    let mut ledger = Ledger::default();
    let at = |seconds: u64| Point::from_millis(1000 + seconds * 1000);
    lose(&mut ledger, 1, 7);
    lose(&mut ledger, 2, 7);
    assert_eq!(ledger.begin_trial(at(20)), None);
    lose(&mut ledger, 3, 7);
    assert_eq!(ledger.begin_trial(at(9)), None);
    assert_eq!(ledger.begin_trial(at(10)), Some(Set::of(request(7))));
    let evidence = Evidence::against_request(crash(4), request(7));
    assert!(ledger.record_crash(evidence, at(11)));
    assert_eq!(ledger.begin_trial(at(50)), None);
    assert!(ledger.begin_trial(at(51)).is_some());
    assert!(ledger.record_progress(&Set::of(request(7))));
    assert!(!ledger.covers(&Set::of(request(7))) && !ledger.blames_requests());
}
