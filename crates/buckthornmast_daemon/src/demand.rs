//! Demand for models, summed over all instances.
//!
//! Each instance measures the requests of its own callers, including refused ones, and sends the others the
//! rows that have changed. A row without requests since the last update is sent as decaying: sender and receiver
//! apply the same decay, so it need not be sent again for that. All rows are repeated after
//! [`REFRESH_INTERVAL`], and a receiver that lacks the rows of an instance requests all of them at once.

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

/// Time constant of the exponential average of a rate.
const AVERAGING_WINDOW: Duration = Duration::from_secs(10);

/// Interval after which a row is sent again although it has not changed.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a row that is not repeated no longer counts; allows for one lost notice.
pub const FORGET_AFTER: Duration = Duration::from_secs(25);

/// Maximum time to wait for the rows of other instances after a start. One request per second is sent to each, and
/// answered within a second, so that at least three can be answered.
pub const MAX_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Relative change from which a row is sent. Rounding accounts for the rest of the 10 % error bound.
const CHANGE_RATIO: f64 = 0.09;

/// Request rate below which a row is neither sent nor counted.
const MIN_REQUESTS_PER_SECOND: f64 = 0.001;

/// Demand for one model or adapter at one instance, rounded to three significant digits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f32, f32)", into = "(String, f32, f32)")]
pub struct Row {
    /// Name by which callers address the model or adapter.
    pub name: String,
    /// Requests per second.
    pub requests: f32,
    /// Tokens per second.
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

/// Demand rows sent by one instance to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether the update contains all rows of the sender.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Rows that keep their rates until the next update.
    pub steady: Vec<Row>,
    /// Rows that decay until the next update.
    #[serde(rename = "fading")]
    pub decaying: Vec<Row>,
}

/// Notices that an instance has to send.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// Changed rows for all other instances.
    pub update: Option<Update>,
    /// Instances that requested all rows, and these rows.
    pub replies: Option<(Vec<id::Instance>, Update)>,
    /// Instances to request all rows from.
    pub missing: Vec<id::Instance>,
}

/// Returns the fraction of a rate that remains after a time without requests.
fn decay(since: Duration) -> f64 {
    (-since.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp()
}

/// Rounds to three significant digits.
fn round(value: f64) -> f32 {
    if value < f64::MIN_POSITIVE {
        return 0.0;
    }
    let scale = 10_f64.powf(2.0 - value.log10().floor());
    ((value * scale).round() / scale) as f32
}

/// Requests and tokens per second of one name at this instance.
#[derive(Debug, Clone, Copy, Default)]
struct Meter {
    requests: f64,
    tokens: f64,
    /// Time up to which the rates have been decayed.
    decayed_at: Point,
    last_request: Point,
}

impl Meter {
    /// Applies exponential decay.
    ///
    /// Each request adds 1 / [`AVERAGING_WINDOW`], so that the value for a steady rate converges to this rate.
    fn decay(&mut self, now: Point) {
        let factor = decay(now.since(self.decayed_at));
        self.requests *= factor;
        self.tokens *= factor;
        self.decayed_at = now;
    }
}

/// Row as last sent by this instance, or as last received from another one.
#[derive(Debug, Clone, Copy)]
struct Published {
    requests: f64,
    tokens: f64,
    is_decaying: bool,
    /// Time at which it was sent or received.
    published_at: Point,
}

impl Published {
    fn new(row: &Row, is_decaying: bool, published_at: Point) -> Self {
        Self {
            requests: row.requests.into(),
            tokens: row.tokens.into(),
            is_decaying,
            published_at,
        }
    }

    fn rates(&self, now: Point) -> (f64, f64) {
        let factor = if self.is_decaying {
            decay(now.since(self.published_at))
        } else {
            1.0
        };
        (self.requests * factor, self.tokens * factor)
    }

    fn differs(&self, now: Point, meter: &Meter) -> bool {
        let (requests, tokens) = self.rates(now);
        let differs =
            |published: f64, measured: f64| (published - measured).abs() > CHANGE_RATIO * measured;
        differs(requests, meter.requests) || differs(tokens, meter.tokens)
    }
}

impl Update {
    fn push(&mut self, row: Row, is_decaying: bool) {
        if is_decaying {
            self.decaying.push(row);
        } else {
            self.steady.push(row);
        }
    }
}

/// Rows of another instance.
#[derive(Debug, Default)]
struct Remote {
    /// Arrival of the last update.
    updated_at: Point,
    /// Whether all rows have been received since they were last discarded.
    is_complete: bool,
    rows: BTreeMap<String, Published>,
}

/// Demand at this and all other instances, with the time passed in by the caller.
#[derive(Debug, Default)]
pub struct Table {
    started: Point,
    last_update: Point,
    /// Other instances, whose rows are awaited after the start.
    expected: BTreeSet<id::Instance>,
    meters: BTreeMap<String, Meter>,
    published: BTreeMap<String, Published>,
    remotes: BTreeMap<id::Instance, Remote>,
    /// Instances that requested all rows and have not been answered yet.
    requesters: BTreeSet<id::Instance>,
}

impl Table {
    /// Returns a table without demand that expects rows from the other instances.
    pub fn new(started: Point, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            started,
            last_update: started,
            expected: others.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Counts a request received by this instance.
    pub fn count(&mut self, now: Point, name: &str, tokens: u32) {
        let meter = self.meters.entry(name.to_owned()).or_insert(Meter {
            decayed_at: now,
            ..Meter::default()
        });
        meter.decay(now);
        meter.requests += 1.0 / AVERAGING_WINDOW.as_secs_f64();
        meter.tokens += f64::from(tokens) / AVERAGING_WINDOW.as_secs_f64();
        meter.last_request = now;
    }

    fn decay(&mut self, now: Point) {
        for meter in self.meters.values_mut() {
            meter.decay(now);
        }
        self.meters
            .retain(|_, meter| meter.requests >= MIN_REQUESTS_PER_SECOND);
        let meters = &self.meters;
        self.published.retain(|name, _| meters.contains_key(name));
        for remote in self.remotes.values_mut() {
            let is_fresh = |published: &Published| now.since(published.published_at) < FORGET_AFTER;
            remote.rows.retain(|_, published| is_fresh(published));
        }
    }

    /// Returns the requests and tokens per second at this instance, by name.
    pub fn local_rates(&mut self, now: Point) -> BTreeMap<String, (f64, f64)> {
        self.decay(now);
        let rates = |meter: &Meter| (meter.requests, meter.tokens);
        let meters = self.meters.iter();
        meters
            .map(|(name, meter)| (name.clone(), rates(meter)))
            .collect()
    }

    /// Returns the notices to send; must be called every second.
    pub fn take_due(&mut self, now: Point) -> Due {
        self.decay(now);
        let mut update = Update::default();
        for (name, meter) in &self.meters {
            let is_due = |published: &Published| {
                now.since(published.published_at) >= REFRESH_INTERVAL
                    || published.differs(now, meter)
            };
            if !self.published.get(name).is_none_or(is_due) {
                continue;
            }
            let row = Row {
                name: name.clone(),
                requests: round(meter.requests),
                tokens: round(meter.tokens),
            };
            let is_decaying = meter.last_request <= self.last_update;
            self.published
                .insert(name.clone(), Published::new(&row, is_decaying, now));
            update.push(row, is_decaying);
        }
        self.last_update = now;
        let requesters: Vec<_> = mem::take(&mut self.requesters).into_iter().collect();
        let is_empty = update.steady.is_empty() && update.decaying.is_empty();
        Due {
            update: (!is_empty).then_some(update),
            replies: (!requesters.is_empty()).then(|| (requesters, self.complete_update(now))),
            missing: self.missing(now),
        }
    }

    fn complete_update(&self, now: Point) -> Update {
        let mut update = Update {
            is_complete: true,
            ..Update::default()
        };
        for (name, published) in &self.published {
            let (requests, tokens) = published.rates(now);
            let row = Row {
                name: name.clone(),
                requests: round(requests),
                tokens: round(tokens),
            };
            update.push(row, published.is_decaying);
        }
        update
    }

    /// Returns the instances whose complete rows have not arrived yet; empty after [`MAX_SETTLE_TIME`].
    fn missing(&self, now: Point) -> Vec<id::Instance> {
        if now.since(self.started) >= MAX_SETTLE_TIME {
            return Vec::new();
        }
        let is_complete = |other: &id::Instance| {
            self.remotes
                .get(other)
                .is_some_and(|remote| remote.is_complete)
        };
        let is_missing = |other: &&id::Instance| !is_complete(other);
        self.expected.iter().filter(is_missing).cloned().collect()
    }

    /// Returns whether the rows of all other instances have been received or [`MAX_SETTLE_TIME`] has passed. A
    /// total without them would show a busy model as idle.
    pub fn is_settled(&self, now: Point) -> bool {
        self.missing(now).is_empty()
    }

    /// Records that an instance requested all rows.
    pub fn record_requester(&mut self, from: &id::Instance) {
        self.requesters.insert(from.clone());
    }

    /// Accepts the rows of another instance and returns whether to request all of its rows.
    pub fn accept(&mut self, now: Point, from: &id::Instance, update: Update) -> bool {
        let is_complete = update.is_complete;
        let is_known =
            |remote: &Remote| remote.is_complete && now.since(remote.updated_at) < FORGET_AFTER;
        let is_known = self.remotes.get(from).is_some_and(is_known);
        if is_complete {
            self.remotes.remove(from);
        }
        let remote = self.remotes.entry(from.clone()).or_default();
        remote.is_complete = is_complete || is_known;
        remote.updated_at = now;
        let steady = update.steady.into_iter().map(|row| (row, false));
        let decaying = update.decaying.into_iter().map(|row| (row, true));
        for (row, is_decaying) in steady.chain(decaying) {
            let published = Published::new(&row, is_decaying, now);
            remote.rows.insert(row.name, published);
        }
        !remote.is_complete
    }

    /// Returns the requests and tokens per second over all instances, by name.
    pub fn total(&mut self, now: Point) -> BTreeMap<String, (f64, f64)> {
        let mut total = self.local_rates(now);
        let rows = self.remotes.values().flat_map(|remote| &remote.rows);
        for (name, published) in rows {
            let (requests, tokens) = published.rates(now);
            if requests < MIN_REQUESTS_PER_SECOND {
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
    /// Returns a table without demand that expects rows from the other instances.
    pub fn new(clock: System, others: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            table: Arc::new(Mutex::new(Table::new(clock.now(), others))),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request received by this instance.
    pub fn count(&self, name: &str, tokens: u32) {
        let now = self.clock.now();
        self.lock().count(now, name, tokens);
    }

    /// Returns the notices to send; must be called every second.
    pub fn take_due(&self) -> Due {
        let now = self.clock.now();
        self.lock().take_due(now)
    }

    /// Returns whether the rows of all other instances have been received or [`MAX_SETTLE_TIME`] has passed.
    pub fn is_settled(&self) -> bool {
        let now = self.clock.now();
        self.lock().is_settled(now)
    }

    /// Records that an instance requested all rows.
    pub fn record_requester(&self, from: &id::Instance) {
        self.lock().record_requester(from);
    }

    /// Accepts the rows of another instance and returns whether to request all of its rows.
    pub fn accept(&self, from: &id::Instance, update: Update) -> bool {
        let now = self.clock.now();
        self.lock().accept(now, from, update)
    }

    /// Returns the requests and tokens per second over all instances, by name.
    pub fn total(&self) -> BTreeMap<String, (f64, f64)> {
        let now = self.clock.now();
        self.lock().total(now)
    }
}
