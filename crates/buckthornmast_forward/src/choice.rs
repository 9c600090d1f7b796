//! Choice of a target.
//!
//! Designed for targets that differ in load and speed from one moment to the next: a request is sent where its answer is
//! expected first, by the model of [`completion`]. Requests with the same prompt prefix are sent to the same target while
//! it has free slots and isn't slower than the others. All instances use rendezvous hashing with the same hash, so they
//! agree on the target of a prefix without communicating.

use std::time::Duration;

use buckthornmast_routing::completion::{self, Work};
use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::stats::{StatsTable, TargetStats};

/// Number of requests by which a target may exceed the least loaded one and still be chosen for a prompt prefix.
/// Prefill delays the other requests of the target, so a prefix that saves a fraction of it doesn't justify a higher
/// load.
const AFFINITY_SLACK_REQUESTS: f64 = 2.0;

/// Cost of a failure rate of 1, in service times. A failed request has to be run again, and its caller has waited.
const FAILURE_COST: f64 = 3.0;

/// Cost of another failure domain, in service times. Between equal targets, the local one is chosen.
const CROSS_DOMAIN_COST: f64 = 0.05;

/// Slowdown above the least of all candidates beyond which a target isn't chosen for a prompt prefix.
const SLOWDOWN_SLACK: f64 = 0.2;

/// Service time that the estimates are relative to.
const UNIT: Duration = Duration::from_secs(1);

/// Failure rate above the best candidate's beyond which a target isn't chosen for a prompt prefix.
const FAILURE_RATE_SLACK: f64 = 0.1;

/// Target that can run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in this instance's failure domain.
    pub is_local: bool,
}

/// Properties of the request that a target is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Hash of the prompt prefix, if requests that share it should be sent to the same target.
    pub prefix: Option<u64>,
    /// Targets that the request has been dispatched to already.
    pub tried: &'a [id::Target],
    /// Evenly distributed number that breaks ties.
    pub tie_breaker: u64,
}

/// Chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pick {
    /// Index in the candidates.
    pub index: usize,
    /// Expected wait for a slot at the target.
    pub wait: Duration,
}

/// Candidate with the terms of its score. The target with the lowest score is expected to answer first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scored {
    /// Index in the candidates.
    pub index: usize,
    /// Estimated number of requests at the target.
    pub requests: f64,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// Slowdown, as a ratio of the usual time.
    pub slowdown: f64,
    /// Expected time until the answer, in service times.
    pub completion: f64,
    /// Cost of failures, in service times.
    pub failure_cost: f64,
    /// Cost of another failure domain, in service times.
    pub distance: f64,
    /// Noise that keeps instances from choosing the same target, in service times.
    pub noise: f64,
}

impl Scored {
    /// Returns the sum of the terms, in service times.
    pub fn score(&self) -> f64 {
        self.completion + self.failure_cost + self.distance + self.noise
    }
}

/// Candidates that may be chosen, ordered by their scores.
#[derive(Debug, Clone, PartialEq)]
pub struct Ranking {
    /// Candidates. Those that were tried or are ejected are left out.
    pub scored: SmallVec<[Scored; 16]>,
    /// Candidate that is chosen. It isn't the first one if another one is the place of the prompt prefix.
    pub chosen: Scored,
}

/// Picks a target. Returns `None` if all candidates have been tried.
pub fn pick(
    candidates: &[Candidate],
    query: Query<'_>,
    table: &StatsTable,
    now: Point,
) -> Option<Pick> {
    let index = rank(candidates, query, table, now)?.chosen.index;
    Some(Pick {
        index,
        wait: expected_wait(&candidates[index], table, now),
    })
}

/// Ranks the candidates and chooses one. Returns `None` if all have been tried.
pub fn rank(
    candidates: &[Candidate],
    query: Query<'_>,
    table: &StatsTable,
    now: Point,
) -> Option<Ranking> {
    let untried = || {
        let all = candidates.iter().enumerate();
        all.filter(|(_, candidate)| !query.tried.contains(&candidate.target))
    };
    let is_ejected = |candidate: &Candidate| {
        let stats = table.get(&candidate.target, candidate.incarnation);
        stats.is_some_and(|stats| stats.is_ejected(now))
    };
    let ejected = untried()
        .filter(|(_, candidate)| is_ejected(candidate))
        .count();
    // When most targets fail, they probably share a fault, and the few others couldn't carry the load.
    let uses_ejected = ejected * 2 > untried().count();
    let mut scored: SmallVec<[Scored; 16]> = untried()
        .filter(|(_, candidate)| uses_ejected || !is_ejected(candidate))
        .map(|(index, candidate)| score(index, candidate, query.tie_breaker, table, now))
        .collect();
    scored.sort_by(|one, other| one.score().total_cmp(&other.score()));
    let best = scored.first()?;
    let min_failure_rate = scored
        .iter()
        .map(|scored| scored.failure_rate)
        .fold(f64::INFINITY, f64::min);
    let min_requests = scored
        .iter()
        .map(|scored| scored.requests)
        .fold(f64::INFINITY, f64::min);
    let min_slowdown = scored
        .iter()
        .map(|scored| scored.slowdown)
        .fold(f64::INFINITY, f64::min);
    let chosen = query
        .prefix
        .and_then(|prefix| {
            let eligible = scored.iter().filter(|scored| {
                scored.requests <= min_requests + AFFINITY_SLACK_REQUESTS
                    && scored.failure_rate <= min_failure_rate + FAILURE_RATE_SLACK
                    && scored.slowdown <= min_slowdown + SLOWDOWN_SLACK
            });
            eligible.max_by_key(|scored| rendezvous_hash(prefix, &candidates[scored.index].target))
        })
        .unwrap_or(best);
    let chosen = *chosen;
    Some(Ranking { scored, chosen })
}

fn score(
    index: usize,
    candidate: &Candidate,
    tie_breaker: u64,
    table: &StatsTable,
    now: Point,
) -> Scored {
    let stats = table.get(&candidate.target, candidate.incarnation);
    let slots = slots(candidate, stats);
    let requests = stats.map_or(0.0, |stats| stats.load(now));
    let failure_rate = stats.map_or(0.0, |stats| stats.failure_rate(now));
    let slowdown = stats.map_or(1.0, |stats| stats.slowdown(now));
    // In service times, so that targets are compared by the load and speed of the moment alone: the samples of one
    // instance are too few to tell targets apart by their mean service times.
    let load = completion::Load {
        requests,
        slots,
        slot_time: UNIT,
        reading_wait: Duration::ZERO,
        slowdown,
        distance: Duration::ZERO,
    };
    let work = Work {
        time: UNIT,
        spared: Duration::ZERO,
    };
    let completion = completion::estimate(&load, work).total().as_secs_f64();
    let distance = if candidate.is_local {
        0.0
    } else {
        CROSS_DOMAIN_COST
    };
    // Without noise, instances that see the same loads would all choose the same target.
    let noise = (rendezvous_hash(tie_breaker, &candidate.target) >> 11) as f64
        / (1u64 << 53) as f64
        / slots;
    Scored {
        index,
        requests,
        slots,
        failure_rate,
        slowdown,
        completion,
        failure_cost: failure_rate * FAILURE_COST,
        distance,
        noise,
    }
}

/// Returns the number of requests that a target runs concurrently: what it announced, or less if it stated less since.
fn slots(candidate: &Candidate, stats: Option<&TargetStats>) -> f64 {
    let stated = stats.and_then(TargetStats::slots);
    let slots = stated.map_or(candidate.slots, |stated| stated.min(candidate.slots));
    f64::from(slots.max(1))
}

/// Returns the expected time until a slot is free for one more request.
pub fn expected_wait(candidate: &Candidate, table: &StatsTable, now: Point) -> Duration {
    let Some(stats) = table.get(&candidate.target, candidate.incarnation) else {
        return Duration::ZERO;
    };
    let slots = slots(candidate, Some(stats));
    let excess = stats.load(now) + 1.0 - slots;
    if excess <= 0.0 {
        return Duration::ZERO;
    }
    stats.service_time().mul_f64(excess / slots)
}

/// Returns the rendezvous hash of a key and a target, which is the same on all instances.
fn rendezvous_hash(key: u64, target: &id::Target) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), key)
}
