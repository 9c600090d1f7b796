//! Lookup of the organisation that holds a key.
//!
//! Only digests are kept and compared. The digest of a guess shares no beginning with that of a key that is nearly the same,
//! so the time of a lookup tells nothing about the keys. Digests that meet in one bucket are compared in constant time.

use std::{collections::HashMap, fmt};

use buckthornmast_routes::document::Organisation;
use buckthornmast_types::id;
use sha2::{Digest as _, Sha256};
use smallvec::SmallVec;
use subtle::ConstantTimeEq;

/// Digest of a key.
#[derive(Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the first bytes, which choose a bucket.
    fn bucket(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

// A short key could be found by trying the digests of all of them.
impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// What a caller presents.
#[derive(Debug, Clone, Copy)]
pub enum Credential {
    /// No key.
    Missing,
    /// Several keys, or one that can't be read.
    Malformed,
    /// A key.
    Key(Digest),
}

impl Credential {
    /// Returns the digest of the key, if there is exactly one.
    pub fn key(self) -> Option<Digest> {
        match self {
            Self::Key(key) => Some(key),
            Self::Missing | Self::Malformed => None,
        }
    }
}

/// Organisation that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name.
    pub name: id::Organisation,
    /// Priority of its requests in place of that of their route.
    pub priority: Option<u32>,
}

/// Keys of all organisations.
#[derive(Debug, Default)]
pub struct Ring {
    holders: Vec<Holder>,
    buckets: HashMap<u64, SmallVec<[(Digest, usize); 1]>>,
}

impl Ring {
    /// Returns a ring with the keys of these organisations.
    pub fn new(organisations: &[Organisation]) -> Self {
        let mut ring = Self::default();
        for (index, organisation) in organisations.iter().enumerate() {
            ring.holders.push(Holder {
                name: organisation.name.clone(),
                priority: organisation.priority,
            });
            for key in &organisation.keys {
                let digest = Digest::of(key.as_bytes());
                let bucket = ring.buckets.entry(digest.bucket()).or_default();
                bucket.push((digest, index));
            }
        }
        ring
    }

    /// Returns the organisation that holds a key.
    pub fn find(&self, key: &Digest) -> Option<&Holder> {
        let bucket = self.buckets.get(&key.bucket())?;
        let mut found = None;
        for (digest, index) in bucket {
            if bool::from(digest.0.ct_eq(&key.0)) {
                found = Some(*index);
            }
        }
        self.holders.get(found?)
    }
}
