//! File of attestations.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{fs, time::Duration};

use buckthornmast_node::attestation::{MAX_BYTES, Store};
use buckthornmast_origin::{attestation::Register, history::MAX_SERVICES, prelude::*};
use buckthornmast_routes::register::Revision;
use tempfile::TempDir;
use tokio::time::timeout;

/// Bound that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

fn register(services: usize) -> Register {
    let mut register = Register::default();
    register.restore((0..services).map(|service| {
        let service = Service::new(&format!("s{service}").parse().unwrap());
        let sole = Sole {
            mark: Mark::new("v1"),
            age: Duration::MAX,
        };
        (service, sole)
    }));
    register
}

/// Writes a register, and waits until nothing older can be read.
fn write(store: &Store, register: &Register) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        store.save(Revision(7), register);
        if let Some(written) = store.written() {
            timeout(HANG_TIMEOUT, written).await.unwrap();
        }
    });
}

/// Guards against attestations that are lost with a restart, and against a file that grows beyond its bound.
#[test]
fn read_written() {
    let folder = TempDir::new().unwrap();
    let store = Store::new(folder.path());
    assert!(store.read().attested.is_empty());
    write(&store, &register(MAX_SERVICES));
    let file = folder.path().join("attestations");
    assert!(fs::metadata(&file).unwrap().len() <= u64::try_from(MAX_BYTES).unwrap());
    let found = Store::new(folder.path()).read();
    assert_eq!(
        (found.routes, found.attested.len()),
        (Revision(7), MAX_SERVICES)
    );
}

/// Guards against a write for nothing, and against a withdrawal that is not stored.
#[test]
fn read_withdrawn() {
    let folder = TempDir::new().unwrap();
    let store = Store::new(folder.path());
    write(&store, &register(0));
    assert!(!folder.path().join("attestations").exists());
    write(&store, &register(1));
    write(&store, &register(0));
    let found = Store::new(folder.path()).read();
    assert!(found.attested.is_empty());
}

/// Guards against a damaged file that is believed.
#[test]
fn read_damaged() {
    let folder = TempDir::new().unwrap();
    write(&Store::new(folder.path()), &register(2));
    let file = folder.path().join("attestations");
    let mut bytes = fs::read(&file).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&file, bytes).unwrap();
    let found = Store::new(folder.path()).read();
    assert!(found.attested.is_empty());
}

/// Guards against a withdrawal that is undone by a restart because the disk refuses writes, or that waits until it doesn't.
#[test]
fn read_withdrawn_full_disk() {
    let folder = TempDir::new().unwrap();
    let store = Store::new(folder.path());
    write(&store, &register(2));
    // No replacement can be created in its place.
    fs::create_dir(folder.path().join("attestations.new")).unwrap();
    write(&store, &register(1));
    let found = Store::new(folder.path()).read();
    assert!(found.attested.is_empty());
    fs::remove_dir(folder.path().join("attestations.new")).unwrap();
    write(&store, &register(1));
    assert_eq!(Store::new(folder.path()).read().attested.len(), 1);
}
