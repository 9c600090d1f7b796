//! Measures, for a given election timeout, leader changes under steady proposals and the time from the stop of a
//! leader to the next answer.
//!
//! `cargo run --release -p buckthornmast_consensus --example failover -- FOLDER MIN_MS MAX_MS`; the three replicas
//! write to FOLDER, and each draws its election timeout between the two numbers of milliseconds.
//!
//! Prints by how many terms the group advanced in ten periods of steady proposals, which is 0 if no leader was lost,
//! and the median and the longest of ten failovers. A leader is stopped after each period.

use std::{
    collections::BTreeMap,
    error::Error,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError, Weak},
    thread,
    time::{Duration, Instant},
};

use buckthornmast_consensus::prelude::*;
use buckthornmast_storage::prelude::*;
use buckthornmast_types::{id, time::System};

const ROUNDS: usize = 10;
/// Duration of steady proposals before a leader is stopped.
const STEADY_TIME: Duration = Duration::from_secs(2);
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Command = u64;
    type Answer = u64;

    fn apply(&mut self, _: id::Index, _: LogTime, _: &u64) -> u64 {
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

struct Wire(id::Instance, Peers);

impl Transport for Wire {
    type Command = u64;

    fn send(&self, to: &id::Instance, message: Message<u64>) {
        let peers = self.1.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = peers.get(to).and_then(Weak::upgrade) {
            handle.deliver(self.0.clone(), message);
        }
    }
}

struct Group {
    names: Vec<id::Instance>,
    handles: Vec<Arc<Handle<Counter>>>,
    peers: Peers,
    timing: Timing,
    folder: PathBuf,
}

impl Group {
    fn launch(&self, name: &id::Instance) -> Result<Arc<Handle<Counter>>, StartError> {
        let mut config = Config::new(name.clone(), self.names.clone());
        config.timing = self.timing.clone();
        let wire = Wire(name.clone(), Arc::clone(&self.peers));
        let path: &Path = &self.folder.join(name.as_str());
        let files = || Folder::open(path);
        let handle = start(config, files, Counter::default(), wire, System::start())?;
        let handle = Arc::new(handle);
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.insert(name.clone(), Arc::downgrade(&handle));
        Ok(handle)
    }

    /// Proposes to the current leader until there is an answer; returns the index of that leader.
    fn propose_until_answered(&self) -> Result<usize, Box<dyn Error>> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            for (index, handle) in self.handles.iter().enumerate() {
                let leads = handle.status().role == Role::Leader;
                if leads && handle.propose(1, PROPOSE_TIMEOUT).is_ok() {
                    return Ok(index);
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        Err("no answer within 30 s".into())
    }

    fn term(&self) -> u64 {
        let terms = self.handles.iter().map(|handle| handle.status().term.0);
        terms.max().unwrap_or(0)
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [folder, min, max] = &arguments[..] else {
        return Err("usage: failover FOLDER MIN_MS MAX_MS".into());
    };
    let names = ["a", "b", "c"].map(str::parse::<id::Instance>);
    let mut group = Group {
        names: names.into_iter().collect::<Result<_, _>>()?,
        handles: Vec::new(),
        peers: Peers::default(),
        timing: Timing {
            election_min: Duration::from_millis(min.parse()?),
            election_max: Duration::from_millis(max.parse()?),
            ..Timing::default()
        },
        folder: folder.into(),
    };
    for name in &group.names {
        group.handles.push(group.launch(name)?);
    }
    group.propose_until_answered()?;
    let (mut changes, mut times) = (0, Vec::new());
    for _ in 0..ROUNDS {
        let (term, start) = (group.term(), Instant::now());
        let mut leader = group.propose_until_answered()?;
        while start.elapsed() < STEADY_TIME {
            leader = group.propose_until_answered()?;
        }
        changes += group.term() - term;
        let stopped = Instant::now();
        group.handles[leader].stop();
        group.handles[leader] = Arc::clone(&group.handles[(leader + 1) % 3]);
        group.propose_until_answered()?;
        times.push(stopped.elapsed());
        group.handles[leader] = group.launch(&group.names[leader])?;
    }
    times.sort();
    println!(
        "{min}..{max} ms: {changes} terms lost in {ROUNDS} times {STEADY_TIME:?}, failover median {:.0?}, max {:.0?}",
        times[ROUNDS / 2],
        times[ROUNDS - 1]
    );
    Ok(())
}
