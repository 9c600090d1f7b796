//! Commands that only read from the instances.

use std::path::Path;

use buckthornmast_report::table;
use serde_json::Value;

use crate::{
    client::Client,
    outcome::{Failure, Outcome},
};

pub(crate) fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

pub(crate) fn format_json(body: &Value) -> Outcome {
    let text = serde_json::to_string_pretty(body);
    text.map(|text| text + "\n")
        .map_err(|error| Failure::Local {
            message: format!("formatting the answer as JSON failed: {error}"),
        })
}

pub(crate) fn format_rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |entry: &Value| keys.iter().map(|key| format_value(&entry[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}

/// Returns the settings below a path as text, or the answer of the instance as JSON.
pub fn get(client: &Client, path: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/settings/{path}"))?;
    if json {
        return format_json(&body);
    }
    let mut text = String::new();
    for (scope, entry) in body["scopes"].as_object().into_iter().flatten() {
        text.push_str(&format!("{scope} at revision {}\n", entry["revision"]));
        for (path, value) in entry["values"].as_object().into_iter().flatten() {
            text.push_str(&format!("  {path} = {}\n", format_value(value)));
        }
    }
    Ok(text)
}

/// Returns the accepted writes of a scope as a table or as JSON.
pub fn history(client: &Client, scope: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/history/{scope}"))?;
    if json {
        return format_json(&body);
    }
    let entries = body["history"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = entries
        .map(|entry| {
            let changes = entry["changes"].as_array().into_iter().flatten();
            let changes: Vec<String> = changes
                .map(|change| {
                    format!(
                        "{}={}",
                        format_value(&change["path"]),
                        format_value(&change["value"])
                    )
                })
                .collect();
            vec![
                format_value(&entry["revision"]),
                format_value(&entry["at"]),
                format_value(&entry["id"]),
                changes.join(" "),
            ]
        })
        .collect();
    Ok(table::render(
        &["revision", "log time ms", "write", "changes"],
        &rows,
    ))
}

/// Returns the state of instances and targets as tables or as JSON.
pub fn status(client: &Client, json: bool) -> Outcome {
    let body = client.get("/v1/status")?;
    if json {
        return format_json(&body);
    }
    let mut text = format!(
        "revision {}, log leader {}\n\n",
        body["revision"],
        format_value(&body["leader"])
    );
    let instances = body["instances"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = instances
        .map(|entry| {
            let replica = &entry["replica"];
            vec![
                format_value(&entry["instance"]),
                format_value(&entry["domain"]),
                format_value(&entry["state"]),
                format_value(&entry["revision"]),
                format_value(&entry["reached"]),
                format_value(&entry["stale"]),
                format_value(&entry["ready"]),
                format_value(&replica["role"]),
                format_value(&replica["settled"]),
                format_value(&replica["fault"]),
                format_value(&replica["claims"]["percent"]),
                format_value(&entry["controller"]),
            ]
        })
        .collect();
    let header = [
        "instance",
        "domain",
        "state",
        "revision",
        "reached",
        "stale",
        "ready",
        "replica",
        "settled",
        "fault",
        "claims_%",
        "controller",
    ];
    text.push_str(&table::render(&header, &rows));
    text.push('\n');
    let keys = [
        "target", "domain", "service", "kind", "age_ms", "leaving", "drained", "running",
    ];
    let mut rows = format_rows(&body["targets"], &keys);
    let targets = body["targets"].as_array().into_iter().flatten();
    for (row, target) in rows.iter_mut().zip(targets) {
        let copies = target["copies"].as_array().into_iter().flatten();
        let copies: Vec<String> = copies
            .map(|copy| {
                format!(
                    "{}:{}",
                    format_value(&copy["artifact"]),
                    format_value(&copy["phase"])
                )
            })
            .collect();
        row.push(copies.join(" "));
    }
    let mut header: Vec<&str> = keys.to_vec();
    header.push("copies");
    text.push_str(&table::render(&header, &rows));
    Ok(text)
}

/// Returns a report as text, or the answer of the instance as JSON.
pub fn report(client: &Client, name: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/reports/{name}"))?;
    if json {
        return format_json(&body);
    }
    Ok(format_value(&body["text"]))
}

/// Writes the chart of a report to a file.
pub fn chart(client: &Client, name: &str, file: &Path) -> Outcome {
    let body = client.get(&format!("/v1/reports/{name}.svg"))?;
    let svg = body.as_str().unwrap_or_default();
    std::fs::write(file, svg).map_err(|error| Failure::Local {
        message: format!("writing {} failed: {error}", file.display()),
    })?;
    Ok(String::new())
}
