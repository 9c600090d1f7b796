//! Burn rates of service-level objectives.
//!
//! The burn rate of a window is the share of requests that missed the objective, divided by the share
//! that may miss it. At rate 1 the error budget lasts exactly for the objective's window.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::id;
use serde::Serialize;

use crate::{
    extract::{Key, SUMS, WINDOWS_MS},
    fleet::{Covered, Fleet, Missing, Quantiles, quantiles},
    render::span,
    tier::Counts,
};

/// Share of the budget that pages when it is spent within an hour.
const PAGE_SHARE: f64 = 0.02;

/// Share of the budget that makes a ticket when it is spent within three days.
const TICKET_SHARE: f64 = 0.10;

/// Missed requests in the long window below which nothing is raised. A team with few requests would
/// otherwise be paged for one of them.
pub const MIN_BAD: u64 = 10;

/// Models and targets that are named.
const TOP: usize = 5;

/// Smallest share of requests that may miss an objective, so that a rate is always a number.
const MIN_BUDGET: f64 = 1e-6;

const FIVE_MINUTES: usize = 0;
const HOUR: usize = 1;
const SIX_HOURS: usize = 2;
const THREE_DAYS: usize = 3;
const OWN: usize = SUMS - 1;

/// Objective as declared.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Team.
    pub team: id::Team,
    /// Name.
    pub name: String,
    /// Share of requests that must meet it.
    pub attainment: f64,
    /// Window of the error budget.
    pub window: Duration,
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Window {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// How far back all instances that answered have data.
    pub covered_ms: u64,
    /// Requests.
    pub counts: Counts,
    /// Burn rate; `None` without requests.
    pub rate: Option<f64>,
}

/// What an operator has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing.
    Quiet,
    /// Look at it on a working day.
    Ticket,
    /// Act now.
    Page,
}

/// Alert.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Alert {
    /// Level.
    pub level: Level,
    /// Line for an operator.
    pub line: String,
}

/// Model or target with the requests that missed the objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Top {
    /// Name.
    pub name: String,
    /// Requests.
    pub counts: Counts,
    /// Share of all missed requests of the objective.
    pub share: f64,
}

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Declared share of requests that must meet it.
    pub attainment: f64,
    /// Burn rate that pages.
    pub page_at: f64,
    /// Burn rate that makes a ticket.
    pub ticket_at: f64,
    /// Windows of 5 min, 1 h, 6 h and 3 d, and the objective's own.
    pub windows: Vec<Window>,
    /// Part of the error budget that is left in the objective's window; below 0 if overspent.
    pub budget_left: Option<f64>,
    /// Alert.
    pub alert: Alert,
    /// Window that models and targets are ranked over.
    pub ranked_ms: u64,
    /// Models that miss most.
    pub models: Vec<Top>,
    /// Targets that miss most.
    pub targets: Vec<Top>,
    /// Time to the first token over the last hour.
    pub first_token: Option<Quantiles>,
    /// Time to the end over the last hour.
    pub total: Option<Quantiles>,
}

/// Point of the burn rate over time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Start of the slot.
    pub at_ms: u64,
    /// Team.
    pub team: id::Team,
    /// Objective.
    pub objective: String,
    /// Burn rate.
    pub rate: f64,
}

/// Report `burn`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Burn {
    /// Time of the report.
    pub at_ms: u64,
    /// Instances that answered.
    pub covered: Vec<Covered>,
    /// Instances that did not; their requests are in no figure.
    pub missing: Vec<Missing>,
    /// Domains of which no instance answered.
    pub missing_domains: Vec<id::Domain>,
    /// Objectives.
    pub objectives: Vec<Row>,
    /// Burn rates by slot.
    pub steps: Vec<Step>,
}

/// Returns the burn rate.
pub fn rate(counts: Counts, attainment: f64) -> Option<f64> {
    let budget = (1.0 - attainment).max(MIN_BUDGET);
    (counts.total > 0).then(|| counts.bad() as f64 / counts.total as f64 / budget)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the rate that spends a share of the budget in `part_ms`.
///
/// A rate of 1 never spends the budget early. Half of the rate at which every request misses is always
/// enough, since a lax objective could otherwise never reach its threshold.
fn threshold(objective: &Objective, share: f64, part_ms: u64) -> f64 {
    let usual = share * millis(objective.window) as f64 / part_ms as f64;
    let half = 0.5 / (1.0 - objective.attainment).max(MIN_BUDGET);
    usual.min(half).max(1.0)
}

fn top(rows: &[(&Key, Counts)], name: impl Fn(&Key) -> Option<String>) -> Vec<Top> {
    let mut sums: BTreeMap<String, Counts> = BTreeMap::new();
    for (key, counts) in rows {
        if let Some(name) = name(key) {
            sums.entry(name).or_default().add(*counts);
        }
    }
    let bad: u64 = rows.iter().map(|(_, counts)| counts.bad()).sum();
    let mut tops: Vec<Top> = sums
        .into_iter()
        .filter(|(_, counts)| counts.bad() > 0)
        .map(|(name, counts)| Top {
            name,
            counts,
            share: counts.bad() as f64 / bad.max(1) as f64,
        })
        .collect();
    tops.sort_by_key(|top| std::cmp::Reverse(top.counts.bad()));
    tops.truncate(TOP);
    tops
}

/// Returns what to look at, by the most frequent way to miss.
fn advice(counts: Counts) -> String {
    let causes = [
        (counts.late(), "late", "queues and copies of the model"),
        (counts.failed, "failed", "health of the targets in status"),
        (counts.refused, "refused", "capacity and admission limits"),
        (
            counts.abandoned,
            "abandoned",
            "time to the first token, callers give up",
        ),
    ];
    let worst = causes.iter().max_by_key(|cause| cause.0);
    let parts: Vec<String> = causes
        .iter()
        .filter(|cause| cause.0 > 0)
        .map(|(count, name, _)| format!("{count} {name}"))
        .collect();
    let look = worst.map_or("", |cause| cause.2);
    format!("{}; look at {look}", parts.join(", "))
}

impl Row {
    fn compute(fleet: &Fleet, objective: &Objective) -> Self {
        let rows: Vec<_> = fleet
            .rows
            .iter()
            .filter(|(key, _)| key.team == objective.team && key.objective == objective.name)
            .collect();
        let lengths = WINDOWS_MS.into_iter().chain([millis(objective.window)]);
        let window = |(at, window_ms): (usize, u64)| {
            let mut counts = Counts::default();
            rows.iter().for_each(|(_, sums)| counts.add(sums[at]));
            Window {
                window_ms,
                covered_ms: fleet.covered_ms(at, window_ms),
                counts,
                rate: rate(counts, objective.attainment),
            }
        };
        let windows: Vec<Window> = lengths.enumerate().map(window).collect();
        let level = level(objective, &windows);
        let ranked = if level == Level::Page {
            HOUR
        } else {
            THREE_DAYS
        };
        let ranked_rows: Vec<_> = rows.iter().map(|(k, sums)| (*k, sums[ranked])).collect();
        let models = top(&ranked_rows, |key| Some(key.model.clone()));
        let targets = top(&ranked_rows, |key| {
            key.target.as_ref().map(ToString::to_string)
        });
        let times = fleet
            .times
            .get(&(objective.team.clone(), objective.name.clone()));
        let mut row = Self {
            team: objective.team.clone(),
            objective: objective.name.clone(),
            attainment: objective.attainment,
            page_at: threshold(objective, PAGE_SHARE, WINDOWS_MS[HOUR]),
            ticket_at: threshold(objective, TICKET_SHARE, WINDOWS_MS[THREE_DAYS]),
            budget_left: windows[OWN].rate.map(|rate| 1.0 - rate),
            windows,
            alert: Alert {
                level,
                line: String::new(),
            },
            ranked_ms: WINDOWS_MS[ranked],
            models,
            targets,
            first_token: times.and_then(|times| quantiles(&times.first_token)),
            total: times.and_then(|times| quantiles(&times.total)),
        };
        row.alert.line = row.line();
        row
    }

    fn line(&self) -> String {
        let name = format!("{}/{}", self.team, self.objective);
        let (word, long, short, at) = match self.alert.level {
            Level::Quiet if self.windows[OWN].counts.total == 0 => {
                return format!("no data {name}: no request is known");
            }
            Level::Quiet => return format!("ok {name}"),
            Level::Ticket => ("TICKET", THREE_DAYS, SIX_HOURS, self.ticket_at),
            Level::Page => ("PAGE", HOUR, FIVE_MINUTES, self.page_at),
        };
        let long = &self.windows[long];
        let rate = long.rate.unwrap_or_default();
        let covered = if long.covered_ms < long.window_ms {
            format!(" (covers {})", span(long.covered_ms))
        } else {
            String::new()
        };
        let mut line = format!(
            "{word} {name}: burns {rate:.1} over {}{covered} and {:.1} over {}, limit {at:.1}",
            span(long.window_ms),
            self.windows[short].rate.unwrap_or_default(),
            span(self.windows[short].window_ms),
        );
        let left = self.budget_left.unwrap_or_default();
        if left > 0.0 && rate > 0.0 {
            let lasts = left * self.windows[OWN].window_ms as f64 / rate;
            line.push_str(&format!("; budget lasts {}", span(lasts as u64)));
        } else {
            line.push_str("; budget is spent");
        }
        for (kind, tops) in [("model", &self.models), ("target", &self.targets)] {
            if let Some(top) = tops.first() {
                let share = top.share * 100.0;
                line.push_str(&format!("; {kind} {} {share:.0} %", top.name));
            }
        }
        line + "; " + &advice(long.counts)
    }
}

/// Both windows of a pair must burn: the long one shows that it matters, the short one that it goes on.
fn level(objective: &Objective, windows: &[Window]) -> Level {
    let burns = |long: usize, short: usize, at: f64| {
        let is_over = |window: &Window| window.rate.is_some_and(|rate| rate >= at);
        is_over(&windows[long]) && is_over(&windows[short]) && windows[long].counts.bad() >= MIN_BAD
    };
    let page = threshold(objective, PAGE_SHARE, WINDOWS_MS[HOUR]);
    let ticket = threshold(objective, TICKET_SHARE, WINDOWS_MS[THREE_DAYS]);
    if burns(HOUR, FIVE_MINUTES, page) {
        Level::Page
    } else if burns(THREE_DAYS, SIX_HOURS, ticket) {
        Level::Ticket
    } else {
        Level::Quiet
    }
}

fn steps(fleet: &Fleet, objectives: &[Objective]) -> Vec<Step> {
    let mut sums: BTreeMap<(id::Team, String, u64), Counts> = BTreeMap::new();
    for ((slot, team, objective, _), counts) in &fleet.series {
        let key = (team.clone(), objective.clone(), *slot);
        sums.entry(key).or_default().add(*counts);
    }
    let step = |((team, name, slot), counts): ((id::Team, String, u64), Counts)| {
        let declared = objectives
            .iter()
            .find(|objective| objective.team == team && objective.name == name)?;
        Some(Step {
            at_ms: slot * crate::extract::SLOT_MS,
            rate: rate(counts, declared.attainment)?,
            team,
            objective: name,
        })
    };
    sums.into_iter().filter_map(step).collect()
}

impl Burn {
    /// Computes the report over the objectives that the reader may see.
    pub fn compute(fleet: &Fleet, objectives: &[Objective]) -> Self {
        let row = |objective| Row::compute(fleet, objective);
        Self {
            at_ms: fleet.at_ms,
            covered: fleet.covered.iter().cloned().collect(),
            missing: fleet.missing.iter().cloned().collect(),
            missing_domains: fleet.missing_domains().into_iter().cloned().collect(),
            objectives: objectives.iter().map(row).collect(),
            steps: steps(fleet, objectives),
        }
    }
}
