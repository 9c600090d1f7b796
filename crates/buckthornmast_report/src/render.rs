//! Rendering of reports as plain text.

use std::fmt::Write;

use crate::{
    burn::{Burn, Contributor, Row, Window},
    extract::Moves,
    fleet::{Covered, Missing, Quantiles},
    policies::{self, Policies},
    table,
};

/// Formats a duration in milliseconds in its two largest units.
pub fn format_duration(ms: u64) -> String {
    let seconds = ms / 1000;
    let (days, hours, minutes) = (seconds / 86400, seconds / 3600 % 24, seconds / 60 % 60);
    let parts = [
        (days, "d"),
        (hours, "h"),
        (minutes, "min"),
        (seconds % 60, "s"),
    ];
    let first = parts.iter().position(|(count, _)| *count > 0);
    let Some(first) = first else {
        return format!("{ms} ms");
    };
    let largest = parts[first..]
        .iter()
        .take(2)
        .filter(|(count, _)| *count > 0);
    let largest: Vec<String> = largest
        .map(|(count, unit)| format!("{count} {unit}"))
        .collect();
    largest.join(" ")
}

fn format_number(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}

fn format_percent(value: Option<f64>) -> String {
    format_number(value.map(|value| value * 100.0), 1)
}

/// Describes the data that the figures are based on.
fn coverage(
    at_ms: u64,
    covered: &[Covered],
    missing: &[Missing],
    missing_domains: &[String],
) -> String {
    let all = covered.len() + missing.len();
    let mut text = format!("data of {} of {all} instances", covered.len());
    if let Some(latest) = covered.iter().max_by_key(|covered| covered.started_ms) {
        let age = format_duration(at_ms.saturating_sub(latest.started_ms));
        let _ = write!(
            text,
            "; complete among them for the last {age} (start of {})",
            latest.instance
        );
    }
    text.push('\n');
    for covered in covered.iter().filter(|covered| covered.dropped > 0) {
        let _ = writeln!(
            text,
            "partial: {} dropped {} samples for lack of room",
            covered.instance, covered.dropped
        );
    }
    for missing in missing {
        let heard = missing.heard_ms.map_or_else(
            || "never heard of".to_owned(),
            |heard| {
                format!(
                    "silent for {}",
                    format_duration(at_ms.saturating_sub(heard))
                )
            },
        );
        let _ = writeln!(
            text,
            "MISSING: {} in domain {} did not answer ({heard}); its requests, earlier ones too, are \
             in no figure",
            missing.instance, missing.domain
        );
    }
    if !missing_domains.is_empty() {
        let _ = writeln!(
            text,
            "MISSING: no instance of {}",
            missing_domains.join(", ")
        );
    }
    text
}

fn window_cell(window: &Window) -> String {
    let Some(rate) = window.rate else {
        return "no data".to_owned();
    };
    let suffix = if window.covered_ms < window.window_ms {
        format!(" ({} only)", format_duration(window.covered_ms))
    } else {
        String::new()
    };
    format!("{rate:.2}{suffix}")
}

fn quantile_cell(quantiles: Option<Quantiles>) -> String {
    quantiles.map_or_else(
        || "-".to_owned(),
        |quantiles| format!("{}/{}/{}", quantiles.p50, quantiles.p95, quantiles.p99),
    )
}

fn burn_cells(row: &Row) -> Vec<String> {
    let objective_window = &row.windows[row.windows.len() - 1];
    let mut cells = vec![row.team.to_string(), row.objective.clone()];
    cells.push(format_percent(Some(row.attainment)));
    cells.extend(row.windows.iter().map(window_cell));
    cells.push(format_percent(row.budget_left));
    cells.push(objective_window.counts.total.to_string());
    cells.push(quantile_cell(row.first_token));
    cells.push(quantile_cell(row.total));
    cells
}

fn contributor_cells(row: &Row) -> Vec<Vec<String>> {
    let cells = |kind: &str, contributor: &Contributor| {
        let counts = contributor.counts;
        vec![
            format!("{}/{}", row.team, row.objective),
            kind.to_owned(),
            contributor.name.clone(),
            counts.total.to_string(),
            counts.late().to_string(),
            counts.refused.to_string(),
            counts.failed.to_string(),
            counts.abandoned.to_string(),
            format_percent(Some(contributor.share)),
        ]
    };
    let models = row
        .models
        .iter()
        .map(|contributor| cells("model", contributor));
    let targets = row
        .targets
        .iter()
        .map(|contributor| cells("target", contributor));
    models.chain(targets).collect()
}

fn to_strings<T: ToString>(list: &[T]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

impl Burn {
    /// Returns the report as text.
    pub fn text(&self) -> String {
        let missing_domains = to_strings(&self.missing_domains);
        let mut text = coverage(self.at_ms, &self.covered, &self.missing, &missing_domains);
        text.push('\n');
        for row in &self.objectives {
            text.push_str(&row.alert.line);
            text.push('\n');
        }
        text.push_str(
            "\nburn rate by window; 1 spends the budget exactly in the objective's window\n",
        );
        let header = [
            "team",
            "objective",
            "goal %",
            "5 min",
            "1 h",
            "6 h",
            "3 d",
            "window",
            "budget left %",
            "requests",
            "first token ms",
            "total ms",
        ];
        let rows: Vec<Vec<String>> = self.objectives.iter().map(burn_cells).collect();
        text.push_str(&table::render(&header, &rows));
        text.push_str("times are p50/p95/p99 of answered requests of the last hour\n");
        let rows: Vec<Vec<String>> = self.objectives.iter().flat_map(contributor_cells).collect();
        if !rows.is_empty() {
            text.push_str("\nwhat misses most, over 1 h where paged, else over 3 d\n");
            let header = [
                "objective",
                "kind",
                "name",
                "requests",
                "late",
                "refused",
                "failed",
                "abandoned",
                "share %",
            ];
            text.push_str(&table::render(&header, &rows));
        }
        text
    }
}

fn moves_cell(moves: Moves) -> String {
    format!("{}/{}/{}", moves.loads, moves.unloads, moves.shifts)
}

fn policy_cells(row: &policies::Row) -> Vec<String> {
    let spread = row.spread.map_or_else(
        || "-".to_owned(),
        |spread| {
            format!(
                "{:.3} [{:.3}, {:.3}]",
                spread.deviation, spread.low, spread.high
            )
        },
    );
    vec![
        row.team.to_string(),
        row.policy.clone(),
        row.counts.total.to_string(),
        format_percent(row.attainment),
        format_number(row.accelerators, 2),
        format_number(row.per_accelerator, 3),
        row.slots.to_string(),
        spread,
        moves_cell(row.moves),
        format_number(row.moves_per_hour, 1),
        format_duration(row.observed_ms),
    ]
}

fn shadow_cells(row: &policies::Row) -> Vec<Vec<String>> {
    let cells = |shadow: &policies::Shadow| {
        vec![
            row.team.to_string(),
            row.policy.clone(),
            moves_cell(shadow.real),
            shadow.policy.clone(),
            moves_cell(shadow.moves),
            format_duration(shadow.observed_ms),
        ]
    };
    row.shadows.iter().map(cells).collect()
}

impl Policies {
    /// Returns the report as text.
    pub fn text(&self) -> String {
        let missing_domains = to_strings(&self.missing_domains);
        let mut text = coverage(self.at_ms, &self.covered, &self.missing, &missing_domains);
        text.push_str("\npolicies over time\n");
        let period = |period: &policies::Period| {
            let ago = |at: u64| format_duration(self.at_ms.saturating_sub(at)) + " ago";
            vec![
                period.team.to_string(),
                period.revision.to_string(),
                ago(period.since_ms),
                period.until_ms.map_or_else(|| "now".to_owned(), ago),
                period.policy.clone(),
                period.shadow.clone().unwrap_or_else(|| "-".to_owned()),
            ]
        };
        let rows: Vec<Vec<String>> = self.periods.iter().map(period).collect();
        let header = ["team", "revision", "from", "to", "policy", "shadow"];
        text.push_str(&table::render(&header, &rows));
        text.push_str("\npolicies against each other over the last 3 d, or less where slots were dropped for room\n");
        let header = [
            "team",
            "policy",
            "requests",
            "met %",
            "accelerators",
            "met/accelerator",
            "slots",
            "sd [90 %]",
            "loads/unloads/shifts",
            "moves/h",
            "measured",
        ];
        let rows: Vec<Vec<String>> = self.rows.iter().map(policy_cells).collect();
        text.push_str(&table::render(&header, &rows));
        let _ = writeln!(
            text,
            "{}\nslots are quarters of an hour; sd and the bootstrap interval of their mean need 3",
            self.definition
        );
        let rows: Vec<Vec<String>> = self.rows.iter().flat_map(shadow_cells).collect();
        if !rows.is_empty() {
            text.push_str("\nshadow policies, loads/unloads/shifts\n");
            let header = [
                "team",
                "policy",
                "moves",
                "shadow",
                "would have moved",
                "measured",
            ];
            text.push_str(&table::render(&header, &rows));
            let _ = writeln!(text, "{}", self.caveat);
        }
        text
    }
}
