//! Choice of a target.
//!
//! The load that is answered here is a batching engine's: up to its slots, requests hardly slow each other
//! down; beyond them they wait. So requests that share the start of a prompt meet at the same target while it has
//! slots to spare, and go to the least loaded one otherwise. All instances rank targets for a prompt by the same
//! hash, so they agree on the place without telling each other.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::board::Board;

/// Requests that a target may have more than the least loaded one and still be chosen for the start of a prompt.
/// Reading a prompt holds up the other requests of the target, so a start that saves a fraction of it is not worth
/// a crowd.
const AFFINITY_SLACK: f64 = 2.0;

/// Load, as a share of the slots, that a share of failures of 1 is as bad as.
const FAILURE_COST: f64 = 3.0;

/// Load, as a share of the slots, that another failure domain is as bad as. Between equals the near one is taken.
const FAR_COST: f64 = 0.05;

/// Share of failures above the best candidate's beyond which a target isn't chosen for the start of a prompt.
const FAILURE_SLACK: f64 = 0.1;

/// Target that could take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Target.
    pub target: id::Target,
    /// Its start.
    pub born: id::Incarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this instance's failure domain.
    pub is_near: bool,
}

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Hash of the start of the prompt, if requests that share it should meet.
    pub prefix: Option<u64>,
    /// Targets that have had the request already.
    pub tried: &'a [id::Target],
    /// Evenly spread number, to break ties.
    pub draw: u64,
}

/// Chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pick {
    /// Index among the candidates.
    pub index: usize,
    /// Time that the request is expected to wait there for a slot.
    pub wait: Duration,
}

struct Scored {
    index: usize,
    requests: f64,
    failures: f64,
    score: f64,
}

/// Picks a target; `None` if there is no candidate that was not tried.
pub fn pick(candidates: &[Candidate], ask: Ask<'_>, board: &Board, now: Point) -> Option<Pick> {
    let untried = || {
        let all = candidates.iter().enumerate();
        all.filter(|(_, candidate)| !ask.tried.contains(&candidate.target))
    };
    let is_ejected = |candidate: &Candidate| {
        let lane = board.lane(&candidate.target, candidate.born);
        lane.is_some_and(|lane| lane.is_ejected(now))
    };
    let ejected = untried()
        .filter(|(_, candidate)| is_ejected(candidate))
        .count();
    // When most targets fail, the fault is one they share, and the few others could not carry the load.
    let uses_ejected = ejected * 2 > untried().count();
    let mut scored: smallvec::SmallVec<[Scored; 16]> = untried()
        .filter(|(_, candidate)| uses_ejected || !is_ejected(candidate))
        .map(|(index, candidate)| score(index, candidate, ask.draw, board, now))
        .collect();
    scored.sort_by(|one, other| one.score.total_cmp(&other.score));
    let best = scored.first()?;
    let fewest = scored
        .iter()
        .map(|scored| scored.failures)
        .fold(f64::INFINITY, f64::min);
    let least = scored
        .iter()
        .map(|scored| scored.requests)
        .fold(f64::INFINITY, f64::min);
    let chosen = ask
        .prefix
        .and_then(|prefix| {
            let with_room = scored.iter().filter(|scored| {
                scored.requests <= least + AFFINITY_SLACK
                    && scored.failures <= fewest + FAILURE_SLACK
            });
            with_room.max_by_key(|scored| rank(prefix, &candidates[scored.index].target))
        })
        .unwrap_or(best);
    let candidate = &candidates[chosen.index];
    Some(Pick {
        index: chosen.index,
        wait: expected_wait(candidate, board, now),
    })
}

fn score(index: usize, candidate: &Candidate, draw: u64, board: &Board, now: Point) -> Scored {
    let lane = board.lane(&candidate.target, candidate.born);
    let slots = f64::from(candidate.slots.max(1));
    let requests = lane.map_or(0.0, |lane| lane.load(now));
    let failures = lane.map_or(0.0, |lane| lane.failures(now));
    let far = if candidate.is_near { 0.0 } else { FAR_COST };
    // Instances that see the same loads would all choose the same target without this.
    let noise = (rank(draw, &candidate.target) >> 11) as f64 / (1u64 << 53) as f64 / slots;
    Scored {
        index,
        requests,
        failures,
        score: requests / slots + failures * FAILURE_COST + far + noise,
    }
}

/// Returns the time until a slot is free for one more request.
pub fn expected_wait(candidate: &Candidate, board: &Board, now: Point) -> Duration {
    let Some(lane) = board.lane(&candidate.target, candidate.born) else {
        return Duration::ZERO;
    };
    let slots = f64::from(candidate.slots.max(1));
    let ahead = lane.load(now) + 1.0 - slots;
    if ahead <= 0.0 {
        return Duration::ZERO;
    }
    lane.service_time().mul_f64(ahead / slots)
}

/// Ranks a target for a prompt, equally on all instances.
fn rank(prefix: u64, target: &id::Target) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), prefix)
}
