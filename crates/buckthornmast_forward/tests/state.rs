//! Targets of an entry instance, over the order in which the core's messages arrive.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_fleet::prelude::*;
use buckthornmast_forward::{
    mapping::Generation,
    state::{Inventory, RetryBounds, State as Entry},
};
use buckthornmast_routes::{
    document::{Document, Limits, Service},
    register::Revision,
};
use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

const INCARNATION: id::Incarnation = id::Incarnation(1);

fn resident(model: &str) -> Vec<Resident> {
    vec![Resident {
        model: model.parse().unwrap(),
        adapters: Vec::new(),
    }]
}

fn announce(entry: &mut Entry, model: &str) {
    let announcement = Announcement {
        target: "t1".parse().unwrap(),
        incarnation: INCARNATION,
        sequence: 1,
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        slots: 4,
        state: State::Ready,
        cold: Duration::ZERO,
        resident: resident(model),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        version: "v1".parse().ok(),
    };
    let update = Update {
        announcement,
        withdrawn: false,
    };
    entry.change_targets(|registry| {
        registry.merge(update, Duration::ZERO, Point::ZERO) == Merge::Changed
    });
}

fn set_routes(entry: &mut Entry, version: u64, services: &[&str]) {
    let services = services.iter().map(|name| {
        let name: id::Service = name.parse().unwrap();
        let service = Service {
            name: name.clone(),
            connections: 100,
            pool: None,
        };
        (name, service)
    });
    let document = Document {
        version: Revision(version),
        routes: Vec::new(),
        services: BTreeMap::from_iter(services),
        limits: Limits {
            head: 16 << 10,
            body: 1 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        organisations: Vec::new(),
    };
    assert!(entry.set_routes(document));
}

fn place(entry: &mut Entry, model: &str) {
    let inventory = Inventory {
        incarnation: INCARNATION,
        resident: resident(model),
    };
    entry.set_inventories([("t1".parse().unwrap(), inventory)]);
}

fn serves(entry: &Entry, model: &str) -> bool {
    let generation = Generation {
        model: model.parse().unwrap(),
        adapter: None,
        prompt_tokens: 0,
        answer_tokens: 0,
        parts: SmallVec::new(),
    };
    let members = entry.members(&"engines".parse().unwrap());
    members
        .iter()
        .any(|member| member.serves(Some(&generation)))
}

/// Guards against a target whose models are those of its announcement for good, because the leader's placement arrived
/// before the announcement.
#[test]
fn set_inventories_any_order() {
    for is_placed_first in [true, false] {
        let mut entry = Entry::new(RetryBounds {
            ratio: 0.2,
            burst: 10.0,
            window: Duration::from_secs(10),
        });
        if is_placed_first {
            place(&mut entry, "m2");
            entry.prune(Point::from_millis(400));
            announce(&mut entry, "m1");
        } else {
            announce(&mut entry, "m1");
            place(&mut entry, "m2");
        }
        entry.prune(Point::from_millis(800));
        assert!(serves(&entry, "m2"), "{is_placed_first}");
        assert!(!serves(&entry, "m1"), "{is_placed_first}");
    }
}

/// Guards against a new service without targets for good, because they were announced before the routes came into force, and
/// against targets of a service that has been removed, whose departure nobody announces.
#[test]
fn set_routes_any_order() {
    for is_announced_first in [true, false] {
        let mut entry = Entry::new(RetryBounds {
            ratio: 0.2,
            burst: 10.0,
            window: Duration::from_secs(10),
        });
        set_routes(&mut entry, 1, &["other"]);
        if is_announced_first {
            announce(&mut entry, "m1");
            assert!(!serves(&entry, "m1"));
            set_routes(&mut entry, 2, &["engines"]);
        } else {
            set_routes(&mut entry, 2, &["engines"]);
            announce(&mut entry, "m1");
        }
        assert!(serves(&entry, "m1"), "{is_announced_first}");
        set_routes(&mut entry, 3, &["other"]);
        set_routes(&mut entry, 4, &["engines"]);
        assert!(!serves(&entry, "m1"), "{is_announced_first}");
    }
}
