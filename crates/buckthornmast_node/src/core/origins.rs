//! Versions that began streams, from the entry instances that served them, for those that are asked to resume them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornmast_fleet::announcement::Announcement;
use buckthornmast_link::Outbox;
use buckthornmast_origin::{
    attestation::Variant,
    record::{Entry, Key, Mark, Record, Service},
};
use buckthornmast_routes::{document::Document, register::Revision};
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};

use crate::{
    core::{Core, State},
    message::Downstream,
    platform::Platform,
};

impl<P: Platform> Core<P> {
    /// Records which versions began streams.
    pub(super) fn record_origins(&self, records: Vec<Record>) {
        let now = self.clock.now();
        let origins = &mut self.state.borrow_mut().origins;
        for record in records {
            origins.record(record, now);
        }
    }

    /// Records the versions of all known targets, also of those that leave.
    pub(super) fn see_versions(&self, now: Point) {
        let mut state = self.state.borrow_mut();
        let State {
            registry,
            history,
            attestations,
            longest_timeout,
            ..
        } = &mut *state;
        // What is attested counts once the routes are known to be those under which it was.
        if history.keep(now) && longest_timeout.is_some() {
            history.credit(attestations.attested(), now);
        }
        let mut variants = BTreeSet::new();
        for entry in registry.entries() {
            let variant = variant_of(&entry.announcement);
            history.see(variant.service, variant.mark, now);
            variants.insert(variant);
        }
        drop(state);
        for variant in variants {
            self.clear(variant, now);
        }
    }

    /// Tells an entry instance which version began a stream, if that is known here, or since when there has been only one.
    pub(super) fn answer_origin(
        &self,
        number: u64,
        key: Key,
        service: Service,
        outbox: &Outbox<Downstream>,
    ) {
        let state = self.state.borrow();
        let entry = state.origins.get(key);
        let now = self.clock.now();
        let message = Downstream::Origin {
            number,
            mark: entry.and_then(Entry::mark),
            is_void: entry == Some(Entry::Void),
            sole: state.history.sole(service, now).filter(|_| entry.is_none()),
            routes: state.routes_version.unwrap_or_default(),
        };
        // An entry instance that has disconnected needs no answer.
        let _ = outbox.send(&message);
    }
}

/// Services of resumable streams, by their hosts and prefixes.
pub(super) type Streams = BTreeMap<String, BTreeMap<String, BTreeSet<id::Service>>>;

impl State {
    /// Records that streams may be taken up at another service than the one that began them, where routes have changed.
    pub(super) fn see_routes(&mut self, document: &Document, version: Revision, now: Point) {
        let streams = streams_of(document);
        let is_first = self.longest_timeout.is_none();
        let timeouts = document.routes.iter().map(|route| route.timeout);
        self.longest_timeout = Some(timeouts.max().unwrap_or(Duration::MAX));
        if is_first && version == self.attested_routes {
            self.history.credit(self.attestations.attested(), now);
        } else if is_first {
            // They may have changed, and changed back, while this instance did not run.
            self.attestations.withdraw_all();
            for service in streams.values().flat_map(BTreeMap::values).flatten() {
                self.history.renew(Service::new(service), now);
            }
        } else {
            let changed = streams
                .iter()
                .filter(|(host, prefixes)| self.streams.get(*host) != Some(*prefixes));
            for service in changed.flat_map(|(_, prefixes)| prefixes.values().flatten()) {
                // As a target whose version is not known.
                let variant = Variant {
                    service: Service::new(service),
                    mark: None,
                };
                self.attestations.withdraw(variant);
                self.history.see(variant.service, variant.mark, now);
            }
        }
        self.attested_routes = version;
        self.streams = streams;
    }

    /// Records the version of a target.
    pub(super) fn see_version(&mut self, target: &id::Target, now: Point) {
        if let Some(entry) = self.registry.get(target) {
            let variant = variant_of(&entry.announcement);
            self.history.see(variant.service, variant.mark, now);
        }
    }
}

fn streams_of(document: &Document) -> Streams {
    let mut streams = Streams::new();
    let routes = document.routes.iter();
    for route in routes.filter(|route| route.kind.is_stream() && route.kind.is_repeatable()) {
        let services = route.services.iter().map(|(service, _)| service.clone());
        let prefixes = streams.entry(route.host.clone()).or_default();
        let known = prefixes.entry(route.prefix.clone()).or_default();
        known.extend(services);
    }
    streams
}

/// Returns the version of a target.
pub(super) fn variant_of(announcement: &Announcement) -> Variant {
    let version = announcement.version.as_ref();
    Variant {
        service: Service::new(&announcement.service),
        mark: version.map(|version| Mark::new(version.as_str())),
    }
}
