//! Demand for models and adapters, as entry instances report it.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

/// Time over which demand is averaged. Short, since demand moves within seconds.
const SPAN: Duration = Duration::from_millis(1000);

/// Time over which the earlier demand is averaged that the trend is seen against.
const TREND_SPAN: Duration = Duration::from_millis(2500);

/// Time that the trend is expected to last. Loads take longer, but few moves of demand do.
const TREND_AHEAD: Duration = Duration::from_millis(3000);

/// Time over which the demand for items that are hardly asked for is averaged.
const LONG_SPAN: Duration = Duration::from_secs(8);

/// Requests a second below which the longer average is used, since the shorter one shows single requests.
const RARE: f64 = 3.0;

/// Assumed time of a request in a slot before there is a sample.
const ASSUMED_SLOT_TIME: f64 = 1.0;

/// Assumed time between two events of an answer before there is a sample.
const ASSUMED_PAUSE: Duration = Duration::from_millis(30);

/// Time over which a longer time between two events is believed; a shorter one counts at once, since everything else at a
/// target only makes it longer.
const SLOWER_SPAN: Duration = Duration::from_secs(20);

/// Model, alone or with an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    /// Service.
    pub service: id::Service,
    /// Model.
    pub model: id::Model,
    /// Adapter.
    pub adapter: Option<id::Adapter>,
}

/// Requests for an item since the last report of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Model or adapter.
    pub item: Item,
    /// Requests, those that were refused included.
    pub requests: u32,
    /// Requests that ended.
    pub ended: u32,
    /// Time that these took in their slots.
    pub slot_time: Duration,
    /// Events of streams that ended, but the first of each.
    pub events: u32,
    /// Time in which they came.
    pub event_time: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    rate: f64,
    trend_rate: f64,
    long_rate: f64,
    at: Point,
    last: Point,
    ended: f64,
    slot_time: f64,
}

/// How fast a model answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time of a request in its slot.
    pub slot: Duration,
    /// Time between two events of an answer at a target with little else to do.
    pub event: Duration,
}

impl Mean {
    fn decay(&mut self, now: Point) {
        let passed = now.since(self.at).as_secs_f64();
        self.rate *= (-passed / SPAN.as_secs_f64()).exp();
        self.trend_rate *= (-passed / TREND_SPAN.as_secs_f64()).exp();
        self.long_rate *= (-passed / LONG_SPAN.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }

    /// Returns the change of the rate that is beyond chance, per second.
    fn trend(&self) -> f64 {
        let change = self.rate - self.trend_rate;
        // Deviation of the difference of the two averages when the demand is steady.
        let chance = (self.trend_rate.max(self.rate) / 3.0).sqrt();
        let spans = TREND_SPAN.as_secs_f64() - SPAN.as_secs_f64();
        (change.abs() - chance).max(0.0).copysign(change) / spans
    }

    /// Returns the rate that is expected, from the last second and the trend.
    fn expected(&self) -> f64 {
        if self.rate.max(self.long_rate) < RARE {
            return self.long_rate;
        }
        let ahead = SPAN + TREND_AHEAD;
        (self.rate + self.trend() * ahead.as_secs_f64()).max(0.0)
    }

    fn slot_time(&self) -> f64 {
        if self.ended >= 1.0 {
            self.slot_time / self.ended
        } else {
            ASSUMED_SLOT_TIME
        }
    }
}

/// Demand for a model and its adapters.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Asked {
    /// Requests a second.
    pub rate: f64,
    /// Requests a second that want an adapter.
    pub adapter_rate: f64,
    /// Slots that the requests take at once.
    pub slots: f64,
}

/// Demand of all instances together.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    items: HashMap<Item, Mean>,
    // Time between two events of an answer.
    pauses: HashMap<(id::Service, id::Model), (f64, Point)>,
    // Since when callers have been waiting for models that no target has.
    unserved: HashMap<(id::Service, id::Model), Point>,
}

impl Demand {
    /// Adds what an instance reports.
    pub fn add(&mut self, rows: &[Row], now: Point) {
        for row in rows {
            let mean = self.items.entry(row.item.clone()).or_default();
            mean.decay(now);
            mean.rate += f64::from(row.requests) / SPAN.as_secs_f64();
            mean.trend_rate += f64::from(row.requests) / TREND_SPAN.as_secs_f64();
            mean.long_rate += f64::from(row.requests) / LONG_SPAN.as_secs_f64();
            if row.requests > 0 {
                mean.last = now;
            }
            // Older samples fade as newer ones come.
            mean.ended = mean.ended * 0.9 + f64::from(row.ended);
            mean.slot_time = mean.slot_time * 0.9 + row.slot_time.as_secs_f64();
            if row.events > 0 {
                let sample = row.event_time.as_secs_f64() / f64::from(row.events);
                let key = (row.item.service.clone(), row.item.model.clone());
                let (pause, at) = self.pauses.entry(key).or_insert((sample, now));
                let passed = now.since(*at).as_secs_f64() / SLOWER_SPAN.as_secs_f64();
                let weight = if sample < *pause {
                    1.0
                } else {
                    passed.min(1.0)
                };
                *pause += (sample - *pause) * weight;
                *at = now;
            }
        }
    }

    /// Returns how fast a model answers.
    pub fn pace(&self, item: &Item) -> Pace {
        let key = (item.service.clone(), item.model.clone());
        let event = self.pauses.get(&key).map(|(event, _)| *event);
        let event = event.unwrap_or(ASSUMED_PAUSE.as_secs_f64());
        let slot = self
            .items
            .get(item)
            .map_or(ASSUMED_SLOT_TIME, Mean::slot_time);
        Pace {
            slot: Duration::from_secs_f64(slot),
            event: Duration::from_secs_f64(event),
        }
    }

    /// Returns the requests a second for an item.
    pub fn rate(&self, item: &Item, now: Point) -> f64 {
        self.items.get(item).map_or(0.0, |mean| {
            let mut mean = *mean;
            mean.decay(now);
            mean.rate
        })
    }

    /// Returns when an item was last asked for.
    pub fn last(&self, item: &Item) -> Option<Point> {
        let mean = self.items.get(item)?;
        (mean.last > Point::ZERO).then_some(mean.last)
    }

    /// Returns the demand that is expected for a model and its adapters.
    pub fn of_model(&self, service: &id::Service, model: &id::Model, now: Point) -> Asked {
        let mut sum = Mean::default();
        let (mut slots, mut adapters) = (0.0, 0.0);
        for (item, mean) in &self.items {
            if item.model != *model || item.service != *service {
                continue;
            }
            let mut mean = *mean;
            mean.decay(now);
            sum.rate += mean.rate;
            sum.trend_rate += mean.trend_rate;
            sum.long_rate += mean.long_rate;
            slots += mean.trend_rate * mean.slot_time();
            if item.adapter.is_some() {
                adapters += mean.trend_rate;
            }
        }
        let rate = sum.expected();
        let share = |part: f64| rate * part / sum.trend_rate.max(f64::MIN_POSITIVE);
        Asked {
            rate,
            adapter_rate: share(adapters),
            slots: share(slots),
        }
    }

    /// Notes whether any target has a model, as far as it is asked for.
    pub fn note_copies(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        has_any: bool,
        now: Point,
    ) {
        let key = (service.clone(), model.clone());
        if has_any {
            self.unserved.remove(&key);
            return;
        }
        let mut of_model = self
            .items
            .iter()
            .filter(|(item, _)| item.model == *model && item.service == *service);
        let is_asked = of_model.any(|(_, mean)| now.since(mean.last) < SPAN);
        if is_asked {
            self.unserved.entry(key).or_insert(now);
        }
    }

    /// Returns for how long callers have been waiting for a model that no target has.
    pub fn unserved(&self, service: &id::Service, model: &id::Model, now: Point) -> Duration {
        let since = self.unserved.get(&(service.clone(), model.clone()));
        since.map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns the number of a model's adapters that are asked for at least this often.
    pub fn adapters_of(
        &self,
        service: &id::Service,
        model: &id::Model,
        least: f64,
        now: Point,
    ) -> usize {
        let adapters = self.items.iter().filter(|(item, mean)| {
            let mut mean = **mean;
            mean.decay(now);
            item.adapter.is_some()
                && item.model == *model
                && item.service == *service
                && mean.rate >= least
        });
        adapters.count()
    }

    /// Forgets items that nobody has asked for in a long time.
    pub fn prune(&mut self, now: Point) {
        let old = SPAN * 200;
        self.items.retain(|_, mean| now.since(mean.at) < old);
        self.unserved.retain(|_, since| now.since(*since) < old);
    }
}
