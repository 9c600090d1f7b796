//! Idempotency claims: a request that must not be repeated runs at most once.
//!
//! A key lives for the retention of its own time on log time. Since log time never decreases, a purged key
//! is too old for good and can't be claimed again.

use std::collections::BTreeMap;

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

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
/// Bytes of all claims, so that a snapshot stays below the limit of the log.
pub const MAX_CLAIM_BYTES: usize = 24 << 20;
/// Bytes counted for a claim without its outcome.
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
    /// Body, or `None` if it was larger than [`MAX_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    fn bytes(&self) -> usize {
        self.kind.len() + self.body.as_ref().map_or(0, Vec::len)
    }

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
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Claimed,
    Done(Outcome),
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
        let outcome = match &self.phase {
            Phase::Done(outcome) => outcome.bytes(),
            Phase::Claimed | Phase::Released => 0,
        };
        CLAIM_BYTES + outcome + self.released.len() * RELEASED_BYTES
    }
}

/// All claims within the retention.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    held: BTreeMap<Id, Held>,
    bytes: usize,
}

/// Returns whether a key is a UUIDv7 within its life.
pub fn is_alive(key: id::Key, at: LogTime) -> bool {
    key.unix_millis().is_some_and(|millis| {
        millis.saturating_add(RETENTION_MILLIS) >= at.0
            && millis <= at.0.saturating_add(MAX_AHEAD_MILLIS)
    })
}

impl Claims {
    /// Drops keys that are too old.
    pub(crate) fn purge(&mut self, at: LogTime) {
        while let Some(first) = self.held.first_entry()
            && first
                .key()
                .key
                .unix_millis()
                .is_none_or(|millis| millis.saturating_add(RETENTION_MILLIS) < at.0)
        {
            self.bytes = self.bytes.saturating_sub(first.remove().bytes());
        }
    }

    /// Decides on a claim.
    pub(crate) fn claim(&mut self, at: LogTime, claim: &Claim) -> Answer {
        if !is_alive(claim.id.key, at) {
            return Answer::BadKey;
        }
        let has_room = self.bytes + CLAIM_BYTES <= MAX_CLAIM_BYTES;
        let Some(held) = self.held.get_mut(&claim.id) else {
            if !has_room {
                return Answer::Full;
            }
            let attempt = id::Attempt(1);
            let held = Held {
                fingerprint: Some(claim.fingerprint),
                owner: Some(claim.owner.clone()),
                request: claim.request,
                attempt,
                phase: Phase::Claimed,
                released: Vec::new(),
            };
            self.bytes += held.bytes();
            self.held.insert(claim.id.clone(), held);
            return Answer::Granted { attempt };
        };
        if held
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint)
        {
            return Answer::Mismatch;
        }
        match &held.phase {
            Phase::Done(outcome) => Answer::Done(outcome.clone()),
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
        let Some(held) = self.held.get_mut(&complete.id) else {
            return Settled::Superseded;
        };
        if held.request != complete.request {
            return Settled::Superseded;
        }
        match held.phase {
            Phase::Done(_) => Settled::Recorded,
            Phase::Released => Settled::Superseded,
            Phase::Claimed => {
                let mut outcome = complete.outcome.clone().bounded();
                let bytes = self.bytes + outcome.bytes();
                // The request has run, so its status is kept even if there is no room for the body.
                if bytes > MAX_CLAIM_BYTES {
                    outcome.body = None;
                }
                self.bytes += outcome.bytes();
                held.phase = Phase::Done(outcome);
                Settled::Recorded
            }
        }
    }

    /// Gives a claim back.
    ///
    /// The claim itself may be committed after its release, when its proposal was delayed on the way. The
    /// release is therefore remembered even if the claim is not known.
    pub(crate) fn release(&mut self, at: LogTime, release: &Release) -> Settled {
        if !is_alive(release.id.key, at) {
            return Settled::Superseded;
        }
        let Some(held) = self.held.get_mut(&release.id) else {
            if self.bytes + CLAIM_BYTES + RELEASED_BYTES > MAX_CLAIM_BYTES {
                return Settled::Superseded;
            }
            let held = Held {
                fingerprint: None,
                owner: None,
                request: release.request,
                attempt: id::Attempt(0),
                phase: Phase::Released,
                released: vec![release.request],
            };
            self.bytes += held.bytes();
            self.held.insert(release.id.clone(), held);
            return Settled::Recorded;
        };
        if held.released.contains(&release.request) {
            return Settled::Recorded;
        }
        let is_holder = held.request == release.request;
        if is_holder && matches!(held.phase, Phase::Done(_)) {
            return Settled::Superseded;
        }
        if is_holder {
            held.phase = Phase::Released;
        }
        if held.released.len() as u64 <= MAX_ATTEMPTS {
            held.released.push(release.request);
            self.bytes += RELEASED_BYTES;
        }
        if is_holder {
            Settled::Recorded
        } else {
            Settled::Superseded
        }
    }

    /// Returns how many claims are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the bytes counted for all claims.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
