//! Demand for models and adapters, as reported by entry instances.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

/// Time over which demand is averaged. It is short, since demand shifts within seconds.
const RATE_SPAN: Duration = Duration::from_millis(1000);

/// Time over which the baseline is averaged that the trend is measured against.
const TREND_SPAN: Duration = Duration::from_millis(2500);

/// Time for which the trend is extrapolated. Loads take longer, but few shifts of demand last longer.
const TREND_HORIZON: Duration = Duration::from_millis(3000);

/// Time over which the demand for rarely requested items is averaged.
const LONG_SPAN: Duration = Duration::from_secs(8);

/// Requests per second below which the longer average is used, since the shorter one reflects single requests.
const LOW_REQUESTS_PER_SECOND: f64 = 3.0;

/// Assumed time of a request in a slot before the first sample, in seconds.
const DEFAULT_SLOT_SECONDS: f64 = 1.0;

/// Assumed time between two events of an answer before the first sample.
const DEFAULT_EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Time over which an increase of the time between two events is averaged. A decrease counts at once, since other work
/// at a target only makes the time longer.
const SLOWDOWN_SPAN: Duration = Duration::from_secs(20);

/// Model, with or without an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    /// Service.
    pub service: id::Service,
    /// Model.
    pub model: id::Model,
    /// Adapter of the model, or `None` for requests that need the model alone.
    pub adapter: Option<id::Adapter>,
}

/// Requests for an item since the last report of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Model or adapter.
    pub item: Item,
    /// Requests, including those that were refused.
    pub requests: u32,
    /// Requests that ended.
    pub ended: u32,
    /// Time that the ended requests took in their slots.
    pub slot_time: Duration,
    /// Events of streams that ended, without the first of each.
    pub events: u32,
    /// Time in which these events arrived.
    pub event_time: Duration,
}

/// Exponentially decaying averages of the requests for an item.
#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    // Requests per second, averaged over `RATE_SPAN`, `TREND_SPAN` and `LONG_SPAN`.
    rate: f64,
    trend_rate: f64,
    long_rate: f64,
    // Time of the last report.
    updated_at: Point,
    // Time of the last report with a request; zero if there was none.
    last_request: Point,
    // Weighted number of ended requests, and the seconds that they took in their slots.
    ended: f64,
    slot_seconds: f64,
}

/// Speed at which a model answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time of a request in its slot.
    pub slot_time: Duration,
    /// Time between two events of an answer at a lightly loaded target.
    pub event_interval: Duration,
}

impl Averages {
    fn decay(&mut self, now: Point) {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.rate *= (-passed / RATE_SPAN.as_secs_f64()).exp();
        self.trend_rate *= (-passed / TREND_SPAN.as_secs_f64()).exp();
        self.long_rate *= (-passed / LONG_SPAN.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the change of the rate beyond random variation, per second.
    fn trend(&self) -> f64 {
        let change = self.rate - self.trend_rate;
        // Standard deviation of the difference of the two averages under steady demand.
        let deviation = (self.trend_rate.max(self.rate) / 3.0).sqrt();
        let spans = TREND_SPAN.as_secs_f64() - RATE_SPAN.as_secs_f64();
        (change.abs() - deviation).max(0.0).copysign(change) / spans
    }

    /// Returns the expected rate, extrapolated from the last second and the trend.
    fn expected_rate(&self) -> f64 {
        if self.rate.max(self.long_rate) < LOW_REQUESTS_PER_SECOND {
            return self.long_rate;
        }
        let ahead = RATE_SPAN + TREND_HORIZON;
        (self.rate + self.trend() * ahead.as_secs_f64()).max(0.0)
    }

    /// Returns the average time of a request in its slot, in seconds.
    fn mean_slot_seconds(&self) -> f64 {
        if self.ended >= 1.0 {
            self.slot_seconds / self.ended
        } else {
            DEFAULT_SLOT_SECONDS
        }
    }
}

/// Expected demand for a model and its adapters.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// Requests per second.
    pub rate: f64,
    /// Requests per second for adapters of the model.
    pub adapter_rate: f64,
    /// Slots that the requests occupy concurrently.
    pub slots: f64,
}

/// Combined demand of all instances.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    // By model, since most questions are about one model and its adapters.
    models: HashMap<(id::Service, id::Model), HashMap<Option<id::Adapter>, Averages>>,
    // Seconds between two events of an answer, and the time of the last sample.
    event_intervals: HashMap<(id::Service, id::Model), (f64, Point)>,
    // Times since which callers have been waiting for models that no target has.
    unserved_since: HashMap<(id::Service, id::Model), Point>,
}

impl Demand {
    /// Adds the report of an instance.
    pub fn add(&mut self, rows: &[Row], now: Point) {
        for row in rows {
            let key = (row.item.service.clone(), row.item.model.clone());
            let of_model = self.models.entry(key.clone()).or_default();
            let averages = of_model.entry(row.item.adapter.clone()).or_default();
            averages.decay(now);
            averages.rate += f64::from(row.requests) / RATE_SPAN.as_secs_f64();
            averages.trend_rate += f64::from(row.requests) / TREND_SPAN.as_secs_f64();
            averages.long_rate += f64::from(row.requests) / LONG_SPAN.as_secs_f64();
            if row.requests > 0 {
                averages.last_request = now;
            }
            // Newer samples outweigh older ones.
            averages.ended = averages.ended * 0.9 + f64::from(row.ended);
            averages.slot_seconds = averages.slot_seconds * 0.9 + row.slot_time.as_secs_f64();
            if row.events > 0 {
                let sample = row.event_time.as_secs_f64() / f64::from(row.events);
                let (interval, at) = self.event_intervals.entry(key).or_insert((sample, now));
                let passed = now.since(*at).as_secs_f64() / SLOWDOWN_SPAN.as_secs_f64();
                let weight = if sample < *interval {
                    1.0
                } else {
                    passed.min(1.0)
                };
                *interval += (sample - *interval) * weight;
                *at = now;
            }
        }
    }

    /// Returns the averages of a model and its adapters.
    fn of_model(
        &self,
        service: &id::Service,
        model: &id::Model,
    ) -> impl Iterator<Item = (&Option<id::Adapter>, &Averages)> {
        let of_model = self.models.get(&(service.clone(), model.clone()));
        of_model.into_iter().flatten()
    }

    fn averages(&self, item: &Item) -> Option<&Averages> {
        let of_model = self
            .models
            .get(&(item.service.clone(), item.model.clone()))?;
        of_model.get(&item.adapter)
    }

    /// Returns the speed at which a model answers.
    pub fn timing(&self, item: &Item) -> Timing {
        let key = (item.service.clone(), item.model.clone());
        let event = self.event_intervals.get(&key).map(|(event, _)| *event);
        let event = event.unwrap_or(DEFAULT_EVENT_INTERVAL.as_secs_f64());
        let slot = self
            .averages(item)
            .map_or(DEFAULT_SLOT_SECONDS, Averages::mean_slot_seconds);
        Timing {
            slot_time: Duration::from_secs_f64(slot),
            event_interval: Duration::from_secs_f64(event),
        }
    }

    /// Returns the rate of requests for an item, per second.
    pub fn rate(&self, item: &Item, now: Point) -> f64 {
        self.averages(item).map_or(0.0, |averages| {
            let mut averages = *averages;
            averages.decay(now);
            averages.rate
        })
    }

    /// Returns the time of the last request for an item.
    pub fn last_request(&self, item: &Item) -> Option<Point> {
        let averages = self.averages(item)?;
        (averages.last_request > Point::ZERO).then_some(averages.last_request)
    }

    /// Returns the expected demand for a model and its adapters.
    pub fn forecast(&self, service: &id::Service, model: &id::Model, now: Point) -> Forecast {
        let mut sum = Averages::default();
        let (mut slots, mut adapters) = (0.0, 0.0);
        for (adapter, averages) in self.of_model(service, model) {
            let mut averages = *averages;
            averages.decay(now);
            sum.rate += averages.rate;
            sum.trend_rate += averages.trend_rate;
            sum.long_rate += averages.long_rate;
            slots += averages.trend_rate * averages.mean_slot_seconds();
            if adapter.is_some() {
                adapters += averages.trend_rate;
            }
        }
        let rate = sum.expected_rate();
        let share = |part: f64| rate * part / sum.trend_rate.max(f64::MIN_POSITIVE);
        Forecast {
            rate,
            adapter_rate: share(adapters),
            slots: share(slots),
        }
    }

    /// Records whether any target has a model, if there are recent requests for it.
    pub fn record_copies(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        has_any: bool,
        now: Point,
    ) {
        let key = (service.clone(), model.clone());
        if has_any {
            self.unserved_since.remove(&key);
            return;
        }
        let is_requested = self
            .of_model(service, model)
            .any(|(_, averages)| now.since(averages.last_request) < RATE_SPAN);
        if is_requested {
            self.unserved_since.entry(key).or_insert(now);
        }
    }

    /// Returns how long callers have been waiting for a model that no target has.
    pub fn unserved_for(&self, service: &id::Service, model: &id::Model, now: Point) -> Duration {
        let since = self.unserved_since.get(&(service.clone(), model.clone()));
        since.map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns the number of a model's adapters with at least this many requests per second.
    pub fn active_adapters(
        &self,
        service: &id::Service,
        model: &id::Model,
        min_rate: f64,
        now: Point,
    ) -> usize {
        let adapters = self.of_model(service, model).filter(|(adapter, averages)| {
            let mut averages = **averages;
            averages.decay(now);
            adapter.is_some() && averages.rate >= min_rate
        });
        adapters.count()
    }

    /// Removes items that have not been reported in the last 200 seconds, and waits for models without a copy that
    /// began longer ago than that.
    pub fn prune(&mut self, now: Point) {
        let retention = RATE_SPAN * 200;
        for of_model in self.models.values_mut() {
            of_model.retain(|_, averages| now.since(averages.updated_at) < retention);
        }
        self.models.retain(|_, of_model| !of_model.is_empty());
        self.unserved_since
            .retain(|_, since| now.since(*since) < retention);
    }
}
