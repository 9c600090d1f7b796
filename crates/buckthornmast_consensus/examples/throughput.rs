//! Measures the rate and latency of proposals with three replicas in one process and synced folders.
//!
//! `cargo run --release -p buckthornmast_consensus --example throughput -- FOLDER`; with `memory` instead of a
//! folder, nothing is written to a disk.
//!
//! Prints, for 1, 8 and 64 concurrent proposers, the answered proposals per second, quantiles of their latency, the
//! number of failed proposals, and the highest term before and after. The terms differ if the leader has changed.

use std::{
    collections::BTreeMap,
    error::Error,
    io,
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use buckthornmast_consensus::prelude::*;
use buckthornmast_storage::prelude::*;
use buckthornmast_types::{id, time::System};
use hdrhistogram::Histogram;

/// Bytes of a command, about the size of a claim.
const COMMAND_BYTES: usize = 150;
const MEASURE_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Command = Vec<u8>;
    type Answer = u64;

    fn apply(&mut self, _: id::Index, _: LogTime, _: &Vec<u8>) -> u64 {
        self.0 += 1;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let bytes = snapshot.try_into().map_err(|_| RestoreError {
            detail: "not 8 bytes".to_owned(),
        })?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

type Peers = Arc<Mutex<BTreeMap<id::Instance, Weak<Handle<Counter>>>>>;

struct Wire {
    from: id::Instance,
    peers: Peers,
}

impl Transport for Wire {
    type Command = Vec<u8>;

    fn send(&self, to: &id::Instance, message: Message<Vec<u8>>) {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = peers.get(to).and_then(Weak::upgrade) {
            handle.deliver(self.from.clone(), message);
        }
    }
}

fn wait_leader(handles: &[Arc<Handle<Counter>>]) -> Option<Arc<Handle<Counter>>> {
    for _ in 0..2000 {
        let leads = |handle: &&Arc<Handle<Counter>>| handle.status().leader_lease.is_some();
        if let Some(handle) = handles.iter().find(leads) {
            return Some(Arc::clone(handle));
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

type Handles = Arc<Vec<Arc<Handle<Counter>>>>;

/// Proposes until `done` is set; returns the latencies of answers in microseconds and the number of failures.
fn propose(handles: &Handles, done: &AtomicBool) -> (Vec<u128>, u64) {
    let (mut micros, mut failed) = (Vec::new(), 0);
    while !done.load(Ordering::Relaxed) {
        let Some(leader) = wait_leader(handles) else {
            return (micros, failed);
        };
        let mut leads = true;
        while leads && !done.load(Ordering::Relaxed) {
            let begin = Instant::now();
            leads = leader
                .propose(vec![7; COMMAND_BYTES], Duration::from_secs(5))
                .is_ok();
            if leads {
                micros.push(begin.elapsed().as_micros());
            } else {
                failed += 1;
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    (micros, failed)
}

fn measure(handles: &Handles, proposers: usize) -> Result<(), Box<dyn Error>> {
    let done = Arc::new(AtomicBool::new(false));
    let term = || handles.iter().map(|handle| handle.status().term).max();
    let first = term();
    let start = Instant::now();
    let threads: Vec<_> = (0..proposers)
        .map(|_| {
            let (handles, done) = (Arc::clone(handles), Arc::clone(&done));
            thread::spawn(move || propose(&handles, &done))
        })
        .collect();
    thread::sleep(MEASURE_TIME);
    done.store(true, Ordering::Relaxed);
    let mut latency = Histogram::<u64>::new(3)?;
    let mut failures = 0;
    for thread in threads {
        let (micros, failed) = thread.join().map_err(|_| "a proposer panicked")?;
        failures += failed;
        for value in micros {
            latency.record(u64::try_from(value)?)?;
        }
    }
    let rate = latency.len() as f64 / start.elapsed().as_secs_f64();
    let at = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{proposers:>3} proposers: {rate:>7.0} proposals/s, p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms, {failures} failed, terms {first:?} to {:?}",
        at(0.5),
        at(0.99),
        at(1.0),
        term()
    );
    Ok(())
}

fn run<F: Files>(files: impl Fn(&id::Instance) -> io::Result<F>) -> Result<(), Box<dyn Error>> {
    let names = ["a", "b", "c"].map(str::parse::<id::Instance>);
    let names: Vec<_> = names.into_iter().collect::<Result<_, _>>()?;
    let peers = Peers::default();
    let mut handles = Vec::new();
    for name in &names {
        let wire = Wire {
            from: name.clone(),
            peers: Arc::clone(&peers),
        };
        let config = Config::new(name.clone(), names.clone());
        let machine = Counter::default();
        let handle = start(config, || files(name), machine, wire, System::start())?;
        let handle = Arc::new(handle);
        let mut peers = peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.insert(name.clone(), Arc::downgrade(&handle));
        handles.push(handle);
    }
    let handles = Arc::new(handles);
    wait_leader(&handles).ok_or("no leader")?;
    for proposers in [1, 8, 64] {
        measure(&handles, proposers)?;
    }
    for handle in handles.iter() {
        handle.stop();
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args()
        .nth(1)
        .ok_or("usage: throughput FOLDER|memory")?;
    if folder == "memory" {
        return run(|_| Ok(Memory::default()));
    }
    let folder = PathBuf::from(folder);
    run(|name| Folder::open(folder.join(name.as_str())))
}
