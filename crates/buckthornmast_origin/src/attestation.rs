//! Evidence that a service has had one version, which outlives restarts.
//!
//! What an instance of the core has seen in its own time is forgotten when it starts anew. So it stores on its disk which
//! version of a service is the only one that it has seen for longer than any stream lives. While that stands, it tells entry
//! instances of no target of another version. Before it does, it withdraws what it attests, and waits until its disk has
//! that. So if requests can have reached another version, the instance that told of it knows that after a restart. One
//! whose disk is new proves nothing but what the others keep for it, see [`crate::lease`]. Since all instances have to answer,
//! it doesn't matter what the others attest.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornmast_types::time::Point;
use serde::{Deserialize, Serialize};

use crate::{
    history::{History, Sole},
    record::{Mark, Service},
};

/// Version of the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Variant {
    /// Service.
    pub service: Service,
    /// Version, unless the targets state none.
    pub mark: Option<Mark>,
}

/// What one instance of the core attests, and which versions it may use.
#[derive(Debug, Clone, Default)]
pub struct Register {
    attested: BTreeMap<Service, Sole>,
    cleared: BTreeSet<Variant>,
}

impl Register {
    /// Restores what this instance attested before it started.
    pub fn restore(&mut self, attested: impl IntoIterator<Item = (Service, Sole)>) {
        self.attested.extend(attested);
    }

    /// Takes over what the predecessor of this instance attested, as far as nothing that this instance has seen or used speaks
    /// against it. Returns the number of services.
    pub fn adopt(
        &mut self,
        attested: impl IntoIterator<Item = (Service, Sole)>,
        history: &History,
    ) -> usize {
        let mut adopted = 0;
        for (service, sole) in attested {
            let mut cleared = self.cleared.iter();
            let is_contradicted = cleared
                .any(|variant| variant.service == service && variant.mark != Some(sole.mark));
            if !is_contradicted && history.permits(service, sole.mark) {
                self.attested.entry(service).or_insert(sole);
                adopted += 1;
            }
        }
        adopted
    }

    /// Returns whether a version is the one that this instance attests.
    pub fn attests(&self, variant: Variant) -> bool {
        let attested = self.attested.get(&variant.service);
        attested.is_some_and(|sole| variant.mark == Some(sole.mark))
    }

    /// Returns what this instance attests.
    pub fn attested(&self) -> impl Iterator<Item = (Service, Sole)> + '_ {
        let attested = self.attested.iter();
        attested.map(|(service, sole)| (*service, *sole))
    }

    /// Withdraws everything, because routes may have changed unseen.
    pub fn withdraw_all(&mut self) {
        self.attested.clear();
    }

    /// Withdraws what speaks against a version. It may be used once that has left the disk, too.
    pub fn withdraw(&mut self, variant: Variant) {
        let attested = self.attested.get(&variant.service);
        if attested.is_some_and(|sole| variant.mark != Some(sole.mark)) {
            self.attested.remove(&variant.service);
        }
    }

    /// Records that the disk has nothing that speaks against a version. Returns whether it does so for the first time;
    /// something that was attested meanwhile speaks against it.
    pub fn clear(&mut self, variant: Variant) -> bool {
        let attested = self.attested.get(&variant.service);
        attested.is_none_or(|sole| variant.mark == Some(sole.mark)) && self.cleared.insert(variant)
    }

    /// Returns whether entry instances may be told of targets of a version.
    pub fn is_cleared(&self, variant: Variant) -> bool {
        self.cleared.contains(&variant)
    }

    /// Attests the only versions that were seen for longer than this time, and takes back the permissions for others. Returns
    /// whether anything has to be stored.
    pub fn attest(&mut self, history: &History, age: Duration, now: Point) -> bool {
        let mut has_changed = false;
        for (service, sole) in history.soles(now).filter(|(_, sole)| sole.age > age) {
            let attested = self.attested.get(&service);
            // A longer time is stored seldom.
            if attested.is_none_or(|attested| sole.age >= attested.age.saturating_mul(2)) {
                self.attested.insert(service, sole);
                self.cleared.retain(|variant| {
                    variant.service != service || variant.mark == Some(sole.mark)
                });
                has_changed = true;
            }
        }
        has_changed
    }
}
