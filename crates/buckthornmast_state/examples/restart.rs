//! Measures the restart of a replica after many settings writes, with the default snapshot policy.
//!
//! `cargo run --release -p buckthornmast_state --example restart -- FOLDER`; the folder must be empty, since the writes
//! would conflict with those of an earlier run.
//!
//! Prints, after 1,000 and after 10,000 writes, the time until the folder is read and the time until the replica, which
//! is the whole group, leads and has applied all entries. The latter includes an election timeout.

use std::{
    error::Error,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use buckthornmast_consensus::prelude::*;
use buckthornmast_state::prelude::*;
use buckthornmast_storage::prelude::*;
use buckthornmast_types::{id, time::System};

/// Transport of a group of one, which sends nothing.
struct NoTransport;

impl Transport for NoTransport {
    type Command = Command;

    fn send(&self, _: &id::Instance, _: Message<Command>) {}
}

fn launch(path: &Path) -> Result<Handle<State>, Box<dyn Error>> {
    let name: id::Instance = "a".parse()?;
    let path = path.to_owned();
    let config = Config::new(name.clone(), vec![name]);
    let files = move || Folder::open(&path);
    Ok(start(
        config,
        files,
        State::default(),
        NoTransport,
        System::start(),
    )?)
}

fn wait_for_leader(handle: &Handle<State>) -> Result<(), Box<dyn Error>> {
    for _ in 0..10_000 {
        if handle.status().leader_lease.is_some() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err("no leader".into())
}

fn measure(path: &Path, writes: u64) -> Result<(), Box<dyn Error>> {
    let handle = launch(path)?;
    wait_for_leader(&handle)?;
    for revision in 0..writes {
        let write = Write {
            scope: Scope::Platform,
            id: id::Write::generate(),
            base: id::Revision(revision),
            changes: vec![Change {
                path: format!("models/m{}/replicas", revision % 820),
                value: Some(format!("{revision:0>100}")),
            }],
        };
        handle.propose(Command::Write(write), Duration::from_secs(5))?;
    }
    handle.stop();
    let begin = Instant::now();
    let handle = launch(path)?;
    let opened = begin.elapsed();
    wait_for_leader(&handle)?;
    let ready = begin.elapsed();
    let revision = handle.read(|state| state.tree().revision());
    println!(
        "{writes} writes: folder read after {opened:.1?}, leader with all applied after {ready:.1?}, revision {revision}"
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("usage: restart FOLDER")?;
    for writes in [1_000, 10_000] {
        measure(&PathBuf::from(&folder).join(writes.to_string()), writes)?;
    }
    Ok(())
}
