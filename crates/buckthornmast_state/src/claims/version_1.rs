//! Claims as stored in snapshots of version 1.

use std::collections::BTreeMap;

use buckthornmast_types::id;
use serde::Deserialize;

use crate::claims::{self, Fingerprint, Id, OpenClaim, Outcome};

#[derive(Debug, Deserialize)]
enum Phase {
    Claimed,
    Done(Outcome),
    Released,
}

#[derive(Debug, Deserialize)]
struct OldClaim {
    fingerprint: Option<Fingerprint>,
    owner: Option<id::Instance>,
    request: id::Request,
    attempt: id::Attempt,
    phase: Phase,
    released: Vec<id::Request>,
}

/// Claims of version 1.
#[derive(Debug, Deserialize)]
pub(crate) struct Claims {
    #[serde(rename = "held")]
    claims: BTreeMap<Id, OldClaim>,
    #[serde(rename = "bytes")]
    _bytes: usize,
}

impl Claims {
    /// Converts the claims to the current layout; returns `None` if they are malformed or of too many services.
    pub(crate) fn upgrade(self) -> Option<claims::Claims> {
        let mut all = claims::Claims::default();
        for (id, old) in self.claims {
            all.labels.open(&id.service)?;
            let phase = match old.phase {
                Phase::Done(outcome) => {
                    all.finish(&id, old.fingerprint?, outcome);
                    continue;
                }
                Phase::Claimed => claims::Phase::Claimed,
                Phase::Released => claims::Phase::Released,
            };
            let open_claim = OpenClaim {
                fingerprint: old.fingerprint,
                owner: old.owner,
                request: old.request,
                attempt: old.attempt,
                phase,
                released: old.released,
            };
            all.open_bytes += open_claim.bytes();
            all.open.insert(id, open_claim);
        }
        Some(all)
    }
}
