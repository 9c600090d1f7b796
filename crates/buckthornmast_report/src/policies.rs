//! Policies over time and compared with each other, by two measures that are never combined: attainment per
//! accelerator, and moves.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::id;
use serde::Serialize;

use crate::{
    extract::{Moves, SLOT_MS, Usage},
    fleet::{Covered, Fleet, Missing},
    tier::Counts,
};

/// Definition of attainment per accelerator, printed with the figures.
pub const DEFINITION: &str = "attainment per accelerator = share of requests answered within their \
deadline / accelerators used by the team's copies; a copy uses its target's accelerators times its \
part of the target's accelerator memory, averaged over the time that the controllers measured and \
added up over the domains";

/// Limits of the figures of shadow policies, printed with the figures.
pub const SHADOW_LIMITS: &str = "a shadow policy decides on the placement that the real policy made: it has no \
attainment of its own, its moves free no memory and change no queue, and a move that it goes on \
wishing for is counted once; its count is an estimate of its first steps, not of a run";

/// Number of resamples for the bootstrap interval.
const RESAMPLE_COUNT: usize = 1000;

/// Seed of the bootstrap, so that a report over the same data shows the same figures.
const BOOTSTRAP_SEED: u64 = 7;

/// Number of slots below which no spread is computed.
const MIN_SLOTS: usize = 3;

/// Period in which the settings named a policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Period {
    /// Team.
    pub team: id::Team,
    /// Revision of the team's settings at which an instance first saw the policy.
    pub revision: u64,
    /// Time at which an instance first saw the policy.
    pub since_ms: u64,
    /// Time at which the next policy was first seen, if there is one.
    pub until_ms: Option<u64>,
    /// Policy.
    pub policy: String,
    /// Shadow policy.
    pub shadow: Option<String>,
}

/// Spread of a value over slots of a quarter of an hour.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Standard deviation of the slots.
    pub deviation: f64,
    /// Lower end of the 90 % bootstrap interval of the mean of slots.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

/// Moves of a shadow policy, compared with those of the policy in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Shadow {
    /// Shadow policy.
    pub policy: String,
    /// Moves that the shadow policy would have made.
    pub moves: Moves,
    /// Moves of the policy in force while the shadow policy was configured.
    pub real: Moves,
    /// Time over which a controller measured, averaged over the domains.
    pub observed_ms: u64,
}

/// One policy of a team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Team.
    pub team: id::Team,
    /// Policy.
    pub policy: String,
    /// Requests.
    pub counts: Counts,
    /// Share of requests answered within their deadline, or `None` without requests.
    pub attainment: Option<f64>,
    /// Accelerators used on average, or `None` if no use was measured.
    pub accelerators: Option<f64>,
    /// Attainment per accelerator, or `None` if either figure is missing.
    pub per_accelerator: Option<f64>,
    /// Number of slots that have both requests and usage.
    pub slots: usize,
    /// Spread of attainment per accelerator over the slots, or `None` with fewer than three of them.
    pub spread: Option<Spread>,
    /// Moves.
    pub moves: Moves,
    /// Moves per hour.
    pub moves_per_hour: Option<f64>,
    /// Time over which a controller measured, averaged over the domains.
    pub observed_ms: u64,
    /// Shadow policies.
    pub shadows: Vec<Shadow>,
    /// Start time of each slot in milliseconds, and its attainment per accelerator.
    pub steps: Vec<(u64, f64)>,
}

/// Report `policies`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Policies {
    /// Time of the report.
    pub at_ms: u64,
    /// Definition of attainment per accelerator.
    pub definition: &'static str,
    /// Limits of the figures of shadow policies.
    pub caveat: &'static str,
    /// Instances that answered.
    pub covered: Vec<Covered>,
    /// Instances that did not answer. Their requests and moves are in none of the figures.
    pub missing: Vec<Missing>,
    /// Domains from which no instance answered.
    pub missing_domains: Vec<id::Domain>,
    /// Policies over time.
    pub periods: Vec<Period>,
    /// Comparison of the policies.
    pub rows: Vec<Row>,
}

/// Returns the accelerators in use: the sum of the means of all domains.
fn accelerators(by_domain: &BTreeMap<&id::Domain, Usage>) -> Option<f64> {
    let means = by_domain.values().filter(|usage| usage.observed_ms > 0);
    let sum: f64 = means
        .map(|usage| usage.accelerator_ms as f64 / usage.observed_ms as f64)
        .sum();
    (sum > 0.0).then_some(sum)
}

fn attainment(counts: Counts) -> Option<f64> {
    (counts.total > 0).then(|| counts.good as f64 / counts.total as f64)
}

fn mean_observed_ms(by_domain: &BTreeMap<&id::Domain, Usage>) -> u64 {
    let sum: u64 = by_domain.values().map(|usage| usage.observed_ms).sum();
    sum / (by_domain.len() as u64).max(1)
}

/// Linear congruential generator. It needs no dependency, and the intervals stay the same across versions.
struct Generator(u64);

impl Generator {
    fn next_below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % bound
    }
}

/// Returns the spread of the values, or `None` if there are too few.
pub fn spread(values: &[f64]) -> Option<Spread> {
    if values.len() < MIN_SLOTS {
        return None;
    }
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let mut generator = Generator(BOOTSTRAP_SEED);
    let mut means: Vec<f64> = (0..RESAMPLE_COUNT)
        .map(|_| {
            let resample = (0..values.len()).map(|_| values[generator.next_below(values.len())]);
            resample.sum::<f64>() / count
        })
        .collect();
    means.sort_by(f64::total_cmp);
    Some(Spread {
        deviation: (squares / (count - 1.0)).sqrt(),
        low: means[RESAMPLE_COUNT / 20],
        high: means[RESAMPLE_COUNT - 1 - RESAMPLE_COUNT / 20],
    })
}

fn periods(fleet: &Fleet, teams: &BTreeSet<id::Team>) -> Vec<Period> {
    let mut periods: Vec<Period> = Vec::new();
    for ((team, revision, policy, shadow), since_ms) in &fleet.periods {
        if !teams.contains(team) {
            continue;
        }
        if let Some(last) = periods.last_mut().filter(|last| last.team == *team) {
            if last.policy == *policy && last.shadow == *shadow {
                // An instance that starts later first sees the same policy at a later revision.
                last.since_ms = last.since_ms.min(*since_ms);
                continue;
            }
            last.until_ms = Some(*since_ms);
        }
        periods.push(Period {
            team: team.clone(),
            revision: *revision,
            since_ms: *since_ms,
            until_ms: None,
            policy: policy.clone(),
            shadow: shadow.clone(),
        });
    }
    periods
}

/// Requests and usage of a team under one policy.
#[derive(Default)]
struct Sums<'a> {
    counts: Counts,
    usage: BTreeMap<&'a id::Domain, Usage>,
    /// Requests and usage by the number of the slot.
    slots: BTreeMap<u64, (Counts, BTreeMap<&'a id::Domain, Usage>)>,
    /// Usage while each shadow policy was configured.
    shadows: BTreeMap<&'a str, BTreeMap<&'a id::Domain, Usage>>,
}

/// Returns the sums of each policy of each team.
fn sums_by_policy<'a>(
    fleet: &'a Fleet,
    teams: &BTreeSet<id::Team>,
) -> BTreeMap<(&'a id::Team, &'a str), Sums<'a>> {
    let mut all: BTreeMap<(&id::Team, &str), Sums<'_>> = BTreeMap::new();
    for ((slot, team, _, policy), counts) in &fleet.series {
        let sums = all.entry((team, policy)).or_default();
        sums.counts.add(*counts);
        sums.slots.entry(*slot).or_default().0.add(*counts);
    }
    for ((slot, team, policy, shadow, domain), usage) in &fleet.usage {
        let sums = all.entry((team, policy)).or_default();
        sums.usage.entry(domain).or_default().add(*usage);
        let in_slot = &mut sums.slots.entry(*slot).or_default().1;
        in_slot.entry(domain).or_default().add(*usage);
        if let Some(shadow) = shadow {
            let by_domain = sums.shadows.entry(shadow).or_default();
            by_domain.entry(domain).or_default().add(*usage);
        }
    }
    all.retain(|(team, _), _| teams.contains(*team));
    all
}

fn total_usage(by_domain: &BTreeMap<&id::Domain, Usage>) -> Usage {
    let mut total = Usage::default();
    by_domain.values().for_each(|usage| total.add(*usage));
    total
}

impl Row {
    fn compute(team: &id::Team, policy: &str, sums: &Sums<'_>) -> Self {
        let attainment = attainment(sums.counts);
        let accelerators = accelerators(&sums.usage);
        let step = |(slot, (counts, usage)): (&u64, &(Counts, BTreeMap<_, _>))| {
            let used = self::accelerators(usage)?;
            Some((slot * SLOT_MS, self::attainment(*counts)? / used))
        };
        let steps: Vec<(u64, f64)> = sums.slots.iter().filter_map(step).collect();
        let values: Vec<f64> = steps.iter().map(|(_, value)| *value).collect();
        let observed_ms = mean_observed_ms(&sums.usage);
        let moves = total_usage(&sums.usage).moves;
        let hours = observed_ms as f64 / 3_600_000.0;
        let shadows = sums.shadows.iter().map(|(policy, usage)| Shadow {
            policy: (*policy).to_owned(),
            moves: total_usage(usage).shadow,
            real: total_usage(usage).moves,
            observed_ms: mean_observed_ms(usage),
        });
        Self {
            team: team.clone(),
            policy: policy.to_owned(),
            counts: sums.counts,
            attainment,
            accelerators,
            per_accelerator: attainment
                .zip(accelerators)
                .map(|(attainment, used)| attainment / used),
            slots: steps.len(),
            spread: spread(&values),
            moves,
            moves_per_hour: (observed_ms > 0).then(|| moves.total() as f64 / hours),
            observed_ms,
            shadows: shadows.collect(),
            steps,
        }
    }
}

impl Policies {
    /// Computes the report for the teams that the reader may see.
    pub fn compute(fleet: &Fleet, teams: &BTreeSet<id::Team>) -> Self {
        let sums = sums_by_policy(fleet, teams);
        let rows = sums
            .iter()
            .map(|((team, policy), sums)| Row::compute(team, policy, sums));
        Self {
            at_ms: fleet.at_ms,
            definition: DEFINITION,
            caveat: SHADOW_LIMITS,
            covered: fleet.covered.iter().cloned().collect(),
            missing: fleet.missing.iter().cloned().collect(),
            missing_domains: fleet.missing_domains().into_iter().cloned().collect(),
            periods: periods(fleet, teams),
            rows: rows.collect(),
        }
    }
}
