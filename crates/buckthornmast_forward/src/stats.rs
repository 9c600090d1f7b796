//! Load and health of each target, as this instance estimates them.
//!
//! The load of a target is the number of this instance's own requests there, which it counts, plus those of other
//! instances, which it infers from the load that the target reported with its last answer.

use std::{collections::HashMap, rc::Rc, time::Duration};

use buckthornmast_routing::{
    completion::expected_slowdown,
    estimate::Estimate,
    outlier::{Config, Health},
};
use buckthornmast_types::{id, time::Point};
use tokio::sync::Notify;

use crate::mapping::Load;

/// Age up to which a reported load counts in full.
const FULL_TRUST_AGE: Duration = Duration::from_millis(500);

/// Age from which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Failure rate above which a target counts as unhealthy.
const UNHEALTHY_FAILURE_RATE: f64 = 0.2;

/// Weight of one outcome in the moving average of the failure rate: the last ten outcomes make up about two thirds of
/// it.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time over which the failure rate halves without a new outcome, so that a target that gets no requests because of its
/// failures is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time from the dispatch of a request to its end that is assumed before the first sample.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(500);

/// Load and health of one target.
#[derive(Debug)]
pub struct TargetStats {
    // Requests of this instance that are in progress.
    own_requests: u32,
    // Requests of other instances at the time of the report.
    other_requests: u32,
    // Last load that the target reported.
    reported: Load,
    reported_at: Option<Point>,
    // Changes that the leader hasn't been told yet.
    begun: u32,
    told_requests: u32,
    told_report_at: Option<Point>,
    health: Health,
    failure_rate: f64,
    failure_rate_at: Point,
    service_time: Estimate,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            own_requests: 0,
            other_requests: 0,
            reported: Load::default(),
            reported_at: None,
            begun: 0,
            told_requests: 0,
            told_report_at: None,
            health: Health::default(),
            failure_rate: 0.0,
            failure_rate_at: Point::ZERO,
            service_time: Estimate::new(DEFAULT_SERVICE_TIME),
        }
    }
}

impl TargetStats {
    /// Returns the estimated number of requests at the target.
    pub fn load(&self, now: Point) -> f64 {
        let Some(at) = self.reported_at else {
            return f64::from(self.own_requests);
        };
        let age = now.since(at).as_secs_f64();
        let (fresh, old) = (FULL_TRUST_AGE.as_secs_f64(), MAX_LOAD_AGE.as_secs_f64());
        let trust = ((old - age) / (old - fresh)).clamp(0.0, 1.0);
        f64::from(self.own_requests) + f64::from(self.other_requests) * trust
    }

    /// Returns the age of the load that the target reported last.
    pub fn load_age(&self, now: Point) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    /// Returns the number of requests that the target runs concurrently, if it states one.
    pub fn slots(&self) -> Option<u32> {
        self.reported.slots.filter(|slots| *slots > 0)
    }

    /// Returns the part of the target's slots that was in use when it reported its load, if it states their number.
    pub fn used_part(&self) -> Option<f64> {
        let requests = self.reported.running.saturating_add(self.reported.waiting);
        let slots = self.slots()?;
        Some(f64::from(requests) / f64::from(slots))
    }

    /// Returns the expected slowdown of the target, as a ratio of the usual time.
    pub fn slowdown(&self, now: Point) -> f64 {
        let age = self.load_age(now);
        age.map_or(1.0, |age| expected_slowdown(self.reported.slowdown, age))
    }

    /// Returns what has changed since the leader was told, if anything has or if `is_complete`.
    fn take_change(&mut self, is_complete: bool, now: Point) -> Option<Change> {
        let reported_at = self
            .reported_at
            .filter(|at| self.told_report_at != Some(*at));
        let is_due = self.begun > 0
            || self.own_requests != self.told_requests
            || reported_at.is_some()
            || (is_complete && self.own_requests > 0);
        if !is_due {
            return None;
        }
        self.told_requests = self.own_requests;
        self.told_report_at = self.reported_at;
        Some(Change {
            running: self.own_requests,
            begun: std::mem::take(&mut self.begun),
            reported: reported_at.map(|at| (self.reported, now.since(at))),
        })
    }

    /// Returns the number of this instance's requests in progress.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the failure rate, from 0 to 1.
    pub fn failure_rate(&self, now: Point) -> f64 {
        let halvings =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halvings)
    }

    /// Returns whether the target is ejected, that is, excluded from new requests at the moment.
    pub fn is_ejected(&self, now: Point) -> bool {
        self.health.is_ejected(now)
    }

    /// Returns whether the target should get no request while another target can run it.
    pub fn is_unhealthy(&self, now: Point) -> bool {
        self.is_ejected(now) || self.failure_rate(now) > UNHEALTHY_FAILURE_RATE
    }

    /// Returns the mean time from the dispatch of a request to its end.
    pub fn service_time(&self) -> Duration {
        self.service_time.mean()
    }

    fn record_outcome(&mut self, failure: f64, now: Point) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (failure - before) * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }
}

/// How a dispatch ended, as far as it concerns the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The target answered in full.
    Answered {
        /// Time to the whole answer or to the first event.
        first_event_time: Duration,
        /// Time to the end.
        total_time: Duration,
    },
    /// The target refused the request because it was full or was carrying out an order.
    Refused,
    /// The request failed at the target.
    Failed,
    /// No connection to the target could be established.
    Unreachable,
    /// The dispatch ended for a reason that doesn't concern the target's health.
    Abandoned,
}

/// Change of this instance's requests at a target since the leader was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Requests in progress.
    pub running: u32,
    /// Requests dispatched since then.
    pub begun: u32,
    /// Load that the target has reported since then, with its age.
    pub reported: Option<(Load, Duration)>,
}

/// Load and health of all targets.
#[derive(Debug, Default)]
pub struct StatsTable {
    /// Notified whenever there is a change to tell the leader.
    pub changed: Rc<Notify>,
    targets: HashMap<(id::Target, id::Incarnation), TargetStats>,
    config: Config,
}

impl StatsTable {
    /// Returns a target's load and health. A target without an entry is idle and healthy.
    pub fn get(&self, target: &id::Target, incarnation: id::Incarnation) -> Option<&TargetStats> {
        self.targets.get(&(target.clone(), incarnation))
    }

    fn get_or_insert(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> &mut TargetStats {
        self.targets
            .entry((target.clone(), incarnation))
            .or_default()
    }

    /// Returns what has changed at the targets that the leader is told about, or all requests there if `is_complete`.
    pub fn take_changes(
        &mut self,
        is_complete: bool,
        is_told: impl Fn(&id::Target) -> bool,
        now: Point,
    ) -> Vec<(id::Target, id::Incarnation, Change)> {
        let told = self
            .targets
            .iter_mut()
            .filter(|((target, _), _)| is_told(target));
        let changes = told.filter_map(|((target, incarnation), stats)| {
            let change = stats.take_change(is_complete, now)?;
            Some((target.clone(), *incarnation, change))
        });
        changes.collect()
    }

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, target: &id::Target, incarnation: id::Incarnation) {
        let stats = self.get_or_insert(target, incarnation);
        stats.own_requests += 1;
        stats.begun += 1;
        self.changed.notify_one();
    }

    /// Records the end of a dispatch.
    pub fn record_end(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        ended: Ended,
        now: Point,
    ) {
        let config = self.config;
        let stats = self.get_or_insert(target, incarnation);
        stats.own_requests = stats.own_requests.saturating_sub(1);
        match ended {
            Ended::Answered {
                first_event_time,
                total_time,
            } => {
                stats.health.succeeded(first_event_time, &config, now);
                stats.record_outcome(0.0, now);
                stats.service_time.add(total_time);
            }
            Ended::Failed => {
                stats.record_outcome(1.0, now);
                if stats.health.failed(&config) {
                    stats.health.eject(&config, now);
                }
            }
            Ended::Unreachable => {
                stats.record_outcome(1.0, now);
                stats.health.eject(&config, now);
            }
            Ended::Refused | Ended::Abandoned => {}
        }
        self.changed.notify_one();
    }

    /// Records the load that a target reported with an answer.
    pub fn record_load(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        load: Load,
        now: Point,
    ) {
        let stats = self.get_or_insert(target, incarnation);
        stats.other_requests = (load.running + load.waiting).saturating_sub(stats.own_requests);
        stats.reported = load;
        stats.reported_at = Some(now);
        self.changed.notify_one();
    }

    /// Removes targets that are no longer known and have no request in progress.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target, id::Incarnation) -> bool) {
        self.targets.retain(|(target, incarnation), stats| {
            stats.own_requests > 0 || is_known(target, *incarnation)
        });
    }
}
