//! Faults of a data folder: crashes, torn writes, damage, failed syncs, full and lost disks.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{io, sync::Arc};

use arbtest::arbitrary::Unstructured;
use buckthornmast_storage::{
    frame,
    prelude::*,
    store::{LOG, SNAPSHOT},
};
use buckthornmast_types::id::{Disk, Index, Term};

fn hard(term: u64) -> Record {
    Record::Hard(HardState {
        term: Term(term),
        ..HardState::default()
    })
}

fn entry(index: u64) -> Record {
    Record::Entry {
        index: Index(index),
        term: Term(1),
        payload: vec![7; 20],
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index: Index(index),
        term: Term(1),
        data: Arc::from([1, 2, 3]),
    }
}

fn base(index: u64) -> Record {
    Record::Base {
        index: Index(index),
        term: Term(1),
    }
}

fn open(files: &Memory) -> Result<(Store<Memory>, Recovered), OpenError> {
    Store::open(files.clone())
}

/// Returns a folder with two synced batches, and the offset of the last one in the log.
fn filled() -> (Memory, usize) {
    let files = Memory::default();
    let (mut store, _) = open(&files).unwrap();
    store.append(&[hard(1), entry(1), entry(2)]).unwrap();
    let len = files.content(LOG).unwrap().len();
    store.append(&[hard(2), entry(3), entry(4)]).unwrap();
    (files, len)
}

/// Guards against a crash during the last write that loses earlier batches or leaves half a batch.
#[test]
fn truncate_at_every_byte() {
    let (files, last_batch) = filled();
    let log = files.content(LOG).unwrap();
    for len in last_batch..=log.len() {
        let files = files.content("identity").map(|identity| {
            let files = Memory::default();
            files.replace("identity", identity);
            files.replace(SNAPSHOT, Vec::new());
            files.replace(LOG, log[..len].to_vec());
            files
        });
        let files = files.unwrap();
        let (mut store, recovered) = open(&files).unwrap();
        let is_complete = len == log.len();
        assert_eq!(
            recovered.entries.len(),
            if is_complete { 4 } else { 2 },
            "{len}"
        );
        assert_eq!(
            recovered.hard.term,
            Term(if is_complete { 2 } else { 1 }),
            "{len}"
        );
        assert_eq!(
            recovered.torn_bytes,
            if is_complete { 0 } else { len - last_batch },
            "{len}"
        );
        store.append(&[entry(3)]).unwrap();
        assert!(open(&files).unwrap().1.entries.len() >= 3, "{len}");
    }
}

/// Guards against damage of synced data that is treated as a torn write or as valid data.
#[test]
fn flip_every_byte_before_tail() {
    let (files, last_batch) = filled();
    let log = files.content(LOG).unwrap();
    for at in 0..last_batch {
        let mut damaged = log.clone();
        damaged[at] ^= 0x40;
        files.replace(LOG, damaged);
        let result = open(&files);
        assert!(matches!(result, Err(OpenError::Damaged { .. })), "{at}");
    }
}

/// Guards against a folder that opens although one of its files is missing or invalid.
#[test]
fn lose_one_file() {
    let (files, _) = filled();
    for (name, content) in [
        (LOG, vec![]),
        (SNAPSHOT, vec![9; 40]),
        ("identity", vec![9; 4]),
    ] {
        let old = files.content(name).unwrap();
        files.replace(name, content);
        let result = open(&files);
        assert!(matches!(result, Err(OpenError::Damaged { .. })), "{name}");
        files.replace(name, old);
    }
    assert!(open(&files).is_ok());
}

/// Guards against a crash during creation, append, compaction or the bootstrap mark that leaves a folder
/// which doesn't open or has lost durable data.
#[test]
fn kill_at_every_step() {
    for steps in 0.. {
        let files = Memory::default();
        files.fail_after_operations(Some(steps));
        let mut durable = 0;
        let done = (|| -> Option<()> {
            let (mut store, _) = open(&files).ok()?;
            store.append(&[hard(1), entry(1), entry(2)]).ok()?;
            durable = 2;
            store
                .compact(&snapshot(1), &[hard(1), base(1), entry(2)])
                .ok()?;
            store.append(&[entry(3)]).ok()?;
            durable = 3;
            store.compact(&snapshot(9), &[hard(1), base(9)]).ok()?;
            durable = 9;
            store.mark_bootstrapped().ok()
        })();
        files.crash();
        let (_, recovered) = open(&files).unwrap();
        let last = recovered.base.0.0 + recovered.entries.len() as u64;
        assert!(last >= durable, "step {steps}: {last} < {durable}");
        if done.is_some() {
            assert!(recovered.is_bootstrapped && steps > 20, "{steps}");
            return;
        }
    }
}

/// Guards against writes that are acknowledged after a failed sync, although the dirty pages may be lost.
#[test]
fn fail_sync_once() {
    let (files, _) = filled();
    let (mut store, _) = open(&files).unwrap();
    files.set_sync_failure(true);
    assert!(matches!(
        store.append(&[entry(5)]),
        Err(WriteError::Write { .. })
    ));
    files.set_sync_failure(false);
    assert!(matches!(
        store.append(&[entry(5)]),
        Err(WriteError::Stopped)
    ));
    assert!(matches!(
        store.mark_bootstrapped(),
        Err(WriteError::Stopped)
    ));
    files.crash();
    assert_eq!(open(&files).unwrap().1.entries.len(), 4);
}

/// Guards against a full disk that leaves an unreadable folder, for every number of free bytes.
#[test]
fn fill_disk() {
    for free_bytes in 0.. {
        let (files, _) = filled();
        let (mut store, _) = open(&files).unwrap();
        files.set_free_bytes(Some(free_bytes));
        let result = store.append(&[entry(5)]);
        files.set_free_bytes(None);
        let entries = open(&files).unwrap().1.entries.len();
        if result.is_ok() {
            assert!(
                entries == 5 && free_bytes > frame::HEADER_BYTES,
                "{free_bytes}"
            );
            return;
        }
        assert_eq!(entries, 4, "{free_bytes}");
    }
}

/// Guards against a replaced disk that keeps its identity, twice in a row, and a reset that loses the bootstrap mark.
#[test]
fn lose_disk_twice() {
    let mut seen: Vec<Disk> = Vec::new();
    for _ in 0..3 {
        let (store, recovered) = open(&Memory::default()).unwrap();
        assert_eq!(recovered, Recovered::default());
        assert!(!seen.contains(&store.disk()));
        seen.push(store.disk());
    }
    let (files, _) = filled();
    let (mut store, _) = open(&files).unwrap();
    store.mark_bootstrapped().unwrap();
    let (reset, recovered) = Store::reset(files.clone()).unwrap();
    assert_ne!(reset.disk(), store.disk());
    assert!(recovered.is_bootstrapped && recovered.entries.is_empty());
    assert_eq!(open(&files).unwrap().0.disk(), reset.disk());
}

/// Guards against panics, hangs and large allocations on arbitrary bytes in any file.
#[test]
fn open_arbitrary_bytes() {
    for round in 1..=100 {
        // The low 32 bits of an arbtest seed are the number of random bytes.
        arbtest::arbtest(open_bytes).seed(round << 32 | 512);
    }
}

fn open_bytes(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let (files, _) = filled();
    let salt = open(&files).unwrap().0.disk();
    let mut log = files.content(LOG).unwrap();
    let payload: Vec<u8> = u.arbitrary()?;
    let tail: Vec<u8> = u.arbitrary()?;
    // A valid checksum passes the arbitrary payload on to the decoder of records.
    assert!(frame::encode(&mut log, salt.0.as_bytes(), &payload));
    log.extend(tail);
    files.replace(if u.arbitrary()? { LOG } else { SNAPSHOT }, log);
    let _ = open(&files);
    Ok(())
}

/// Guards against a folder of the file system that behaves differently from the one in memory.
#[test]
fn reopen_real_folder() {
    let folder = tempfile::tempdir().unwrap();
    let open = || -> io::Result<_> {
        let files = Folder::open(folder.path().join("data"))?;
        Store::open(files).map_err(io::Error::other)
    };
    let (mut store, _) = open().unwrap();
    store.append(&[hard(1), entry(1), entry(2)]).unwrap();
    store
        .compact(&snapshot(1), &[hard(1), base(1), entry(2)])
        .unwrap();
    store.append(&[entry(3)]).unwrap();
    store.mark_bootstrapped().unwrap();
    let (reopened, recovered) = open().unwrap();
    assert_eq!(reopened.disk(), store.disk());
    assert_eq!(recovered.base, (Index(1), Term(1)));
    assert_eq!(recovered.entries.len(), 2);
    assert_eq!(recovered.snapshot, Some(snapshot(1)));
    assert!(recovered.is_bootstrapped);
}
