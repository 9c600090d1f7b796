//! Admission by deadline, with bounded queues per model and team.
//!
//! A request that can't be answered in time is refused at once, with an estimate of when it could be.
//! Waiting requests are served by priority, and within a priority in fair shares between teams.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornmast_types::prelude::*;

use crate::estimate::Estimate;

/// Class of a request; a lower one waits for the higher ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Somebody waits for the answer.
    Interactive,
    /// Ordinary work.
    Standard,
    /// Work that may take long.
    Batch,
}

const CLASSES: usize = 3;
/// Each pick of this number goes to the lowest class that waits, so that none starves.
const LOWEST_EVERY: u64 = 8;

/// Bounds of a gate.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Most waiting requests per model and team.
    pub queue: usize,
    /// Assumed service time of a model before the first sample.
    pub assumed: Duration,
    /// Shortest time after which a refused client is told to come back.
    pub come_back: Duration,
    /// Weights of teams; 1 if not listed.
    pub weights: BTreeMap<id::Team, f64>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            queue: 64,
            assumed: Duration::from_millis(500),
            come_back: Duration::from_secs(1),
            weights: BTreeMap::new(),
        }
    }
}

/// Request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask<K> {
    /// Name of the request, which the gate gives back.
    pub key: K,
    /// Team.
    pub team: id::Team,
    /// Class.
    pub priority: Priority,
    /// Deadline.
    pub deadline: Point,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It would not be answered before its deadline.
    Deadline,
    /// The queue of its model and team is full.
    Queue,
    /// No target can take the model now, or nobody has set a capacity for it.
    Capacity,
}

/// Answer of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be dispatched now and counts as in progress until [`Gate::finished`].
    Run,
    /// It waits for [`Gate::next`].
    Queued,
    /// It was not run and is not going to be.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it could be answered in time.
        retry_after: Duration,
    },
}

/// What comes out of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next<K> {
    /// May be dispatched now and counts as in progress.
    Run(K),
    /// Can't be answered in time any more.
    Expired(K),
}

#[derive(Debug)]
struct Waiting<K> {
    key: K,
    deadline: Point,
}

#[derive(Debug)]
struct Model<K> {
    classes: [BTreeMap<id::Team, VecDeque<Waiting<K>>>; CLASSES],
    /// Service that each team has had, divided by its weight.
    served: BTreeMap<id::Team, f64>,
    waiting: [usize; CLASSES],
    running: u32,
    capacity: u32,
    picks: u64,
    service: Estimate,
}

impl<K> Model<K> {
    fn new(assumed: Duration) -> Self {
        Self {
            classes: [const { BTreeMap::new() }; CLASSES],
            served: BTreeMap::new(),
            waiting: [0; CLASSES],
            running: 0,
            capacity: 0,
            picks: 0,
            service: Estimate::new(assumed),
        }
    }

    fn has_room(&self) -> bool {
        self.running < self.capacity
    }

    fn is_empty(&self) -> bool {
        self.waiting.iter().all(|count| *count == 0)
    }

    /// Returns the time until a request of a class is dispatched, with those that go before it.
    fn wait(&self, priority: Priority) -> Duration {
        if self.has_room() && self.is_empty() {
            return Duration::ZERO;
        }
        let ahead: usize = self.waiting[..=priority as usize].iter().sum();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.service.mean().saturating_mul(ahead) / self.capacity.max(1)
    }

    /// Returns the waiting requests of a team over all classes.
    fn queued(&self, team: &id::Team) -> usize {
        let queues = self.classes.iter().filter_map(|class| class.get(team));
        queues.map(VecDeque::len).sum()
    }

    fn push(&mut self, ask: Ask<K>) {
        if self.queued(&ask.team) == 0 {
            // A team that was away starts level with the least served one that waits, or it would
            // bring the share that it did not use.
            let waiting = self.classes.iter().flat_map(BTreeMap::keys);
            let least = waiting.filter_map(|team| self.served.get(team).copied());
            let least = least.min_by(f64::total_cmp).unwrap_or(0.0);
            let served = self.served.entry(ask.team.clone()).or_default();
            *served = served.max(least);
        }
        let class = ask.priority as usize;
        self.waiting[class] += 1;
        let queue = self.classes[class].entry(ask.team).or_default();
        queue.push_back(Waiting {
            key: ask.key,
            deadline: ask.deadline,
        });
    }

    fn pop(&mut self) -> Option<(id::Team, Waiting<K>)> {
        let mut classes = (0..CLASSES).filter(|class| self.waiting[*class] > 0);
        let class = if self.picks % LOWEST_EVERY == LOWEST_EVERY - 1 {
            classes.next_back()?
        } else {
            classes.next()?
        };
        let served = |team: &id::Team| self.served.get(team).copied().unwrap_or(0.0);
        let teams = self.classes[class].keys();
        let team = teams
            .min_by(|a, b| served(a).total_cmp(&served(b)))?
            .clone();
        let queue = self.classes[class].get_mut(&team)?;
        let waiting = queue.pop_front()?;
        if queue.is_empty() {
            self.classes[class].remove(&team);
        }
        self.waiting[class] -= 1;
        Some((team, waiting))
    }
}

/// Gate in front of the targets.
#[derive(Debug)]
pub struct Gate<K> {
    config: Config,
    models: BTreeMap<id::Model, Model<K>>,
}

impl<K> Gate<K> {
    /// Returns a gate without models; a model without capacity admits nothing.
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

    /// Sets how many requests of a model may be in progress at once.
    pub fn set_capacity(&mut self, model: &id::Model, capacity: u32) {
        if let Some(model) = self.models.get_mut(model) {
            model.capacity = capacity;
            return;
        }
        let mut new = Model::new(self.config.assumed);
        new.capacity = capacity;
        self.models.insert(model.clone(), new);
    }

    /// Asks for admission.
    pub fn offer(&mut self, model: &id::Model, ask: Ask<K>, now: Point) -> Verdict {
        let (queue, come_back) = (self.config.queue, self.config.come_back);
        // A name that a client has made up must not leave an entry behind.
        let Some(model) = self.models.get_mut(model) else {
            return Verdict::Refused {
                reason: Refusal::Capacity,
                retry_after: come_back,
            };
        };
        let wait = model.wait(ask.priority);
        let end = now + wait + model.service.mean();
        // At that time as much of the queue is gone as the answer would come too late by.
        let late = end.since(ask.deadline).max(come_back);
        let refused = |reason| Verdict::Refused {
            reason,
            retry_after: late,
        };
        if model.capacity == 0 {
            return refused(Refusal::Capacity);
        }
        if end > ask.deadline {
            return refused(Refusal::Deadline);
        }
        if model.has_room() && model.is_empty() {
            model.running += 1;
            return Verdict::Run;
        }
        if model.queued(&ask.team) >= queue {
            return refused(Refusal::Queue);
        }
        model.push(ask);
        Verdict::Queued
    }

    /// Takes the next waiting request of a model. To be called until it returns `None` whenever a
    /// request has finished or the capacity has grown.
    pub fn next(&mut self, model: &id::Model, now: Point) -> Option<Next<K>> {
        let model = self.models.get_mut(model)?;
        if !model.has_room() {
            return None;
        }
        let (team, waiting) = model.pop()?;
        if now + model.service.mean() > waiting.deadline {
            return Some(Next::Expired(waiting.key));
        }
        let weight = self.config.weights.get(&team).copied().unwrap_or(1.0);
        let cost = model.service.mean().as_secs_f64() / weight.max(f64::EPSILON);
        *model.served.entry(team).or_default() += cost;
        model.picks += 1;
        model.running += 1;
        Some(Next::Run(waiting.key))
    }

    /// Takes out the waiting requests whose deadline can't be met any more, so that they are answered
    /// at once and not when their turn comes.
    pub fn expire(&mut self, now: Point) -> Vec<K> {
        let mut expired = Vec::new();
        for model in self.models.values_mut() {
            let end = now + model.service.mean();
            for (class, count) in model.classes.iter_mut().zip(&mut model.waiting) {
                class.retain(|_, queue| {
                    let kept = std::mem::take(queue).into_iter().filter_map(|waiting| {
                        if end <= waiting.deadline {
                            return Some(waiting);
                        }
                        *count -= 1;
                        expired.push(waiting.key);
                        None
                    });
                    *queue = kept.collect();
                    !queue.is_empty()
                });
            }
        }
        expired
    }

    /// Takes out a waiting request whose client has left. Returns whether it was there.
    pub fn withdraw(&mut self, model: &id::Model, key: &K) -> bool
    where
        K: PartialEq,
    {
        let Some(model) = self.models.get_mut(model) else {
            return false;
        };
        for (class, count) in model.classes.iter_mut().zip(&mut model.waiting) {
            for queue in class.values_mut() {
                if let Some(at) = queue.iter().position(|waiting| waiting.key == *key) {
                    queue.remove(at);
                    *count -= 1;
                    class.retain(|_, queue| !queue.is_empty());
                    return true;
                }
            }
        }
        false
    }

    /// Notes the end of a request in progress, with its service time if it was answered.
    pub fn finished(&mut self, model: &id::Model, service: Option<Duration>) {
        if let Some(model) = self.models.get_mut(model) {
            model.running = model.running.saturating_sub(1);
            if let Some(service) = service {
                model.service.add(service);
            }
        }
    }

    /// Returns the number of waiting requests of a model.
    pub fn waiting(&self, model: &id::Model) -> usize {
        let model = self.models.get(model);
        model.map_or(0, |model| model.waiting.iter().sum())
    }
}
