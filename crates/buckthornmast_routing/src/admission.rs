//! Admission by deadline, with bounded queues per model and team.
//!
//! A request that can't be answered in time is refused at once, with an estimate of when it could be.
//! Waiting requests are served by priority, and within a priority in fair shares between teams.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

use crate::estimate::Estimate;

/// Class of a request. Requests of a lower class wait for those of the higher classes, except that every eighth
/// pick goes to a lower class that waits, in turns if there are two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A user is waiting for the answer.
    Interactive,
    /// Ordinary work.
    Standard,
    /// Work for which no user waits, and which may take long.
    Batch,
}

const CLASS_COUNT: usize = 3;
/// Number of picks of which one goes to a lower waiting class, so that none of them starves.
const LOWER_CLASS_INTERVAL_PICKS: u64 = 8;

/// Configuration of a gate.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Maximum number of waiting requests per model and team; further ones are refused.
    pub max_queued: usize,
    /// Assumed service time of a model before the first sample.
    pub assumed_service_time: Duration,
    /// Minimum retry delay that is returned with a refusal.
    pub min_retry_after: Duration,
    /// Weights of teams; a team that is not listed has weight 1.
    pub weights: BTreeMap<id::Team, f64>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_queued: 64,
            assumed_service_time: Duration::from_millis(500),
            min_retry_after: Duration::from_secs(1),
            weights: BTreeMap::new(),
        }
    }
}

/// Request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest<K> {
    /// Key of the request, which the gate returns when the request leaves the queue.
    pub key: K,
    /// Team that sent the request.
    pub team: id::Team,
    /// Priority class.
    pub priority: Priority,
    /// Deadline of the answer.
    pub deadline: Point,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It would not be answered before its deadline.
    Deadline,
    /// The queue of its model and team is full.
    Queue,
    /// No target can serve the model now, or no capacity has been set for it.
    Capacity,
}

/// Capacity that a copy being loaded adds to a model without capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedCapacity {
    /// Time at which the copy is expected to be ready.
    pub at: Point,
    /// Number of requests that may be in progress then.
    pub capacity: u32,
}

/// Decision of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be dispatched now and counts as in progress until [`Gate::finished`].
    Run,
    /// The request waits for [`Gate::next`].
    Queued,
    /// The request was not run and will not be run.
    Refused {
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which it could be answered in time.
        retry_after: Duration,
    },
}

/// Request that leaves a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next<K> {
    /// The request may be dispatched now and counts as in progress.
    Run(K),
    /// The request can no longer be answered in time.
    Expired(K),
}

#[derive(Debug)]
struct Waiter<K> {
    key: K,
    deadline: Point,
}

#[derive(Debug)]
struct Model<K> {
    classes: [BTreeMap<id::Team, VecDeque<Waiter<K>>>; CLASS_COUNT],
    /// Service time that each team has received, divided by its weight.
    weighted_service: BTreeMap<id::Team, f64>,
    waiting: [usize; CLASS_COUNT],
    running: u32,
    capacity: u32,
    expected_capacity: Option<ExpectedCapacity>,
    pick_count: u64,
    service_time: Estimate,
}

impl<K> Model<K> {
    fn new(assumed_service_time: Duration) -> Self {
        Self {
            classes: [const { BTreeMap::new() }; CLASS_COUNT],
            weighted_service: BTreeMap::new(),
            waiting: [0; CLASS_COUNT],
            running: 0,
            capacity: 0,
            expected_capacity: None,
            pick_count: 0,
            service_time: Estimate::new(assumed_service_time),
        }
    }

    fn has_free_capacity(&self) -> bool {
        self.running < self.capacity
    }

    fn is_empty(&self) -> bool {
        self.waiting.iter().all(|count| *count == 0)
    }

    /// Returns the expected time until a request of a class is dispatched, after the requests ahead of it.
    fn expected_wait(&self, priority: Priority, now: Point) -> Duration {
        if self.has_free_capacity() && self.is_empty() {
            return Duration::ZERO;
        }
        let ahead: usize = self.waiting[..=priority as usize].iter().sum();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let mean = self.service_time.mean();
        match self.expected_capacity.filter(|_| self.capacity == 0) {
            Some(expected_capacity) => {
                expected_capacity.at.since(now)
                    + mean.saturating_mul(ahead) / expected_capacity.capacity.max(1)
            }
            None => mean.saturating_mul(ahead.saturating_add(1)) / self.capacity.max(1),
        }
    }

    /// Returns the waiting requests of a team over all classes.
    fn queued(&self, team: &id::Team) -> usize {
        let queues = self.classes.iter().filter_map(|class| class.get(team));
        queues.map(VecDeque::len).sum()
    }

    fn push(&mut self, request: AdmissionRequest<K>) {
        if self.queued(&request.team) == 0 {
            // A team that had no requests waiting starts level with the least served waiting team. Otherwise
            // it would carry over the share that it did not use.
            let waiting = self.classes.iter().flat_map(BTreeMap::keys);
            let least_served = waiting.filter_map(|team| self.weighted_service.get(team).copied());
            let least_served = least_served.min_by(f64::total_cmp).unwrap_or(0.0);
            let weighted_service = self
                .weighted_service
                .entry(request.team.clone())
                .or_default();
            *weighted_service = weighted_service.max(least_served);
        }
        let class = request.priority as usize;
        self.waiting[class] += 1;
        let queue = self.classes[class].entry(request.team).or_default();
        queue.push_back(Waiter {
            key: request.key,
            deadline: request.deadline,
        });
    }

    /// Removes the next request: of the highest waiting class, or of a lower one at every eighth pick, and within the
    /// class of the team with the least weighted service.
    fn pop(&mut self) -> Option<(id::Team, Waiter<K>)> {
        let class = self.next_class()?;
        let weighted_service =
            |team: &id::Team| self.weighted_service.get(team).copied().unwrap_or(0.0);
        let teams = self.classes[class].keys();
        let team = teams
            .min_by(|a, b| weighted_service(a).total_cmp(&weighted_service(b)))?
            .clone();
        let queue = self.classes[class].get_mut(&team)?;
        let waiter = queue.pop_front()?;
        if queue.is_empty() {
            self.classes[class].remove(&team);
        }
        self.waiting[class] -= 1;
        Some((team, waiter))
    }

    fn next_class(&self) -> Option<usize> {
        let mut classes = (0..CLASS_COUNT).filter(|class| self.waiting[*class] > 0);
        let highest = classes.next()?;
        if self.pick_count % LOWER_CLASS_INTERVAL_PICKS < LOWER_CLASS_INTERVAL_PICKS - 1 {
            return Some(highest);
        }
        let lower: SmallVec<[usize; CLASS_COUNT]> = classes.rev().collect();
        let turn = usize::try_from(self.pick_count / LOWER_CLASS_INTERVAL_PICKS).unwrap_or(0);
        let class = lower.get(turn % lower.len().max(1));
        Some(class.copied().unwrap_or(highest))
    }
}

/// Admission gate of one instance, with the capacity and the waiting requests of each model.
#[derive(Debug)]
pub struct Gate<K> {
    config: Config,
    models: BTreeMap<id::Model, Model<K>>,
}

impl<K> Gate<K> {
    /// Returns a gate without models. Requests for a model are refused until its capacity is set.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            models: BTreeMap::new(),
        }
    }

    /// Sets the weights of teams, for waiting requests too.
    pub fn set_weights(&mut self, weights: BTreeMap<id::Team, f64>) {
        self.config.weights = weights;
    }

    /// Sets the number of requests of a model that may be in progress at once.
    pub fn set_capacity(&mut self, model: &id::Model, capacity: u32) {
        if let Some(model) = self.models.get_mut(model) {
            model.capacity = capacity;
            return;
        }
        let mut new = Model::new(self.config.assumed_service_time);
        new.capacity = capacity;
        self.models.insert(model.clone(), new);
    }

    /// Sets the capacity that a copy being loaded will add. It counts only while the model has no capacity:
    /// requests that can be answered in time then wait for the copy.
    pub fn set_expected_capacity(
        &mut self,
        model: &id::Model,
        expected_capacity: Option<ExpectedCapacity>,
    ) {
        if let Some(model) = self.models.get_mut(model) {
            model.expected_capacity = expected_capacity;
        }
    }

    /// Admits, queues or refuses a request.
    pub fn offer(
        &mut self,
        model: &id::Model,
        request: AdmissionRequest<K>,
        now: Point,
    ) -> Verdict {
        let (max_queued, min_retry_after) = (self.config.max_queued, self.config.min_retry_after);
        // A model name that a caller made up must not create an entry.
        let Some(model) = self.models.get_mut(model) else {
            return Verdict::Refused {
                reason: Refusal::Capacity,
                retry_after: min_retry_after,
            };
        };
        let wait = model.expected_wait(request.priority, now);
        let expected_end = now + wait + model.service_time.mean();
        // If `expected_end` is after the deadline, the queue must first shorten by the difference.
        let earliest_retry = expected_end.since(request.deadline).max(min_retry_after);
        let refused = |reason| Verdict::Refused {
            reason,
            retry_after: earliest_retry,
        };
        if model.capacity == 0 && model.expected_capacity.is_none() {
            return refused(Refusal::Capacity);
        }
        if expected_end > request.deadline {
            return refused(Refusal::Deadline);
        }
        if model.has_free_capacity() && model.is_empty() {
            model.running += 1;
            return Verdict::Run;
        }
        if model.queued(&request.team) >= max_queued {
            return refused(Refusal::Queue);
        }
        model.push(request);
        Verdict::Queued
    }

    /// Removes the next waiting request of a model from its queue. Callers repeat it until it returns `None`
    /// whenever a request has finished or the capacity has grown.
    pub fn next(&mut self, model: &id::Model, now: Point) -> Option<Next<K>> {
        let model = self.models.get_mut(model)?;
        if !model.has_free_capacity() {
            return None;
        }
        let (team, waiter) = model.pop()?;
        if now + model.service_time.mean() > waiter.deadline {
            return Some(Next::Expired(waiter.key));
        }
        let weight = self.config.weights.get(&team).copied().unwrap_or(1.0);
        let cost = model.service_time.mean().as_secs_f64() / weight.max(f64::EPSILON);
        *model.weighted_service.entry(team).or_default() += cost;
        model.pick_count += 1;
        model.running += 1;
        Some(Next::Run(waiter.key))
    }

    /// Removes the waiting requests whose deadline can no longer be met, so that they are refused at once
    /// and not when they reach the head of the queue.
    pub fn expire(&mut self, now: Point) -> Vec<K> {
        let mut expired = Vec::new();
        for model in self.models.values_mut() {
            let expected_end = now + model.service_time.mean();
            for (class, count) in model.classes.iter_mut().zip(&mut model.waiting) {
                class.retain(|_, queue| {
                    let remaining = std::mem::take(queue).into_iter().filter_map(|waiter| {
                        if expected_end <= waiter.deadline {
                            return Some(waiter);
                        }
                        *count -= 1;
                        expired.push(waiter.key);
                        None
                    });
                    *queue = remaining.collect();
                    !queue.is_empty()
                });
            }
        }
        expired
    }

    /// Removes the waiting requests of models that have no capacity and no copy being loaded, so that they
    /// are refused at once and don't wait until their deadline.
    pub fn take_unservable(&mut self) -> Vec<K> {
        let models = self.models.values_mut();
        let unservable_models =
            models.filter(|model| model.capacity == 0 && model.expected_capacity.is_none());
        let mut unservable = Vec::new();
        for model in unservable_models {
            let classes = model.classes.iter_mut().flat_map(std::mem::take);
            unservable.extend(
                classes
                    .flat_map(|(_, queue)| queue)
                    .map(|waiter| waiter.key),
            );
            model.waiting = [0; CLASS_COUNT];
        }
        unservable
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was waiting.
    pub fn withdraw(&mut self, model: &id::Model, key: &K) -> bool
    where
        K: PartialEq,
    {
        let Some(model) = self.models.get_mut(model) else {
            return false;
        };
        for (class, count) in model.classes.iter_mut().zip(&mut model.waiting) {
            for queue in class.values_mut() {
                if let Some(at) = queue.iter().position(|waiter| waiter.key == *key) {
                    queue.remove(at);
                    *count -= 1;
                    class.retain(|_, queue| !queue.is_empty());
                    return true;
                }
            }
        }
        false
    }

    /// Records the end of a request in progress, with its service time if it was answered.
    pub fn finished(&mut self, model: &id::Model, service_time: Option<Duration>) {
        if let Some(model) = self.models.get_mut(model) {
            model.running = model.running.saturating_sub(1);
            if let Some(service_time) = service_time {
                model.service_time.add(service_time);
            }
        }
    }

    /// Returns the number of waiting requests of a model.
    pub fn waiting(&self, model: &id::Model) -> usize {
        let model = self.models.get(model);
        model.map_or(0, |model| model.waiting.iter().sum())
    }
}
