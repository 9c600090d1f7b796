//! Merge of announcements.
//!
//! A merge is commutative and idempotent, so instances that exchange announcements converge whatever path each of them
//! took. The newest incarnation of a target wins, then the highest sequence number. A target that has withdrawn stays
//! withdrawn for that incarnation: a delayed announcement can't restore it.
//!
//! An address may be reused by another target. The newest incarnation at an address owns it, the others are gone. Where
//! targets don't announce their incarnation, the most recently heard target owns the address.
//!
//! An instance that has restored a target and doesn't hear of it presumes that it is gone, and tells the others so. It may be
//! the one that is cut off, so this withdrawal isn't final: it counts only where the target has been silent too, and ends with
//! a sign of life. Between instances it is known by its sequence number 0, which only restored targets have.
//!
//! Not every announcement comes from the target that it names. A target doesn't change its service or its address
//! within one incarnation, and if any target announces its incarnation, all of them do.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::announcement::{Announcement, State};

/// Time for which a target is retained after it was last heard of or began to leave, so that a late announcement can't
/// restore a withdrawn one. It is far longer than the seconds for which an announcement may be delayed.
pub const RETENTION: Duration = Duration::from_secs(300);

/// Time without a sign of life after which another instance is believed that a target is gone. Live targets are reported each
/// second.
const SILENCE: Duration = Duration::from_secs(10);

/// Maximum number of targets. Beyond it, the least recently heard target is removed.
pub const MAX_TARGETS: usize = 20_000;

/// State of a target as one instance sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Whether the target has withdrawn.
    pub withdrawn: bool,
}

/// Target as this instance knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Whether the target has withdrawn.
    pub is_withdrawn: bool,
    /// Time at which the target was last heard of, by this instance or by one that sent an update.
    pub last_heard: Point,
    /// Time since which the target is known to be leaving.
    pub leaving_since: Option<Point>,
    // Whether the entry was restored after a restart and the target has not been heard of since.
    is_restored: bool,
    // Whether the target is withdrawn only because it is presumed gone.
    is_presumed: bool,
}

impl Entry {
    /// Returns whether the target takes new work.
    pub fn is_ready(&self) -> bool {
        !self.is_withdrawn && self.announcement.state == State::Ready
    }

    /// Returns whether the target itself has said that it leaves or withdraws.
    pub fn is_departing(&self) -> bool {
        !self.is_ready() && !self.is_presumed
    }

    /// Returns the key by which the owner of an address is chosen; the highest one owns it.
    fn ownership(&self) -> (id::Incarnation, Point) {
        (self.announcement.incarnation, self.last_heard)
    }

    /// Withdraws the target because another instance presumes that it is gone, unless this one has heard of it lately.
    fn presume_gone(&mut self, now: Point) -> Merge {
        let is_silent = self.is_restored || now.since(self.last_heard) >= SILENCE;
        if self.is_withdrawn || !is_silent {
            return Merge::Stale;
        }
        self.is_withdrawn = true;
        self.is_presumed = true;
        self.is_restored = false;
        self.leaving_since = self.leaving_since.or(Some(now));
        Merge::Changed
    }

    /// Returns the update that brings another instance to the state of this one. A presumed withdrawal is marked by its
    /// sequence number.
    fn update(&self) -> Update {
        let mut announcement = self.announcement.clone();
        if self.is_presumed {
            announcement.sequence = 0;
        }
        Update {
            announcement,
            withdrawn: self.is_withdrawn,
        }
    }
}

/// Effect of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The update contains a change that all other instances need.
    Changed,
    /// Only the models and adapters at the target have changed. The leader needs them; entry instances route by the
    /// placements that the leader publishes.
    Inventory,
    /// The update only confirms that the target is alive.
    Alive,
    /// The update is older than the known state and was ignored.
    Stale,
}

/// All targets that are known.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    // Whether any target has announced its incarnation. Announcements without one are ignored from then on.
    has_incarnations: bool,
    entries: BTreeMap<id::Target, Entry>,
}

impl Registry {
    /// Merges an update of this age.
    pub fn merge(&mut self, update: Update, age: Duration, now: Point) -> Merge {
        let Update {
            mut announcement,
            withdrawn,
        } = update;
        let heard_at = now - age;
        let is_leaving = withdrawn || announcement.state != State::Ready;
        let is_presumed = withdrawn && announcement.sequence == 0;
        if announcement.incarnation > id::Incarnation::default() {
            self.has_incarnations = true;
        } else if self.has_incarnations {
            return Merge::Stale;
        }
        let Some(entry) = self.entries.get_mut(&announcement.target) else {
            self.make_room();
            let entry = Entry {
                is_withdrawn: withdrawn,
                last_heard: heard_at,
                leaving_since: is_leaving.then_some(now),
                is_restored: false,
                is_presumed,
                announcement,
            };
            self.entries
                .insert(entry.announcement.target.clone(), entry);
            return Merge::Changed;
        };
        let known = &entry.announcement;
        let ordering = (announcement.incarnation, announcement.sequence)
            .cmp(&(known.incarnation, known.sequence));
        let is_same =
            announcement.service == known.service && announcement.address == known.address;
        if announcement.incarnation < known.incarnation
            || (announcement.incarnation == known.incarnation && !is_same)
        {
            return Merge::Stale;
        }
        if announcement.incarnation == known.incarnation && is_presumed {
            return entry.presume_gone(now);
        }
        if announcement.incarnation == known.incarnation {
            // The version of an incarnation doesn't change. An update from an older build has none.
            announcement.version = known.version.clone().or(announcement.version);
        }
        let is_newly_versioned = announcement.incarnation == known.incarnation
            && announcement.version.is_some()
            && known.version.is_none();
        let is_final = entry.is_withdrawn && !entry.is_presumed;
        let withdrawn = withdrawn || (is_final && announcement.incarnation == known.incarnation);
        let is_restart = announcement.incarnation > known.incarnation;
        let is_newer = ordering.is_gt();
        if !is_newer && entry.is_presumed && !withdrawn {
            // A copy from before the target was silent.
            return Merge::Stale;
        }
        if !is_newer && is_newly_versioned {
            entry.announcement.version = announcement.version;
            entry.is_withdrawn = withdrawn;
            return Merge::Changed;
        }
        if !is_newer && withdrawn == entry.is_withdrawn {
            // A copy that another instance has restored is no sign of life.
            if ordering.is_eq() && announcement.sequence > 0 {
                entry.last_heard = entry.last_heard.max(heard_at);
                return Merge::Alive;
            }
            return Merge::Stale;
        }
        let is_change = withdrawn != entry.is_withdrawn || !announcement.has_same_route(known);
        let is_same_inventory = announcement.has_same_content(known);
        entry.last_heard = entry.last_heard.max(heard_at);
        entry.is_withdrawn = withdrawn;
        entry.is_presumed = false;
        entry.is_restored = entry.is_restored && !is_newer;
        if is_newer {
            entry.announcement = announcement;
        }
        let is_leaving = withdrawn || entry.announcement.state != State::Ready;
        entry.leaving_since = match entry.leaving_since.filter(|_| !is_restart) {
            since if is_leaving => since.or(Some(now)),
            _ => None,
        };
        match (is_change, is_same_inventory) {
            (true, _) => Merge::Changed,
            (false, false) => Merge::Inventory,
            (false, true) => Merge::Alive,
        }
    }

    /// Restores a target from before a restart, unless a newer incarnation of it is known. The next announcement of one that
    /// took new work is accepted whatever its sequence number. One that was leaving goes on leaving, whatever other
    /// instances have restored.
    pub fn restore(&mut self, update: Update, now: Point) {
        let Update {
            mut announcement,
            withdrawn,
        } = update;
        let known = self.entries.get(&announcement.target);
        if known.is_some_and(|known| known.announcement.incarnation >= announcement.incarnation) {
            return;
        }
        let is_leaving = withdrawn || announcement.state != State::Ready;
        if !is_leaving {
            announcement.sequence = 0;
        }
        let entry = Entry {
            is_withdrawn: withdrawn,
            last_heard: now,
            leaving_since: is_leaving.then_some(now),
            is_restored: !is_leaving,
            is_presumed: false,
            announcement,
        };
        let target = entry.announcement.target.clone();
        self.entries.insert(target, entry);
    }

    /// Withdraws the restored targets that have not been heard of since, as presumed gone, and returns the updates for other
    /// instances.
    pub fn withdraw_unheard(&mut self) -> Vec<Update> {
        let unheard = self.entries.values_mut().filter(|entry| entry.is_restored);
        let updates = unheard.map(|entry| {
            entry.is_restored = false;
            entry.is_withdrawn = true;
            entry.is_presumed = true;
            entry.update()
        });
        updates.collect()
    }

    /// Records that a target has withdrawn. Returns `None` if the target is unknown.
    pub fn withdraw(&mut self, target: &id::Target, now: Point) -> Option<Update> {
        let entry = self.entries.get_mut(target)?;
        entry.is_withdrawn = true;
        entry.is_presumed = false;
        // The target may not have announced itself since it was restored.
        entry.announcement.sequence = entry.announcement.sequence.max(1);
        entry.leaving_since = entry.leaving_since.or(Some(now));
        Some(entry.update())
    }

    /// Records that a target was heard of at a time, if this incarnation of it is known. Returns whether it was presumed gone.
    pub fn record_alive(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        heard_at: Point,
    ) -> bool {
        let entry = self.entries.get_mut(target);
        let Some(entry) = entry.filter(|entry| entry.announcement.incarnation == incarnation)
        else {
            return false;
        };
        let is_found = entry.is_presumed && heard_at > entry.last_heard;
        if is_found {
            entry.is_presumed = false;
            entry.is_withdrawn = false;
            entry.leaving_since = None;
        }
        entry.last_heard = entry.last_heard.max(heard_at);
        entry.is_restored = false;
        is_found
    }

    /// Removes targets that were neither heard of nor began to leave within the last [`RETENTION`].
    pub fn prune(&mut self, now: Point) {
        self.entries.retain(|_, entry| {
            now.since(
                entry
                    .last_heard
                    .max(entry.leaving_since.unwrap_or_default()),
            ) < RETENTION
        });
    }

    /// Removes the least recently heard target if there is no room for another one.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_TARGETS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_heard);
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

    /// Returns the updates that bring another instance to the state of this one.
    pub fn updates(&self) -> Vec<Update> {
        self.entries.values().map(Entry::update).collect()
    }

    /// Returns the update of one target.
    pub fn update(&self, target: &id::Target) -> Option<Update> {
        self.entries.get(target).map(Entry::update)
    }

    /// Removes the targets of services that don't exist. Returns whether there were any.
    pub fn retain_services(&mut self, exists: impl Fn(&id::Service) -> bool) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| exists(&entry.announcement.service));
        self.entries.len() < before
    }

    /// Returns the target that currently owns an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Entry> {
        let entries = self
            .entries
            .values()
            .filter(|entry| entry.announcement.address == address);
        entries.max_by_key(|entry| entry.ownership())
    }

    /// Returns the targets that own their address, including those that have withdrawn. Equivalent to all entries that
    /// are not [replaced](Self::is_replaced), in time that grows linearly with their number.
    pub fn owners(&self) -> Vec<&Entry> {
        self.owners_of(|_| true)
    }

    /// Returns the targets that own their address among the targets of the services that exist.
    pub fn owners_of(&self, exists: impl Fn(&id::Service) -> bool) -> Vec<&Entry> {
        let entries = || {
            let entries = self.entries.values();
            entries.filter(|entry| exists(&entry.announcement.service))
        };
        let mut newest: HashMap<SocketAddr, &Entry> = HashMap::with_capacity(self.entries.len());
        for entry in entries() {
            let known = newest.entry(entry.announcement.address).or_insert(entry);
            if entry.ownership() >= known.ownership() {
                *known = entry;
            }
        }
        let is_owner = |entry: &&Entry| {
            let owner = newest.get(&entry.announcement.address);
            owner.is_some_and(|owner| owner.announcement.target == entry.announcement.target)
        };
        entries().filter(is_owner).collect()
    }

    /// Returns whether another target that started later owns the address of this one.
    pub fn is_replaced(&self, entry: &Entry) -> bool {
        let newest = self.at_address(entry.announcement.address);
        newest.is_some_and(|newest| newest.announcement.target != entry.announcement.target)
    }
}
