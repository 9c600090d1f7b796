//! Collection of the finished requests of one instance in bounded memory.
//!
//! Memory is bounded by [`MAX_MINUTE_CELLS`] and [`MAX_HOUR_CELLS`] cells of 24 bytes, [`MAX_KEYS`] keys,
//! [`MAX_LATENCY_OBJECTIVES`] pairs of histograms of at most 16 KiB in each of [`MAX_LATENCY_SLOTS`] slots, and
//! [`MAX_POINTS`] points. The capacity of a vector may be twice its length. By these sizes the bound is about 35 MB.
//! `examples/memory.rs` takes 24 MB with a third of the cells and all other tables full.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_types::id;
use hdrhistogram::Histogram;

use crate::{
    extract::{
        Extract, Key, Latencies, MAX_ROWS, MAX_SLOTS, Moves, OTHER_MODEL, Period, Point, Row,
        SLOT_MS, SlotUsage, Usage, Values, WINDOW_COUNT, WINDOWS_MS,
    },
    tier::{Counts, Tier},
};

/// Maximum number of cells in all buckets of a minute. A cell holds the counts of one key in one bucket. Beyond it,
/// the oldest buckets are evicted.
pub const MAX_MINUTE_CELLS: usize = 200_000;

/// Maximum number of cells in all buckets of an hour. Beyond it, the oldest buckets are evicted.
pub const MAX_HOUR_CELLS: usize = 100_000;

/// Maximum number of distinct keys. Requests with further keys are summed per objective under [`OTHER_MODEL`].
pub const MAX_KEYS: usize = 8192;

/// Maximum number of keys under [`OTHER_MODEL`], in addition to [`MAX_KEYS`]. Requests with further ones are dropped
/// and counted.
const MAX_OTHER_KEYS: usize = 1024;

/// Maximum number of objectives whose latencies are recorded. Those of further objectives are not recorded.
pub const MAX_LATENCY_OBJECTIVES: usize = 32;

/// Number of slots of ten minutes over which latencies are retained.
pub const MAX_LATENCY_SLOTS: usize = 6;

/// Maximum number of points of the time series, and of usage: three days of 17 teams with one objective. An extract
/// of all of them stays far below the largest message between instances, 8 MiB; one of 20,000 points takes 6.6 MB.
/// Beyond it, the oldest points are evicted.
pub const MAX_POINTS: usize = 5000;

/// Maximum number of policy changes that are retained per team, the newest ones.
const MAX_PERIODS: usize = 64;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;
const LATENCY_SLOT_MS: u64 = 600_000;
// Number of buckets that are retained: a day of minutes, and 35 days of hours, more than the 28 days of the default
// window of an error budget.
const MINUTE_BUCKETS: u64 = 1440;
const HOUR_BUCKETS: u64 = 35 * 24;

/// Longest latency that is recorded; a longer one counts as this long. Two significant digits up to an hour need at
/// most 16 KiB per histogram.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely.
    Answered,
    /// Refused without being run.
    Refused,
    /// Failed.
    Failed,
    /// The caller disconnected before the end of the answer.
    Abandoned,
}

/// Finished request.
#[derive(Debug, Clone)]
pub struct FinishedRequest<'a> {
    /// Team.
    pub team: &'a id::Team,
    /// Objective.
    pub objective: &'a str,
    /// Model or adapter.
    pub model: &'a str,
    /// Target that answered last, if any did.
    pub target: Option<&'a id::Target>,
    /// Outcome.
    pub outcome: Outcome,
    /// Whether the request was answered within its deadline.
    pub is_in_time: bool,
    /// Time to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
}

impl FinishedRequest<'_> {
    fn counts(&self) -> [u32; 5] {
        let count = |outcome: Outcome| u32::from(self.outcome == outcome);
        let good = u32::from(self.outcome == Outcome::Answered && self.is_in_time);
        let failed = count(Outcome::Failed);
        [
            1,
            good,
            count(Outcome::Refused),
            failed,
            count(Outcome::Abandoned),
        ]
    }
}

/// Latency histograms of one slot.
#[derive(Debug)]
struct Histograms {
    slot: u64,
    first_token: Histogram<u32>,
    total: Histogram<u32>,
}

type ObjectiveKey = (id::Team, String);
type Series = BTreeMap<(u64, id::Team, String, String), Counts>;
type UsageSeries = BTreeMap<(u64, id::Team, String, Option<String>), Usage>;

/// Windows of error budgets by objective.
pub type Windows = BTreeMap<ObjectiveKey, Duration>;

/// Collector of finished requests.
#[derive(Debug)]
pub struct Collector {
    started_ms: u64,
    keys: Vec<Key>,
    key_indices: HashMap<Key, u32>,
    minutes: Tier,
    hours: Tier,
    latencies: BTreeMap<ObjectiveKey, VecDeque<Histograms>>,
    series: Series,
    usage_series: UsageSeries,
    periods: BTreeMap<id::Team, VecDeque<Period>>,
    last_counters: BTreeMap<id::Team, Moves>,
    dropped: u64,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Evicts the oldest entries beyond the number of slots and of points.
fn evict<K: Ord, V>(map: &mut BTreeMap<K, V>, slot: u64, slot_of: impl Fn(&K) -> u64) {
    while let Some((key, _)) = map.first_key_value() {
        if slot_of(key) + MAX_SLOTS > slot && map.len() <= MAX_POINTS {
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
            key_indices: HashMap::new(),
            minutes: Tier::new(MINUTE_MS, MINUTE_BUCKETS, MAX_MINUTE_CELLS),
            hours: Tier::new(HOUR_MS, HOUR_BUCKETS, MAX_HOUR_CELLS),
            latencies: BTreeMap::new(),
            series: BTreeMap::new(),
            usage_series: BTreeMap::new(),
            periods: BTreeMap::new(),
            last_counters: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Returns the index of a key, or `None` if the key is new and `max` keys are stored already.
    fn intern(&mut self, key: Key, max: usize) -> Option<u32> {
        if let Some(known) = self.key_indices.get(&key) {
            return Some(*known);
        }
        if self.keys.len() >= max {
            return None;
        }
        let index = u32::try_from(self.keys.len()).ok()?;
        self.keys.push(key.clone());
        self.key_indices.insert(key, index);
        Some(index)
    }

    /// Returns the policy in force, or `unknown` if none was recorded, and the shadow policy.
    fn policy(&self, team: &id::Team) -> (String, Option<String>) {
        let newest = self.periods.get(team).and_then(VecDeque::back);
        newest.map_or_else(
            || ("unknown".to_owned(), None),
            |period| (period.policy.clone(), period.shadow.clone()),
        )
    }

    /// Records a finished request.
    pub fn record(&mut self, now_ms: u64, request: &FinishedRequest<'_>) {
        let counts = request.counts();
        let key = Key {
            team: request.team.clone(),
            objective: request.objective.to_owned(),
            model: request.model.to_owned(),
            target: request.target.cloned(),
        };
        let other = Key {
            model: OTHER_MODEL.to_owned(),
            target: None,
            ..key.clone()
        };
        let index = self
            .intern(key, MAX_KEYS)
            .or_else(|| self.intern(other, MAX_KEYS + MAX_OTHER_KEYS));
        let Some(index) = index else {
            self.dropped += 1;
            return;
        };
        self.minutes.record(now_ms, index, counts);
        self.hours.record(now_ms, index, counts);
        self.record_latencies(now_ms, request);
        let slot = now_ms / SLOT_MS;
        let (policy, _) = self.policy(request.team);
        let key = (
            slot,
            request.team.clone(),
            request.objective.to_owned(),
            policy,
        );
        let sum = self.series.entry(key).or_default();
        sum.add(Counts::from(counts.map(u64::from)));
        evict(&mut self.series, slot, |key| key.0);
    }

    /// Records the latencies of an answered request. Refusals are left out, since they would make a service look fast.
    fn record_latencies(&mut self, now_ms: u64, request: &FinishedRequest<'_>) {
        if request.outcome != Outcome::Answered {
            return;
        }
        let key = (request.team.clone(), request.objective.to_owned());
        if !self.latencies.contains_key(&key) && self.latencies.len() >= MAX_LATENCY_OBJECTIVES {
            return;
        }
        let slot = now_ms / LATENCY_SLOT_MS;
        let slots = self.latencies.entry(key).or_default();
        if slots.back().is_none_or(|newest| newest.slot < slot) {
            let (Ok(first_token), Ok(total)) = (
                Histogram::new_with_max(MAX_LATENCY_MS, 2),
                Histogram::new_with_max(MAX_LATENCY_MS, 2),
            ) else {
                return;
            };
            slots.push_back(Histograms {
                slot,
                first_token,
                total,
            });
            while slots.len() > MAX_LATENCY_SLOTS {
                slots.pop_front();
            }
        }
        if let Some(histograms) = slots.back_mut() {
            histograms
                .total
                .saturating_record(millis(request.total).max(1));
            if let Some(first) = request.first_token {
                histograms
                    .first_token
                    .saturating_record(millis(first).max(1));
            }
        }
    }

    /// Records the policy that the settings name, if it differs from the last one.
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
        evict(&mut self.usage_series, slot, |key| key.0);
        let (policy, shadow) = self.policy(team);
        let key = (slot, team.clone(), policy, shadow);
        self.usage_series.entry(key).or_default()
    }

    /// Records the accelerators that a team's copies used during `span`. Called only on the instance that controls the
    /// domain.
    pub fn record_usage(
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

    /// Adds the moves since the last call, from the controller's counters. A counter that has decreased was reset and
    /// counts from zero.
    pub fn record_counters(&mut self, now_ms: u64, team: &id::Team, counters: Moves) {
        let last = self
            .last_counters
            .insert(team.clone(), counters)
            .unwrap_or_default();
        let was_reset = counters.loads < last.loads
            || counters.unloads < last.unloads
            || counters.shifts < last.shifts;
        let last = if was_reset { Moves::default() } else { last };
        let moves = Moves {
            loads: counters.loads - last.loads,
            unloads: counters.unloads - last.unloads,
            shifts: counters.shifts - last.shifts,
        };
        if moves.total() > 0 {
            self.usage(now_ms, team).moves.add(moves);
        }
    }

    /// Adds moves that the shadow policy of a team would have made.
    pub fn add_shadow_moves(&mut self, now_ms: u64, team: &id::Team, moves: Moves) {
        if moves.total() > 0 {
            self.usage(now_ms, team).shadow.add(moves);
        }
    }

    /// Returns the number of cells in all buckets.
    pub fn cells(&self) -> usize {
        self.minutes.cells() + self.hours.cells()
    }

    /// Returns the tier with the shortest buckets that covers a window.
    fn tier(&self, window_ms: u64) -> &Tier {
        if window_ms <= self.minutes.span_ms() {
            &self.minutes
        } else {
            &self.hours
        }
    }

    fn rows(&self, now_ms: u64, windows: &Windows) -> Vec<Row> {
        let mut sums: BTreeMap<u32, [Counts; WINDOW_COUNT]> = BTreeMap::new();
        for (index, window) in WINDOWS_MS.into_iter().enumerate() {
            self.tier(window).sum(now_ms, window, |key, counts| {
                sums.entry(key).or_default()[index].add(counts);
            });
        }
        // For each length of an objective's window, whether each key's objective has it, so that the buckets are
        // summed once per length.
        let mut lengths: BTreeMap<u64, Vec<bool>> = BTreeMap::new();
        for (index, key) in self.keys.iter().enumerate() {
            let window = windows.get(&(key.team.clone(), key.objective.clone()));
            let length_ms = window.map_or(self.hours.span_ms(), |window| millis(*window));
            let has_length = lengths.entry(length_ms).or_default();
            has_length.resize(self.keys.len(), false);
            has_length[index] = true;
        }
        for (length_ms, has_length) in lengths {
            self.tier(length_ms).sum(now_ms, length_ms, |key, counts| {
                if has_length.get(key as usize) == Some(&true) {
                    sums.entry(key).or_default()[WINDOW_COUNT - 1].add(counts);
                }
            });
        }
        let row = |(index, sums): (u32, [Counts; WINDOW_COUNT])| Row {
            key: self.keys[index as usize].clone(),
            sums,
        };
        merge_excess_rows(sums.into_iter().map(row).collect())
    }

    fn latencies(&self, now_ms: u64) -> Vec<Latencies> {
        let oldest = (now_ms / LATENCY_SLOT_MS + 1).saturating_sub(MAX_LATENCY_SLOTS as u64);
        let mut rows = Vec::new();
        for ((team, objective), slots) in &self.latencies {
            let recent = || slots.iter().filter(|histograms| histograms.slot >= oldest);
            let first_token = merge_values(recent().map(|histograms| &histograms.first_token));
            let total = merge_values(recent().map(|histograms| &histograms.total));
            if !total.is_empty() {
                rows.push(Latencies {
                    team: team.clone(),
                    objective: objective.clone(),
                    first_token,
                    total,
                });
            }
        }
        rows
    }

    /// Returns the extract for a report over the windows of the objectives in force.
    pub fn extract(&self, now_ms: u64, windows: &Windows) -> Extract {
        let oldest = (now_ms / SLOT_MS + 1).saturating_sub(MAX_SLOTS);
        let points = self.series.iter().filter(|(key, _)| key.0 >= oldest);
        let points = points.map(|((slot, team, objective, policy), counts)| Point {
            slot: *slot,
            team: team.clone(),
            objective: objective.clone(),
            policy: policy.clone(),
            counts: *counts,
        });
        let slot_usages = self.usage_series.iter().filter(|(key, _)| key.0 >= oldest);
        let slot_usages = slot_usages.map(|((slot, team, policy, shadow), usage)| SlotUsage {
            slot: *slot,
            team: team.clone(),
            policy: policy.clone(),
            shadow: shadow.clone(),
            usage: *usage,
        });
        let mut since_ms = [self.started_ms; WINDOW_COUNT];
        for (index, window) in WINDOWS_MS.into_iter().enumerate() {
            since_ms[index] = self.started_ms.max(self.tier(window).complete_since_ms());
        }
        since_ms[WINDOW_COUNT - 1] = self.started_ms.max(self.hours.complete_since_ms());
        Extract {
            started_ms: self.started_ms,
            at_ms: now_ms,
            since_ms,
            rows: self.rows(now_ms, windows),
            times: self.latencies(now_ms),
            points: points.collect(),
            uses: slot_usages.collect(),
            periods: self.periods.values().flatten().cloned().collect(),
            dropped: self.dropped,
        }
    }
}

fn merge_values<'a>(histograms: impl Iterator<Item = &'a Histogram<u32>>) -> Values {
    let mut sums: BTreeMap<u64, u64> = BTreeMap::new();
    for histogram in histograms {
        for value in histogram.iter_recorded() {
            *sums.entry(value.value_iterated_to()).or_default() += value.count_at_value() as u64;
        }
    }
    sums.into_iter().collect()
}

/// Retains the [`MAX_ROWS`] rows with the most missed requests in three days and sums the others per objective.
fn merge_excess_rows(mut rows: Vec<Row>) -> Vec<Row> {
    if rows.len() <= MAX_ROWS {
        return rows;
    }
    rows.sort_by_key(|row| std::cmp::Reverse((row.sums[3].missed(), row.sums[3].total)));
    let mut others: BTreeMap<Key, [Counts; WINDOW_COUNT]> = BTreeMap::new();
    for row in rows.split_off(MAX_ROWS) {
        let key = Key {
            model: OTHER_MODEL.to_owned(),
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
