//! What an instance knows about the others.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};

use crate::message::Progress;

/// Liveness of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Heard from recently.
    Alive,
    /// Silent for a while, or not heard from yet.
    Suspect,
    /// Silent for long.
    Dead,
}

/// Instance as seen from here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Liveness.
    pub state: State,
    /// Time since it was last known to be alive.
    pub age: Duration,
    /// Start of the instance; 0 if it was never heard from.
    pub incarnation: id::Incarnation,
    /// What it said about itself.
    pub progress: Progress,
}

/// All instances of the peer list at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Time of the view.
    pub at: Point,
    /// Instances, this one included, in the order of their names.
    pub peers: Vec<Peer>,
}

impl View {
    /// Returns an instance.
    pub fn get(&self, instance: &id::Instance) -> Option<&Peer> {
        let found = (self.peers).binary_search_by(|peer| peer.instance.cmp(instance));
        found.ok().map(|found| &self.peers[found])
    }

    /// Returns the instances of a failure domain.
    pub fn domain<'a>(&'a self, domain: &'a id::Domain) -> impl Iterator<Item = &'a Peer> {
        self.peers.iter().filter(move |peer| peer.domain == *domain)
    }

    /// Returns the instances that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        (self.peers.iter()).filter(|peer| peer.state == State::Alive)
    }
}

/// Change of an instance's state, incarnation, revision or readiness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// State before.
    pub before: State,
    /// Instance after the change.
    pub peer: Peer,
}
