//! Turns of requests at targets.
//!
//! The load that is answered here: many long prompts at once. While a target reads a prompt, the answers of all its
//! other requests pause, so a few prompts that arrive together make every answer there late although the target could
//! have read them one after the other in good time. Instances that don't know of each other's requests can't avoid it.
//! So one of them gives turns: each target gets prompts at a rate that leaves it time for its running answers, in the
//! order in which callers need their first event. Whoever can't be on time any more waits behind all that can, in
//! a bounded queue; beyond it requests are refused at once, with the wait that is expected.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    demand::{Demand, Item},
    ledger::Ledger,
};

/// Share of a target's time in which it reads prompts; the rest is for the answers of its running requests.
const READING: f64 = 0.55;

/// The same while prompts wait: some answers are late then, but fewer callers than would be refused.
const PRESSED_READING: f64 = 0.75;

/// Reading time of the prompts that wait for each target from which it is pressed.
const PRESSED: Duration = Duration::from_millis(60);

/// Time that may be spent on reading at once. Answers pause for this long and are still on time.
const BURST: Duration = Duration::from_millis(40);

/// Share of a target's slots that are filled, since the number of running requests is estimated.
const FILLED: f64 = 0.9;

/// Share of its patience for which a caller may be expected to wait if its answer will be late.
const LATE_WAIT: f64 = 0.5;

/// Time from a turn to the first event, beyond the time that its prompt takes to be read: some steps of the target.
const FIRST_EVENT: Duration = Duration::from_millis(50);

/// Time over which it is averaged how busy a target is.
const BUSY_SPAN: Duration = Duration::from_millis(1000);

/// Prompt tokens that are read in the time between two events of an answer. The users' sheets give 38.4 tokens a
/// millisecond, and events of 6 tokens that take 5.23 ms each.
const READ_PER_EVENT: f64 = 1200.0;

/// Expected waits and running requests up to which targets count as equal, so that prompts with a common start meet.
const EQUAL_WAIT: Duration = Duration::from_millis(15);
const EQUAL_RUNNING: f64 = 3.0;

/// Request that asks for its turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Model or adapter.
    pub item: Item,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Hash of the start of the prompt, if requests that share it should meet.
    pub prefix: Option<u64>,
    /// Time left until the first event is late.
    pub objective: Duration,
    /// Time left until the caller leaves.
    pub patience: Duration,
    /// Targets that have had it, or fail.
    pub avoid: SmallVec<[id::Target; 2]>,
}

/// Answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// The request goes to this target now.
    Go(id::Target),
    /// Its turn comes after about this time.
    Wait(Duration),
    /// It would wait for too long.
    Refuse(Duration),
    /// No target has what it needs.
    Unknown,
}

/// Number of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    // When the prompts given so far are read.
    read: Point,
    // Requests that are expected to run.
    running: f64,
    // Seconds for which one of them runs.
    time: f64,
    // Share of its reading time that was given in the last second.
    busy: f64,
    at: Point,
}

impl Lane {
    fn running(&self, now: Point) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.running * (-passed / self.time.max(0.01)).exp()
    }

    fn busy(&self, now: Point) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.busy * (-passed / BUSY_SPAN.as_secs_f64()).exp()
    }

    fn give(&mut self, cost: Duration, time: f64, reading: f64, now: Point) {
        self.running = self.running(now) + 1.0;
        let given = cost.as_secs_f64() / PRESSED_READING / BUSY_SPAN.as_secs_f64();
        self.busy = self.busy(now) + given;
        self.at = now;
        // Recent requests count more.
        self.time = if self.time > 0.0 {
            self.time * 0.9 + time * 0.1
        } else {
            time
        };
        self.read = self.read.max(now) + cost.div_f64(reading);
    }
}

struct Waiting {
    ticket: Ticket,
    ask: Ask,
    // Time in which its prompt is read.
    cost: Duration,
    // Seconds for which it runs.
    time: f64,
    // When its turn has to come for its first event to be on time.
    due: Point,
    until: Point,
    // Whether it was late already when it joined.
    is_late: bool,
}

impl Waiting {
    /// Orders those that can be on time by need, and the others behind them.
    fn order(&self, now: Point) -> (bool, Point) {
        (self.is_late || self.due < now, self.due)
    }
}

/// Turns at all targets.
#[derive(Default)]
pub struct Turns {
    lanes: HashMap<id::Target, Lane>,
    waiting: Vec<Waiting>,
    next: u64,
}

/// Target that has what a request needs, as it is now.
struct Found {
    target: id::Target,
    wait: Duration,
    running: f64,
    busy: f64,
    slots: f64,
}

impl Turns {
    /// Forgets everything.
    pub fn clear(&mut self) {
        self.lanes.clear();
        self.waiting.clear();
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Answers an ask; one that has to wait is answered again by [`Self::poll`] under its ticket.
    pub fn ask(
        &mut self,
        ask: Ask,
        ledger: &Ledger,
        demand: &Demand,
        now: Point,
    ) -> (Ticket, Turn) {
        let ticket = Ticket(self.next);
        self.next += 1;
        let found = self.find(&ask, ledger, now);
        if found.is_empty() {
            return (ticket, Turn::Unknown);
        }
        let pace = demand.pace(&ask.item);
        let cost = pace.event.mul_f64(f64::from(ask.prompt) / READ_PER_EVENT);
        let mut waiting = Waiting {
            ticket,
            cost,
            time: pace.slot.as_secs_f64(),
            due: now + ask.objective.saturating_sub(cost + FIRST_EVENT),
            until: now + ask.patience,
            is_late: false,
            ask,
        };
        let competing = self.competing(&waiting.ask.item);
        if competing.is_empty()
            && let Some(target) = self.open(&found, &waiting.ask)
        {
            self.give(&target, &waiting, READING, now);
            return (ticket, Turn::Go(target));
        }
        let due = waiting.due;
        let first = |other: &&&Waiting| !other.order(now).0 && other.due <= due;
        let on_time = competing.iter().filter(first);
        let mut wait = expected(&found, on_time, &waiting);
        if now + wait > waiting.due {
            // Those who can be on time go first, also those who come later, so only spare time counts.
            let most = waiting.ask.patience.mul_f64(LATE_WAIT);
            let spare = found.iter().map(|found| 1.0 - found.busy);
            let spare = spare.fold(0.0, f64::max);
            waiting.is_late = true;
            waiting.until = now + most;
            wait = expected(&found, competing.iter(), &waiting);
            if wait > most.mul_f64(spare) {
                return (ticket, Turn::Refuse(wait));
            }
        }
        self.waiting.push(waiting);
        (ticket, Turn::Wait(wait))
    }

    /// Forgets a request that does not wait any more.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the requests whose turn it is, and those that have waited in vain.
    pub fn poll(&mut self, ledger: &Ledger, now: Point) -> Vec<(Ticket, Turn)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| waiting.order(now));
        let mut ahead: HashMap<(id::Service, id::Model), Duration> = HashMap::new();
        for one in &waiting {
            let of_model = (one.ask.item.service.clone(), one.ask.item.model.clone());
            *ahead.entry(of_model).or_default() += one.cost;
        }
        let mut turns = Vec::new();
        for one in waiting {
            if now >= one.until {
                turns.push((one.ticket, Turn::Refuse(one.ask.objective)));
                continue;
            }
            let found = self.find(&one.ask, ledger, now);
            if found.is_empty() {
                turns.push((one.ticket, Turn::Unknown));
            } else if let Some(target) = self.open(&found, &one.ask) {
                let of_model = (one.ask.item.service.clone(), one.ask.item.model.clone());
                let ahead = ahead.get(&of_model).copied().unwrap_or_default();
                let is_pressed = ahead > PRESSED * u32::try_from(found.len()).unwrap_or(1);
                let reading = if is_pressed { PRESSED_READING } else { READING };
                self.give(&target, &one, reading, now);
                turns.push((one.ticket, Turn::Go(target)));
            } else {
                self.waiting.push(one);
            }
        }
        turns
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, ledger: &Ledger) {
        self.lanes
            .retain(|target, _| ledger.shelves.contains_key(target));
    }

    fn competing(&self, item: &Item) -> Vec<&Waiting> {
        let same = |other: &&Waiting| {
            other.ask.item.model == item.model && other.ask.item.service == item.service
        };
        self.waiting.iter().filter(same).collect()
    }

    fn find(&self, ask: &Ask, ledger: &Ledger, now: Point) -> SmallVec<[Found; 8]> {
        let holders = ledger.holders(&ask.item);
        let mut found: SmallVec<[Found; 8]> = SmallVec::new();
        for (target, shelf) in holders {
            if ask.avoid.contains(target) {
                continue;
            }
            let lane = self.lanes.get(target).copied().unwrap_or_default();
            found.push(Found {
                target: target.clone(),
                wait: lane.read.since(now),
                running: lane.running(now),
                busy: lane.busy(now),
                slots: (f64::from(shelf.slots) * FILLED).max(1.0),
            });
        }
        found
    }

    /// Returns the target that can take a prompt now, if there is one.
    fn open(&self, found: &[Found], ask: &Ask) -> Option<id::Target> {
        let open = || {
            found
                .iter()
                .filter(|found| found.wait <= BURST && found.running + 1.0 <= found.slots)
        };
        let best = open().min_by(|one, other| {
            let by_wait = one.wait.cmp(&other.wait);
            by_wait.then(one.running.total_cmp(&other.running))
        })?;
        let least = open()
            .map(|found| found.running)
            .fold(f64::INFINITY, f64::min);
        let equals = open().filter(|found| {
            found.wait <= best.wait + EQUAL_WAIT && found.running <= least + EQUAL_RUNNING
        });
        let chosen = match ask.prefix {
            Some(prefix) => equals
                .max_by_key(|found| xxh3_64_with_seed(found.target.as_str().as_bytes(), prefix)),
            None => equals.min_by(|one, other| one.running.total_cmp(&other.running)),
        };
        Some(chosen.unwrap_or(best).target.clone())
    }

    fn give(&mut self, target: &id::Target, waiting: &Waiting, reading: f64, now: Point) {
        let lane = self.lanes.entry(target.clone()).or_default();
        lane.give(waiting.cost, waiting.time, reading, now);
    }
}

/// Returns the time after which a request is expected to have its turn behind others.
fn expected<'a, 'b: 'a>(
    found: &[Found],
    others: impl Iterator<Item = &'a &'b Waiting>,
    one: &Waiting,
) -> Duration {
    let lanes = found.len().max(1) as f64;
    let (count, ahead) = others.fold((0.0, Duration::ZERO), |(count, ahead), other| {
        (count + 1.0, ahead + other.cost)
    });
    let wait = found.iter().map(|found| found.wait).min();
    let reading = wait.unwrap_or_default() + ahead.div_f64(PRESSED_READING * lanes);
    let slots: f64 = found.iter().map(|found| found.slots).sum();
    let running: f64 = found.iter().map(|found| found.running).sum();
    let over = (running + count + 1.0 - slots).max(0.0);
    let slot = Duration::from_secs_f64((one.time * over / slots).min(3600.0));
    reading.max(slot)
}
