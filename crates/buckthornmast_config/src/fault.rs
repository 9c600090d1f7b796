//! Faults found in an INI file.

use std::fmt;

/// Fault with its location and the value expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// File as given by the user; empty for settings received over the network.
    pub file: String,
    /// Section, for example `model pistachio`; empty before the first section.
    pub section: String,
    /// Key; empty if the fault applies to the whole section.
    pub key: String,
    /// Line, starting at 1.
    pub line: Option<usize>,
    /// Description of the fault and of the expected value.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !self.file.is_empty() || self.line.is_some() {
            f.write_str(" ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}
