//! Demand for models as all instances together see it.
//!
//! Each instance measures the requests of its own callers, refused ones included, and tells the others what
//! has changed. A row without requests since the last notice is told as fading: both ends let it decay alike,
//! so that it is not sent again for that. All rows are repeated after [`REFRESH`], and a receiver that lacks the
//! rows of an instance asks for all of them at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
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

/// Time after which a row is told again although it has not changed.
pub const REFRESH: Duration = Duration::from_secs(10);

/// Time after which a row that is not told again no longer counts; one notice may be lost.
pub const FORGET_AFTER: Duration = Duration::from_secs(25);

/// Time after a start for which rows of other instances are waited for; three questions fit in.
pub const SETTLE: Duration = Duration::from_secs(5);

/// Change, as a part of the value, from which a row is told. Rounding takes the rest of 10 %.
const CHANGE: f64 = 0.09;

/// Rate below which a row is not sent.
const MIN_RATE: f64 = 0.001;

/// Demand for one model or adapter at one instance, rounded to three digits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f32, f32)", into = "(String, f32, f32)")]
pub struct Row {
    /// Model or adapter as callers name it.
    pub name: String,
    /// Requests a second.
    pub requests: f32,
    /// Tokens a second.
    pub tokens: f32,
}

impl From<(String, f32, f32)> for Row {
    fn from((name, requests, tokens): (String, f32, f32)) -> Self {
        Self {
            name,
            requests,
            tokens,
        }
    }
}

impl From<Row> for (String, f32, f32) {
    fn from(row: Row) -> Self {
        (row.name, row.requests, row.tokens)
    }
}

/// Rows of an instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Whether these are all rows of the sender.
    pub is_whole: bool,
    /// Rows that stay as they are until told otherwise.
    pub steady: Vec<Row>,
    /// Rows that decay until told otherwise.
    pub fading: Vec<Row>,
}

/// What an instance has to send.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// Changes for all others.
    pub news: Option<News>,
    /// Instances that asked for all rows, with these.
    pub wanted: Option<(Vec<id::Instance>, News)>,
    /// Instances to ask for all rows.
    pub ask: Vec<id::Instance>,
}

/// Returns the part of a rate that is left after a time without requests.
fn decay(since: Duration) -> f64 {
    (-since.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

/// Rounds to three digits.
fn round(value: f64) -> f32 {
    if value < f64::MIN_POSITIVE {
        return 0.0;
    }
    let scale = 10_f64.powf(2.0 - value.log10().floor());
    ((value * scale).round() / scale) as f32
}

#[derive(Debug, Clone, Copy, Default)]
struct Meter {
    requests: f64,
    tokens: f64,
    at: Point,
    counted: Point,
}

impl Meter {
    /// Exponential decay; the sum over an infinite past of a steady rate is the rate.
    fn decay(&mut self, now: Point) {
        let factor = decay(now.since(self.at));
        self.requests *= factor;
        self.tokens *= factor;
        self.at = now;
    }
}

/// Row as it was told.
#[derive(Debug, Clone, Copy)]
struct Told {
    requests: f64,
    tokens: f64,
    is_fading: bool,
    at: Point,
}

impl Told {
    fn new(row: &Row, is_fading: bool, at: Point) -> Self {
        Self {
            requests: row.requests.into(),
            tokens: row.tokens.into(),
            is_fading,
            at,
        }
    }

    fn rates(&self, now: Point) -> (f64, f64) {
        let factor = if self.is_fading {
            decay(now.since(self.at))
        } else {
            1.0
        };
        (self.requests * factor, self.tokens * factor)
    }

    fn differs(&self, now: Point, meter: &Meter) -> bool {
        let (requests, tokens) = self.rates(now);
        let far = |told: f64, own: f64| (told - own).abs() > CHANGE * own;
        far(requests, meter.requests) || far(tokens, meter.tokens)
    }
}

impl News {
    fn push(&mut self, row: Row, is_fading: bool) {
        if is_fading {
            self.fading.push(row);
        } else {
            self.steady.push(row);
        }
    }
}

#[derive(Debug, Default)]
struct Heard {
    at: Point,
    /// Whether all rows have been here since the last time that they were forgotten.
    is_whole: bool,
    rows: BTreeMap<String, Told>,
}

/// Demand at this and all other instances; time comes from outside.
#[derive(Debug, Default)]
pub struct Table {
    started: Point,
    taken: Point,
    expected: BTreeSet<id::Instance>,
    own: BTreeMap<String, Meter>,
    told: BTreeMap<String, Told>,
    heard: BTreeMap<id::Instance, Heard>,
    wanted: BTreeSet<id::Instance>,
}

impl Table {
    /// Starts without demand, with the other instances.
    pub fn new(started: Point, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            started,
            taken: started,
            expected: others.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Counts a request of a caller of this instance.
    pub fn count(&mut self, now: Point, name: &str, tokens: u32) {
        let meter = self.own.entry(name.to_owned()).or_insert(Meter {
            at: now,
            ..Meter::default()
        });
        meter.decay(now);
        meter.requests += 1.0 / WINDOW.as_secs_f64();
        meter.tokens += f64::from(tokens) / WINDOW.as_secs_f64();
        meter.counted = now;
    }

    fn decay(&mut self, now: Point) {
        for meter in self.own.values_mut() {
            meter.decay(now);
        }
        self.own.retain(|_, meter| meter.requests >= MIN_RATE);
        let own = &self.own;
        self.told.retain(|name, _| own.contains_key(name));
        for heard in self.heard.values_mut() {
            let is_fresh = |told: &Told| now.since(told.at) < FORGET_AFTER;
            heard.rows.retain(|_, told| is_fresh(told));
        }
    }

    /// Returns requests and tokens a second by name at this instance.
    pub fn own(&mut self, now: Point) -> BTreeMap<String, (f64, f64)> {
        self.decay(now);
        let rates = |meter: &Meter| (meter.requests, meter.tokens);
        let own = self.own.iter();
        own.map(|(name, meter)| (name.clone(), rates(meter)))
            .collect()
    }

    /// Returns what is to be sent; to be called every second.
    pub fn take(&mut self, now: Point) -> Due {
        self.decay(now);
        let mut news = News::default();
        for (name, meter) in &self.own {
            let is_due = |told: &Told| now.since(told.at) >= REFRESH || told.differs(now, meter);
            if !self.told.get(name).is_none_or(is_due) {
                continue;
            }
            let row = Row {
                name: name.clone(),
                requests: round(meter.requests),
                tokens: round(meter.tokens),
            };
            let is_fading = meter.counted <= self.taken;
            self.told
                .insert(name.clone(), Told::new(&row, is_fading, now));
            news.push(row, is_fading);
        }
        self.taken = now;
        let wanted: Vec<_> = mem::take(&mut self.wanted).into_iter().collect();
        let is_empty = news.steady.is_empty() && news.fading.is_empty();
        Due {
            news: (!is_empty).then_some(news),
            wanted: (!wanted.is_empty()).then(|| (wanted, self.whole(now))),
            ask: self.missing(now),
        }
    }

    fn whole(&self, now: Point) -> News {
        let mut news = News {
            is_whole: true,
            ..News::default()
        };
        for (name, told) in &self.told {
            let (requests, tokens) = told.rates(now);
            let row = Row {
                name: name.clone(),
                requests: round(requests),
                tokens: round(tokens),
            };
            news.push(row, told.is_fading);
        }
        news
    }

    /// Returns the instances that were not heard since the start and may still answer in time.
    fn missing(&self, now: Point) -> Vec<id::Instance> {
        if now.since(self.started) >= SETTLE {
            return Vec::new();
        }
        let is_whole =
            |other: &id::Instance| self.heard.get(other).is_some_and(|heard| heard.is_whole);
        let is_missing = |other: &&id::Instance| !is_whole(other);
        self.expected.iter().filter(is_missing).cloned().collect()
    }

    /// Returns whether the rows of all instances are here that answer. A sum without them would show a busy
    /// model as idle.
    pub fn is_settled(&self, now: Point) -> bool {
        self.missing(now).is_empty()
    }

    /// Notes that an instance wants all rows.
    pub fn want(&mut self, from: &id::Instance) {
        self.wanted.insert(from.clone());
    }

    /// Takes the rows of another instance and returns whether to ask it for all of them.
    pub fn accept(&mut self, now: Point, from: &id::Instance, news: News) -> bool {
        let is_whole = news.is_whole;
        let is_known = |heard: &Heard| heard.is_whole && now.since(heard.at) < FORGET_AFTER;
        let is_known = self.heard.get(from).is_some_and(is_known);
        if is_whole {
            self.heard.remove(from);
        }
        let heard = self.heard.entry(from.clone()).or_default();
        heard.is_whole = is_whole || is_known;
        heard.at = now;
        let steady = news.steady.into_iter().map(|row| (row, false));
        let fading = news.fading.into_iter().map(|row| (row, true));
        for (row, is_fading) in steady.chain(fading) {
            let told = Told::new(&row, is_fading, now);
            heard.rows.insert(row.name, told);
        }
        !heard.is_whole
    }

    /// Returns requests and tokens a second by name over all instances.
    pub fn total(&mut self, now: Point) -> BTreeMap<String, (f64, f64)> {
        let mut total = self.own(now);
        let rows = self.heard.values().flat_map(|heard| &heard.rows);
        for (name, told) in rows {
            let (requests, tokens) = told.rates(now);
            if requests < MIN_RATE {
                continue;
            }
            let sum = total.entry(name.clone()).or_default();
            sum.0 += requests;
            sum.1 += tokens;
        }
        total
    }
}

/// Demand at this and all other instances.
#[derive(Clone)]
pub struct Demand {
    table: Arc<Mutex<Table>>,
    clock: System,
}

impl Demand {
    /// Starts without demand, with the other instances.
    pub fn new(clock: System, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            table: Arc::new(Mutex::new(Table::new(clock.now(), others))),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request of a caller of this instance.
    pub fn count(&self, name: &str, tokens: u32) {
        let now = self.clock.now();
        self.lock().count(now, name, tokens);
    }

    /// Returns what is to be sent; to be called every second.
    pub fn take(&self) -> Due {
        let now = self.clock.now();
        self.lock().take(now)
    }

    /// Returns whether the rows of all instances are here that answer.
    pub fn is_settled(&self) -> bool {
        let now = self.clock.now();
        self.lock().is_settled(now)
    }

    /// Notes that an instance wants all rows.
    pub fn want(&self, from: &id::Instance) {
        self.lock().want(from);
    }

    /// Takes the rows of another instance and returns whether to ask it for all of them.
    pub fn accept(&self, from: &id::Instance, news: News) -> bool {
        let now = self.clock.now();
        self.lock().accept(now, from, news)
    }

    /// Returns requests and tokens a second by name over all instances.
    pub fn total(&self) -> BTreeMap<String, (f64, f64)> {
        let now = self.clock.now();
        self.lock().total(now)
    }
}
