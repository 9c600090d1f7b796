//! Sizes in bytes.

use std::{fmt, iter::Sum, str::FromStr};

use serde::{Deserialize, Serialize};

/// Amount of memory or data in bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl Bytes {
    /// No bytes.
    pub const ZERO: Self = Self(0);

    /// Returns a size in GiB.
    pub const fn gib(count: u64) -> Self {
        Self(count << 30)
    }

    /// Returns a size in MiB.
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// Adds, saturating at the maximum.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for Bytes {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::saturating_add)
    }
}

impl FromStr for Bytes {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse::<bytesize::ByteSize>()
            .map(|size| Self(size.as_u64()))
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        bytesize::ByteSize(self.0).fmt(f)
    }
}
