//! Requests at a target, as the leader knows them.
//!
//! Designed for targets whose requests last from a tenth of a second to many seconds, so that nobody can tell from the
//! permits alone how many still run. Entry instances report their own requests at each target, and what the target
//! stated about all of them. A permit counts from the moment at which it is granted until a report confirms it. What a
//! target states can only add to what the instances report: one that understates its load gains nothing by it.

use std::{collections::VecDeque, time::Duration};

use buckthornmast_routing::completion::expected_slowdown;
use buckthornmast_types::{id, slowdown::Slowdown, time::Point};
use serde::{Deserialize, Serialize};

/// Interval at which an instance reports what has changed. Short compared with the time of a request in its slot.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of instances that report at [`REPORT_INTERVAL`]. More instances report less often, so that the leader gets about
/// as many reports.
const INSTANCES_PER_INTERVAL: u32 = 75;

/// Interval at which an instance reports all its requests, changed or not.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(1200);

/// Age from which the report of an instance no longer counts: two refreshes are missing.
const MAX_REPORT_AGE: Duration = Duration::from_millis(3000);

/// Mean time from the end of a request to the report of it: half an interval and the way.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Time within which a report confirms a permit: the way to the instance and back, and some intervals.
const CONFIRMATION_TIME: Duration = Duration::from_millis(250);

/// Maximum number of unconfirmed permits. More than that, and none of the instances reports.
const MAX_PERMITS: usize = 256;

/// Returns the interval at which each of a number of instances reports what has changed.
pub fn report_interval(instances: u32) -> Duration {
    REPORT_INTERVAL * instances.div_ceil(INSTANCES_PER_INTERVAL).max(1)
}

/// Requests of one instance at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Requests in progress.
    pub running: u32,
    /// Requests begun since the last report.
    pub begun: u32,
    /// What the target stated since the last report.
    pub stated: Option<Statement>,
}

/// Load that a target stated with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Requests of all instances that run or wait there.
    pub requests: u32,
    /// Slowdown.
    pub slowdown: Slowdown,
    /// Age in milliseconds.
    pub age_ms: u32,
}

/// Connection of an instance that reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Reporter(pub u64);

#[derive(Debug, Clone, Copy)]
struct Report {
    reporter: Reporter,
    running: u32,
    at: Point,
}

/// Requests at one incarnation of a target.
#[derive(Debug, Clone, Default)]
pub struct Occupancy {
    reports: Vec<Report>,
    // Permits that no report has confirmed, the oldest first.
    permits: VecDeque<Point>,
    // Requests beyond the reported ones, by the last statement of the target.
    others: f64,
    slowdown: Slowdown,
    stated_at: Option<Point>,
    reported_at: Option<Point>,
}

impl Occupancy {
    /// Records a permit.
    pub fn record_permit(&mut self, now: Point) {
        if self.permits.len() >= MAX_PERMITS {
            self.permits.pop_front();
        }
        self.permits.push_back(now);
    }

    /// Records the report of an instance. `slot_time` is the mean time of a request in its slot.
    pub fn record_report(
        &mut self,
        reporter: Reporter,
        row: &Row,
        slot_time: Duration,
        now: Point,
    ) {
        self.reported_at = Some(now);
        self.reports
            .retain(|report| report.reporter != reporter && is_current(report, now));
        if row.running > 0 {
            self.reports.push(Report {
                reporter,
                running: row.running,
                at: now,
            });
        }
        let confirmed = self.permits.len().min(row.begun as usize);
        self.permits.drain(..confirmed);
        let Some(statement) = row.stated else {
            return;
        };
        let at = now - Duration::from_millis(u64::from(statement.age_ms));
        if self.stated_at.is_some_and(|stated_at| at < stated_at) {
            return;
        }
        self.others = 0.0;
        self.others = (f64::from(statement.requests) - self.requests(slot_time, now)).max(0.0);
        self.slowdown = statement.slowdown;
        self.stated_at = Some(at);
    }

    /// Forgets the requests of an instance whose connection has ended: they end with it.
    pub fn remove(&mut self, reporter: Reporter) {
        self.reports.retain(|report| report.reporter != reporter);
    }

    /// Returns the expected number of requests at the target.
    pub fn requests(&self, slot_time: Duration, now: Point) -> f64 {
        let slot_seconds = slot_time.as_secs_f64().max(0.01);
        let remaining = |passed: Duration| (-passed.as_secs_f64() / slot_seconds).exp();
        let current = self.reports.iter().filter(|report| is_current(report, now));
        let reported: f64 = current.map(|report| f64::from(report.running)).sum();
        // Instances of older builds confirm none; their requests end like all others.
        let confirmation_time = if self.is_reported(now) {
            CONFIRMATION_TIME
        } else {
            Duration::ZERO
        };
        let permitted = self
            .permits
            .iter()
            .map(|granted_at| remaining(now.since(*granted_at).saturating_sub(confirmation_time)));
        let since_statement = self.stated_at.map_or(Duration::ZERO, |at| now.since(at));
        reported * remaining(REPORT_DELAY)
            + permitted.sum::<f64>()
            + self.others * remaining(since_statement)
    }

    /// Returns whether instances report their requests at the target.
    pub fn is_reported(&self, now: Point) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE)
    }

    /// Returns the expected slowdown of the target, as a ratio of the usual time.
    pub fn slowdown(&self, now: Point) -> f64 {
        self.stated_at
            .map_or(1.0, |at| expected_slowdown(self.slowdown, now.since(at)))
    }
}

fn is_current(report: &Report, now: Point) -> bool {
    now.since(report.at) < MAX_REPORT_AGE
}
