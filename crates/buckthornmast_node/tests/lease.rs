//! File of copies and grants, and the messages about them.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
    time::Duration,
};

use buckthornmast_node::{
    lease::{MAX_BYTES, Store},
    message::{Downstream, UNDERSTANDS_CREDIT, UNDERSTANDS_LEASES, Upstream},
};
use buckthornmast_origin::{
    history::MAX_SERVICES,
    lease::{COPY_LIFE, GRANT_LIFE, keeper::MAX_COPIES},
    prelude::*,
};
use buckthornmast_types::time::Point;
use tempfile::TempDir;
use tokio::time::timeout;

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

const START: Point = Point::from_millis(1000);

fn services(number: usize) -> BTreeMap<Service, Sole> {
    let services = (0..number).map(|service| {
        let service = Service::new(&format!("s{service}").parse().unwrap());
        let sole = Sole {
            mark: Mark::new("v1"),
            age: Duration::MAX,
        };
        (service, sole)
    });
    services.collect()
}

/// Returns a grantor that offers services, and a keeper with a copy of them of each instance.
fn leases(number: usize, instances: usize) -> (Grantor, Keeper) {
    let mut grantor = Grantor::new(Some(BTreeSet::new()), START);
    grantor.offer(services(number).into_keys(), START);
    let mut keeper = Keeper::default();
    for instance in 0..instances {
        let name = format!("{instance:x<63}").parse().unwrap();
        let content = Content {
            routes: Edition(u64::MAX),
            attested: services(number),
        };
        keeper.renew(&name, START, content, START);
    }
    (grantor, keeper)
}

/// Writes leases, and waits until nothing older can be read.
fn write(folder: &Path, grantor: &Grantor, keeper: &Keeper) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let store = Store::new(folder);
        store.save(grantor, keeper, START);
        timeout(HANG_TIMEOUT, store.written()).await.unwrap();
        assert!(store.is_written());
    });
}

/// Guards against copies and grants that are lost with a restart, and against a file that grows beyond its bound.
#[test]
fn read_written() {
    let folder = TempDir::new().unwrap();
    let (grantor, keeper) = leases(MAX_SERVICES, MAX_COPIES);
    write(folder.path(), &grantor, &keeper);
    let file = folder.path().join("leases");
    assert!(fs::metadata(&file).unwrap().len() <= u64::try_from(MAX_BYTES).unwrap());
    let found = Store::new(folder.path()).read();
    assert_eq!(found.offered.unwrap().len(), MAX_SERVICES);
    assert_eq!(found.copies.len(), MAX_COPIES);
    let (until, content) = found.copies.values().next().unwrap();
    assert_eq!(*until, START + COPY_LIFE);
    assert_eq!(content.attested.len(), MAX_SERVICES);
}

/// Guards against an empty disk, a damaged file or an unsettled start that is taken to show that no copy was granted.
#[test]
fn read_unknown() {
    let folder = TempDir::new().unwrap();
    assert_eq!(Store::new(folder.path()).read().offered, None);
    let (grantor, keeper) = leases(2, 1);
    write(folder.path(), &grantor, &keeper);
    let file = folder.path().join("leases");
    let mut bytes = fs::read(&file).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&file, &bytes).unwrap();
    let found = Store::new(folder.path()).read();
    assert_eq!((found.offered, found.copies.len()), (None, 0));
    let mut unsettled = Grantor::new(None, START);
    unsettled.offer(services(2).into_keys(), START);
    write(folder.path(), &unsettled, &keeper);
    let found = Store::new(folder.path()).read();
    assert_eq!((found.offered, found.copies.len()), (None, 1));
    unsettled.offer([], START + GRANT_LIFE);
    assert!(unsettled.offered(START + GRANT_LIFE).is_some());
}

/// Guards against copies from before the machine was started, whose clock began anew.
#[test]
fn read_other_boot() {
    let folder = TempDir::new().unwrap();
    let (grantor, keeper) = leases(2, 1);
    write(folder.path(), &grantor, &keeper);
    let file = folder.path().join("leases");
    let mut body = fs::read(&file).unwrap().split_off(4);
    // The name of the run comes first, after the byte that says that there is one.
    body[1] ^= 1;
    let checksum = crc32fast::hash(&body).to_le_bytes();
    fs::write(&file, [&checksum[..], &body].concat()).unwrap();
    let found = Store::new(folder.path()).read();
    assert_eq!(found.copies.len(), 0);
    assert_eq!(found.offered.unwrap().len(), 2);
}

/// Guards against a grant that an instance with a full disk forgets.
#[test]
fn read_full_disk() {
    let folder = TempDir::new().unwrap();
    let (grantor, keeper) = leases(2, 1);
    write(folder.path(), &grantor, &keeper);
    // No replacement can be created in its place.
    fs::create_dir(folder.path().join("leases.new")).unwrap();
    let (grantor, keeper) = leases(3, 1);
    write(folder.path(), &grantor, &keeper);
    let found = Store::new(folder.path()).read();
    assert_eq!((found.offered, found.copies.len()), (None, 0));
}

/// Guards against messages about leases that an older build is sent, or that take much of the traffic of an instance.
#[test]
fn encode_between_builds() {
    const { assert!(UNDERSTANDS_LEASES > UNDERSTANDS_CREDIT) };
    let size = |bytes: postcard::Result<Vec<u8>>| bytes.unwrap().len();
    let request = Upstream::LeaseRequest { asked_at: START };
    let lease = Downstream::Lease {
        asked_at: START,
        content: Content {
            routes: Edition(7),
            attested: services(20),
        },
    };
    let bytes = size(postcard::to_stdvec(&request)) + size(postcard::to_stdvec(&lease));
    assert!(
        bytes < 1000,
        "{bytes} bytes a second for each other instance"
    );
}
