//! Demand for models as all instances together see it.
//!
//! Each instance measures the requests of its own callers, refused ones included, and tells the
//! others every second. An instance that falls silent is forgotten after a few seconds.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use serde::{Deserialize, Serialize};

/// Time over which a rate is averaged.
const WINDOW: Duration = Duration::from_secs(10);

/// Time after which the rows of a silent instance no longer count.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Rate below which a row is not sent.
const MIN_RATE: f64 = 0.001;

/// Demand for one model or adapter at one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Model or adapter as callers name it.
    pub name: String,
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Meter {
    requests: f64,
    tokens: f64,
    at: Point,
}

impl Meter {
    /// Exponential decay; the sum over an infinite past of a steady rate is the rate.
    fn decay(&mut self, now: Point) {
        let elapsed = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        let factor = (-elapsed).exp();
        self.requests *= factor;
        self.tokens *= factor;
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct Table {
    own: BTreeMap<String, Meter>,
    others: BTreeMap<id::Instance, (Point, Vec<Row>)>,
}

/// Demand at this and all other instances.
#[derive(Clone)]
pub struct Demand {
    table: Arc<Mutex<Table>>,
    clock: System,
}

impl Demand {
    /// Starts without demand.
    pub fn new(clock: System) -> Self {
        Self {
            table: Arc::default(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request of a caller of this instance.
    pub fn count(&self, name: &str, tokens: u32) {
        let now = self.clock.now();
        let mut table = self.lock();
        let meter = table.own.entry(name.to_owned()).or_insert(Meter {
            at: now,
            ..Meter::default()
        });
        meter.decay(now);
        meter.requests += 1.0 / WINDOW.as_secs_f64();
        meter.tokens += f64::from(tokens) / WINDOW.as_secs_f64();
    }

    /// Returns the rows of this instance.
    pub fn own(&self) -> Vec<Row> {
        let now = self.clock.now();
        let mut table = self.lock();
        for meter in table.own.values_mut() {
            meter.decay(now);
        }
        table.own.retain(|_, meter| meter.requests >= MIN_RATE);
        let row = |(name, meter): (&String, &Meter)| Row {
            name: name.clone(),
            requests: meter.requests,
            tokens: meter.tokens,
        };
        table.own.iter().map(row).collect()
    }

    /// Takes the rows of another instance.
    pub fn accept(&self, from: &id::Instance, rows: Vec<Row>) {
        let now = self.clock.now();
        self.lock().others.insert(from.clone(), (now, rows));
    }

    /// Returns requests and tokens a second by name over all instances.
    pub fn total(&self) -> BTreeMap<String, (f64, f64)> {
        let mut total: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let own = self.own();
        let now = self.clock.now();
        let table = self.lock();
        let fresh = table
            .others
            .values()
            .filter(|(at, _)| now.since(*at) < FORGET_AFTER);
        for row in own.iter().chain(fresh.flat_map(|(_, rows)| rows)) {
            let sum = total.entry(row.name.clone()).or_default();
            sum.0 += row.requests;
            sum.1 += row.tokens;
        }
        total
    }
}
