//! Leases that carry attestations over the loss of a disk.
//!
//! What an instance of the core attests is on its own disk, and gone with it. So the other instances keep copies, each under
//! a lease: for [`GRANT_LIFE`] after an instance has granted a copy, it tells entry instances of no version that contradicts
//! the copy, unless its keeper has withdrawn it. The keeper believes the copy for [`COPY_LIFE`] from when it asked for it.
//!
//! An instance that starts with an empty disk takes over the copies in its name. One counts if the instance started before
//! the copy expired: then its predecessor, which had ended by that time, has told of no version that contradicts it. All
//! other instances have to keep the same.
//!
//! The keeper counts from its question, which comes before the grant, so a copy ends before its grant does, whatever is
//! delayed or frozen between. Both clocks have to run while a machine is suspended.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{history::Sole, record::Service};

pub mod grantor;
pub mod keeper;

/// Time for which a copy counts: the longest time for which a machine that loses its disk is down (3 s), the interval of
/// renewals, and the time of a start.
pub const COPY_LIFE: Duration = Duration::from_secs(5);

/// Time for which a grant binds: [`COPY_LIFE`], and a tenth for clocks of different rates.
pub const GRANT_LIFE: Duration = Duration::from_millis(5500);

/// Version of the routes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Edition(pub u64);

/// What an instance attests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Version of the routes under which it is attested.
    pub routes: Edition,
    /// Only versions of services.
    pub attested: BTreeMap<Service, Sole>,
}

impl Content {
    /// Returns what this and another copy state together.
    pub fn and(self, other: &Self) -> Self {
        if self.routes != other.routes {
            return Self::default();
        }
        let attested = self.attested.into_iter().filter_map(|(service, sole)| {
            let other = other.attested.get(&service)?;
            Some((service, sole.and(*other)?))
        });
        Self {
            attested: attested.collect(),
            ..self
        }
    }
}
