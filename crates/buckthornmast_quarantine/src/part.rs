//! Parts of prompts, and sets of them.

use std::{fmt, num::ParseIntError, str::FromStr};

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bit that tells whole requests from parts of prompts, so that both travel in the same messages.
const REQUEST_BIT: u64 = 1 << 63;

/// Part of a prompt at the targets of one service, or a whole request.
///
/// It is a hash, so that messages stay small and a part that crashes the engines of one service isn't blamed at another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(u64);

impl Part {
    /// Returns the part with this id at the targets of a service.
    pub fn new(service: &id::Service, id: u64) -> Self {
        Self(xxh3_64_with_seed(service.as_str().as_bytes(), id) & !REQUEST_BIT)
    }

    /// Returns the part that stands for a whole request with this digest.
    pub fn of_request(digest: &[u8; 32]) -> Self {
        let mut hash = [0; 8];
        hash.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(hash) | REQUEST_BIT)
    }

    /// Returns whether the part stands for a whole request.
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error when parsing a part.
#[derive(Debug, Snafu)]
#[snafu(display("a part is a hexadecimal number: {source}"))]
pub struct Error {
    source: ParseIntError,
}

impl FromStr for Part {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).context(Snafu)
    }
}

/// Set of parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Set(SmallVec<[Part; 4]>);

impl Set {
    /// Returns the set of one part.
    pub fn of(part: Part) -> Self {
        Self([part].into_iter().collect())
    }

    /// Returns the set with another part.
    #[must_use]
    pub fn with(&self, part: Part) -> Self {
        self.iter().chain([part]).collect()
    }

    /// Returns whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the parts in order.
    pub fn iter(&self) -> impl Iterator<Item = Part> + '_ {
        self.0.iter().copied()
    }

    /// Returns whether the set contains a part.
    pub fn contains(&self, part: Part) -> bool {
        self.0.contains(&part)
    }

    /// Returns whether another set contains all parts.
    pub fn is_subset(&self, other: &Self) -> bool {
        self.iter().all(|part| other.contains(part))
    }

    /// Returns the parts that both sets contain.
    pub fn intersection(&self, other: &Self) -> Self {
        self.iter().filter(|part| other.contains(*part)).collect()
    }

    /// Removes the parts of another set. Returns whether there was one.
    pub fn remove_all(&mut self, other: &Self) -> bool {
        let before = self.len();
        self.0.retain(|part| !other.contains(*part));
        self.len() != before
    }
}

impl FromIterator<Part> for Set {
    fn from_iter<I: IntoIterator<Item = Part>>(parts: I) -> Self {
        let mut parts: SmallVec<[Part; 4]> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }
}

impl fmt::Display for Set {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
