//! Since when there has been only one version.
//!
//! A stream whose record is lost may go on only if it can have begun at no other version. What is known now doesn't show
//! that: an instance that has just started has forgotten the versions that left before. So each instance of the core states
//! for how long it has itself seen one version only, and time in which it did not run counts for nothing. After a start or a
//! pause it goes on from what it attested before, see [`crate::attestation`].

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::time::Point;
use serde::{Deserialize, Serialize};

use crate::record::{Mark, Service};

/// Longest pause between two calls of [`History::keep`]. An instance that was stopped for longer may have missed a version.
pub const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Maximum number of services. Beyond it, all are forgotten, and their time begins anew.
pub const MAX_SERVICES: usize = 4096;

/// Only version that was seen for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sole {
    /// Version.
    pub mark: Mark,
    /// Time for which no other one was seen.
    pub age: Duration,
}

impl Sole {
    /// Returns what this and another instance state together.
    pub fn and(self, other: Self) -> Option<Self> {
        let age = self.age.min(other.age);
        (self.mark == other.mark).then_some(Self { age, ..self })
    }
}

#[derive(Debug, Clone, Copy)]
struct Latest {
    // None if the target stated no version.
    mark: Option<Mark>,
    since: Point,
    // Time before that for which this version was attested.
    credit: Duration,
    // Whether another version was seen before.
    has_changed: bool,
}

/// Versions that one instance has seen.
#[derive(Debug, Clone, Default)]
pub struct History {
    services: HashMap<Service, Latest>,
    kept_at: Point,
}

impl History {
    /// Records that this instance runs. Call it before the versions of all known targets are recorded, over and over.
    /// Returns whether it was stopped for so long that all is forgotten.
    pub fn keep(&mut self, now: Point) -> bool {
        let was_stopped = now.since(self.kept_at) > MAX_PAUSE;
        if was_stopped {
            self.services.clear();
        }
        self.kept_at = now;
        was_stopped
    }

    /// Counts the time for which versions were attested, unless others were seen since.
    pub fn credit(&mut self, attested: impl IntoIterator<Item = (Service, Sole)>, now: Point) {
        for (service, sole) in attested {
            let latest = self.services.entry(service).or_insert(Latest {
                mark: Some(sole.mark),
                since: now,
                credit: Duration::ZERO,
                has_changed: false,
            });
            if latest.mark == Some(sole.mark) && !latest.has_changed {
                latest.credit = sole.age;
            }
        }
    }

    /// Returns whether no other version of a service was seen.
    pub fn permits(&self, service: Service, mark: Mark) -> bool {
        let latest = self.services.get(&service);
        latest.is_none_or(|latest| latest.mark == Some(mark) && !latest.has_changed)
    }

    /// Begins the time of a service anew.
    pub fn renew(&mut self, service: Service, now: Point) {
        if let Some(latest) = self.services.get_mut(&service) {
            latest.since = now;
            latest.credit = Duration::ZERO;
        }
    }

    /// Records that a service has a target of this version.
    pub fn see(&mut self, service: Service, mark: Option<Mark>, now: Point) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            self.services.clear();
        }
        let seen = Latest {
            mark,
            since: now,
            credit: Duration::ZERO,
            has_changed: false,
        };
        let latest = self.services.entry(service).or_insert(seen);
        if latest.mark != mark {
            *latest = Latest {
                has_changed: true,
                ..seen
            };
        }
    }

    /// Returns the only versions of all services that have one.
    pub fn soles(&self, now: Point) -> impl Iterator<Item = (Service, Sole)> + '_ {
        let services = self.services.keys();
        services.filter_map(move |service| Some((*service, self.sole(*service, now)?)))
    }

    /// Returns the only version of a service.
    pub fn sole(&self, service: Service, now: Point) -> Option<Sole> {
        let latest = self.services.get(&service)?;
        let is_kept = now.since(self.kept_at) <= MAX_PAUSE;
        Some(Sole {
            mark: latest.mark.filter(|_| is_kept)?,
            age: now.since(latest.since).saturating_add(latest.credit),
        })
    }
}
