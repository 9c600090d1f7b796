//! File of the known targets.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{fs, time::Duration};

use buckthornmast_fleet::prelude::*;
use buckthornmast_node::memory::{Content, Store};
use buckthornmast_types::{id, time::Point};
use tokio::time::timeout;

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

fn registry(targets: usize) -> Registry {
    registry_with_models(targets, 0)
}

/// Returns a registry whose targets list this many models.
fn registry_with_models(targets: usize, models: usize) -> Registry {
    let models: Vec<id::Model> = (0..models)
        .map(|model| {
            format!("model-with-a-name-of-some-length-{model}")
                .parse()
                .unwrap()
        })
        .collect();
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
            on_disk: models.clone(),
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
    let mut registry = Registry::default();
    store.restore(&mut registry, Point::ZERO);
    registry.entries().count()
}

/// Guards against an older content that is written after a newer one.
#[test]
fn save_many() {
    let folder = tempfile::TempDir::new().unwrap();
    block_on(async {
        let store = Store::new(folder.path(), Content::Ready);
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
        let store = Store::new(folder.path(), Content::Ready);
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
        let store = Store::new(&data, Content::Ready);
        store.save(&registry(3));
        fs::create_dir(&data).unwrap();
        // The first write may still be in progress, and fails or not.
        while restored(&store) != 3 {
            store.save(&registry(3));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a failed write whose unfinished file keeps the space that the log needs.
#[test]
fn failed_write_leaves_no_unfinished_file() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("targets");
    // A folder that is not empty can't be replaced by a file.
    fs::create_dir_all(file.join("occupied")).unwrap();
    block_on(async {
        let store = Store::new(folder.path(), Content::Ready);
        let saved = store.save_and_wait(&registry(50));
        assert!(timeout(Duration::from_millis(300), saved).await.is_err());
        let unfinished = folder.path().join("targets.new");
        let removed = async {
            while unfinished.exists() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), removed).await.unwrap();
        fs::remove_dir_all(&file).unwrap();
        let saved = store.save_and_wait(&registry(50));
        timeout(HANG_TIMEOUT, saved).await.unwrap();
        assert_eq!(restored(&store), 50);
    });
}

/// Guards against an unfinished file of the process before this one that keeps its space for good.
#[test]
fn start_removes_unfinished_file() {
    let folder = tempfile::TempDir::new().unwrap();
    let unfinished = folder.path().join("targets.new");
    fs::write(&unfinished, [0; 4096]).unwrap();
    let store = Store::new(folder.path(), Content::Ready);
    assert!(!unfinished.exists());
    assert_eq!(restored(&store), 0);
}

/// Guards against a file that grows with the number of targets without a bound.
#[test]
fn file_size_bounded() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("targets");
    block_on(async {
        let store = Store::new(folder.path(), Content::Ready);
        for (targets, models, is_complete) in [(4200, 0, true), (400, 400, false)] {
            let registry = registry_with_models(targets, models);
            let saved = store.save_and_wait(&registry);
            timeout(HANG_TIMEOUT, saved).await.unwrap();
            let bytes = fs::metadata(&file).unwrap().len();
            let restored = restored(&store);
            println!("{targets} targets: {bytes} bytes, {restored} restored");
            assert!(bytes <= Content::Ready.max_bytes() as u64, "{bytes} bytes");
            assert_eq!(restored == targets, is_complete, "{restored}");
            assert!(restored >= targets / 2, "{restored}");
        }
    });
}

/// Returns what an instance restores from its two files.
fn restored_registry(folder: &std::path::Path) -> Registry {
    let mut registry = Registry::default();
    for content in [Content::Leaving, Content::Ready] {
        Store::new(folder, content).restore(&mut registry, Point::ZERO);
    }
    registry
}

/// Guards against a departure that is undone by the older file of this instance, or by the one of another.
#[test]
fn departure_outlives_older_file() {
    let (folder, other) = (
        tempfile::TempDir::new().unwrap(),
        tempfile::TempDir::new().unwrap(),
    );
    block_on(async {
        let mut known = registry(4);
        for folder in [&folder, &other] {
            let saved = Store::new(folder.path(), Content::Ready).save_and_wait(&known);
            timeout(HANG_TIMEOUT, saved).await.unwrap();
        }
        let (withdrawn, leaving): (id::Target, id::Target) =
            ("t1".parse().unwrap(), "t2".parse().unwrap());
        known.withdraw(&withdrawn, Point::ZERO).unwrap();
        let mut update = known.update(&leaving).unwrap();
        update.announcement.sequence += 1;
        update.announcement.state = State::Leaving { within: None };
        known.merge(update, Duration::ZERO, Point::ZERO);
        let saved = Store::new(folder.path(), Content::Leaving).save_and_wait(&known);
        timeout(HANG_TIMEOUT, saved).await.unwrap();

        let ready = |registry: &Registry| -> Vec<String> {
            let ready = registry.entries().filter(|entry| entry.is_ready());
            ready
                .map(|entry| entry.announcement.target.to_string())
                .collect()
        };
        let mut one = restored_registry(folder.path());
        assert_eq!(ready(&one), ["t0", "t3"]);
        let mut two = restored_registry(other.path());
        assert_eq!(two.entries().filter(|entry| entry.is_ready()).count(), 4);
        let (from_one, from_two) = (one.updates(), two.updates());
        for update in from_two {
            one.merge(update, Duration::ZERO, Point::ZERO);
        }
        for update in from_one {
            two.merge(update, Duration::ZERO, Point::ZERO);
        }
        assert_eq!(ready(&one), ["t0", "t3"]);
        assert_eq!(ready(&two), ["t0", "t3"]);
    });
}

/// Guards against departures that grow their file without a bound, and against a new one that has no room in it.
#[test]
fn departures_bounded() {
    let folder = tempfile::TempDir::new().unwrap();
    block_on(async {
        let mut known = registry(20_000);
        for number in 0..20_000 {
            let target = format!("t{number}").parse().unwrap();
            let now = Point::from_millis(1000 + number);
            known.withdraw(&target, now).unwrap();
        }
        let store = Store::new(folder.path(), Content::Leaving);
        let saved = store.save_and_wait(&known);
        timeout(HANG_TIMEOUT, saved).await.unwrap();
        let file = folder.path().join(Content::Leaving.file_name());
        let bytes = fs::metadata(file).unwrap().len();
        assert!(
            bytes <= Content::Leaving.max_bytes() as u64,
            "{bytes} bytes"
        );
        let restored = restored_registry(folder.path());
        println!("{} departures in {bytes} bytes", restored.entries().count());
        assert!(restored.entries().count() >= 5000);
        assert!(restored.get(&"t19999".parse().unwrap()).is_some());
    });
}
