//! Pure table of the instances of the core.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

/// Silence after which an instance is forgotten. Longer than a partition or a restart usually takes; an instance that
/// comes back later introduces itself again.
pub const FORGET: Duration = Duration::from_secs(60);

/// Instance of the core.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Card {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for connections between instances.
    pub peers: SocketAddr,
    /// Address for operators and targets.
    pub control: SocketAddr,
}

/// What one instance tells another about a third.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Instance.
    pub card: Card,
    /// How long ago it was heard of.
    pub age: Duration,
}

#[derive(Debug, Clone)]
struct Row {
    card: Card,
    heard: Point,
}

/// Known instances and seeds.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    seeds: BTreeSet<SocketAddr>,
    rows: BTreeMap<id::Instance, Row>,
}

impl Roster {
    /// Takes over the seeds of the settings, as addresses for connections between instances.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Notes that an instance was heard of at a time; returns whether it is new or has changed its address.
    pub fn note(&mut self, card: &Card, heard: Point) -> bool {
        match self.rows.get_mut(&card.instance) {
            Some(row) => {
                let has_changed = heard > row.heard && row.card != *card;
                if has_changed {
                    row.card = card.clone();
                }
                row.heard = row.heard.max(heard);
                has_changed
            }
            None => {
                let row = Row {
                    card: card.clone(),
                    heard,
                };
                self.rows.insert(card.instance.clone(), row);
                true
            }
        }
    }

    /// Takes what another instance told; returns whether anything is new.
    pub fn take(&mut self, told: &[Told], now: Point) -> bool {
        let mut is_news = false;
        for told in told.iter().filter(|told| told.age < FORGET) {
            is_news |= self.note(&told.card, now - told.age);
        }
        is_news
    }

    /// Forgets instances that nobody has heard of for [`FORGET`]; returns whether there were any.
    pub fn prune(&mut self, now: Point) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| now.since(row.heard) < FORGET);
        self.rows.len() < before
    }

    /// Returns what to tell others.
    pub fn told(&self, now: Point) -> Vec<Told> {
        let rows = self.rows.values().map(|row| Told {
            card: row.card.clone(),
            age: now.since(row.heard),
        });
        rows.collect()
    }

    /// Returns the known instances.
    pub fn cards(&self) -> impl Iterator<Item = &Card> {
        self.rows.values().map(|row| &row.card)
    }

    /// Returns an instance.
    pub fn get(&self, instance: &id::Instance) -> Option<&Card> {
        self.rows.get(instance).map(|row| &row.card)
    }

    /// Returns all addresses that a connection is worth trying to.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let known = self.cards().map(|card| card.peers);
        known.chain(self.seeds.iter().copied()).collect()
    }
}
