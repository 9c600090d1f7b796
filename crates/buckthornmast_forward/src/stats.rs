//! Load and health of each target, as this instance estimates them.
//!
//! The load of a target is the number of this instance's own requests there, which it counts, plus those of other
//! instances, which it infers from the load that the target reported with its last answer.

use std::{collections::HashMap, time::Duration};

use buckthornmast_routing::{
    estimate::Estimate,
    outlier::{Config, Health},
};
use buckthornmast_types::{id, time::Point};

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
    reported_at: Option<Point>,
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
            reported_at: None,
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

/// Load and health of all targets.
#[derive(Debug, Default)]
pub struct StatsTable {
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

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, target: &id::Target, incarnation: id::Incarnation) {
        self.get_or_insert(target, incarnation).own_requests += 1;
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
        stats.reported_at = Some(now);
    }

    /// Removes targets that are no longer known and have no request in progress.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target, id::Incarnation) -> bool) {
        self.targets.retain(|(target, incarnation), stats| {
            stats.own_requests > 0 || is_known(target, *incarnation)
        });
    }
}
