//! Service with models, and announcements of its targets.
#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "shared by several test binaries; helpers of tests may panic"
)]

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_fleet::prelude::*;
use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_supply::ledger::{Inventory, Ledger};
use buckthornmast_types::{id, rate::Rate, size::Bytes, time::Point};

pub(crate) const INCARNATION: id::Incarnation = id::Incarnation(5);
pub(crate) const SLOTS: u32 = 24;
pub(crate) const TERM: id::Term = id::Term(1);

pub(crate) fn at(millis: u64) -> Point {
    Point::from_millis(1_000_000 + millis)
}

pub(crate) fn service() -> id::Service {
    "engines".parse().unwrap()
}

pub(crate) fn target(number: usize) -> id::Target {
    format!("t{number}").parse().unwrap()
}

pub(crate) fn model(number: usize) -> id::Model {
    format!("m{number}").parse().unwrap()
}

pub(crate) fn adapter(number: usize) -> id::Adapter {
    format!("a{number}").parse().unwrap()
}

/// Ten models of 60 GB each. A target of 200 GB has room for three of them, and for two adapters.
pub(crate) fn pool() -> Pool {
    let models = (0..10).map(|number| {
        let model = Model {
            name: model(number),
            weights: Bytes(60_000_000_000),
            load: Duration::from_secs(4),
            memory_load: Duration::from_millis(600),
            disk_load: Duration::from_secs(1),
            adapter: Bytes(60_000_000),
        };
        (model.name.clone(), model)
    });
    Pool {
        slots: SLOTS,
        memory: Bytes(200_000_000_000),
        adapters: 2,
        loads: Rate::per_second(3.0).unwrap(),
        cache_tokens: 80_000,
        models: models.collect::<BTreeMap<_, _>>(),
    }
}

/// Returns resident models, each given by its number and the numbers of its resident adapters.
pub(crate) fn resident_models(models: &[(usize, &[usize])]) -> Vec<Resident> {
    let resident = models.iter().map(|(number, adapters)| Resident {
        model: model(*number),
        adapters: adapters.iter().map(|number| adapter(*number)).collect(),
    });
    resident.collect()
}

/// Returns a registry with announcements of targets with these models.
pub(crate) fn registry(targets: &[&[(usize, &[usize])]], sequence: u64, now: Point) -> Registry {
    let mut registry = Registry::default();
    for (number, models) in targets.iter().enumerate() {
        let announcement = Announcement {
            target: target(number),
            incarnation: INCARNATION,
            sequence,
            service: service(),
            address: format!("10.0.0.{number}:80").parse().unwrap(),
            domain: "d1".parse().unwrap(),
            slots: SLOTS,
            state: State::Ready,
            cold: Duration::ZERO,
            resident: resident_models(models),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            version: "v1".parse().ok(),
        };
        let update = Update {
            announcement,
            withdrawn: false,
        };
        registry.merge(update, Duration::ZERO, now);
    }
    registry
}

/// Makes a ledger observe the announcements of targets with these models.
pub(crate) fn observe(
    ledger: &mut Ledger,
    targets: &[&[(usize, &[usize])]],
    sequence: u64,
    now: Point,
) {
    ledger.observe(&registry(targets, sequence, now), |_| true, now);
}

pub(crate) fn inventory(ledger: &Ledger, number: usize) -> &Inventory {
    &ledger.inventories[&target(number)]
}
