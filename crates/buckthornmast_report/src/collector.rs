//! Bounded memory of finished requests on one instance.
//!
//! Memory is bounded by [`MAX_MINUTE_CELLS`] and [`MAX_HOUR_CELLS`] counts of 24 bytes, [`MAX_KEYS`]
//! names, [`MAX_TIMES`] pairs of histograms in [`TIME_SLOTS`] slots of at most 16 KiB, and
//! [`MAX_POINTS`] points. Vectors may hold twice what they use. By these sizes the bound is about 35 MB;
//! `examples/memory.rs` has measured 24 MB with a third of the counts and all other tables full.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_types::id;
use hdrhistogram::Histogram;

use crate::{
    extract::{
        Extract, Key, MAX_ROWS, Moves, OTHER, Period, Point, Row, SLOT_MS, SLOTS, SUMS, Times,
        Usage, Use, Values, WINDOWS_MS,
    },
    tier::{Counts, Tier},
};

/// Counts that the buckets of a minute hold.
pub const MAX_MINUTE_CELLS: usize = 200_000;

/// Counts that the buckets of an hour hold.
pub const MAX_HOUR_CELLS: usize = 100_000;

/// Keys that are told apart; the rest is added up per objective under [`OTHER`].
pub const MAX_KEYS: usize = 8192;

/// Additional keys for what is added up.
const MAX_OTHER_KEYS: usize = 1024;

/// Objectives whose times are recorded.
pub const MAX_TIMES: usize = 32;

/// Slots of recorded times, ten minutes each.
pub const TIME_SLOTS: usize = 6;

/// Points of series and of usage, each: three days of 17 teams with one objective. An extract of all of
/// them stays far below the largest message between instances, 8 MiB; with 20,000 it took 6.6 MB.
pub const MAX_POINTS: usize = 5000;

/// Policy changes that are kept per team.
const MAX_PERIODS: usize = 64;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;
const TIME_SLOT_MS: u64 = 600_000;
const MINUTES: u64 = 1440;
const HOURS: u64 = 35 * 24;

/// Longest recorded time. Two digits up to an hour need 16 KiB per histogram at most.
const MAX_TIME_MS: u64 = 3_600_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered whole.
    Answered,
    /// Refused at once, not run.
    Refused,
    /// Failed.
    Failed,
    /// The caller went away.
    Abandoned,
}

/// Finished request.
#[derive(Debug, Clone)]
pub struct Event<'a> {
    /// Team.
    pub team: &'a id::Team,
    /// Objective.
    pub objective: &'a str,
    /// Model or adapter.
    pub model: &'a str,
    /// Target that answered last, if any.
    pub target: Option<&'a id::Target>,
    /// How the request ended.
    pub end: End,
    /// Whether it was answered within its deadline.
    pub met: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
}

impl Event<'_> {
    fn counts(&self) -> [u32; 5] {
        let one = |end: End| u32::from(self.end == end);
        let good = u32::from(self.end == End::Answered && self.met);
        let failed = one(End::Failed);
        [1, good, one(End::Refused), failed, one(End::Abandoned)]
    }
}

/// Histograms of one slot.
#[derive(Debug)]
struct Recorded {
    slot: u64,
    first_token: Histogram<u32>,
    total: Histogram<u32>,
}

type Objective = (id::Team, String);
type Series = BTreeMap<(u64, id::Team, String, String), Counts>;
type Uses = BTreeMap<(u64, id::Team, String, Option<String>), Usage>;

/// Windows of error budgets by objective.
pub type Windows = BTreeMap<Objective, Duration>;

/// Collector of finished requests.
#[derive(Debug)]
pub struct Collector {
    started_ms: u64,
    keys: Vec<Key>,
    index: HashMap<Key, u32>,
    minutes: Tier,
    hours: Tier,
    times: BTreeMap<Objective, VecDeque<Recorded>>,
    series: Series,
    uses: Uses,
    periods: BTreeMap<id::Team, VecDeque<Period>>,
    counters: BTreeMap<id::Team, Moves>,
    dropped: u64,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn trim<K: Ord, V>(map: &mut BTreeMap<K, V>, slot: u64, slot_of: impl Fn(&K) -> u64) {
    while let Some((key, _)) = map.first_key_value() {
        if slot_of(key) + SLOTS > slot && map.len() <= MAX_POINTS {
            break;
        }
        map.pop_first();
    }
}

impl Collector {
    /// Returns an empty collector.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            keys: Vec::new(),
            index: HashMap::new(),
            minutes: Tier::new(MINUTE_MS, MINUTES, MAX_MINUTE_CELLS),
            hours: Tier::new(HOUR_MS, HOURS, MAX_HOUR_CELLS),
            times: BTreeMap::new(),
            series: BTreeMap::new(),
            uses: BTreeMap::new(),
            periods: BTreeMap::new(),
            counters: BTreeMap::new(),
            dropped: 0,
        }
    }

    fn intern(&mut self, key: Key, max: usize) -> Option<u32> {
        if let Some(known) = self.index.get(&key) {
            return Some(*known);
        }
        if self.keys.len() >= max {
            return None;
        }
        let number = u32::try_from(self.keys.len()).ok()?;
        self.keys.push(key.clone());
        self.index.insert(key, number);
        Some(number)
    }

    /// Returns the policy and the shadow policy that the settings name.
    fn policy(&self, team: &id::Team) -> (String, Option<String>) {
        let newest = self.periods.get(team).and_then(VecDeque::back);
        newest.map_or_else(
            || ("unknown".to_owned(), None),
            |period| (period.policy.clone(), period.shadow.clone()),
        )
    }

    /// Takes a finished request.
    pub fn record(&mut self, now_ms: u64, event: &Event<'_>) {
        let counts = event.counts();
        let key = Key {
            team: event.team.clone(),
            objective: event.objective.to_owned(),
            model: event.model.to_owned(),
            target: event.target.cloned(),
        };
        let other = Key {
            model: OTHER.to_owned(),
            target: None,
            ..key.clone()
        };
        let number = self
            .intern(key, MAX_KEYS)
            .or_else(|| self.intern(other, MAX_KEYS + MAX_OTHER_KEYS));
        let Some(number) = number else {
            self.dropped += 1;
            return;
        };
        self.minutes.record(now_ms, number, counts);
        self.hours.record(now_ms, number, counts);
        self.record_times(now_ms, event);
        let slot = now_ms / SLOT_MS;
        let (policy, _) = self.policy(event.team);
        let key = (slot, event.team.clone(), event.objective.to_owned(), policy);
        let sum = self.series.entry(key).or_default();
        sum.add(Counts::from(counts.map(u64::from)));
        trim(&mut self.series, slot, |key| key.0);
    }

    /// Records the times of an answered request; refusals would make a service look fast.
    fn record_times(&mut self, now_ms: u64, event: &Event<'_>) {
        if event.end != End::Answered {
            return;
        }
        let key = (event.team.clone(), event.objective.to_owned());
        if !self.times.contains_key(&key) && self.times.len() >= MAX_TIMES {
            return;
        }
        let slot = now_ms / TIME_SLOT_MS;
        let slots = self.times.entry(key).or_default();
        if slots.back().is_none_or(|newest| newest.slot < slot) {
            let (Ok(first_token), Ok(total)) = (
                Histogram::new_with_max(MAX_TIME_MS, 2),
                Histogram::new_with_max(MAX_TIME_MS, 2),
            ) else {
                return;
            };
            slots.push_back(Recorded {
                slot,
                first_token,
                total,
            });
            while slots.len() > TIME_SLOTS {
                slots.pop_front();
            }
        }
        if let Some(recorded) = slots.back_mut() {
            recorded.total.saturating_record(millis(event.total).max(1));
            if let Some(first) = event.first_token {
                recorded.first_token.saturating_record(millis(first).max(1));
            }
        }
    }

    /// Notes the policy that the settings name.
    pub fn set_policy(&mut self, period: Period) {
        let periods = self.periods.entry(period.team.clone()).or_default();
        let is_same = periods
            .back()
            .is_some_and(|last| last.policy == period.policy && last.shadow == period.shadow);
        if is_same {
            return;
        }
        periods.push_back(period);
        if periods.len() > MAX_PERIODS {
            periods.pop_front();
        }
    }

    fn usage(&mut self, now_ms: u64, team: &id::Team) -> &mut Usage {
        let slot = now_ms / SLOT_MS;
        trim(&mut self.uses, slot, |key| key.0);
        let (policy, shadow) = self.policy(team);
        let key = (slot, team.clone(), policy, shadow);
        self.uses.entry(key).or_default()
    }

    /// Notes that a team's copies used accelerators for a while; only the controller of a domain does.
    pub fn use_accelerators(
        &mut self,
        now_ms: u64,
        team: &id::Team,
        accelerators: f64,
        span: Duration,
    ) {
        let span = millis(span);
        let usage = self.usage(now_ms, team);
        usage.accelerator_ms += (accelerators.max(0.0) * span as f64).round() as u64;
        usage.observed_ms += span;
    }

    /// Takes the counters of the controller; a counter that fell was reset and counts from zero.
    pub fn count_moves(&mut self, now_ms: u64, team: &id::Team, now: Moves) {
        let before = self.counters.insert(team.clone(), now).unwrap_or_default();
        let was_reset =
            now.loads < before.loads || now.unloads < before.unloads || now.shifts < before.shifts;
        let before = if was_reset { Moves::default() } else { before };
        let moved = Moves {
            loads: now.loads - before.loads,
            unloads: now.unloads - before.unloads,
            shifts: now.shifts - before.shifts,
        };
        if moved.total() > 0 {
            self.usage(now_ms, team).moves.add(moved);
        }
    }

    /// Adds moves that the shadow policy of a team would have made.
    pub fn count_shadow(&mut self, now_ms: u64, team: &id::Team, moves: Moves) {
        if moves.total() > 0 {
            self.usage(now_ms, team).shadow.add(moves);
        }
    }

    /// Returns the number of counts in buckets.
    pub fn cells(&self) -> usize {
        self.minutes.cells() + self.hours.cells()
    }

    fn tier(&self, window_ms: u64) -> &Tier {
        if window_ms <= self.minutes.span_ms() {
            &self.minutes
        } else {
            &self.hours
        }
    }

    fn rows(&self, now_ms: u64, windows: &Windows) -> Vec<Row> {
        let mut sums: BTreeMap<u32, [Counts; SUMS]> = BTreeMap::new();
        for (at, window) in WINDOWS_MS.into_iter().enumerate() {
            self.tier(window).sum(now_ms, window, |key, counts| {
                sums.entry(key).or_default()[at].add(counts);
            });
        }
        let mut lengths: BTreeMap<u64, Vec<bool>> = BTreeMap::new();
        for (number, key) in self.keys.iter().enumerate() {
            let window = windows.get(&(key.team.clone(), key.objective.clone()));
            let length = window.map_or(self.hours.span_ms(), |window| millis(*window));
            let of_length = lengths.entry(length).or_default();
            of_length.resize(self.keys.len(), false);
            of_length[number] = true;
        }
        for (length, of_length) in lengths {
            self.tier(length).sum(now_ms, length, |key, counts| {
                if of_length.get(key as usize) == Some(&true) {
                    sums.entry(key).or_default()[SUMS - 1].add(counts);
                }
            });
        }
        let row = |(number, sums): (u32, [Counts; SUMS])| Row {
            key: self.keys[number as usize].clone(),
            sums,
        };
        fold(sums.into_iter().map(row).collect())
    }

    fn times(&self, now_ms: u64) -> Vec<Times> {
        let oldest = (now_ms / TIME_SLOT_MS + 1).saturating_sub(TIME_SLOTS as u64);
        let mut rows = Vec::new();
        for ((team, objective), slots) in &self.times {
            let fresh = || slots.iter().filter(|recorded| recorded.slot >= oldest);
            let first_token = values(fresh().map(|recorded| &recorded.first_token));
            let total = values(fresh().map(|recorded| &recorded.total));
            if !total.is_empty() {
                rows.push(Times {
                    team: team.clone(),
                    objective: objective.clone(),
                    first_token,
                    total,
                });
            }
        }
        rows
    }

    /// Returns the extract for a report; `windows` are those of the objectives in force.
    pub fn extract(&self, now_ms: u64, windows: &Windows) -> Extract {
        let oldest = (now_ms / SLOT_MS + 1).saturating_sub(SLOTS);
        let points = self.series.iter().filter(|(key, _)| key.0 >= oldest);
        let points = points.map(|((slot, team, objective, policy), counts)| Point {
            slot: *slot,
            team: team.clone(),
            objective: objective.clone(),
            policy: policy.clone(),
            counts: *counts,
        });
        let uses = self.uses.iter().filter(|(key, _)| key.0 >= oldest);
        let uses = uses.map(|((slot, team, policy, shadow), usage)| Use {
            slot: *slot,
            team: team.clone(),
            policy: policy.clone(),
            shadow: shadow.clone(),
            usage: *usage,
        });
        let mut since_ms = [self.started_ms; SUMS];
        for (at, window) in WINDOWS_MS.into_iter().enumerate() {
            since_ms[at] = self.started_ms.max(self.tier(window).floor_ms());
        }
        since_ms[SUMS - 1] = self.started_ms.max(self.hours.floor_ms());
        Extract {
            started_ms: self.started_ms,
            at_ms: now_ms,
            since_ms,
            rows: self.rows(now_ms, windows),
            times: self.times(now_ms),
            points: points.collect(),
            uses: uses.collect(),
            periods: self.periods.values().flatten().cloned().collect(),
            dropped: self.dropped,
        }
    }
}

fn values<'a>(histograms: impl Iterator<Item = &'a Histogram<u32>>) -> Values {
    let mut sums: BTreeMap<u64, u64> = BTreeMap::new();
    for histogram in histograms {
        for step in histogram.iter_recorded() {
            *sums.entry(step.value_iterated_to()).or_default() += step.count_at_value() as u64;
        }
    }
    sums.into_iter().collect()
}

/// Keeps the rows with the most missed requests and adds up the rest per objective.
fn fold(mut rows: Vec<Row>) -> Vec<Row> {
    if rows.len() <= MAX_ROWS {
        return rows;
    }
    rows.sort_by_key(|row| std::cmp::Reverse((row.sums[3].bad(), row.sums[3].total)));
    let mut others: BTreeMap<Key, [Counts; SUMS]> = BTreeMap::new();
    for row in rows.split_off(MAX_ROWS) {
        let key = Key {
            model: OTHER.to_owned(),
            target: None,
            ..row.key
        };
        let sums = others.entry(key).or_default();
        for (sum, counts) in sums.iter_mut().zip(row.sums) {
            sum.add(counts);
        }
    }
    rows.extend(others.into_iter().map(|(key, sums)| Row { key, sums }));
    rows
}
