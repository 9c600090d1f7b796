//! Table of the instances of the core, without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

/// Time after which an instance that has not been heard of is removed. It is longer than a partition or a restart
/// usually takes. An instance that comes back later introduces itself again.
pub const INSTANCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Instance of the core.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for connections between instances.
    pub peers: SocketAddr,
    /// Address for operators and targets.
    pub control: SocketAddr,
}

/// Instance as one instance reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Instance.
    #[serde(rename = "card")]
    pub member: Member,
    /// Time since it was last heard of.
    pub age: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    last_heard: Point,
}

/// Known instances and seeds.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    seeds: BTreeSet<SocketAddr>,
    entries: BTreeMap<id::Instance, Entry>,
}

impl Roster {
    /// Sets the seeds of the settings, which are addresses for connections between instances.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Records that an instance was heard of at a time. Returns whether it is new, or its domain or addresses have
    /// changed.
    pub fn record(&mut self, member: &Member, heard_at: Point) -> bool {
        match self.entries.get_mut(&member.instance) {
            Some(entry) => {
                let has_changed = heard_at > entry.last_heard && entry.member != *member;
                if has_changed {
                    entry.member = member.clone();
                }
                entry.last_heard = entry.last_heard.max(heard_at);
                has_changed
            }
            None => {
                let entry = Entry {
                    member: member.clone(),
                    last_heard: heard_at,
                };
                self.entries.insert(member.instance.clone(), entry);
                true
            }
        }
    }

    /// Merges the instances that another instance reports. Returns whether anything has changed.
    pub fn merge(&mut self, reported: &[Sighting], now: Point) -> bool {
        let mut is_change = false;
        for entry in reported.iter().filter(|entry| entry.age < INSTANCE_TIMEOUT) {
            is_change |= self.record(&entry.member, now - entry.age);
        }
        is_change
    }

    /// Removes instances that have not been heard of for [`INSTANCE_TIMEOUT`]. Returns whether there were any.
    pub fn prune(&mut self, now: Point) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.last_heard) < INSTANCE_TIMEOUT);
        self.entries.len() < before
    }

    /// Returns the known instances as reported to others.
    pub fn sightings(&self, now: Point) -> Vec<Sighting> {
        let entries = self.entries.values().map(|entry| Sighting {
            member: entry.member.clone(),
            age: now.since(entry.last_heard),
        });
        entries.collect()
    }

    /// Returns the known instances.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns an instance.
    pub fn get(&self, instance: &id::Instance) -> Option<&Member> {
        self.entries.get(instance).map(|entry| &entry.member)
    }

    /// Returns all addresses to connect to.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let known = self.members().map(|member| member.peers);
        known.chain(self.seeds.iter().copied()).collect()
    }
}
