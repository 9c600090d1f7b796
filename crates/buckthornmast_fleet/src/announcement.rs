//! What a target says about itself.

use std::{net::SocketAddr, time::Duration};

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// Whether a target wants new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Leaving {
        /// Time after which it is gone whatever it is running, if it said so.
        within: Option<Duration>,
    },
}

/// Model in the accelerator memory of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Model.
    pub model: id::Model,
    /// Adapters of it that are present.
    pub adapters: Vec<id::Adapter>,
}

/// Announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Target.
    pub target: id::Target,
    /// Start of the target. A restarted target may keep its name; it then knows nothing of before.
    pub born: id::Incarnation,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it wants new work.
    pub state: State,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
    /// Models in accelerator memory.
    pub held: Vec<Held>,
    /// Models with a copy in main memory.
    pub in_memory: Vec<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: Vec<id::Model>,
}

impl Announcement {
    /// Returns whether another announcement says the same apart from its number.
    pub fn says_the_same(&self, other: &Self) -> bool {
        self.target == other.target
            && self.born == other.born
            && self.service == other.service
            && self.address == other.address
            && self.domain == other.domain
            && self.slots == other.slots
            && self.state == other.state
            && self.cold.is_zero() == other.cold.is_zero()
            && self.held == other.held
            && self.in_memory == other.in_memory
            && self.on_disk == other.on_disk
    }

    /// Returns whether the target holds a model, and the adapter if one is given.
    pub fn holds(&self, model: &id::Model, adapter: Option<&id::Adapter>) -> bool {
        let held = self.held.iter().find(|held| held.model == *model);
        held.is_some_and(|held| adapter.is_none_or(|adapter| held.adapters.contains(adapter)))
    }
}
