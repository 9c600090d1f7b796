//! Published state of a target.

use std::{net::SocketAddr, time::Duration};

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::version::Version;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// The target takes requests.
    Ready,
    /// The target drains its requests and then leaves.
    Leaving {
        /// Time after which the target leaves even with requests in progress, if it has announced one.
        within: Option<Duration>,
    },
}

/// Model in the accelerator memory of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// Model.
    pub model: id::Model,
    /// Resident adapters of the model.
    pub adapters: Vec<id::Adapter>,
}

/// Announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target. A restarted target may keep its name, but has no state from before the restart.
    #[serde(rename = "born")]
    pub incarnation: id::Incarnation,
    /// Number that grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: State,
    /// Remaining time for which the target is slow after its start.
    pub cold: Duration,
    /// Models in accelerator memory.
    #[serde(rename = "held")]
    pub resident: Vec<Resident>,
    /// Models with a copy in main memory.
    pub in_memory: Vec<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: Vec<id::Model>,
    /// Version of the software of this incarnation, if it states one.
    ///
    /// Not part of the encoded form, which older builds read by position: messages carry it at their end.
    #[serde(skip)]
    pub version: Option<Version>,
}

impl Announcement {
    /// Returns whether another announcement is the same in all that requests are routed by, apart from the models at the
    /// target.
    pub fn has_same_route(&self, other: &Self) -> bool {
        self.target == other.target
            && self.incarnation == other.incarnation
            && self.service == other.service
            && self.address == other.address
            && self.domain == other.domain
            && self.slots == other.slots
            && self.state == other.state
            && self.cold.is_zero() == other.cold.is_zero()
            && self.version == other.version
    }

    /// Returns whether another announcement has the same content, apart from its number.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.has_same_route(other)
            && self.resident == other.resident
            && self.in_memory == other.in_memory
            && self.on_disk == other.on_disk
    }

    /// Returns whether a model is resident at the target, and the adapter if one is specified.
    pub fn is_resident(&self, model: &id::Model, adapter: Option<&id::Adapter>) -> bool {
        let entry = self.resident.iter().find(|entry| entry.model == *model);
        entry.is_some_and(|entry| adapter.is_none_or(|adapter| entry.adapters.contains(adapter)))
    }
}
