//! Membership view of one instance.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};

use crate::message::Progress;

/// Liveness of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Known to have been alive recently.
    Alive,
    /// Not known to have been alive for [`Timing::suspect_after`](crate::config::Timing::suspect_after), or not
    /// heard from yet.
    Suspect,
    /// Not known to have been alive for [`Timing::dead_after`](crate::config::Timing::dead_after).
    Dead,
}

/// Instance as observed by the local one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Liveness.
    pub state: State,
    /// Time since it was last known to be alive.
    pub last_alive_age: Duration,
    /// Incarnation of the instance; 0 if nothing was received from it yet.
    pub incarnation: id::Incarnation,
    /// Progress that the instance last reported.
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
    /// Returns an instance, if it is in the peer list.
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
    /// State before the change.
    pub previous_state: State,
    /// Instance after the change.
    pub peer: Peer,
}
