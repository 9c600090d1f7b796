//! Claims as snapshots of version 1 hold them.

use std::collections::BTreeMap;

use buckthornmast_types::id;
use serde::Deserialize;

use crate::claims::{self, Fingerprint, Held, Id, Outcome};

#[derive(Debug, Deserialize)]
enum Phase {
    Claimed,
    Done(Outcome),
    Released,
}

#[derive(Debug, Deserialize)]
struct OldHeld {
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
    held: BTreeMap<Id, OldHeld>,
    #[serde(rename = "bytes")]
    _bytes: usize,
}

impl Claims {
    /// Returns the claims in the present form; `None` if they are malformed or of more services than there is
    /// room for.
    pub(crate) fn upgrade(self) -> Option<claims::Claims> {
        let mut all = claims::Claims::default();
        for (id, old) in self.held {
            all.labels.open(&id.service)?;
            let phase = match old.phase {
                Phase::Done(outcome) => {
                    all.finish(&id, old.fingerprint?, outcome);
                    continue;
                }
                Phase::Claimed => claims::Phase::Claimed,
                Phase::Released => claims::Phase::Released,
            };
            let held = Held {
                fingerprint: old.fingerprint,
                owner: old.owner,
                request: old.request,
                attempt: old.attempt,
                phase,
                released: old.released,
            };
            all.open_bytes += held.bytes();
            all.open.insert(id, held);
        }
        Some(all)
    }
}
