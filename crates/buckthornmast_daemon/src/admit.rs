//! Admission of requests on the threads that serve them.
//!
//! The gate decides. A thread whose request is queued sleeps until the request is admitted, its deadline can
//! no longer be met, or the gate refuses it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_gateway::router::{Rejection, RouteRequest};
use buckthornmast_routing::admission::{
    self, ExpectedCapacity, Gate, Next, Priority, Refusal, Verdict,
};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use flume::Sender;

/// Team under which requests to plain services are counted.
const PLATFORM_TEAM: &str = "platform";

/// Lowest priority of interactive requests.
const MIN_INTERACTIVE_PRIORITY: u8 = 7;

/// Lowest priority of standard requests; requests below it are batch work.
const MIN_STANDARD_PRIORITY: u8 = 3;

/// Capacity for the requests of a model.
#[derive(Debug, Clone, Copy, Default)]
pub struct Availability {
    /// Maximum number of requests in progress.
    pub capacity: u32,
    /// Copy that is being loaded, if there is no capacity without it.
    pub loading: Option<ExpectedCapacity>,
}

struct Inner {
    gate: Gate<u64>,
    /// Channels of the threads whose requests are queued, by key.
    waiting: HashMap<u64, Sender<Result<(), Refusal>>>,
    next_key: u64,
}

/// Admission gate shared by the threads that serve requests.
#[derive(Clone)]
pub struct Admission {
    inner: Arc<Mutex<Inner>>,
    clock: System,
}

/// Admission permit: permission of a request to run; its slot is released on drop.
pub struct Permit {
    admission: Admission,
    model: id::Model,
    started: Point,
    is_unused: bool,
}

impl Permit {
    /// Releases the slot without counting a served request.
    pub fn release_unused(mut self) {
        self.is_unused = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut inner = self.admission.lock();
        let service = (!self.is_unused).then(|| now.since(self.started));
        inner.gate.finished(&self.model, service);
        inner.wake(&self.model, now);
    }
}

impl Inner {
    /// Admits queued requests of a model as far as its capacity allows.
    fn wake(&mut self, model: &id::Model, now: Point) {
        while let Some(next) = self.gate.next(model, now) {
            let (key, verdict) = match next {
                Next::Run(key) => (key, Ok(())),
                Next::Expired(key) => (key, Err(Refusal::Deadline)),
            };
            let is_waiting = self.answer(key, verdict);
            if verdict.is_ok() && !is_waiting {
                self.gate.finished(model, None);
            }
        }
    }

    /// Ends the wait of a request and returns whether it was still waiting.
    fn answer(&mut self, key: u64, verdict: Result<(), Refusal>) -> bool {
        let waiting = self.waiting.remove(&key);
        waiting.is_some_and(|waiting| waiting.send(verdict).is_ok())
    }
}

fn class_of(priority: u8) -> Priority {
    match priority {
        MIN_INTERACTIVE_PRIORITY.. => Priority::Interactive,
        MIN_STANDARD_PRIORITY.. => Priority::Standard,
        _ => Priority::Batch,
    }
}

fn reject(reason: Refusal, retry_after: Duration) -> Rejection {
    let reason = match reason {
        Refusal::Deadline => "it would not be answered before its deadline",
        Refusal::Queue => "too many requests of the team wait for the model",
        Refusal::Capacity => "no target can take it now",
    };
    Rejection {
        reason: reason.to_owned(),
        retry_after,
    }
}

impl Admission {
    /// Returns a gate without any capacity.
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

    /// Sets capacities and weights, and admits queued requests that now fit.
    pub fn update(
        &self,
        availability: &BTreeMap<id::Model, Availability>,
        weights: BTreeMap<id::Team, f64>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.gate.set_weights(weights);
        for (model, available) in availability {
            inner.gate.set_capacity(model, available.capacity);
            inner.gate.set_expected_capacity(model, available.loading);
            inner.wake(model, now);
        }
        for key in inner.gate.expire(now) {
            inner.answer(key, Err(Refusal::Deadline));
        }
        for key in inner.gate.take_unservable() {
            inner.answer(key, Err(Refusal::Capacity));
        }
    }

    /// Admits no further request of a model before the next update. Requests whose deadline can still be met
    /// wait for the copy that is being loaded.
    pub fn close(&self, model: &str, expected_capacity: ExpectedCapacity) {
        if let Ok(model) = model.parse() {
            let mut inner = self.lock();
            inner.gate.set_capacity(&model, 0);
            inner
                .gate
                .set_expected_capacity(&model, Some(expected_capacity));
        }
    }

    /// Waits until a request is admitted or refused.
    pub fn admit(&self, request: &RouteRequest<'_>) -> Result<Permit, Rejection> {
        let no_capacity = || reject(Refusal::Capacity, Duration::from_secs(1));
        let model: id::Model = request.name.parse().map_err(|_| no_capacity())?;
        let team = match request.team {
            Some(team) => team.clone(),
            None => PLATFORM_TEAM.parse().map_err(|_| no_capacity())?,
        };
        let (sender, decision) = flume::bounded(1);
        let now = self.clock.now();
        let key = {
            let mut inner = self.lock();
            inner.next_key += 1;
            let key = inner.next_key;
            let (priority, deadline) = (class_of(request.priority), request.deadline);
            let offer = admission::AdmissionRequest {
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
                    return Err(reject(reason, retry_after));
                }
                Verdict::Queued => {
                    inner.waiting.insert(key, sender);
                    key
                }
            }
        };
        match decision.recv_timeout(request.deadline.since(now)) {
            Ok(Ok(())) => Ok(self.permit(model, self.clock.now())),
            Ok(Err(refusal)) => Err(reject(refusal, Duration::from_secs(1))),
            Err(_) => self.withdraw(model, key, &decision),
        }
    }

    /// Removes a timed-out request from the queue, and frees its slot if it was admitted meanwhile.
    fn withdraw(
        &self,
        model: id::Model,
        key: u64,
        decision: &flume::Receiver<Result<(), Refusal>>,
    ) -> Result<Permit, Rejection> {
        let mut inner = self.lock();
        inner.waiting.remove(&key);
        inner.gate.withdraw(&model, &key);
        if decision.try_recv() == Ok(Ok(())) {
            inner.gate.finished(&model, None);
        }
        Err(reject(Refusal::Deadline, Duration::from_secs(1)))
    }

    fn permit(&self, model: id::Model, started: Point) -> Permit {
        Permit {
            admission: self.clone(),
            model,
            started,
            is_unused: false,
        }
    }
}
