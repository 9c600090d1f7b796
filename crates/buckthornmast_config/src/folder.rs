//! Folder of declarations.
//!
//! `platform.ini` belongs to the platform and `teams/NAME.ini` to the team of that name. Each file is
//! converted to a map from paths to values: `[model pistachio] version = 3` becomes
//! `model/pistachio/version`.

use std::{collections::BTreeMap, fs, path::Path};

use buckthornmast_types::id;
pub use buckthornmast_types::scope::Scope;

use crate::{
    fault::Fault,
    schema::{self, Section},
    source::{Reader, Source},
};

/// Values by path.
pub type Values = BTreeMap<String, String>;

/// Declarations of one folder, one map of values per scope.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Folder {
    /// Values per scope.
    pub scopes: BTreeMap<Scope, Values>,
}

impl Folder {
    /// Reads and checks a folder and returns every fault of form.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        let mut folder = Self::default();
        let mut faults = Vec::new();
        let mut name_faults = Vec::new();
        let mut add = |scope: Scope, path: &Path| match read_file(&scope, path) {
            Ok(values) => {
                folder.scopes.insert(scope, values);
            }
            Err(found) => faults.extend(found),
        };
        add(Scope::Platform, &path.join("platform.ini"));
        for (team, path) in team_files(path)? {
            match team.parse() {
                Ok(team) => add(Scope::Team(team), &path),
                Err(error) => name_faults.push(file_fault(&path, error.to_string())),
            }
        }
        faults.extend(name_faults);
        if faults.is_empty() {
            Ok(folder)
        } else {
            Err(faults)
        }
    }
}

fn file_fault(path: &Path, message: String) -> Fault {
    Fault {
        file: path.display().to_string(),
        section: String::new(),
        key: String::new(),
        line: None,
        message,
    }
}

fn team_files(path: &Path) -> Result<Vec<(String, std::path::PathBuf)>, Vec<Fault>> {
    let teams = path.join("teams");
    if !teams.exists() {
        return Ok(Vec::new());
    }
    let list = || -> std::io::Result<Vec<_>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&teams)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "ini") {
                let stem = path
                    .file_stem()
                    .unwrap_or_default()
                    .to_string_lossy()
                    .into_owned();
                files.push((stem, path));
            }
        }
        files.sort();
        Ok(files)
    };
    list().map_err(|error| {
        vec![file_fault(
            &teams,
            format!("cannot list the folder: {error}"),
        )]
    })
}

fn read_file(scope: &Scope, path: &Path) -> Result<Values, Vec<Fault>> {
    let text = fs::read_to_string(path)
        .map_err(|error| vec![file_fault(path, format!("cannot read the file: {error}"))])?;
    parse(scope, &path.display().to_string(), &text)
}

/// Returns the sections that a scope may contain.
pub fn schema(scope: &Scope) -> &'static [Section] {
    match scope {
        Scope::Platform => schema::PLATFORM,
        Scope::Team(_) => schema::TEAM,
    }
}

/// Parses and checks the text of one file and returns every fault of form.
pub fn parse(scope: &Scope, file: &str, text: &str) -> Result<Values, Vec<Fault>> {
    let source = Source::parse(file, text)?;
    let mut reader = Reader::new(&source);
    let mut values = Values::new();
    for (title, entries) in source.sections() {
        let Some((section, name)) = find_section(schema(scope), title) else {
            let titles: Vec<_> = schema(scope).iter().map(title_pattern).collect();
            reader.add_fault(
                title,
                "",
                format!("unknown section, expected {}", titles.join(", ")),
            );
            continue;
        };
        check_section(section, title, entries, &mut reader);
        let prefix = if name.is_empty() {
            section.kind.to_owned()
        } else {
            format!("{}/{name}", section.kind)
        };
        if entries.is_empty() {
            // A section without keys, such as a domain, is a declaration as well.
            values.insert(prefix.clone(), String::new());
        }
        for (key, value) in entries {
            values.insert(format!("{prefix}/{key}"), value.clone());
        }
    }
    if reader.faults.is_empty() {
        Ok(values)
    } else {
        Err(reader.faults)
    }
}

fn title_pattern(section: &Section) -> String {
    if section.is_named {
        format!("[{} NAME]", section.kind)
    } else {
        format!("[{}]", section.kind)
    }
}

fn find_section<'a>(
    sections: &'static [Section],
    title: &'a str,
) -> Option<(&'static Section, &'a str)> {
    let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
    let name = name.trim();
    let section = sections.iter().find(|section| section.kind == kind)?;
    let is_match = if section.is_named {
        name.parse::<id::Kind>().is_ok()
    } else {
        name.is_empty()
    };
    is_match.then_some((section, name))
}

fn check_section(section: &Section, title: &str, entries: &Values, reader: &mut Reader<'_>) {
    for key in section.keys {
        match entries.get(key.name) {
            Some(text) if !key.form.accepts(text) => {
                reader.add_fault(
                    title,
                    key.name,
                    format!("{text:?} is not {}", key.form.expected()),
                );
            }
            None if key.is_required => {
                reader.add_fault(
                    title,
                    key.name,
                    format!("missing, expected {}", key.form.expected()),
                );
            }
            _ => {}
        }
    }
    let is_known = |name: &str| section.keys.iter().any(|key| key.name == name);
    for name in entries
        .keys()
        .filter(|name| !section.allows_other_keys && !is_known(name))
    {
        let names: Vec<_> = section.keys.iter().map(|key| key.name).collect();
        reader.add_fault(
            title,
            name,
            format!("unknown key, expected {}", names.join(", ")),
        );
    }
}

/// Checks values that were not read from a file, for example those of a write.
pub fn check_values(scope: &Scope, values: &Values) -> Vec<Fault> {
    // As text, a line break would end the value and begin further keys.
    let breaks_line = |text: &str| text.contains(['\n', '\r']);
    let broken = values
        .iter()
        .filter(|(path, value)| breaks_line(path) || breaks_line(value));
    let faults: Vec<Fault> = broken
        .map(|(path, _)| {
            let (section, key) = split_path(path);
            Fault {
                file: String::new(),
                section,
                key: key.unwrap_or_default().to_owned(),
                line: None,
                message: "the path or the value contains a line break".to_owned(),
            }
        })
        .collect();
    if !faults.is_empty() {
        return faults;
    }
    let text = to_text(values);
    parse(scope, "", &text).err().unwrap_or_default()
}

/// Returns values as INI text, with sections in the order of their paths.
pub fn to_text(values: &Values) -> String {
    let mut text = String::new();
    let mut current = String::new();
    for (path, value) in values {
        let (section, key) = split_path(path);
        if section != current || text.is_empty() {
            text.push_str(&format!("[{section}]\n"));
            current = section;
        }
        if let Some(key) = key {
            text.push_str(&format!("{key} = {value}\n"));
        }
    }
    text
}

/// Splits a path into the title of its section and the key.
pub fn split_path(path: &str) -> (String, Option<&str>) {
    let parts: Vec<&str> = path.split('/').collect();
    let is_named = |kind: &str| {
        let mut sections = schema::PLATFORM.iter().chain(schema::TEAM);
        sections.any(|section| section.kind == kind && section.is_named)
    };
    match parts.as_slice() {
        [kind, name, key] => (format!("{kind} {name}"), Some(key)),
        [kind, name] if is_named(kind) => (format!("{kind} {name}"), None),
        [kind, key] => ((*kind).to_owned(), Some(key)),
        _ => (path.to_owned(), None),
    }
}
