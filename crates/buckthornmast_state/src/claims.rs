//! Idempotency claims: a request that must not be repeated runs at most once.
//!
//! A key lives for the retention of its own time on log time. Since log time never decreases, a purged key
//! is too old for good and can't be claimed again.
//!
//! A claim that is not finished holds what its owner needs. A finished one is moved to a compact record, and
//! the bodies of the oldest keys are given up first. Room for its record is set aside when a claim is granted.

mod finished;
mod labels;
pub(crate) mod old;

use std::collections::BTreeMap;

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};

pub use crate::claims::finished::{BODY_BYTES, RECORD_BYTES};
use crate::claims::{
    finished::{Entry, Finished, Raw},
    labels::Labels,
};

/// Log time after which a key is too old, in milliseconds.
pub const RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1000;
/// How far a key may lie ahead of log time, in milliseconds.
pub const MAX_AHEAD_MILLIS: u64 = 5 * 60 * 1000;
/// Largest body that is kept with an outcome.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Longest content type that is kept with an outcome.
pub const MAX_KIND_BYTES: usize = 128;
/// Attempts of one key; each released one is remembered until the key is purged.
pub const MAX_ATTEMPTS: u64 = 16;
/// Finished claims within the retention if none is open: 1,000 a minute over 24 h.
pub const MAX_CLAIMS: usize = 1_440_000;
/// Bytes counted for all claims without bodies. A claim that is not finished counts as more than one that is,
/// so that an outcome always finds room.
pub const MAX_HELD_BYTES: usize = MAX_CLAIMS * RECORD_BYTES;
/// Bytes counted for claims that are not finished. It is the bound that version 1 had for all claims: a replica
/// that reads the log anew must not refuse what was granted before.
pub const MAX_OPEN_BYTES: usize = 24 << 20;
/// Bytes counted for the bodies of finished claims.
pub const MAX_BODY_BYTES_KEPT: usize = 8 << 20;
/// Bytes of all claims, so that a snapshot stays below the limit of the log.
pub const MAX_CLAIM_BYTES: usize = MAX_HELD_BYTES + MAX_BODY_BYTES_KEPT;
/// Bytes counted for a claim that is not finished.
pub const CLAIM_BYTES: usize = 160;
/// Bytes counted for each released attempt.
pub const RELEASED_BYTES: usize = 16;

/// Hash of what makes two requests the same, computed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Identity of a claim. Keys of different services never meet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Key; the first field, so that claims are ordered by time.
    pub key: id::Key,
    /// Service that the request goes to.
    pub service: id::Service,
}

/// Asks to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Identity.
    pub id: Id,
    /// Instance that wants to dispatch.
    pub owner: id::Instance,
    /// This try of the owner; a new one for each proposal.
    pub request: id::Request,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

/// Records the outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Complete {
    /// Identity.
    pub id: Id,
    /// Try that was granted.
    pub request: id::Request,
    /// Outcome.
    pub outcome: Outcome,
}

/// Gives a claim back, as nothing was dispatched or the target positively refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// Identity.
    pub id: Id,
    /// Try that was granted or may have been.
    pub request: id::Request,
}

/// First answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Body, or `None` if it was larger than [`MAX_BODY_BYTES`] or made room for newer ones.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    fn bounded(mut self) -> Self {
        let too_large = |body: &Vec<u8>| body.len() > MAX_BODY_BYTES;
        if self.body.as_ref().is_some_and(too_large) {
            self.body = None;
        }
        if self.kind.len() > MAX_KIND_BYTES {
            self.kind = String::new();
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
    /// Another try may have dispatched.
    Claimed {
        /// Its owner.
        owner: id::Instance,
        /// Its attempt.
        attempt: id::Attempt,
    },
    /// The request was run.
    Done(Outcome),
    /// The key belongs to a request with another fingerprint.
    Mismatch,
    /// This try was released before.
    Released,
    /// The key is no UUIDv7, older than the retention or too far ahead.
    BadKey,
    /// No room for claims, or too many attempts.
    Full,
}

/// Answer to an outcome or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settled {
    /// Recorded, now or before.
    Recorded,
    /// The claim is not held by this try.
    Superseded,
    /// The claim is finished, and its first outcome stays. Finished claims don't hold their try, since only a
    /// granted try sends an outcome and a claim is granted again only after its release.
    Finished,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Claimed,
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    fingerprint: Option<Fingerprint>,
    owner: Option<id::Instance>,
    request: id::Request,
    attempt: id::Attempt,
    phase: Phase,
    released: Vec<id::Request>,
}

impl Held {
    fn bytes(&self) -> usize {
        CLAIM_BYTES + self.released.len() * RELEASED_BYTES
    }
}

/// All claims within the retention.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Claims {
    finished: Finished,
    labels: Labels,
    open: BTreeMap<Id, Held>,
    #[serde(skip)]
    open_bytes: usize,
}

/// How full the claims are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Claims within the retention.
    pub claims: usize,
    /// Of these, claims that are not finished.
    pub open: usize,
    /// Bytes counted for kept bodies.
    pub body_bytes: usize,
    /// Share of the bound that is reached first, in hundredths; claims are refused at 100.
    pub percent: u8,
}

/// Returns the part of the fingerprint that finished claims hold; the daemon's fingerprints have 64 bits.
fn fold(fingerprint: Fingerprint) -> u64 {
    let low = fingerprint.0 & u128::from(u64::MAX);
    u64::try_from(low ^ fingerprint.0 >> 64).unwrap_or_default()
}

/// Returns whether a key is a UUIDv7 within its life.
pub fn is_alive(key: id::Key, at: LogTime) -> bool {
    key.unix_millis().is_some_and(|millis| {
        millis.saturating_add(RETENTION_MILLIS) >= at.0
            && millis <= at.0.saturating_add(MAX_AHEAD_MILLIS)
    })
}

impl<'de> Deserialize<'de> for Claims {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        struct All<'a> {
            #[serde(borrow)]
            finished: Raw<'a>,
            labels: Labels,
            open: BTreeMap<Id, Held>,
        }
        let All {
            finished,
            mut labels,
            open,
        } = All::deserialize(deserializer)?;
        let malformed = || D::Error::custom("claims are malformed");
        let finished = Finished::restore(finished, &mut labels).ok_or_else(malformed)?;
        let mut open_bytes = 0;
        for (id, held) in &open {
            labels.acquire_open(&id.service).ok_or_else(malformed)?;
            open_bytes += held.bytes();
        }
        if !labels.is_sound() {
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
    /// Drops keys that are too old.
    pub(crate) fn purge(&mut self, at: LogTime) {
        self.finished.purge(at.0, &mut self.labels);
        while let Some(first) = self.open.first_entry()
            && first
                .key()
                .key
                .unix_millis()
                .is_none_or(|millis| millis.saturating_add(RETENTION_MILLIS) < at.0)
        {
            let (id, held) = first.remove_entry();
            self.labels.close(&id.service);
            self.open_bytes = self.open_bytes.saturating_sub(held.bytes());
        }
    }

    fn find(&self, id: &Id) -> Option<Entry> {
        self.finished.find(id.key, &id.service, &self.labels)
    }

    /// Adds a claim that is not finished, if there is room for it.
    fn open(&mut self, id: &Id, held: Held) -> Option<()> {
        let bytes = held.bytes();
        if self.open_bytes + bytes > MAX_OPEN_BYTES || self.held_bytes() + bytes > MAX_HELD_BYTES {
            return None;
        }
        self.labels.open(&id.service)?;
        self.open_bytes += bytes;
        self.open.insert(id.clone(), held);
        Some(())
    }

    /// Decides on a claim.
    pub(crate) fn claim(&mut self, at: LogTime, claim: &Claim) -> Answer {
        if !is_alive(claim.id.key, at) {
            return Answer::BadKey;
        }
        if let Some(entry) = self.find(&claim.id) {
            if entry.fingerprint != fold(claim.fingerprint) {
                return Answer::Mismatch;
            }
            return Answer::Done(self.finished.outcome(claim.id.key, entry, &self.labels));
        }
        let Some(held) = self.open.get_mut(&claim.id) else {
            let attempt = id::Attempt(1);
            let held = Held {
                fingerprint: Some(claim.fingerprint),
                owner: Some(claim.owner.clone()),
                request: claim.request,
                attempt,
                phase: Phase::Claimed,
                released: Vec::new(),
            };
            let added = self.open(&claim.id, held);
            return added.map_or(Answer::Full, |()| Answer::Granted { attempt });
        };
        if held
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint)
        {
            return Answer::Mismatch;
        }
        match &held.phase {
            Phase::Claimed => Answer::Claimed {
                owner: held.owner.clone().unwrap_or_else(|| claim.owner.clone()),
                attempt: held.attempt,
            },
            Phase::Released if held.released.contains(&claim.request) => Answer::Released,
            Phase::Released if held.attempt.0 >= MAX_ATTEMPTS => Answer::Full,
            Phase::Released => {
                held.fingerprint = Some(claim.fingerprint);
                held.owner = Some(claim.owner.clone());
                held.request = claim.request;
                held.attempt = held.attempt.next();
                held.phase = Phase::Claimed;
                Answer::Granted {
                    attempt: held.attempt,
                }
            }
        }
    }

    /// Records an outcome.
    pub(crate) fn complete(&mut self, complete: &Complete) -> Settled {
        let id = &complete.id;
        let Some(held) = self.open.get(id) else {
            let is_finished = self.find(id).is_some();
            return if is_finished {
                Settled::Finished
            } else {
                Settled::Superseded
            };
        };
        if held.request != complete.request || held.phase != Phase::Claimed {
            return Settled::Superseded;
        }
        let fingerprint = held.fingerprint.unwrap_or(Fingerprint(0));
        self.open_bytes = self.open_bytes.saturating_sub(held.bytes());
        self.open.remove(id);
        self.finish(id, fingerprint, complete.outcome.clone());
        Settled::Recorded
    }

    /// Adds a finished claim whose service has a plain label.
    fn finish(&mut self, id: &Id, fingerprint: Fingerprint, outcome: Outcome) {
        let outcome = outcome.bounded();
        let is_empty = outcome.body.as_ref().is_some_and(Vec::is_empty);
        let label = self.labels.finish(&id.service, &outcome.kind, is_empty);
        let entry = Entry {
            fingerprint: fold(fingerprint),
            status: outcome.status,
            label: label.unwrap_or_default(),
        };
        self.finished.insert(id.key, entry, outcome.body);
    }

    /// Gives a claim back.
    ///
    /// The claim itself may be committed after its release, when its proposal was delayed on the way. The
    /// release is therefore remembered even if the claim is not known.
    pub(crate) fn release(&mut self, at: LogTime, release: &Release) -> Settled {
        if !is_alive(release.id.key, at) {
            return Settled::Superseded;
        }
        if self.find(&release.id).is_some() {
            return Settled::Finished;
        }
        let Some(held) = self.open.get_mut(&release.id) else {
            let held = Held {
                fingerprint: None,
                owner: None,
                request: release.request,
                attempt: id::Attempt(0),
                phase: Phase::Released,
                released: vec![release.request],
            };
            let added = self.open(&release.id, held);
            return added.map_or(Settled::Superseded, |()| Settled::Recorded);
        };
        if held.released.contains(&release.request) {
            return Settled::Recorded;
        }
        let is_holder = held.request == release.request;
        if is_holder {
            held.phase = Phase::Released;
        }
        if held.released.len() as u64 <= MAX_ATTEMPTS {
            held.released.push(release.request);
            self.open_bytes += RELEASED_BYTES;
        }
        if is_holder {
            Settled::Recorded
        } else {
            Settled::Superseded
        }
    }

    /// Returns how many claims are held.
    pub fn len(&self) -> usize {
        self.open.len() + self.finished.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes counted for all claims.
    pub fn bytes(&self) -> usize {
        self.held_bytes() + self.finished.body_bytes()
    }

    fn held_bytes(&self) -> usize {
        self.finished.len() * RECORD_BYTES + self.open_bytes
    }

    /// Returns how full the claims are.
    pub fn usage(&self) -> Usage {
        let share = |used: usize, bound: usize| used.saturating_mul(100) / bound;
        let held = share(self.held_bytes(), MAX_HELD_BYTES);
        let percent = held.max(share(self.open_bytes, MAX_OPEN_BYTES));
        Usage {
            claims: self.len(),
            open: self.open.len(),
            body_bytes: self.finished.body_bytes(),
            percent: u8::try_from(percent).unwrap_or(u8::MAX),
        }
    }
}
