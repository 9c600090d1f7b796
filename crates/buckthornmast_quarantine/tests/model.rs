//! Model check of the quarantine: every order of a bounded number of crashes, answers, messages, trials, restarts and
//! losses of connections in a deployment of two entry instances and two instances of the core.
//!
//! The messages of a connection arrive in order, at any later time, or are lost with the connection. The specification
//! calls the guards and the ledgers as the instances do.

// Helpers parse constants.
#![allow(clippy::unwrap_used)]

use std::{
    collections::VecDeque,
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use buckthornmast_quarantine::prelude::*;
use buckthornmast_types::{id, time::Point};
use pathfinding::prelude::{bfs, bfs_reach};

/// Time between two steps of the clock, after which the first trial of a new quarantine is due.
const STEP: Duration = Duration::from_secs(10);

/// Messages on their way beyond which nothing but their arrival happens.
const MAX_IN_FLIGHT: usize = 1;

/// Number of messages after which instances are taken to answer each other forever.
const MAX_MESSAGES: usize = 1_000;

/// Fault planted in the specification, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// An entry instance doesn't report that it refutes a quarantine.
    KeepRefuted,
    /// An entry instance doesn't record the clearing of parts by others.
    IgnoreProgress,
    /// An instance of the core sends no quarantines to an entry instance that connects.
    SkipState,
    /// The leader doesn't learn that a trial failed.
    ForgetTrial,
    /// The entry instances report their quarantines only as they connect.
    SkipReports,
}

/// Events that may still happen in a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Scope {
    /// Parts of the prompts, of which those from 7 on are deadly.
    prompts: &'static [&'static [u64]],
    /// Whether the deadly prompts are quarantined everywhere at the start.
    is_known: bool,
    /// Requests with a deadly part that reach a target.
    deadly: u8,
    /// Targets that end by themselves as they begin to answer a sound request.
    others: u8,
    answers: u8,
    steps: u8,
    entry_restarts: u8,
    core_restarts: u8,
    disconnects: u8,
    leader_changes: u8,
}

const NOTHING: Scope = Scope {
    prompts: &[&[1], &[1, 7]],
    is_known: false,
    deadly: 0,
    others: 0,
    answers: 0,
    steps: 0,
    entry_restarts: 0,
    core_restarts: 0,
    disconnects: 0,
    leader_changes: 0,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Upstream {
    Crash(Evidence),
    Progress(Set),
    Quarantines(Vec<Notice>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Downstream {
    Quarantines(Vec<Notice>),
    Progress(Set),
    Trial(Set),
    /// Routes, without which an entry instance sends no requests.
    Routes,
}

/// Connection of an entry instance to an instance of the core.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Link {
    is_down: bool,
    up: VecDeque<Upstream>,
    down: VecDeque<Downstream>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Entry {
    guard: Guard,
    has_routes: bool,
    /// Sound parts on which targets have answered, as this instance knows.
    proven: Set,
    links: [Link; 2],
}

impl Hash for Entry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.guard.notices(Point::ZERO).hash(state);
        self.has_routes.hash(state);
        self.proven.hash(state);
        self.links.hash(state);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    left: Scope,
    now: Point,
    entries: [Entry; 2],
    cores: [Ledger; 2],
    leader: usize,
    crashes: u64,
    /// Whether all instances have known quarantines of all deadly prompts at some time.
    is_known: bool,
    /// Requests that ended their targets since then and were no trials.
    late: u8,
    failed_trials: u8,
    has_refused_proven: bool,
}

/// Event, with the index of an entry instance or an instance of the core, and of an instance of the core or a prompt.
#[derive(Debug, Clone, Copy)]
struct Event(&'static str, usize, usize);

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.0, self.1, self.2)
    }
}

/// State with the event before it, which is not part of its identity.
#[derive(Debug, Clone)]
struct Node(Rc<State>, Event);

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

fn set(ids: &[u64]) -> Set {
    let service: id::Service = "engines".parse().unwrap();
    ids.iter().map(|id| Part::new(&service, *id)).collect()
}

fn is_deadly(prompt: &[u64]) -> bool {
    prompt.iter().any(|id| *id >= 7)
}

fn union(one: &Set, other: &Set) -> Set {
    one.iter().chain(other.iter()).collect()
}

impl State {
    fn start(scope: Scope) -> Self {
        let mut state = Self {
            left: scope,
            now: Point::ZERO + STEP,
            entries: Default::default(),
            cores: Default::default(),
            leader: 0,
            crashes: 0,
            is_known: false,
            late: 0,
            failed_trials: 0,
            has_refused_proven: false,
        };
        for entry in &mut state.entries {
            entry.has_routes = true;
        }
        let mut deadly = scope.prompts.iter().filter(|prompt| is_deadly(prompt));
        while let Some(prompt) = deadly.next().filter(|_| scope.is_known) {
            state.crash(0, &set(prompt));
            state.crash(0, &set(prompt));
            state.deliver_all(Mutation::None);
        }
        state
    }

    fn send_cores(&mut self, entry: usize, message: &Upstream) {
        let links = self.entries[entry].links.iter_mut();
        for link in links.filter(|link| !link.is_down) {
            link.up.push_back(message.clone());
        }
    }

    /// Sends a message of an instance of the core to the entry instances.
    fn publish(&mut self, core: usize, message: &Downstream) {
        for entry in &mut self.entries {
            if !entry.links[core].is_down {
                entry.links[core].down.push_back(message.clone());
            }
        }
    }

    fn publish_quarantines(&mut self, core: usize) {
        let notices = self.cores[core].notices(self.now);
        self.publish(core, &Downstream::Quarantines(notices));
    }

    /// Connects an entry instance to an instance of the core.
    fn connect(&mut self, entry: usize, core: usize, mutation: Mutation) {
        let notices = self.cores[core].notices(self.now);
        let entry = &mut self.entries[entry];
        let known = entry.guard.notices(self.now);
        let mut link = Link::default();
        if !known.is_empty() {
            link.up.push_back(Upstream::Quarantines(known));
        }
        if !notices.is_empty() && mutation != Mutation::SkipState {
            link.down.push_back(Downstream::Quarantines(notices));
        }
        link.down.push_back(Downstream::Routes);
        entry.links[core] = link;
    }

    fn record_progress(&mut self, core: usize, parts: &Set) {
        if self.cores[core].record_progress(parts) {
            self.publish(core, &Downstream::Progress(parts.clone()));
        }
    }

    fn merge(&mut self, core: usize, notices: &[Notice]) {
        if self.cores[core].merge(notices, self.now) {
            self.publish_quarantines(core);
        }
    }

    fn deliver_up(&mut self, entry: usize, core: usize, mutation: Mutation) -> bool {
        match self.entries[entry].links[core].up.pop_front() {
            None => return false,
            Some(Upstream::Crash(evidence)) => {
                let is_trial = self.cores[core].find(&evidence.parts, self.now).is_some();
                if (!is_trial || mutation != Mutation::ForgetTrial)
                    && self.cores[core].record_crash(evidence, self.now)
                {
                    self.publish_quarantines(core);
                }
            }
            Some(Upstream::Progress(parts)) => self.record_progress(core, &parts),
            Some(Upstream::Quarantines(notices)) => self.merge(core, &notices),
        }
        self.note_known();
        true
    }

    fn deliver_down(&mut self, index: usize, core: usize, mutation: Mutation) -> bool {
        let entry = &mut self.entries[index];
        match entry.links[core].down.pop_front() {
            None => return false,
            Some(Downstream::Quarantines(notices)) => {
                let refuted = entry.guard.merge(&notices, self.now);
                if !refuted.is_empty() && mutation != Mutation::KeepRefuted {
                    self.send_cores(index, &Upstream::Progress(refuted));
                }
            }
            Some(Downstream::Progress(_)) if mutation == Mutation::IgnoreProgress => {}
            Some(Downstream::Progress(parts)) => {
                entry.guard.merge_progress(&parts);
                entry.proven = union(&entry.proven, &parts);
            }
            Some(Downstream::Trial(parts)) => entry.guard.permit_trial(parts, self.now),
            Some(Downstream::Routes) => entry.has_routes = true,
        }
        self.note_known();
        true
    }

    fn note_known(&mut self) {
        let mut deadly = self.left.prompts.iter().filter(|prompt| is_deadly(prompt));
        self.is_known |= deadly.all(|prompt| {
            let parts = set(prompt);
            let mut entries = self.entries.iter();
            let mut cores = self.cores.iter();
            entries.all(|entry| entry.guard.is_quarantined(&parts))
                && cores.all(|core| core.find(&parts, self.now).is_some())
        });
    }

    /// Lets a target end as it begins to answer a request.
    fn crash(&mut self, index: usize, parts: &Set) {
        self.crashes += 1;
        let crash = Crash {
            target: format!("t{}", self.crashes).parse().unwrap(),
            incarnation: id::Incarnation(1),
        };
        let guard = &mut self.entries[index].guard;
        if let Some(evidence) = guard.suspect(crash, parts, self.now) {
            guard.record_crash(evidence.clone(), self.now);
            self.send_cores(index, &Upstream::Crash(evidence));
        }
        self.note_known();
    }

    /// Lets a request with a prompt arrive, and returns the state afterwards if it is sent to a target. A sound request is
    /// answered, or its target ends by itself.
    fn request(&self, index: usize, prompt: &[u64], is_answered: bool) -> Option<Self> {
        let mut next = self.clone();
        let parts = set(prompt);
        let entry = &mut next.entries[index];
        let verdict = entry.guard.check(&parts, self.now);
        if matches!(verdict, Verdict::Refuse { .. }) {
            next.has_refused_proven = parts.is_subset(&entry.proven);
            return next.has_refused_proven.then_some(next);
        }
        if is_answered {
            next.left.answers = next.left.answers.checked_sub(1)?;
            let is_blamed = entry.guard.record_progress(&parts, self.now);
            entry.proven = union(&entry.proven, &parts);
            if is_blamed {
                next.send_cores(index, &Upstream::Progress(parts));
            }
            return Some(next);
        }
        if is_deadly(prompt) {
            next.left.deadly = next.left.deadly.checked_sub(1)?;
            let is_trial = verdict == Verdict::Trial;
            next.failed_trials += u8::from(is_trial);
            next.late += u8::from(self.is_known && !is_trial);
        } else {
            next.left.others = next.left.others.checked_sub(1)?;
        }
        next.crash(index, &parts);
        Some(next)
    }

    fn successors(&self, mutation: Mutation) -> Vec<(Event, Self)> {
        let mut all = Vec::new();
        for index in 0..2 {
            let entry = &self.entries[index];
            for core in 0..2 {
                let link = &entry.links[core];
                if let Some(message) = link.up.front() {
                    let mut next = self.clone();
                    next.deliver_up(index, core, mutation);
                    let kind = match message {
                        Upstream::Crash(_) => "crash to core",
                        Upstream::Progress(_) => "progress to core",
                        Upstream::Quarantines(_) => "quarantines to core",
                    };
                    all.push((Event(kind, index, core), next));
                }
                if let Some(message) = link.down.front() {
                    let mut next = self.clone();
                    next.deliver_down(index, core, mutation);
                    let kind = match message {
                        Downstream::Quarantines(_) => "quarantines to entry",
                        Downstream::Progress(_) => "progress to entry",
                        Downstream::Trial(_) => "trial to entry",
                        Downstream::Routes => "routes to entry",
                    };
                    all.push((Event(kind, index, core), next));
                }
            }
        }
        if self.in_flight() <= MAX_IN_FLIGHT {
            self.requests(&mut all);
            self.faults(mutation, &mut all);
            self.steps(mutation, &mut all);
        }
        all
    }

    fn requests(&self, all: &mut Vec<(Event, Self)>) {
        for index in (0..2).filter(|index| self.entries[*index].has_routes) {
            for (number, prompt) in self.left.prompts.iter().enumerate() {
                let ended = self.request(index, prompt, false);
                all.extend(ended.map(|next| (Event("target ends", index, number), next)));
                if !is_deadly(prompt) {
                    let answered = self.request(index, prompt, true);
                    all.extend(answered.map(|next| (Event("answer", index, number), next)));
                }
            }
        }
    }

    fn faults(&self, mutation: Mutation, all: &mut Vec<(Event, Self)>) {
        for index in 0..2 {
            if self.left.entry_restarts > 0 {
                let mut next = self.clone();
                next.left.entry_restarts -= 1;
                next.entries[index] = Entry::default();
                for core in 0..2 {
                    next.disconnect(index, core);
                }
                all.push((Event("entry restarts", index, 0), next));
            }
            if self.left.core_restarts > 0 {
                let mut next = self.clone();
                next.left.core_restarts -= 1;
                next.cores[index] = Ledger::default();
                for entry in 0..2 {
                    next.disconnect(entry, index);
                }
                all.push((Event("core restarts", index, 0), next));
            }
            for core in 0..2 {
                let is_down = self.entries[index].links[core].is_down;
                let mut next = self.clone();
                // Connecting takes longer than messages on the way.
                if is_down && self.in_flight() == 0 {
                    next.connect(index, core, mutation);
                    all.push((Event("connect", index, core), next));
                } else if !is_down && self.left.disconnects > 0 {
                    next.left.disconnects -= 1;
                    next.disconnect(index, core);
                    all.push((Event("disconnect", index, core), next));
                }
            }
        }
    }

    fn disconnect(&mut self, entry: usize, core: usize) {
        self.entries[entry].links[core] = Link {
            is_down: true,
            ..Link::default()
        };
    }

    fn in_flight(&self) -> usize {
        let links = self.entries.iter().flat_map(|entry| &entry.links);
        links.map(|link| link.up.len() + link.down.len()).sum()
    }

    /// Lets each entry instance report its quarantines, which it does at regular intervals.
    fn report(&mut self) {
        for entry in 0..2 {
            let notices = self.entries[entry].guard.notices(self.now);
            if !notices.is_empty() {
                self.send_cores(entry, &Upstream::Quarantines(notices));
            }
        }
    }

    /// Moves the clock once all messages have arrived, and permits trials.
    fn steps(&self, mutation: Mutation, all: &mut Vec<(Event, Self)>) {
        if self.left.steps > 0 && self.in_flight() == 0 {
            let mut next = self.clone();
            next.left.steps -= 1;
            next.now = next.now + STEP;
            if mutation != Mutation::SkipReports {
                next.report();
            }
            all.push((Event("time passes", 0, 0), next));
        }
        if self.left.leader_changes > 0 {
            let mut next = self.clone();
            next.left.leader_changes -= 1;
            next.leader = 1 - next.leader;
            all.push((Event("leader changes", next.leader, 0), next));
        }
        for index in 0..2 {
            let mut next = self.clone();
            let link = &mut next.entries[index].links[self.leader];
            if link.is_down {
                continue;
            }
            if let Some(parts) = next.cores[self.leader].begin_trial(self.now) {
                link.down.push_back(Downstream::Trial(parts));
                all.push((Event("permit trial", index, self.leader), next));
            }
        }
    }

    /// Connects all instances and delivers all messages. Returns whether there was an end to them.
    fn settle(&mut self, mutation: Mutation) -> bool {
        for entry in 0..2 {
            for core in 0..2 {
                if self.entries[entry].links[core].is_down {
                    self.connect(entry, core, mutation);
                }
            }
        }
        let is_settled = self.deliver_all(mutation);
        if mutation != Mutation::SkipReports {
            self.report();
        }
        is_settled && self.deliver_all(mutation)
    }

    fn deliver_all(&mut self, mutation: Mutation) -> bool {
        let mut delivered = 0;
        while delivered < MAX_MESSAGES {
            let before = delivered;
            for (index, core) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                delivered += usize::from(self.deliver_up(index, core, mutation));
                delivered += usize::from(self.deliver_down(index, core, mutation));
            }
            if delivered == before {
                return true;
            }
        }
        false
    }

    /// Returns the first invariant that doesn't hold.
    fn violation(&self, scope: &Scope, mutation: Mutation) -> Option<&'static str> {
        if self.has_refused_proven {
            return Some("a sound request is refused where targets have answered on its parts");
        }
        // An instance of the core that restarts at the same time may be the first that an entry instance gets routes from.
        if self.late > scope.core_restarts.min(scope.entry_restarts) {
            return Some("a request ends a target though its parts are quarantined everywhere");
        }
        let excess = scope.leader_changes + scope.core_restarts + scope.disconnects;
        if self.failed_trials > 1 + excess {
            return Some("a failed trial is repeated");
        }
        if self.in_flight() > 0 {
            return None;
        }
        let mut settled = self.clone();
        if !settled.settle(mutation) {
            return Some("instances answer each other forever");
        }
        let [one, other] = &settled.entries;
        let proven = union(&one.proven, &other.proven);
        let of_entries = [one, other].map(|entry| entry.guard.notices(self.now));
        let of_cores = settled.cores.each_ref().map(|core| core.notices(self.now));
        for notices in of_entries.iter().chain(&of_cores) {
            if notices
                .iter()
                .any(|notice| !notice.parts.intersection(&proven).is_empty())
            {
                return Some("a refuted quarantine remains");
            }
            for (index, notice) in notices.iter().enumerate() {
                let mut earlier = notices.iter().take(index);
                if earlier.any(|earlier| earlier.parts == notice.parts) {
                    return Some("the same parts are quarantined twice");
                }
            }
        }
        for prompt in scope.prompts {
            let parts = set(prompt);
            let mut entries = settled.entries.iter();
            let mut cores = settled.cores.iter();
            let is_refused = one.guard.is_quarantined(&parts);
            if entries.any(|entry| entry.guard.is_quarantined(&parts) != is_refused)
                || cores.any(|core| core.find(&parts, self.now).is_some() != is_refused)
            {
                return Some("instances refuse different requests");
            }
        }
        None
    }
}

/// Searches all states, and returns their number.
fn search(scope: Scope, mutation: Mutation) -> Result<usize, String> {
    let start = Node(Rc::new(State::start(scope)), Event("start", 0, 0));
    let successors = |node: &Node| {
        let all = node.0.successors(mutation).into_iter();
        let nodes = all.map(|(event, state)| Node(Rc::new(state), event));
        nodes.collect::<Vec<_>>()
    };
    let violation = |node: &Node| node.0.violation(&scope, mutation);
    let mut states = 0;
    let mut is_sound = true;
    for node in bfs_reach(start.clone(), successors) {
        states += 1;
        is_sound = violation(&node).is_none();
        if !is_sound {
            break;
        }
    }
    if is_sound {
        return Ok(states);
    }
    let path = bfs(&start, successors, |node| violation(node).is_some()).unwrap();
    let reason = path.last().and_then(violation).unwrap();
    let events = path.iter().map(|node| format!("    {}\n", node.1));
    Err(format!("{reason}:\n{}", events.collect::<String>()))
}

/// Searches a scope, in which no invariant may be violated.
#[track_caller]
fn check(scope: Scope) {
    let states = search(scope, Mutation::None).unwrap_or_else(|path| panic!("{path}"));
    println!("{states} states");
}

const CRASHES: Scope = Scope {
    deadly: 2,
    answers: 1,
    ..NOTHING
};
const TWO_DEADLY: Scope = Scope {
    prompts: &[&[1, 7], &[1, 8]],
    deadly: 3,
    ..NOTHING
};
const TRIALS: Scope = Scope {
    prompts: &[&[7]],
    is_known: true,
    deadly: 2,
    steps: 3,
    ..NOTHING
};
const OTHER_CRASHES: Scope = Scope {
    prompts: &[&[1], &[1, 2]],
    others: 2,
    answers: 1,
    ..NOTHING
};
const RESTARTS: Scope = Scope {
    prompts: &[&[7]],
    is_known: true,
    deadly: 1,
    entry_restarts: 1,
    core_restarts: 1,
    ..NOTHING
};
const CORE_RESTARTS: Scope = Scope {
    prompts: &[&[7]],
    deadly: 2,
    core_restarts: 1,
    ..NOTHING
};
const DISCONNECTS: Scope = Scope {
    prompts: &[&[1]],
    others: 2,
    answers: 1,
    disconnects: 1,
    ..NOTHING
};

#[test]
fn search_crashes() {
    check(CRASHES);
}

#[test]
fn search_two_deadly() {
    check(TWO_DEADLY);
}

#[test]
fn search_trials() {
    check(TRIALS);
}

#[test]
fn search_other_crashes() {
    check(OTHER_CRASHES);
}

#[test]
fn search_restarts() {
    check(RESTARTS);
}

#[test]
fn search_disconnects() {
    check(DISCONNECTS);
}

#[test]
fn search_core_restarts() {
    check(CORE_RESTARTS);
}

/// Guards against a search that finds no faults.
#[test]
fn search_planted_faults() {
    let planted = [
        (Mutation::KeepRefuted, OTHER_CRASHES),
        (Mutation::IgnoreProgress, OTHER_CRASHES),
        (Mutation::SkipState, RESTARTS),
        (Mutation::ForgetTrial, TRIALS),
        (Mutation::SkipReports, CORE_RESTARTS),
    ];
    for (mutation, scope) in planted {
        let path = search(scope, mutation).expect_err(&format!("{mutation:?} is not found"));
        println!("{mutation:?}: {path}");
    }
}
