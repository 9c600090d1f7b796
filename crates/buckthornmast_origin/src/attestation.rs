//! Evidence that a service has had one version, which outlives restarts.
//!
//! What an instance of the core has seen in its own time is forgotten when it starts anew. So it stores on its disk which
//! version of a service is the only one, once all instances of the core have seen no other for longer than any stream lives.
//! While that stands, no instance may tell entry instances of a target of another version. Before it does, it asks the others
//! to withdraw what they attest, and waits until as many disks have done so as may be lost, and one more, its own among
//! them. So if requests can have reached another version, an instance of the core that is not new knows it.
//!
//! A withdrawal is worth something only until its instance attests again. An instance that states that it has seen one
//! version only takes back its own permission to use others, and only such statements of all let an instance attest.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::{
    history::{History, MAX_SERVICES, Sole},
    record::{Mark, Service},
};

/// Time for which a statement of another instance counts. Statements are sent each second. It is shorter than the time that
/// evidence covers, so that none that was delayed counts after its sender has seen another version.
pub const STATEMENT_LIFE: Duration = Duration::from_secs(3);

/// Version of the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Variant {
    /// Service.
    pub service: Service,
    /// Version, unless the targets state none.
    pub mark: Option<Mark>,
}

/// States that the sender has long seen only this version of a service, and has no permission to use another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Service.
    pub service: Service,
    /// Version.
    pub mark: Mark,
}

/// Question whether the others have withdrawn what speaks against a version.
#[derive(Debug, Clone, Default)]
struct Clearance {
    number: u64,
    withdrawn_at: BTreeSet<id::Instance>,
    is_granted: bool,
}

/// What one instance of the core attests, and which versions it may use.
#[derive(Debug, Clone, Default)]
pub struct Register {
    attested: BTreeMap<Service, Sole>,
    statements: HashMap<Service, HashMap<id::Instance, (Mark, Point)>>,
    clearances: BTreeMap<Variant, Clearance>,
    next_number: u64,
}

impl Register {
    /// Restores what this instance attested before it started.
    pub fn restore(&mut self, attested: impl IntoIterator<Item = (Service, Sole)>) {
        self.attested.extend(attested);
    }

    /// Returns what this instance attests.
    pub fn attested(&self) -> impl Iterator<Item = (Service, Sole)> + '_ {
        self.attested
            .iter()
            .map(|(service, sole)| (*service, *sole))
    }

    /// Returns whether this instance attests that a version is the only one of a service.
    pub fn attests(&self, service: Service, mark: Mark) -> bool {
        let attested = self.attested.get(&service);
        attested.is_some_and(|sole| sole.mark == mark)
    }

    /// Withdraws everything, because routes may have changed unseen.
    pub fn withdraw_all(&mut self) {
        self.attested.clear();
        self.statements.clear();
    }

    /// Withdraws what speaks against a version. It is withdrawn for others once it has left the disk, too.
    pub fn withdraw(&mut self, variant: Variant) {
        self.statements.remove(&variant.service);
        let attested = self.attested.get(&variant.service);
        if attested.is_some_and(|sole| variant.mark != Some(sole.mark)) {
            self.attested.remove(&variant.service);
        }
    }

    /// Returns whether entry instances may be told of targets of a version.
    pub fn is_cleared(&self, variant: Variant) -> bool {
        let clearance = self.clearances.get(&variant);
        clearance.is_some_and(|clearance| clearance.is_granted)
    }

    /// Begins to clear a version. Returns the number of the question to the other instances, unless it was asked before.
    pub fn clear(&mut self, variant: Variant) -> Option<u64> {
        if self.clearances.contains_key(&variant) {
            return None;
        }
        self.withdraw(variant);
        self.next_number += 1;
        let clearance = Clearance {
            number: self.next_number,
            ..Clearance::default()
        };
        self.clearances.insert(variant, clearance);
        Some(self.next_number)
    }

    /// Forgets questions about versions that are not among these any more. They would count as seen wherever they are repeated.
    pub fn retain_pending(&mut self, known: &BTreeSet<Variant>) {
        self.clearances
            .retain(|variant, clearance| clearance.is_granted || known.contains(variant));
    }

    /// Returns the questions that are not answered by enough instances yet.
    pub fn pending(&self) -> impl Iterator<Item = (u64, Variant)> + '_ {
        let pending = self
            .clearances
            .iter()
            .filter(|(_, clearance)| !clearance.is_granted);
        pending.map(|(variant, clearance)| (clearance.number, *variant))
    }

    /// Records that an instance has withdrawn what spoke against the version of a question. Returns the version if that
    /// clears it: this instance itself and `required` in all have withdrawn.
    pub fn record_withdrawal(
        &mut self,
        number: u64,
        from: &id::Instance,
        own: &id::Instance,
        required: usize,
    ) -> Option<Variant> {
        let mut clearances = self.clearances.iter_mut();
        let (variant, clearance) = clearances.find(|(_, known)| known.number == number)?;
        clearance.withdrawn_at.insert(from.clone());
        let withdrawn_at = &clearance.withdrawn_at;
        if clearance.is_granted || !withdrawn_at.contains(own) || withdrawn_at.len() < required {
            return None;
        }
        clearance.is_granted = true;
        Some(*variant)
    }

    /// Returns the statements for the other instances, and takes back the permissions that they deny. `age` is the time that
    /// evidence must cover.
    pub fn state(&mut self, history: &History, age: Duration, now: Point) -> Vec<Statement> {
        let soles = history.soles(now).filter(|(_, sole)| sole.age > age);
        let statements: Vec<Statement> = soles
            .map(|(service, sole)| Statement {
                service,
                mark: sole.mark,
            })
            .collect();
        let stated: HashMap<Service, Mark> = statements
            .iter()
            .map(|statement| (statement.service, statement.mark))
            .collect();
        self.clearances.retain(|variant, _| {
            let stated = stated.get(&variant.service);
            stated.is_none_or(|mark| variant.mark == Some(*mark))
        });
        statements
    }

    /// Records the statements of another instance.
    pub fn record_statements(&mut self, from: &id::Instance, statements: &[Statement], now: Point) {
        for Statement { service, mark } in statements {
            if self.statements.len() < MAX_SERVICES || self.statements.contains_key(service) {
                let known = self.statements.entry(*service).or_default();
                known.insert(from.clone(), (*mark, now));
            }
        }
    }

    /// Attests what this instance and all others state. Call it right after [`Self::state`]. Returns whether anything has to
    /// be stored.
    pub fn attest(
        &mut self,
        own: &[Statement],
        others: &[&id::Instance],
        history: &History,
        now: Point,
    ) -> bool {
        let mut has_changed = false;
        for Statement { service, mark } in own {
            let Some(sole) = history.sole(*service, now) else {
                continue;
            };
            if let Some(attested) = self.attested.get_mut(service) {
                // A longer time is stored seldom.
                if sole.age >= attested.age.saturating_mul(2) {
                    attested.age = sole.age;
                    has_changed = true;
                }
                continue;
            }
            let stated = self.statements.get(service);
            let is_stated = others.iter().all(|other| {
                let statement = stated.and_then(|stated| stated.get(*other));
                statement
                    .is_some_and(|(stated, at)| stated == mark && now.since(*at) <= STATEMENT_LIFE)
            });
            if is_stated {
                self.attested.insert(*service, sole);
                has_changed = true;
            }
        }
        self.statements.retain(|_, stated| {
            stated.retain(|_, (_, at)| now.since(*at) <= STATEMENT_LIFE);
            !stated.is_empty()
        });
        has_changed
    }
}
