//! Admission of requests on the threads that serve them.
//!
//! The gate decides; a thread whose request is queued sleeps until its turn comes, its deadline can't be
//! met any more, or the gate refuses it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_gateway::router::{Ask, Refused};
use buckthornmast_routing::admission::{self, Gate, Next, Priority, Refusal, Verdict};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use flume::Sender;

/// Team under which calls to plain services are counted.
const PLATFORM_TEAM: &str = "platform";

/// Priority from which a request counts as interactive.
const INTERACTIVE: u8 = 7;

/// Priority below which a request counts as batch work.
const STANDARD: u8 = 3;

struct Inner {
    gate: Gate<u64>,
    waiting: HashMap<u64, Sender<bool>>,
    next_key: u64,
}

/// Gate that threads wait at.
#[derive(Clone)]
pub struct Admission {
    inner: Arc<Mutex<Inner>>,
    clock: System,
}

/// Place in progress; it is given up when dropped.
pub struct Permit {
    admission: Admission,
    model: id::Model,
    started: Point,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut inner = self.admission.lock();
        inner
            .gate
            .finished(&self.model, Some(now.since(self.started)));
        inner.wake(&self.model, now);
    }
}

impl Inner {
    /// Lets waiting requests of a model run as far as there is room.
    fn wake(&mut self, model: &id::Model, now: Point) {
        while let Some(next) = self.gate.next(model, now) {
            let (key, runs) = match next {
                Next::Run(key) => (key, true),
                Next::Expired(key) => (key, false),
            };
            let waiting = self.waiting.remove(&key);
            let is_there = waiting.is_some_and(|waiting| waiting.send(runs).is_ok());
            if runs && !is_there {
                self.gate.finished(model, None);
            }
        }
    }
}

fn class_of(priority: u8) -> Priority {
    match priority {
        INTERACTIVE.. => Priority::Interactive,
        STANDARD.. => Priority::Standard,
        _ => Priority::Batch,
    }
}

fn refused(reason: Refusal, retry_after: Duration) -> Refused {
    let reason = match reason {
        Refusal::Deadline => "it would not be answered before its deadline",
        Refusal::Queue => "too many requests of the team wait for the model",
        Refusal::Capacity => "no target can take it now",
    };
    Refused {
        reason: reason.to_owned(),
        retry_after,
    }
}

impl Admission {
    /// Returns a gate without capacities.
    pub fn new(clock: System) -> Self {
        let gate = Gate::new(admission::Config::default());
        let inner = Inner {
            gate,
            waiting: HashMap::new(),
            next_key: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets capacities and weights and lets waiting requests run that now have room.
    pub fn update(&self, capacities: &BTreeMap<id::Model, u32>, weights: BTreeMap<id::Team, f64>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.gate.set_weights(weights);
        for (model, capacity) in capacities {
            inner.gate.set_capacity(model, *capacity);
            inner.wake(model, now);
        }
        for key in inner.gate.expire(now) {
            if let Some(waiting) = inner.waiting.remove(&key) {
                let _ = waiting.send(false);
            }
        }
    }

    /// Waits for admission.
    pub fn admit(&self, ask: &Ask<'_>) -> Result<Permit, Refused> {
        let no_capacity = || refused(Refusal::Capacity, Duration::from_secs(1));
        let model: id::Model = ask.name.parse().map_err(|_| no_capacity())?;
        let team = match ask.team {
            Some(team) => team.clone(),
            None => PLATFORM_TEAM.parse().map_err(|_| no_capacity())?,
        };
        let (sender, turn) = flume::bounded(1);
        let now = self.clock.now();
        let key = {
            let mut inner = self.lock();
            inner.next_key += 1;
            let key = inner.next_key;
            let (priority, deadline) = (class_of(ask.priority), ask.deadline);
            let offer = admission::Ask {
                key,
                team,
                priority,
                deadline,
            };
            match inner.gate.offer(&model, offer, now) {
                Verdict::Run => return Ok(self.permit(model, now)),
                Verdict::Refused {
                    reason,
                    retry_after,
                } => {
                    return Err(refused(reason, retry_after));
                }
                Verdict::Queued => {
                    inner.waiting.insert(key, sender);
                    key
                }
            }
        };
        match turn.recv_timeout(ask.deadline.since(now)) {
            Ok(true) => Ok(self.permit(model, self.clock.now())),
            Ok(false) => Err(refused(Refusal::Deadline, Duration::from_secs(1))),
            Err(_) => self.give_up(model, key, &turn),
        }
    }

    /// Leaves the queue, unless the turn has come at the last moment.
    fn give_up(
        &self,
        model: id::Model,
        key: u64,
        turn: &flume::Receiver<bool>,
    ) -> Result<Permit, Refused> {
        let mut inner = self.lock();
        inner.waiting.remove(&key);
        inner.gate.withdraw(&model, &key);
        if turn.try_recv() == Ok(true) {
            inner.gate.finished(&model, None);
        }
        Err(refused(Refusal::Deadline, Duration::from_secs(1)))
    }

    fn permit(&self, model: id::Model, started: Point) -> Permit {
        Permit {
            admission: self.clone(),
            model,
            started,
        }
    }
}
