//! Commands that compare declarations with the settings in force.

use std::{collections::BTreeMap, path::Path};

use buckthornmast_config::{
    declaration::Declarations,
    fault::Fault,
    folder::{Folder, Scope, Values},
};
use buckthornmast_placement::named;
use buckthornmast_types::id;
use serde_json::{Value, json};

use crate::{
    client::Client,
    outcome::{Failure, Outcome},
};

/// Maximum number of changes per write; larger differences are split into several writes. A write of more than 1024
/// changes is refused.
const MAX_CHANGES: usize = 1000;

/// Settings of a scope as an instance returned them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Current {
    /// Revision of the scope; 0 if nothing was written to it.
    pub revision: u64,
    /// Values by path.
    pub values: Values,
}

/// Difference between declarations and settings of one scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Scope.
    pub scope: Scope,
    /// Revision that the difference is based on.
    pub base: u64,
    /// Path, current value, declared value.
    pub rows: Vec<(String, Option<String>, Option<String>)>,
}

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Reads a folder; reports all faults of form, or else all faults of references and policies.
pub fn read(path: &Path) -> Result<Folder, Failure> {
    let refuse = |faults: &[Fault]| Failure::Refused {
        message: join_faults(faults),
    };
    let folder = Folder::read(path).map_err(|faults| refuse(&faults))?;
    let declarations = Declarations::read(&folder.scopes);
    let mut faults = declarations.check();
    faults.extend(declarations.check_policies(named::check));
    for fault in &mut faults {
        fault.file = path.join(&fault.file).display().to_string();
    }
    if faults.is_empty() {
        Ok(folder)
    } else {
        Err(refuse(&faults))
    }
}

/// Checks a folder and returns the numbers of declared teams, models, adapters and services.
pub fn check(path: &Path) -> Outcome {
    let folder = read(path)?;
    let declarations = Declarations::read(&folder.scopes);
    let models: usize = declarations
        .teams
        .values()
        .map(|team| team.models.len())
        .sum();
    let adapters: usize = declarations
        .teams
        .values()
        .map(|team| team.adapters.len())
        .sum();
    Ok(format!(
        "no faults: {} teams, {models} models, {adapters} adapters, {} services\n",
        declarations.teams.len(),
        declarations.platform.services.len()
    ))
}

fn parse_current(body: &Value, scope: &Scope) -> Current {
    let entry = &body["scopes"][scope.to_string()];
    let values = entry["values"].as_object().into_iter().flatten();
    let values =
        values.filter_map(|(path, value)| Some((path.clone(), value.as_str()?.to_owned())));
    Current {
        revision: entry["revision"].as_u64().unwrap_or(0),
        values: values.collect(),
    }
}

/// Compares the declared values of a scope with the current ones.
pub fn compare(scope: &Scope, declared: &Values, current: &Current) -> Difference {
    let paths: BTreeMap<&String, ()> = declared
        .keys()
        .chain(current.values.keys())
        .map(|path| (path, ()))
        .collect();
    let rows = paths.into_keys().filter_map(|path| {
        let (old, new) = (current.values.get(path), declared.get(path));
        (old != new).then(|| (path.clone(), old.cloned(), new.cloned()))
    });
    Difference {
        scope: scope.clone(),
        base: current.revision,
        rows: rows.collect(),
    }
}

fn differences(
    client: &Client,
    path: &Path,
    only: Option<&Scope>,
) -> Result<Vec<Difference>, Failure> {
    let folder = read(path)?;
    let is_selected = |scope: &&Scope| only.is_none_or(|only| only == *scope);
    folder
        .scopes
        .keys()
        .filter(is_selected)
        .map(|scope| {
            let body = client.get(&format!("/v1/settings/{scope}"))?;
            Ok(compare(
                scope,
                &folder.scopes[scope],
                &parse_current(&body, scope),
            ))
        })
        .collect()
}

fn render(difference: &Difference) -> String {
    let mut text = format!("{} at revision {}\n", difference.scope, difference.base);
    for (path, old, new) in &difference.rows {
        if let Some(old) = old {
            text.push_str(&format!("- {path} = {old}\n"));
        }
        if let Some(new) = new {
            text.push_str(&format!("+ {path} = {new}\n"));
        }
    }
    text
}

/// Returns the changes that `apply` would make.
pub fn diff(client: &Client, path: &Path, only: Option<&Scope>) -> Outcome {
    let differences = differences(client, path, only)?;
    let changed = differences
        .iter()
        .filter(|difference| !difference.rows.is_empty());
    let text: String = changed.map(render).collect();
    Ok(if text.is_empty() {
        "no difference\n".to_owned()
    } else {
        text
    })
}

/// Writes the differences, that of the platform first, and returns the new revisions.
pub fn apply(client: &Client, path: &Path, only: Option<&Scope>) -> Outcome {
    let mut text = String::new();
    for difference in differences(client, path, only)? {
        if difference.rows.is_empty() {
            text.push_str(&format!("{}: no difference\n", difference.scope));
            continue;
        }
        let revision = write(client, &difference)?;
        let count = difference.rows.len();
        text.push_str(&format!(
            "{}: accepted {count} changes, revision {revision}\n",
            difference.scope
        ));
    }
    Ok(text)
}

fn write(client: &Client, difference: &Difference) -> Result<u64, Failure> {
    let mut base = difference.base;
    for rows in difference.rows.chunks(MAX_CHANGES) {
        let changes: Vec<Value> = rows
            .iter()
            .map(|(path, _, new)| json!({ "path": path, "value": new }))
            .collect();
        let body = json!({ "id": id::Write::generate(), "base": base, "changes": changes });
        let path = format!("/v1/settings/{}", difference.scope);
        let answer = client.put(&path, &body)?;
        base = answer["revision"].as_u64().unwrap_or(base + 1);
    }
    Ok(base)
}
