//! Cache events of model engines: intake, relay within the failure domain, and their way to the router.
//!
//! An engine posts its events to two instances. The first passes them on to the other instances of the
//! failure domain, the second only if it has not heard them from the first in time. The relay has a
//! budget of bytes; what does not fit waits, and the oldest is dropped when too much waits. The
//! receivers notice that by the sequence numbers, as they do with a lost event.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_target::cache;
use buckthornmast_types::{
    cache::{Batch, Change, Event},
    id,
    time::{Clock, Point, System},
};
use flume::{Receiver, Sender};
use serde::{Deserialize, Serialize};

use crate::{message::millis, targets::Origin};

/// Bytes a second that the relay may send to all other instances together. Reports of 24 targets take
/// 4.2 of the 20 KB/s that control may cost an instance; events are worth less than reports.
const BYTES_PER_SECOND: usize = 4000;

/// Bytes that may be sent to an instance at once when it has waited long enough, so that an event goes
/// out now and then however many instances there are.
const MIN_BURST: usize = 256;

/// Bytes of a notice around its events.
const NOTICE_BYTES: usize = 32;

/// Events that wait to be relayed. A later one is dropped with the oldest, since old events are worth
/// the least.
const MAX_WAITING: usize = 512;

/// Batches that wait to be taken by the router.
const MAX_BATCHES: usize = 1024;

/// Time that the second instance with an event gives the first one to pass it on.
const BACKUP_DELAY: Duration = Duration::from_secs(1);

/// Events with consecutive numbers of one engine, as instances pass them on.
///
/// It is a short form, since each event goes to every instance of the failure domain: engine,
/// incarnation, number of the first event, and for each event `+` or `-`, prefix, `:` and its age in
/// milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passed(id::Target, id::Incarnation, u64, String);

impl Passed {
    fn new(target: id::Target, incarnation: id::Incarnation, event: &Event) -> Self {
        let mut passed = Self(target, incarnation, event.sequence, String::new());
        passed.push(event);
        passed
    }

    fn push(&mut self, event: &Event) {
        if !self.3.is_empty() {
            self.3.push(' ');
        }
        let (sign, prefix) = match event.change {
            Change::Stored(prefix) => ('+', prefix),
            Change::Evicted(prefix) => ('-', prefix),
        };
        self.3.push_str(&format!("{sign}{prefix}:{}", event.age_ms));
    }

    fn read_event(sequence: u64, text: &str) -> Option<Event> {
        let (change, age) = text.split_once(':')?;
        let change = match change.strip_prefix('+') {
            Some(prefix) => Change::Stored(prefix.parse().ok()?),
            None => Change::Evicted(change.strip_prefix('-')?.parse().ok()?),
        };
        Some(Event {
            sequence,
            age_ms: age.parse().ok()?,
            change,
        })
    }

    /// Returns the events, or nothing if one of them is malformed.
    pub fn read(&self) -> Option<Batch> {
        if self.2 > cache::MAX_SEQUENCE {
            return None;
        }
        let numbered = (self.2..).zip(self.3.split(' '));
        let events: Option<_> = numbered
            .map(|(sequence, text)| Self::read_event(sequence, text))
            .collect();
        Some(Batch {
            target: self.0.clone(),
            incarnation: self.1,
            events: events?,
        })
    }
}

#[derive(Debug)]
struct Waiting {
    target: id::Target,
    incarnation: id::Incarnation,
    event: Event,
    arrived: Point,
    due: Point,
}

/// Events that wait to be passed on.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: VecDeque<Waiting>,
    /// Bytes that may be sent to each instance, and when they were counted.
    allowance: usize,
    counted: Point,
}

impl Outbox {
    /// Adds events that arrived now, to be passed on from a point in time.
    pub fn put(&mut self, batch: &Batch, now: Point, due: Point) {
        for event in &batch.events {
            self.waiting.push_back(Waiting {
                target: batch.target.clone(),
                incarnation: batch.incarnation,
                event: *event,
                arrived: now,
                due,
            });
        }
        let excess = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess);
    }

    /// Notes that another instance passed on events.
    pub fn heard(&mut self, batch: &Batch) {
        let is_same = |waiting: &Waiting| {
            waiting.target == batch.target && waiting.incarnation == batch.incarnation
        };
        let is_in = |sequence| batch.events.iter().any(|own| own.sequence == sequence);
        self.waiting
            .retain(|waiting| !(is_same(waiting) && is_in(waiting.event.sequence)));
    }

    /// Takes what is due and fits into the budget for this number of instances.
    pub fn take(&mut self, others: usize, now: Point) -> Vec<Passed> {
        let burst = BYTES_PER_SECOND / others.max(1);
        let elapsed = usize::try_from(now.since(self.counted).as_millis()).unwrap_or(usize::MAX);
        let earned = elapsed.saturating_mul(burst) / 1000;
        self.allowance = self
            .allowance
            .saturating_add(earned)
            .min(burst.max(MIN_BURST));
        self.counted = now;
        let mut left = self.allowance.saturating_sub(NOTICE_BYTES);
        let mut runs: BTreeMap<id::Target, Vec<Passed>> = BTreeMap::new();
        let mut lasts: BTreeMap<id::Target, (id::Incarnation, u64)> = BTreeMap::new();
        let mut kept = VecDeque::new();
        while let Some(waiting) = self.waiting.pop_front() {
            if waiting.due > now {
                kept.push_back(waiting);
                continue;
            }
            let mut event = waiting.event;
            let waited = millis(now.since(waiting.arrived));
            event.age_ms = event.age_ms.saturating_add(waited);
            let mark = (waiting.incarnation, event.sequence);
            let run = Passed::new(waiting.target.clone(), waiting.incarnation, &event);
            let last = lasts.get(&waiting.target);
            let goes_on = last.is_some_and(|last| (last.0, last.1 + 1) == mark);
            let bytes = if goes_on {
                run.3.len() + 1
            } else {
                // Serialising a run into memory does not fail.
                serde_json::to_string(&run).unwrap_or_default().len() + 1
            };
            if bytes > left {
                // What follows must wait as well, since an event out of order counts as a gap.
                kept.push_back(waiting);
                break;
            }
            left -= bytes;
            lasts.insert(waiting.target, mark);
            let own = runs.entry(run.0.clone()).or_default();
            match own.last_mut() {
                Some(open) if goes_on => open.push(&event),
                _ => own.push(run),
            }
        }
        kept.append(&mut self.waiting);
        self.waiting = kept;
        if !runs.is_empty() {
            self.allowance = left;
        }
        runs.into_values().flatten().collect()
    }
}

/// Events of one engine that arrived together.
#[derive(Debug, Clone)]
pub struct Arrived {
    /// Events.
    pub batch: Arc<Batch>,
    /// When they arrived.
    pub at: Point,
}

#[derive(Default)]
struct State {
    listeners: Vec<Sender<Arrived>>,
    outbox: Outbox,
}

/// Intake of cache events.
#[derive(Clone)]
pub struct Feed {
    state: Arc<Mutex<State>>,
    clock: System,
}

impl Feed {
    /// Starts without listeners.
    pub fn new(clock: System) -> Self {
        Self {
            state: Arc::default(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a listener. One that does not keep up misses events, and sees so by their numbers.
    pub fn listen(&self) -> Receiver<Arrived> {
        let (listener, arrived) = flume::bounded(MAX_BATCHES);
        self.lock().listeners.push(listener);
        arrived
    }

    /// Ends all listeners.
    pub fn end_listeners(&self) {
        self.lock().listeners.clear();
    }

    /// Takes events.
    pub fn accept(&self, batch: Batch, origin: Origin) {
        if batch.events.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        match origin {
            Origin::Target => state.outbox.put(&batch, now, now),
            Origin::Backup => state.outbox.put(&batch, now, now + BACKUP_DELAY),
            Origin::Instance => state.outbox.heard(&batch),
        }
        let batch = Arc::new(batch);
        for listener in &state.listeners {
            let batch = Arc::clone(&batch);
            if listener.try_send(Arrived { batch, at: now }).is_err() {
                log::debug!(step = "cache-events"; "the router is behind, events dropped");
            }
        }
    }

    /// Takes what another instance passed on.
    pub fn accept_passed(&self, from: &id::Instance, passed: &[Passed]) {
        for passed in passed {
            match passed.read() {
                Some(batch) => self.accept(batch, Origin::Instance),
                None => {
                    log::warn!(step = "cache-events", peer = from.as_str(); "malformed events dropped");
                }
            }
        }
    }

    /// Takes what may be passed on to this number of instances.
    pub fn take_relay(&self, others: usize) -> Vec<Passed> {
        let now = self.clock.now();
        self.lock().outbox.take(others, now)
    }

    /// Answers a publication.
    pub fn serve(&self, exchange: &mut Exchange, origin: Origin) -> Result<Response, Problem> {
        let text = exchange
            .text(cache::MAX_PUBLICATION_BYTES)
            .map_err(Problem::from)?;
        let refused = |error: cache::EventError| {
            Problem::new(400, "bad cache events", "parse").detail(error.to_string())
        };
        let (batch, error) = cache::read(&text).map_err(refused)?;
        // Events that follow the protocol are taken, whatever is wrong with the others.
        self.accept(batch, origin);
        match error {
            Some(error) => Err(refused(error)),
            None => Ok(Response::json(200, "{}")),
        }
    }
}
