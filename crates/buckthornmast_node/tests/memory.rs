//! File of the known targets.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{fs, time::Duration};

use buckthornmast_fleet::prelude::*;
use buckthornmast_node::memory::Store;
use buckthornmast_types::{id, time::Point};
use tokio::time::timeout;

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

fn registry(targets: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..targets {
        let announcement = Announcement {
            target: format!("t{number}").parse().unwrap(),
            incarnation: id::Incarnation(1),
            sequence: 1,
            service: "plain".parse().unwrap(),
            address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
            domain: "d1".parse().unwrap(),
            slots: 4,
            state: State::Ready,
            cold: Duration::ZERO,
            resident: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            version: "v1".parse().ok(),
        };
        let update = Update {
            announcement,
            withdrawn: false,
        };
        registry.merge(update, Duration::ZERO, Point::ZERO);
    }
    registry
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

fn restored(store: &Store) -> usize {
    store.load(Point::ZERO).entries().count()
}

/// Guards against an older content that is written after a newer one.
#[test]
fn save_many() {
    let folder = tempfile::TempDir::new().unwrap();
    block_on(async {
        let store = Store::new(folder.path().join("targets"));
        for targets in 1..200 {
            store.save(&registry(targets));
        }
        let saved = store.save_and_wait(&registry(7));
        timeout(HANG_TIMEOUT, saved).await.unwrap();
        assert_eq!(restored(&store), 7);
    });
}

/// Guards against a wait that ends before the content is on the disk because an earlier call has begun to write it.
#[test]
fn save_and_wait_for_write_in_progress() {
    let folder = tempfile::TempDir::new().unwrap();
    block_on(async {
        let store = Store::new(folder.path().join("targets"));
        for targets in 1..50 {
            store.save(&registry(targets));
            let saved = store.save_and_wait(&registry(targets));
            timeout(HANG_TIMEOUT, saved).await.unwrap();
            assert_eq!(restored(&store), targets);
        }
    });
}

/// Guards against a failed write that counts as done.
#[test]
fn save_after_failure() {
    let folder = tempfile::TempDir::new().unwrap();
    let data = folder.path().join("data");
    block_on(async {
        let store = Store::new(data.join("targets"));
        store.save(&registry(3));
        fs::create_dir(&data).unwrap();
        // The first write may still be in progress, and fails or not.
        while restored(&store) != 3 {
            store.save(&registry(3));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
