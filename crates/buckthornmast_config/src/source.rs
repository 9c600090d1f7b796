//! Text of an INI file with the line numbers of its sections and keys.
//!
//! The INI library returns no line numbers and merges repeated sections and keys. The lines are therefore
//! located in the text, and repetitions are reported as faults.

use std::{collections::BTreeMap, str::FromStr};

use ini::Ini;

use crate::fault::Fault;

/// Maximum size of an INI file in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Parsed INI file.
#[derive(Debug)]
pub struct Source {
    file: String,
    sections: BTreeMap<String, BTreeMap<String, String>>,
    lines: BTreeMap<(String, String), usize>,
}

/// Returns the title of the section that begins on a line.
fn section_title(line: &str) -> Option<&str> {
    line.strip_prefix('[')?
        .split_once(']')
        .map(|(name, _)| name.trim())
}

/// Returns the key that is set on a line.
fn key_name(line: &str) -> Option<&str> {
    let end = line.find(['=', ':'])?;
    Some(line[..end].trim())
}

impl Source {
    /// Parses a text and returns every fault of form.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut source = Self {
            file: file.to_owned(),
            sections: BTreeMap::new(),
            lines: BTreeMap::new(),
        };
        if text.len() > MAX_FILE_BYTES {
            let message = format!("file is larger than {MAX_FILE_BYTES} bytes");
            return Err(vec![source.fault("", "", message)]);
        }
        let parsed = match Ini::load_from_str_noescape(text) {
            Ok(parsed) => parsed,
            Err(error) => {
                let mut fault = source.fault("", "", format!("not INI: {}", error.msg));
                fault.line = Some(error.line + 1);
                return Err(vec![fault]);
            }
        };
        let faults = source.record_lines(text);
        for (section, values) in &parsed {
            let values = values
                .iter()
                .map(|(key, value)| (key.to_owned(), value.to_owned()));
            let section = section.unwrap_or_default().trim().to_owned();
            source.sections.entry(section).or_default().extend(values);
        }
        source
            .sections
            .retain(|section, values| !(section.is_empty() && values.is_empty()));
        if faults.is_empty() {
            Ok(source)
        } else {
            Err(faults)
        }
    }

    /// Records the line of each section and key, and returns a fault for each repetition.
    fn record_lines(&mut self, text: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            let key = match section_title(line) {
                Some(name) => {
                    section = name.to_owned();
                    String::new()
                }
                None => key_name(line).unwrap_or_default().to_owned(),
            };
            let location = (section.clone(), key.clone());
            if let Some(first) = self.lines.get(&location) {
                let kind = if key.is_empty() { "section" } else { "key" };
                let message = format!("{kind} is repeated, first seen in line {first}");
                let mut fault = self.fault(&section, &key, message);
                fault.line = Some(number + 1);
                faults.push(fault);
            } else {
                self.lines.insert(location, number + 1);
            }
        }
        faults
    }

    /// Returns the sections with their keys and values.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &BTreeMap<String, String>)> {
        self.sections
            .iter()
            .map(|(name, values)| (name.as_str(), values))
    }

    /// Returns the value of a key, if it is set.
    pub fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.sections.get(section)?.get(key).map(String::as_str)
    }

    /// Returns the line of a key, or of its section if the key is not set, starting at 1.
    pub fn line(&self, section: &str, key: &str) -> Option<usize> {
        let location = |key: &str| {
            self.lines
                .get(&(section.to_owned(), key.to_owned()))
                .copied()
        };
        location(key).or_else(|| location(""))
    }

    /// Returns a fault with its location.
    pub fn fault(&self, section: &str, key: &str, message: impl Into<String>) -> Fault {
        Fault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            line: self.line(section, key),
            message: message.into(),
        }
    }
}

/// Reader of typed values that collects faults.
#[derive(Debug)]
pub struct Reader<'a> {
    source: &'a Source,
    /// Faults found so far.
    pub faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Returns a reader without faults.
    pub fn new(source: &'a Source) -> Self {
        Self {
            source,
            faults: Vec::new(),
        }
    }

    /// Reads an optional value. Text that can't be parsed adds a fault and counts as no value.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let text = self.source.get(section, key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.add_fault(section, key, format!("{text:?} is not {expected}"));
                None
            }
        }
    }

    /// Reads a value and adds a fault if it is missing or can't be parsed.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        if self.source.get(section, key).is_none() {
            self.add_fault(section, key, format!("missing, expected {expected}"));
            return None;
        }
        self.optional(section, key, expected)
    }

    /// Reads a value, or returns the default if it is missing or can't be parsed; the latter adds a fault.
    pub fn optional_or<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: T,
    ) -> T {
        self.optional(section, key, expected).unwrap_or(default)
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, section: &str, key: &str, message: impl Into<String>) {
        self.faults.push(self.source.fault(section, key, message));
    }
}
