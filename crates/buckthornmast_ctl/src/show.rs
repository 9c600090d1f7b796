//! Commands that only read.

use std::path::Path;

use buckthornmast_report::table;
use serde_json::Value;

use crate::{
    client::Client,
    outcome::{Failure, Outcome},
};

fn text_of(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn pretty(body: &Value) -> Outcome {
    let text = serde_json::to_string_pretty(body);
    text.map(|text| text + "\n")
        .map_err(|error| Failure::Local {
            message: error.to_string(),
        })
}

fn rows_of(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |entry: &Value| keys.iter().map(|key| text_of(&entry[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}

/// Prints settings below a path.
pub fn get(client: &Client, path: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/settings/{path}"))?;
    if json {
        return pretty(&body);
    }
    let mut text = String::new();
    for (scope, entry) in body["scopes"].as_object().into_iter().flatten() {
        text.push_str(&format!("{scope} at revision {}\n", entry["revision"]));
        for (path, value) in entry["values"].as_object().into_iter().flatten() {
            text.push_str(&format!("  {path} = {}\n", text_of(value)));
        }
    }
    Ok(text)
}

/// Prints the history of a scope.
pub fn history(client: &Client, scope: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/history/{scope}"))?;
    if json {
        return pretty(&body);
    }
    let entries = body["history"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = entries
        .map(|entry| {
            let changes = entry["changes"].as_array().into_iter().flatten();
            let changes: Vec<String> = changes
                .map(|change| format!("{}={}", text_of(&change["path"]), text_of(&change["value"])))
                .collect();
            vec![
                text_of(&entry["revision"]),
                text_of(&entry["at"]),
                text_of(&entry["id"]),
                changes.join(" "),
            ]
        })
        .collect();
    Ok(table::render(
        &["revision", "log time ms", "write", "changes"],
        &rows,
    ))
}

/// Prints the state of instances and targets.
pub fn status(client: &Client, json: bool) -> Outcome {
    let body = client.get("/v1/status")?;
    if json {
        return pretty(&body);
    }
    let mut text = format!(
        "revision {}, log leader {}\n\n",
        body["revision"],
        text_of(&body["leader"])
    );
    let instances = body["instances"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = instances
        .map(|entry| {
            let replica = &entry["replica"];
            vec![
                text_of(&entry["instance"]),
                text_of(&entry["domain"]),
                text_of(&entry["state"]),
                text_of(&entry["revision"]),
                text_of(&entry["reached"]),
                text_of(&entry["stale"]),
                text_of(&entry["ready"]),
                text_of(&replica["role"]),
                text_of(&replica["settled"]),
                text_of(&replica["fault"]),
                text_of(&replica["claims"]["percent"]),
                text_of(&entry["controller"]),
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
    let mut rows = rows_of(&body["targets"], &keys);
    let targets = body["targets"].as_array().into_iter().flatten();
    for (row, target) in rows.iter_mut().zip(targets) {
        let copies = target["copies"].as_array().into_iter().flatten();
        let copies: Vec<String> = copies
            .map(|copy| format!("{}:{}", text_of(&copy["artifact"]), text_of(&copy["phase"])))
            .collect();
        row.push(copies.join(" "));
    }
    let mut header: Vec<&str> = keys.to_vec();
    header.push("copies");
    text.push_str(&table::render(&header, &rows));
    Ok(text)
}

/// Prints a report.
pub fn report(client: &Client, name: &str, json: bool) -> Outcome {
    let body = client.get(&format!("/v1/reports/{name}"))?;
    if json {
        return pretty(&body);
    }
    Ok(text_of(&body["text"]))
}

/// Writes the chart of a report to a file.
pub fn chart(client: &Client, name: &str, file: &Path) -> Outcome {
    let body = client.get(&format!("/v1/reports/{name}.svg"))?;
    let svg = body.as_str().unwrap_or_default();
    std::fs::write(file, svg).map_err(|error| Failure::Local {
        message: format!("{}: {error}", file.display()),
    })?;
    Ok(String::new())
}
