//! Burn rates of service-level objectives.
//!
//! The burn rate of a window is the share of requests that missed the objective, divided by the share
//! that may miss it. At rate 1 the error budget lasts exactly for the objective's window.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::id;
use serde::Serialize;

use crate::{
    extract::{Key, WINDOW_COUNT, WINDOWS_MS},
    fleet::{Covered, Fleet, Missing, Quantiles, quantiles},
    render::format_duration,
    tier::Counts,
};

/// Share of the error budget that raises a page when it is spent within an hour.
const PAGE_BUDGET_SHARE: f64 = 0.02;

/// Share of the error budget that raises a ticket when it is spent within three days.
const TICKET_BUDGET_SHARE: f64 = 0.10;

/// Missed requests in the long window below which no alert is raised. A team with few requests would otherwise be
/// paged for a single missed one.
pub const MIN_MISSED_REQUESTS: u64 = 10;

/// Maximum number of models, and of targets, that a row lists.
const MAX_CONTRIBUTORS: usize = 5;

/// Lower bound of the share of requests that may miss an objective, so that a rate is always finite.
const MIN_BUDGET_RATIO: f64 = 1e-6;

// Indices of windows in a row.
const FIVE_MINUTES: usize = 0;
const HOUR: usize = 1;
const SIX_HOURS: usize = 2;
const THREE_DAYS: usize = 3;
const OBJECTIVE_WINDOW: usize = WINDOW_COUNT - 1;

/// Objective as declared by a team.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Team.
    pub team: id::Team,
    /// Name of the objective, unique in its team.
    pub name: String,
    /// Share of requests that must meet it, from 0 to 1.
    pub attainment: f64,
    /// Window of the error budget.
    pub window: Duration,
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Window {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// How far back all instances that answered have data, at most the length of the window.
    pub covered_ms: u64,
    /// Requests in the window.
    pub counts: Counts,
    /// Burn rate, or `None` without requests.
    pub rate: Option<f64>,
}

/// Urgency of an alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// No action is needed.
    #[serde(rename = "quiet")]
    None,
    /// To be handled on a working day.
    Ticket,
    /// To be handled at once.
    Page,
}

/// Alert of an objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Alert {
    /// Urgency.
    pub level: Level,
    /// One line for operators: `ok`, `no data`, or the burn rates with the rest of the budget and the model, target and
    /// causes with the most missed requests.
    pub line: String,
}

/// Model or target that contributes to the missed requests of an objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Contributor {
    /// Name of the model or target.
    pub name: String,
    /// Requests in the ranked window.
    pub counts: Counts,
    /// Share of the objective's missed requests in the ranked window, from 0 to 1.
    pub share: f64,
}

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Team.
    pub team: id::Team,
    /// Name of the objective.
    pub objective: String,
    /// Declared share of requests that must meet it, from 0 to 1.
    pub attainment: f64,
    /// Burn rate that raises a page.
    pub page_at: f64,
    /// Burn rate that raises a ticket.
    pub ticket_at: f64,
    /// Windows of 5 min, 1 h, 6 h and 3 d, and the objective's own.
    pub windows: Vec<Window>,
    /// Share of the error budget that is left in the objective's window, or `None` without requests. Negative if the
    /// budget is overspent.
    pub budget_left: Option<f64>,
    /// Alert.
    pub alert: Alert,
    /// Length of the window over which models and targets are ranked, in milliseconds.
    pub ranked_ms: u64,
    /// Models with the most missed requests.
    pub models: Vec<Contributor>,
    /// Targets with the most missed requests.
    pub targets: Vec<Contributor>,
    /// Time to the first token over the last hour.
    pub first_token: Option<Quantiles>,
    /// Time to the end of the answer over the last hour.
    pub total: Option<Quantiles>,
}

/// Burn rate of an objective in one slot.
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
    /// Instances that did not answer. Their requests are in none of the figures.
    pub missing: Vec<Missing>,
    /// Domains from which no instance answered.
    pub missing_domains: Vec<id::Domain>,
    /// Objectives.
    pub objectives: Vec<Row>,
    /// Burn rates by slot.
    pub steps: Vec<Step>,
}

/// Returns the burn rate, or `None` without requests.
pub fn rate(counts: Counts, attainment: f64) -> Option<f64> {
    let budget = (1.0 - attainment).max(MIN_BUDGET_RATIO);
    (counts.total > 0).then(|| counts.missed() as f64 / counts.total as f64 / budget)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the burn rate that spends a share of the error budget within `period_ms`.
///
/// The result is at most half of the rate at which every request misses, since an objective with a low attainment could
/// otherwise never reach its threshold, and in any case at least 1, since at a rate of 1 the budget is not spent early.
fn threshold(objective: &Objective, share: f64, period_ms: u64) -> f64 {
    let rate = share * millis(objective.window) as f64 / period_ms as f64;
    let half = 0.5 / (1.0 - objective.attainment).max(MIN_BUDGET_RATIO);
    rate.min(half).max(1.0)
}

/// Returns the names with the most missed requests, in descending order.
fn top_contributors(
    rows: &[(&Key, Counts)],
    name: impl Fn(&Key) -> Option<String>,
) -> Vec<Contributor> {
    let mut sums: BTreeMap<String, Counts> = BTreeMap::new();
    for (key, counts) in rows {
        if let Some(name) = name(key) {
            sums.entry(name).or_default().add(*counts);
        }
    }
    let missed: u64 = rows.iter().map(|(_, counts)| counts.missed()).sum();
    let mut contributors: Vec<Contributor> = sums
        .into_iter()
        .filter(|(_, counts)| counts.missed() > 0)
        .map(|(name, counts)| Contributor {
            name,
            counts,
            share: counts.missed() as f64 / missed.max(1) as f64,
        })
        .collect();
    contributors.sort_by_key(|contributor| std::cmp::Reverse(contributor.counts.missed()));
    contributors.truncate(MAX_CONTRIBUTORS);
    contributors
}

/// Returns the causes of missed requests with a hint for the most frequent one.
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
    let main_cause = causes.iter().max_by_key(|cause| cause.0);
    let parts: Vec<String> = causes
        .iter()
        .filter(|cause| cause.0 > 0)
        .map(|(count, name, _)| format!("{count} {name}"))
        .collect();
    let hint = main_cause.map_or("", |cause| cause.2);
    format!("{}; look at {hint}", parts.join(", "))
}

impl Row {
    fn compute(fleet: &Fleet, objective: &Objective) -> Self {
        let rows: Vec<_> = fleet
            .rows
            .iter()
            .filter(|(key, _)| key.team == objective.team && key.objective == objective.name)
            .collect();
        let lengths = WINDOWS_MS.into_iter().chain([millis(objective.window)]);
        let window = |(index, window_ms): (usize, u64)| {
            let mut counts = Counts::default();
            rows.iter().for_each(|(_, sums)| counts.add(sums[index]));
            Window {
                window_ms,
                covered_ms: fleet.covered_ms(index, window_ms),
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
        let ranked_rows: Vec<_> = rows
            .iter()
            .map(|(key, sums)| (*key, sums[ranked]))
            .collect();
        let models = top_contributors(&ranked_rows, |key| Some(key.model.clone()));
        let targets = top_contributors(&ranked_rows, |key| {
            key.target.as_ref().map(ToString::to_string)
        });
        let latencies = fleet
            .latencies
            .get(&(objective.team.clone(), objective.name.clone()));
        let mut row = Self {
            team: objective.team.clone(),
            objective: objective.name.clone(),
            attainment: objective.attainment,
            page_at: threshold(objective, PAGE_BUDGET_SHARE, WINDOWS_MS[HOUR]),
            ticket_at: threshold(objective, TICKET_BUDGET_SHARE, WINDOWS_MS[THREE_DAYS]),
            budget_left: windows[OBJECTIVE_WINDOW].rate.map(|rate| 1.0 - rate),
            windows,
            alert: Alert {
                level,
                line: String::new(),
            },
            ranked_ms: WINDOWS_MS[ranked],
            models,
            targets,
            first_token: latencies.and_then(|latencies| quantiles(&latencies.first_token)),
            total: latencies.and_then(|latencies| quantiles(&latencies.total)),
        };
        row.alert.line = row.alert_line();
        row
    }

    fn alert_line(&self) -> String {
        let name = format!("{}/{}", self.team, self.objective);
        let (label, long, short, limit) = match self.alert.level {
            Level::None if self.windows[OBJECTIVE_WINDOW].counts.total == 0 => {
                return format!("no data {name}: no request is known");
            }
            Level::None => return format!("ok {name}"),
            Level::Ticket => ("TICKET", THREE_DAYS, SIX_HOURS, self.ticket_at),
            Level::Page => ("PAGE", HOUR, FIVE_MINUTES, self.page_at),
        };
        let long = &self.windows[long];
        let rate = long.rate.unwrap_or_default();
        let covered = if long.covered_ms < long.window_ms {
            format!(" (covers {})", format_duration(long.covered_ms))
        } else {
            String::new()
        };
        let mut line = format!(
            "{label} {name}: burns {rate:.1} over {}{covered} and {:.1} over {}, limit {limit:.1}",
            format_duration(long.window_ms),
            self.windows[short].rate.unwrap_or_default(),
            format_duration(self.windows[short].window_ms),
        );
        let left = self.budget_left.unwrap_or_default();
        if left > 0.0 && rate > 0.0 {
            let lasts = left * self.windows[OBJECTIVE_WINDOW].window_ms as f64 / rate;
            line.push_str(&format!("; budget lasts {}", format_duration(lasts as u64)));
        } else {
            line.push_str("; budget is spent");
        }
        for (kind, contributors) in [("model", &self.models), ("target", &self.targets)] {
            if let Some(first) = contributors.first() {
                let share = first.share * 100.0;
                line.push_str(&format!("; {kind} {} {share:.0} %", first.name));
            }
        }
        line + "; " + &advice(long.counts)
    }
}

/// Returns the alert level. Both windows of a pair must exceed the threshold: the long one shows that the burn is
/// significant, the short one that it continues.
fn level(objective: &Objective, windows: &[Window]) -> Level {
    let is_burning = |long: usize, short: usize, threshold: f64| {
        let is_over = |window: &Window| window.rate.is_some_and(|rate| rate >= threshold);
        is_over(&windows[long])
            && is_over(&windows[short])
            && windows[long].counts.missed() >= MIN_MISSED_REQUESTS
    };
    let page = threshold(objective, PAGE_BUDGET_SHARE, WINDOWS_MS[HOUR]);
    let ticket = threshold(objective, TICKET_BUDGET_SHARE, WINDOWS_MS[THREE_DAYS]);
    if is_burning(HOUR, FIVE_MINUTES, page) {
        Level::Page
    } else if is_burning(THREE_DAYS, SIX_HOURS, ticket) {
        Level::Ticket
    } else {
        Level::None
    }
}

/// Returns the burn rate of each objective in each slot that has requests.
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
    /// Computes the report for the objectives that the reader may see.
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
