//! Merge of announcements.
//!
//! A merge is commutative and idempotent, so instances that exchange what they have heard agree whatever path each
//! announcement took. The newest start of a target wins, then the highest number. A target that has withdrawn
//! stays withdrawn for that start: an announcement that was held up on its way can't bring it back.
//!
//! An address may be used again by another target. The newest start at an address has it, the others are gone. Where
//! targets don't say when they started, the one that was heard of last has the address.
//!
//! Not every announcement comes from the target that it names. A target doesn't change its service or its address
//! within one start, and where starts are stated, all of them are.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::announcement::{Announcement, State};

/// Time for which a withdrawn target is remembered, so that a late announcement can't bring it back. Far beyond the
/// seconds that an announcement may be held up.
pub const MEMORY: Duration = Duration::from_secs(300);

/// Most targets that are remembered; beyond it the one not heard of for longest goes.
pub const MOST: usize = 20_000;

/// What one instance tells another about a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Whether the target has withdrawn.
    pub withdrawn: bool,
}

/// Target as it is known here.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Whether the target has withdrawn.
    pub withdrawn: bool,
    /// When it was last heard of, by this instance or by one that told this one.
    pub heard: Point,
    /// When it was first known to be leaving.
    pub leaving: Option<Point>,
    // Known from before a restart, and not heard of since.
    is_remembered: bool,
}

impl Entry {
    /// Returns whether the target takes new work.
    pub fn is_ready(&self) -> bool {
        !self.withdrawn && self.announcement.state == State::Ready
    }

    fn update(&self) -> Update {
        Update {
            announcement: self.announcement.clone(),
            withdrawn: self.withdrawn,
        }
    }
}

/// What a merge brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Something that others need to know.
    News,
    /// Only that the target is alive.
    Alive,
    /// Nothing: it is older than what is known.
    Stale,
}

/// All targets that are known.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    states_starts: bool,
    entries: BTreeMap<id::Target, Entry>,
}

impl Registry {
    /// Takes an update that was true this long ago.
    pub fn merge(&mut self, update: Update, age: Duration, now: Point) -> Merge {
        let Update {
            announcement,
            withdrawn,
        } = update;
        let heard = now - age;
        let leaves = withdrawn || announcement.state != State::Ready;
        if announcement.born > id::Incarnation::default() {
            self.states_starts = true;
        } else if self.states_starts {
            return Merge::Stale;
        }
        let Some(entry) = self.entries.get_mut(&announcement.target) else {
            self.make_room();
            let entry = Entry {
                withdrawn,
                heard,
                leaving: leaves.then_some(now),
                is_remembered: false,
                announcement,
            };
            self.entries
                .insert(entry.announcement.target.clone(), entry);
            return Merge::News;
        };
        let known = &entry.announcement;
        let order = (announcement.born, announcement.sequence).cmp(&(known.born, known.sequence));
        let is_same =
            announcement.service == known.service && announcement.address == known.address;
        if announcement.born < known.born || (announcement.born == known.born && !is_same) {
            return Merge::Stale;
        }
        let withdrawn = withdrawn || (entry.withdrawn && announcement.born == known.born);
        let restarted = announcement.born > known.born;
        let is_newer = order.is_gt();
        if !is_newer && withdrawn == entry.withdrawn {
            if order.is_eq() {
                entry.heard = entry.heard.max(heard);
                entry.is_remembered = false;
                return Merge::Alive;
            }
            return Merge::Stale;
        }
        let is_news = withdrawn != entry.withdrawn || !announcement.says_the_same(known);
        entry.heard = entry.heard.max(heard);
        entry.withdrawn = withdrawn;
        entry.is_remembered = entry.is_remembered && !is_newer;
        if is_newer {
            entry.announcement = announcement;
        }
        let leaves = withdrawn || entry.announcement.state != State::Ready;
        entry.leaving = match entry.leaving.filter(|_| !restarted) {
            since if leaves => since.or(Some(now)),
            _ => None,
        };
        if is_news { Merge::News } else { Merge::Alive }
    }

    /// Takes over what was known of a target before a restart. Its next announcement counts whatever its number.
    pub fn remember(&mut self, update: Update, now: Point) {
        let Update {
            mut announcement,
            withdrawn,
        } = update;
        announcement.sequence = 0;
        let entry = Entry {
            withdrawn,
            heard: now,
            leaving: None,
            is_remembered: true,
            announcement,
        };
        let target = entry.announcement.target.clone();
        self.entries.entry(target).or_insert(entry);
    }

    /// Withdraws the targets that were remembered and not heard of since; returns what others are told.
    pub fn forget_unheard(&mut self) -> Vec<Update> {
        let unheard = self
            .entries
            .values_mut()
            .filter(|entry| entry.is_remembered);
        let told = unheard.map(|entry| {
            entry.is_remembered = false;
            entry.withdrawn = true;
            entry.update()
        });
        told.collect()
    }

    /// Notes that a target has withdrawn; `None` if it isn't known.
    pub fn withdraw(&mut self, target: &id::Target, now: Point) -> Option<Update> {
        let entry = self.entries.get_mut(target)?;
        entry.withdrawn = true;
        entry.leaving = entry.leaving.or(Some(now));
        Some(entry.update())
    }

    /// Notes that a target was heard of this long ago.
    pub fn note_alive(&mut self, target: &id::Target, born: id::Incarnation, heard: Point) {
        if let Some(entry) = self.entries.get_mut(target)
            && entry.announcement.born == born
        {
            entry.heard = entry.heard.max(heard);
            entry.is_remembered = false;
        }
    }

    /// Forgets targets that have withdrawn, or were last heard of, longer than [`MEMORY`] ago.
    pub fn prune(&mut self, now: Point) {
        self.entries.retain(|_, entry| {
            now.since(entry.heard.max(entry.leaving.unwrap_or_default())) < MEMORY
        });
    }

    fn make_room(&mut self) {
        if self.entries.len() < MOST {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.entries.remove(&target);
        }
    }

    /// Returns a target.
    pub fn get(&self, target: &id::Target) -> Option<&Entry> {
        self.entries.get(target)
    }

    /// Returns all targets, also those that have withdrawn.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns what another instance needs to know as much as this one.
    pub fn updates(&self) -> Vec<Update> {
        self.entries.values().map(Entry::update).collect()
    }

    /// Returns the update of one target.
    pub fn update(&self, target: &id::Target) -> Option<Update> {
        self.entries.get(target).map(Entry::update)
    }

    /// Forgets targets of services that don't exist; returns whether there were any.
    pub fn retain_services(&mut self, exists: impl Fn(&id::Service) -> bool) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| exists(&entry.announcement.service));
        self.entries.len() < before
    }

    /// Returns the target that has an address now.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Entry> {
        let entries = self
            .entries
            .values()
            .filter(|entry| entry.announcement.address == address);
        entries.max_by_key(|entry| (entry.announcement.born, entry.heard))
    }

    /// Returns whether another target that started later has the address of this one.
    pub fn is_replaced(&self, entry: &Entry) -> bool {
        let newest = self.at_address(entry.announcement.address);
        newest.is_some_and(|newest| newest.announcement.target != entry.announcement.target)
    }
}
