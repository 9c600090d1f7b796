//! Explanation of where an instance would send a request now.

use buckthornmast_report::table;
use serde_json::Value;

use crate::{
    client::Client,
    flags::Explain,
    outcome::{Failure, Outcome},
    show::{format_json, format_rows, format_value},
};

/// Columns of the candidates.
const CANDIDATE_KEYS: [&str; 14] = [
    "target",
    "domain",
    "is_chosen",
    "score",
    "completion",
    "failure_cost",
    "distance",
    "noise",
    "requests",
    "slots",
    "slowdown",
    "wait_ms",
    "load_age_ms",
    "heard_age_ms",
];

/// Columns of the other targets.
const EXCLUDED_KEYS: [&str; 4] = ["target", "domain", "reason", "remaining_ms"];

/// Returns the path and query of a call that describes a request.
pub fn path(request: &Explain) -> Result<String, Failure> {
    let text = |number: Option<u64>| number.map(|number| number.to_string());
    let parameters = [
        ("service", Some(request.service.clone())),
        ("route", request.route.clone()),
        ("model", request.model.clone()),
        ("adapter", request.adapter.clone()),
        ("prefix", request.prefix.clone()),
        ("tokens", text(request.tokens.map(u64::from))),
        ("objective_ms", text(request.objective_ms)),
        ("organisation", request.organisation.clone()),
        ("priority", text(request.priority.map(u64::from))),
        ("request", request.request.clone()),
    ];
    let given = parameters
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)));
    let mut pairs: Vec<String> = Vec::new();
    for (name, value) in given {
        let is_plain =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
        if value.is_empty() || !value.bytes().all(is_plain) {
            let flag = name.replace('_', "-");
            let message = format!(
                "--{flag}: {value:?} has other characters than a-z, A-Z, 0-9, '.', '_' and '-', or none"
            );
            return Err(Failure::Usage { message });
        }
        pairs.push(format!("{name}={value}"));
    }
    Ok(format!("/explain?{}", pairs.join("&")))
}

/// Asks an instance where it would send a request now, and returns the answer as tables or as JSON.
pub fn explain(request: &Explain, json: bool) -> Outcome {
    // The token is for the operators' ports only.
    let client = Client::new(vec![request.instance.clone()], String::new());
    let body = client.get(&path(request)?)?;
    if json {
        return format_json(&body);
    }
    Ok(format(&body))
}

/// Returns an explanation as tables.
pub fn format(body: &Value) -> String {
    let mut text = format!(
        "instance {}, domain {}, service {}, route {}, objective {} ms, priority {}\n",
        format_value(&body["instance"]),
        format_value(&body["domain"]),
        format_value(&body["service"]),
        format_value(&body["route"]),
        format_value(&body["objective_ms"]),
        format_value(&body["priority"]),
    );
    if body["asks_leader"] == true {
        text.push_str("the leader is asked for a permit first; without one, this instance decides as follows\n");
    }
    text.push('\n');
    let mut candidates = body["candidates"].clone();
    let terms = candidates
        .as_array_mut()
        .into_iter()
        .flatten()
        .filter_map(Value::as_object_mut);
    for value in terms.flat_map(|candidate| candidate.values_mut()) {
        if let Some(number) = value.as_f64().filter(|_| value.is_f64()) {
            *value = format!("{number:.3}").into();
        } else if let Some(is_so) = value.as_bool() {
            *value = if is_so { "yes" } else { "" }.into();
        }
    }
    let rows = format_rows(&candidates, &CANDIDATE_KEYS);
    let header = CANDIDATE_KEYS.map(|key| key.trim_start_matches("is_"));
    text.push_str(&table::render(&header, &rows));
    let rows = format_rows(&body["excluded"], &EXCLUDED_KEYS);
    if !rows.is_empty() {
        text.push('\n');
        text.push_str(&table::render(
            &["excluded", "domain", "reason", "remaining_ms"],
            &rows,
        ));
    }
    if body["omitted"].as_u64().is_some_and(|omitted| omitted > 0) {
        text.push_str(&format!("and {} more targets\n", body["omitted"]));
    }
    text.push('\n');
    text.push_str(&format_outcome(body));
    text
}

fn format_outcome(body: &Value) -> String {
    let field = |key: &str| format_value(&body[key]);
    match body["outcome"].as_str() {
        Some("target") => format!(
            "outcome: sent to {}, expected wait there {} ms, rank {}\n",
            field("target"),
            field("wait_ms"),
            field("rank"),
        ),
        Some("wait") => format!(
            "outcome: waits for a {}, at most {} ms\n",
            field("cause"),
            field("at_most_ms"),
        ),
        _ => format!(
            "outcome: refused with {}, Retry-After {} ms: {}\n",
            field("status"),
            field("retry_after_ms"),
            field("cause"),
        ),
    }
}
