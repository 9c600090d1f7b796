//! Cache events of model engines: intake, relay within the failure domain, and delivery to the router.
//!
//! An engine posts its events to two instances. The first relays them to the other instances of the failure
//! domain; the second does so only if it has not received them from the first in time. The relay has a byte
//! budget. Events beyond it are queued, and the oldest are dropped when the queue is full. Receivers detect
//! dropped events by the sequence numbers, like lost ones.

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

/// Bytes per second that the relay may send to all other instances together. Reports of 24 targets take
/// 4.2 of the 20 KB/s allowed for control traffic per instance; events matter less than reports.
const RELAY_BYTES_PER_SECOND: usize = 4000;

/// Smallest cap on the bytes that accrue for an instance. The cap is otherwise the budget of one second, which is
/// less than one event if there are many instances.
const MIN_ALLOWANCE_CAP_BYTES: usize = 256;

/// Overhead of a notice in bytes.
const NOTICE_OVERHEAD_BYTES: usize = 32;

/// Maximum number of events queued for the relay. Beyond it, the oldest are dropped, since they are the least useful.
const MAX_QUEUED_EVENTS: usize = 512;

/// Maximum number of batches queued for the router. Further ones are not delivered to it, which it detects by the
/// sequence numbers.
const MAX_QUEUED_BATCHES: usize = 1024;

/// Time that the second instance with an event waits for the first one to relay it.
const BACKUP_DELAY: Duration = Duration::from_secs(1);

/// Events of one engine with consecutive sequence numbers, as relayed between instances.
///
/// The format is compact, since each event is sent to every instance of the failure domain: engine, incarnation,
/// sequence number of the first event, and for each event `+` or `-`, prefix, `:` and its age in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed(id::Target, id::Incarnation, u64, String);

impl Relayed {
    fn new(target: id::Target, incarnation: id::Incarnation, event: &Event) -> Self {
        let mut relayed = Self(target, incarnation, event.sequence, String::new());
        relayed.push(event);
        relayed
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

    /// Returns the events, or `None` if one of them is malformed.
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
struct Queued {
    target: id::Target,
    incarnation: id::Incarnation,
    event: Event,
    arrived: Point,
    due: Point,
}

/// Events queued for the relay.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: VecDeque<Queued>,
    /// Bytes that may be sent to each instance, as of `allowance_at`.
    allowance: usize,
    /// Time of the last update of `allowance`.
    allowance_at: Point,
}

impl Outbox {
    /// Queues events that arrived now, to be relayed from the time `due`.
    pub fn put(&mut self, batch: &Batch, now: Point, due: Point) {
        for event in &batch.events {
            self.queue.push_back(Queued {
                target: batch.target.clone(),
                incarnation: batch.incarnation,
                event: *event,
                arrived: now,
                due,
            });
        }
        let excess = self.queue.len().saturating_sub(MAX_QUEUED_EVENTS);
        self.queue.drain(..excess);
    }

    /// Removes events that another instance has relayed.
    pub fn remove_relayed(&mut self, batch: &Batch) {
        let is_same = |queued: &Queued| {
            queued.target == batch.target && queued.incarnation == batch.incarnation
        };
        let is_in = |sequence| batch.events.iter().any(|event| event.sequence == sequence);
        self.queue
            .retain(|queued| !(is_same(queued) && is_in(queued.event.sequence)));
    }

    /// Takes the events that are due and fit into the budget for this number of instances.
    pub fn take_due(&mut self, others: usize, now: Point) -> Vec<Relayed> {
        let bytes_per_second = RELAY_BYTES_PER_SECOND / others.max(1);
        let elapsed =
            usize::try_from(now.since(self.allowance_at).as_millis()).unwrap_or(usize::MAX);
        let accrued = elapsed.saturating_mul(bytes_per_second) / 1000;
        self.allowance = self
            .allowance
            .saturating_add(accrued)
            .min(bytes_per_second.max(MIN_ALLOWANCE_CAP_BYTES));
        self.allowance_at = now;
        let mut available = self.allowance.saturating_sub(NOTICE_OVERHEAD_BYTES);
        let mut runs: BTreeMap<id::Target, Vec<Relayed>> = BTreeMap::new();
        let mut last_positions: BTreeMap<id::Target, (id::Incarnation, u64)> = BTreeMap::new();
        let mut postponed = VecDeque::new();
        while let Some(queued) = self.queue.pop_front() {
            if queued.due > now {
                postponed.push_back(queued);
                continue;
            }
            let mut event = queued.event;
            let waited = millis(now.since(queued.arrived));
            event.age_ms = event.age_ms.saturating_add(waited);
            let position = (queued.incarnation, event.sequence);
            let run = Relayed::new(queued.target.clone(), queued.incarnation, &event);
            let last = last_positions.get(&queued.target);
            let continues = last.is_some_and(|last| (last.0, last.1 + 1) == position);
            let bytes = if continues {
                run.3.len() + 1
            } else {
                // Serialising a run into memory does not fail.
                serde_json::to_string(&run).unwrap_or_default().len() + 1
            };
            if bytes > available {
                // The events that follow must wait as well, since an event out of order counts as a gap.
                postponed.push_back(queued);
                break;
            }
            available -= bytes;
            last_positions.insert(queued.target, position);
            let target_runs = runs.entry(run.0.clone()).or_default();
            match target_runs.last_mut() {
                Some(open) if continues => open.push(&event),
                _ => target_runs.push(run),
            }
        }
        postponed.append(&mut self.queue);
        self.queue = postponed;
        if !runs.is_empty() {
            self.allowance = available;
        }
        runs.into_values().flatten().collect()
    }
}

/// Events of one engine that arrived together.
#[derive(Debug, Clone)]
pub struct Arrived {
    /// Events.
    pub batch: Arc<Batch>,
    /// Arrival time.
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
    /// Returns an intake without listeners.
    pub fn new(clock: System) -> Self {
        Self {
            state: Arc::default(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a listener. A listener that does not keep up misses events, which shows in the sequence numbers.
    pub fn subscribe(&self) -> Receiver<Arrived> {
        let (listener, arrived) = flume::bounded(MAX_QUEUED_BATCHES);
        self.lock().listeners.push(listener);
        arrived
    }

    /// Closes the channels of all listeners.
    pub fn end_subscriptions(&self) {
        self.lock().listeners.clear();
    }

    /// Accepts events: queues them for the relay unless another instance relayed them, and notifies the listeners.
    pub fn accept(&self, batch: Batch, origin: Origin) {
        if batch.events.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        match origin {
            Origin::Target => state.outbox.put(&batch, now, now),
            Origin::Backup => state.outbox.put(&batch, now, now + BACKUP_DELAY),
            Origin::Instance => state.outbox.remove_relayed(&batch),
        }
        let batch = Arc::new(batch);
        for listener in &state.listeners {
            let batch = Arc::clone(&batch);
            if listener.try_send(Arrived { batch, at: now }).is_err() {
                log::debug!(step = "cache-events"; "cache events not delivered to the router: its queue is full");
            }
        }
    }

    /// Accepts events relayed by another instance.
    pub fn accept_relayed(&self, from: &id::Instance, relayed: &[Relayed]) {
        for relayed in relayed {
            match relayed.read() {
                Some(batch) => self.accept(batch, Origin::Instance),
                None => {
                    log::warn!(step = "cache-events", peer = from.as_str(); "cache events relayed by another instance dropped: they are malformed");
                }
            }
        }
    }

    /// Takes the events that may be relayed to this number of instances.
    pub fn take_relay(&self, others: usize) -> Vec<Relayed> {
        let now = self.clock.now();
        self.lock().outbox.take_due(others, now)
    }

    /// Answers a publication of cache events.
    pub fn serve(&self, exchange: &mut Exchange, origin: Origin) -> Result<Response, Problem> {
        let text = exchange
            .take_text(cache::MAX_PUBLICATION_BYTES)
            .map_err(Problem::from)?;
        let refused = |error: cache::EventError| {
            Problem::new(400, "bad cache events", "parse").detail(error.to_string())
        };
        let (batch, error) = cache::read(&text).map_err(refused)?;
        // Valid events are accepted, whatever is wrong with the others.
        self.accept(batch, origin);
        match error {
            Some(error) => Err(refused(error)),
            None => Ok(Response::json(200, "{}")),
        }
    }
}
