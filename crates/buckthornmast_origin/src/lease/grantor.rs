//! Side of the instance whose attestations are copied.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::{id, time::Point};

use super::{Content, GRANT_LIFE};
use crate::{history::Sole, record::Service};

/// Grants of copies, and what they forbid.
#[derive(Debug, Clone)]
pub struct Grantor {
    started: Point,
    // Services of which copies may have been granted before the start, or nothing if any may have been.
    inherited: Option<BTreeSet<Service>>,
    // Services of which copies may be granted, and those of them that the disk has.
    offered: BTreeSet<Service>,
    stored: BTreeSet<Service>,
    // Until when a grant binds, by the keeper of the copy.
    granted: BTreeMap<Service, BTreeMap<id::Instance, Point>>,
    // What the other instances keep of the predecessor of this one, until all have answered.
    found: Option<BTreeMap<id::Instance, Content>>,
}

/// Grantor of an instance about whose disk nothing is known.
impl Default for Grantor {
    fn default() -> Self {
        Self::new(None, Point::ZERO)
    }
}

impl Grantor {
    /// Creates a grantor from the services on its disk, or from nothing if the disk doesn't show of which services copies were
    /// granted.
    pub fn new(offered: Option<BTreeSet<Service>>, started: Point) -> Self {
        let found = offered.is_none().then(BTreeMap::new);
        let known = offered.clone().unwrap_or_default();
        Self {
            started,
            inherited: offered,
            offered: known.clone(),
            stored: known,
            granted: BTreeMap::new(),
            found,
        }
    }

    /// Sets the start to a time at which no predecessor can run any more.
    pub fn start(&mut self, started: Point) {
        self.started = started;
    }

    /// Returns when this instance started.
    pub fn started(&self) -> Point {
        self.started
    }

    /// Returns what the disk has to hold: the services of which copies may be granted, or nothing while that isn't known.
    pub fn offered(&self, now: Point) -> Option<&BTreeSet<Service>> {
        let is_known = self.inherited.is_some() || self.is_settled(now);
        is_known.then_some(&self.offered)
    }

    /// Offers what is attested, and takes back what isn't once no copy of it counts.
    pub fn offer(&mut self, attested: impl IntoIterator<Item = Service>, now: Point) {
        for keepers in self.granted.values_mut() {
            keepers.retain(|_, until| now < *until);
        }
        self.granted.retain(|_, keepers| !keepers.is_empty());
        let attested: BTreeSet<Service> = attested.into_iter().collect();
        if self.is_settled(now) {
            let granted = &self.granted;
            self.offered
                .retain(|service| attested.contains(service) || granted.contains_key(service));
        }
        self.offered.extend(attested);
    }

    /// Records that the disk holds what was offered last.
    pub fn record_stored(&mut self) {
        self.stored.clone_from(&self.offered);
    }

    /// Grants copies to a keeper of what is attested and offered on the disk. Nothing is granted to one that has not said yet
    /// what it keeps of the predecessor, since the grant replaces it.
    pub fn grant(
        &mut self,
        keeper: &id::Instance,
        attested: impl IntoIterator<Item = (Service, Sole)>,
        now: Point,
    ) -> Option<BTreeMap<Service, Sole>> {
        let is_awaited = |found: &BTreeMap<_, _>| !found.contains_key(keeper);
        if self.found.as_ref().is_some_and(is_awaited) {
            return None;
        }
        let attested = attested.into_iter();
        let copied: BTreeMap<Service, Sole> = attested
            .filter(|(service, _)| self.stored.contains(service))
            .collect();
        for service in copied.keys() {
            let keepers = self.granted.entry(*service).or_default();
            keepers.insert(keeper.clone(), now + GRANT_LIFE);
        }
        Some(copied)
    }

    /// Records that a keeper has withdrawn its copy of a service.
    pub fn release(&mut self, service: Service, keeper: &id::Instance) {
        if let Some(keepers) = self.granted.get_mut(&service) {
            keepers.remove(keeper);
        }
    }

    /// Returns whether no copy of a service counts any more, given which of the other instances have withdrawn theirs.
    pub fn is_released<'a>(
        &self,
        service: Service,
        mut others: impl Iterator<Item = &'a id::Instance>,
        withdrawn: &BTreeSet<id::Instance>,
        now: Point,
    ) -> bool {
        let granted = self.granted.get(&service).into_iter().flatten();
        let mut binding = granted.filter(|(_, until)| now < **until);
        if binding.any(|(keeper, _)| !withdrawn.contains(keeper)) {
            return false;
        }
        let inherited = self.inherited.as_ref();
        let is_inherited = inherited.is_none_or(|services| services.contains(&service));
        self.is_settled(now) || !is_inherited || others.all(|other| withdrawn.contains(other))
    }

    /// Returns whether the copies of the predecessor are still looked for at an instance.
    pub fn awaits(&self, keeper: &id::Instance) -> bool {
        let found = self.found.as_ref();
        found.is_some_and(|found| !found.contains_key(keeper))
    }

    /// Adds what another instance keeps of the predecessor. Returns what all others keep once they have answered.
    pub fn recover<'a>(
        &mut self,
        keeper: id::Instance,
        content: Content,
        mut others: impl Iterator<Item = &'a id::Instance>,
    ) -> Option<Content> {
        let found = self.found.as_mut()?;
        found.entry(keeper).or_insert(content);
        if !others.all(|other| found.contains_key(other)) {
            return None;
        }
        let found = self.found.take()?;
        let mut found = found.into_values();
        let first = found.next()?;
        Some(found.fold(first, |common, content| common.and(&content)))
    }

    /// Returns whether all grants of the predecessor have expired.
    fn is_settled(&self, now: Point) -> bool {
        now >= self.started + GRANT_LIFE
    }
}
