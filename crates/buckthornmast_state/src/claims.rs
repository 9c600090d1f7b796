//! Idempotency claims: a request that must not be repeated runs at most once.
//!
//! A key expires when log time exceeds the time in the key by more than the retention. Since log time never
//! decreases, a purged key stays expired and can't be claimed again.
//!
//! A claim is open until it is finished, and an open claim stores what its owner needs. A finished claim is stored as
//! a compact record. When bodies exceed their limit, those of the oldest keys are dropped first. Room for the record
//! is reserved when the claim is granted.

mod finished;
mod labels;
pub(crate) mod version_1;

use std::collections::BTreeMap;

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};

pub use crate::claims::finished::{BODY_OVERHEAD_BYTES, RECORD_BYTES};
use crate::claims::{
    finished::{Entry, Finished, Snapshot},
    labels::Labels,
};

/// Log time from the time in a key to its expiry, in milliseconds.
pub const RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1000;
/// Maximum time by which a key may be ahead of log time, in milliseconds.
pub const MAX_KEY_AHEAD_MILLIS: u64 = 5 * 60 * 1000;
/// Maximum size of a body that is kept with an outcome. A larger one is dropped, and the rest of the outcome is kept.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum length of a content type that is kept with an outcome. A longer one is replaced by an empty one.
pub const MAX_CONTENT_TYPE_BYTES: usize = 128;
/// Maximum number of attempts of one key; further ones are refused. Each released one is remembered until the claim is
/// finished or its key is purged.
pub const MAX_ATTEMPTS: u64 = 16;
/// Maximum number of finished claims within the retention if none is open: 1,000 per minute over 24 h.
pub const MAX_CLAIMS: usize = 1_440_000;
/// Maximum bytes counted for all claims without their bodies. An open claim counts for more than a finished one,
/// so that there is always room for its outcome.
pub const MAX_BYTES_WITHOUT_BODIES: usize = MAX_CLAIMS * RECORD_BYTES;
/// Maximum bytes counted for open claims. In version 1 of the state, this was the limit for all claims. It must not be
/// smaller now: a replica that replays a log of that time would refuse a claim that was granted then.
pub const MAX_OPEN_CLAIM_BYTES: usize = 24 << 20;
/// Maximum bytes counted for the bodies of finished claims. Beyond it, the bodies of the oldest keys are dropped.
pub const MAX_TOTAL_BODY_BYTES: usize = 8 << 20;
/// Maximum bytes counted for all claims, so that they leave room for the rest of the state in a snapshot of at most
/// [`MAX_SNAPSHOT_BYTES`](buckthornmast_consensus::snapshot::MAX_SNAPSHOT_BYTES).
pub const MAX_TOTAL_BYTES: usize = MAX_BYTES_WITHOUT_BODIES + MAX_TOTAL_BODY_BYTES;
/// Bytes counted for an open claim without its released requests.
pub const OPEN_CLAIM_BYTES: usize = 160;
/// Bytes counted for each released claim request of an open claim.
pub const RELEASED_REQUEST_BYTES: usize = 16;

/// Hash by which requests are compared for equality, computed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Identity of a claim. Keys of different services are independent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Key; the first field, so that claims are ordered by time.
    pub key: id::Key,
    /// Service that the request goes to.
    pub service: id::Service,
}

/// Claims a request in order to run it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Identity.
    pub id: Id,
    /// Instance that will dispatch the request if the claim is granted.
    pub owner: id::Instance,
    /// Identity of this claim request of the owner; new for each proposal.
    pub request: id::Request,
    /// Fingerprint of the request. A key that is claimed with another one is refused.
    pub fingerprint: Fingerprint,
}

/// Records the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Complete {
    /// Identity.
    pub id: Id,
    /// Claim request that was granted.
    pub request: id::Request,
    /// Outcome.
    pub outcome: Outcome,
}

/// Releases a claim, because nothing was dispatched or the target positively refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// Identity.
    pub id: Id,
    /// Claim request that was granted or may have been granted.
    pub request: id::Request,
}

/// First answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(rename = "kind")]
    pub content_type: String,
    /// Body, or `None` if it was larger than [`MAX_BODY_BYTES`] or was dropped to make room for newer ones.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    fn bounded(mut self) -> Self {
        let too_large = |body: &Vec<u8>| body.len() > MAX_BODY_BYTES;
        if self.body.as_ref().is_some_and(too_large) {
            self.body = None;
        }
        if self.content_type.len() > MAX_CONTENT_TYPE_BYTES {
            self.content_type = String::new();
        }
        self
    }
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The owner may dispatch.
    Granted {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// Another claim request holds the claim and may have dispatched.
    Claimed {
        /// Owner of that claim request.
        owner: id::Instance,
        /// Attempt of that claim request.
        attempt: id::Attempt,
    },
    /// The request was run, with this outcome.
    Done(Outcome),
    /// The key belongs to a request with another fingerprint.
    Mismatch,
    /// This claim request was released before.
    Released,
    /// The key is not a UUIDv7, is older than the retention or is too far ahead of log time.
    BadKey,
    /// A limit on claims is reached, or the key has too many attempts.
    Full,
}

/// Answer to an outcome or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settlement {
    /// The command is recorded, now or before.
    Recorded,
    /// This claim request is not the holder of the claim.
    Superseded,
    /// The claim is finished, and its first outcome stays. Finished claims don't store their claim request, since
    /// only a granted one sends an outcome and a claim is granted again only after its release.
    Finished,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Claimed,
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OpenClaim {
    fingerprint: Option<Fingerprint>,
    owner: Option<id::Instance>,
    request: id::Request,
    attempt: id::Attempt,
    phase: Phase,
    released: Vec<id::Request>,
}

impl OpenClaim {
    fn bytes(&self) -> usize {
        OPEN_CLAIM_BYTES + self.released.len() * RELEASED_REQUEST_BYTES
    }
}

/// All claims within the retention.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Claims {
    finished: Finished,
    labels: Labels,
    open: BTreeMap<Id, OpenClaim>,
    #[serde(skip)]
    open_bytes: usize,
}

/// Usage of the limits on claims.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of claims within the retention.
    pub claims: usize,
    /// Number of open claims among them.
    pub open: usize,
    /// Bytes counted for kept bodies.
    pub body_bytes: usize,
    /// Usage of the limit that is reached first, in percent; claims are refused at 100.
    pub percent: u8,
}

/// Folds a fingerprint into the 64 bits that finished claims store; the daemon's fingerprints have 64 bits.
fn fold_fingerprint(fingerprint: Fingerprint) -> u64 {
    let low = fingerprint.0 & u128::from(u64::MAX);
    u64::try_from(low ^ fingerprint.0 >> 64).unwrap_or_default()
}

/// Returns whether a key can be claimed: a UUIDv7 that has not expired and is not too far ahead of log time.
pub fn is_claimable(key: id::Key, at: LogTime) -> bool {
    key.unix_millis().is_some_and(|millis| {
        millis.saturating_add(RETENTION_MILLIS) >= at.0
            && millis <= at.0.saturating_add(MAX_KEY_AHEAD_MILLIS)
    })
}

impl<'de> Deserialize<'de> for Claims {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        struct RawClaims<'a> {
            #[serde(borrow)]
            finished: Snapshot<'a>,
            labels: Labels,
            open: BTreeMap<Id, OpenClaim>,
        }
        let RawClaims {
            finished,
            mut labels,
            open,
        } = RawClaims::deserialize(deserializer)?;
        let malformed = || D::Error::custom("claims are malformed");
        let finished = Finished::restore(finished, &mut labels).ok_or_else(malformed)?;
        let mut open_bytes = 0;
        for (id, open_claim) in &open {
            labels.acquire_open(&id.service).ok_or_else(malformed)?;
            open_bytes += open_claim.bytes();
        }
        if !labels.is_valid() {
            return Err(malformed());
        }
        Ok(Self {
            finished,
            labels,
            open,
            open_bytes,
        })
    }
}

impl Claims {
    /// Drops claims whose keys have expired.
    pub(crate) fn purge(&mut self, at: LogTime) {
        self.finished.purge(at.0, &mut self.labels);
        while let Some(first) = self.open.first_entry()
            && first
                .key()
                .key
                .unix_millis()
                .is_none_or(|millis| millis.saturating_add(RETENTION_MILLIS) < at.0)
        {
            let (id, open_claim) = first.remove_entry();
            self.labels.close(&id.service);
            self.open_bytes = self.open_bytes.saturating_sub(open_claim.bytes());
        }
    }

    fn find(&self, id: &Id) -> Option<Entry> {
        self.finished.find(id.key, &id.service, &self.labels)
    }

    /// Adds an open claim, if the limits allow it.
    fn open(&mut self, id: &Id, open_claim: OpenClaim) -> Option<()> {
        let bytes = open_claim.bytes();
        if self.open_bytes + bytes > MAX_OPEN_CLAIM_BYTES
            || self.bytes_without_bodies() + bytes > MAX_BYTES_WITHOUT_BODIES
        {
            return None;
        }
        self.labels.open(&id.service)?;
        self.open_bytes += bytes;
        self.open.insert(id.clone(), open_claim);
        Some(())
    }

    /// Decides on a claim.
    pub(crate) fn claim(&mut self, at: LogTime, claim: &Claim) -> Answer {
        if !is_claimable(claim.id.key, at) {
            return Answer::BadKey;
        }
        if let Some(entry) = self.find(&claim.id) {
            if entry.fingerprint != fold_fingerprint(claim.fingerprint) {
                return Answer::Mismatch;
            }
            return Answer::Done(self.finished.outcome(claim.id.key, entry, &self.labels));
        }
        let Some(open_claim) = self.open.get_mut(&claim.id) else {
            let attempt = id::Attempt(1);
            let open_claim = OpenClaim {
                fingerprint: Some(claim.fingerprint),
                owner: Some(claim.owner.clone()),
                request: claim.request,
                attempt,
                phase: Phase::Claimed,
                released: Vec::new(),
            };
            let added = self.open(&claim.id, open_claim);
            return added.map_or(Answer::Full, |()| Answer::Granted { attempt });
        };
        if open_claim
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint)
        {
            return Answer::Mismatch;
        }
        match &open_claim.phase {
            Phase::Claimed => Answer::Claimed {
                owner: open_claim
                    .owner
                    .clone()
                    .unwrap_or_else(|| claim.owner.clone()),
                attempt: open_claim.attempt,
            },
            Phase::Released if open_claim.released.contains(&claim.request) => Answer::Released,
            Phase::Released if open_claim.attempt.0 >= MAX_ATTEMPTS => Answer::Full,
            Phase::Released => {
                open_claim.fingerprint = Some(claim.fingerprint);
                open_claim.owner = Some(claim.owner.clone());
                open_claim.request = claim.request;
                open_claim.attempt = open_claim.attempt.next();
                open_claim.phase = Phase::Claimed;
                Answer::Granted {
                    attempt: open_claim.attempt,
                }
            }
        }
    }

    /// Records an outcome.
    pub(crate) fn complete(&mut self, complete: &Complete) -> Settlement {
        let id = &complete.id;
        let Some(open_claim) = self.open.get(id) else {
            let is_finished = self.find(id).is_some();
            return if is_finished {
                Settlement::Finished
            } else {
                Settlement::Superseded
            };
        };
        if open_claim.request != complete.request || open_claim.phase != Phase::Claimed {
            return Settlement::Superseded;
        }
        let fingerprint = open_claim.fingerprint.unwrap_or(Fingerprint(0));
        self.open_bytes = self.open_bytes.saturating_sub(open_claim.bytes());
        self.open.remove(id);
        self.finish(id, fingerprint, complete.outcome.clone());
        Settlement::Recorded
    }

    /// Adds a finished claim. Its service must have a label without a content type.
    fn finish(&mut self, id: &Id, fingerprint: Fingerprint, outcome: Outcome) {
        let outcome = outcome.bounded();
        let is_empty = outcome.body.as_ref().is_some_and(Vec::is_empty);
        let label = self
            .labels
            .finish(&id.service, &outcome.content_type, is_empty);
        let entry = Entry {
            fingerprint: fold_fingerprint(fingerprint),
            status: outcome.status,
            label: label.unwrap_or_default(),
        };
        self.finished.insert(id.key, entry, outcome.body);
    }

    /// Releases a claim.
    ///
    /// If the proposal of the claim was delayed, the claim may be committed after its release. The release is
    /// therefore recorded even if the claim is not known.
    pub(crate) fn release(&mut self, at: LogTime, release: &Release) -> Settlement {
        if !is_claimable(release.id.key, at) {
            return Settlement::Superseded;
        }
        if self.find(&release.id).is_some() {
            return Settlement::Finished;
        }
        let Some(open_claim) = self.open.get_mut(&release.id) else {
            let open_claim = OpenClaim {
                fingerprint: None,
                owner: None,
                request: release.request,
                attempt: id::Attempt(0),
                phase: Phase::Released,
                released: vec![release.request],
            };
            let added = self.open(&release.id, open_claim);
            return added.map_or(Settlement::Superseded, |()| Settlement::Recorded);
        };
        if open_claim.released.contains(&release.request) {
            return Settlement::Recorded;
        }
        let is_holder = open_claim.request == release.request;
        if is_holder {
            open_claim.phase = Phase::Released;
        }
        if open_claim.released.len() as u64 <= MAX_ATTEMPTS {
            open_claim.released.push(release.request);
            self.open_bytes += RELEASED_REQUEST_BYTES;
        }
        if is_holder {
            Settlement::Recorded
        } else {
            Settlement::Superseded
        }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.open.len() + self.finished.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes counted for all claims.
    pub fn bytes(&self) -> usize {
        self.bytes_without_bodies() + self.finished.body_bytes()
    }

    fn bytes_without_bodies(&self) -> usize {
        self.finished.len() * RECORD_BYTES + self.open_bytes
    }

    /// Returns the usage of the limits on claims.
    pub fn usage(&self) -> Usage {
        let percent_of = |used: usize, limit: usize| used.saturating_mul(100) / limit;
        let all = percent_of(self.bytes_without_bodies(), MAX_BYTES_WITHOUT_BODIES);
        let percent = all.max(percent_of(self.open_bytes, MAX_OPEN_CLAIM_BYTES));
        Usage {
            claims: self.len(),
            open: self.open.len(),
            body_bytes: self.finished.body_bytes(),
            percent: u8::try_from(percent).unwrap_or(u8::MAX),
        }
    }
}
