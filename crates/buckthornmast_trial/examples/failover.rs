//! Measures the time without a controller after a kill, and the time until a write is in force.
//!
//! `cargo build --release --workspace --bins`, then `cargo run --release -p buckthornmast_trial --example failover --
//! [PROGRAMS] [SECONDS]` in the root of the repository; PROGRAMS is the folder of the daemon and the stand-in,
//! `target/release` by default, and SECONDS the duration of the measurement with kills, 240 by default.
//!
//! Prints for each of the two times the number of samples, the median, the p99 and the longest. Both include the time
//! to query an instance for its state.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

/// Kills after which the failover measurement ends, even if time is left.
const MAX_KILLS: usize = 50;

/// Default duration of the failover measurement, which the second argument overrides.
const FAILOVER_SECONDS: u64 = 240;

/// Writes whose time to be in force is measured.
const WRITES: usize = 1000;

/// Interval between polls of an instance; it bounds the resolution of both measurements.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

const fn config(name: &'static str, domain: &'static str, voter: bool) -> InstanceConfig {
    InstanceConfig {
        name,
        domain,
        is_voter: voter,
    }
}

/// Four failure domains with three voters.
const CONFIGS: [InstanceConfig; 6] = [
    config("north-1", "north", true),
    config("north-2", "north", false),
    config("south-1", "south", true),
    config("south-2", "south", false),
    config("east-1", "east", true),
    config("west-1", "west", false),
];

/// Returns the fencing token of the lease that an instance holds according to its own status.
fn token(cluster: &Cluster, index: usize) -> Option<u64> {
    let status = cluster.status(index);
    let rows = status["instances"].as_array()?;
    let name = cluster.instances[index].config.name;
    let row = rows.iter().find(|row| row["instance"] == name)?;
    row["controller"].as_u64()
}

/// Waits until one of the instances holds the lease and returns it.
fn wait_for_holder(cluster: &Cluster, candidates: &[usize]) -> usize {
    wait_for("a holder of the controller lease", || {
        let mut candidates = candidates.iter().copied();
        candidates.find(|index| token(cluster, *index).is_some())
    })
}

/// Kills the holder of a domain's lease repeatedly and measures until the other candidate holds it.
fn measure_failover(cluster: &mut Cluster, bound: Duration) -> std::io::Result<Vec<Duration>> {
    let (begun, mut times) = (Instant::now(), Vec::new());
    while times.len() < MAX_KILLS && begun.elapsed() < bound {
        let holder = wait_for_holder(cluster, &[0, 1]);
        let killed = Instant::now();
        cluster.kill(holder);
        wait_for_holder(cluster, &[1 - holder]);
        times.push(killed.elapsed());
        cluster.launch(holder)?;
        wait_for("the restarted instance", || cluster.revision(holder));
        // A restarted candidate may not request a lease before a full lease duration has passed.
        thread::sleep(Duration::from_millis(2200));
    }
    Ok(times)
}

/// Polls the revision of an instance and records when each one was first seen.
fn record_revisions(cluster: &Cluster, index: usize, is_over: &AtomicBool) -> Vec<(u64, Instant)> {
    let mut observed: Vec<(u64, Instant)> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let revision = cluster.revision(index).unwrap_or_default();
        if observed.last().is_none_or(|(last, _)| revision > *last) {
            // The revision in an answer was in force when the answer was sent.
            observed.push((revision, Instant::now()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    observed
}

/// Writes settings and measures from each accepted answer until the last instance reports the revision.
fn measure_writes(cluster: &Cluster) -> Vec<Duration> {
    let is_over = AtomicBool::new(false);
    let (observed, mut accepted) = (Mutex::new(Vec::new()), Vec::new());
    thread::scope(|scope| {
        for index in 0..CONFIGS.len() {
            let (is_over, observed) = (&is_over, &observed);
            scope.spawn(move || {
                let revisions = record_revisions(cluster, index, is_over);
                let mut observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
                observed.push(revisions);
            });
        }
        let port = cluster.instances[0].ports.operators;
        let body = caller::operator_get(port, "/v1/settings/team/press").json();
        let mut base = body["scopes"]["team/press"]["revision"].as_u64();
        for number in 0..WRITES {
            let value = (number % 9 + 1).to_string();
            let change = [("model/catalogue/priority", Some(value.as_str()))];
            let (id, from) = (id::Write::generate(), base.unwrap_or_default());
            let answer = caller::write_settings(port, "team/press", id, from, &change);
            let body = answer.json();
            match (body["all"].as_u64(), body["revision"].as_u64()) {
                (Some(all), Some(revision)) => {
                    accepted.push((all, Instant::now()));
                    base = Some(revision);
                }
                _ => println!(
                    "write {number} failed with status {}: {}",
                    answer.status, answer.text
                ),
            }
            thread::sleep(Duration::from_millis(20));
        }
        let last = accepted.last().map_or(0, |(all, _)| *all);
        for index in 0..CONFIGS.len() {
            wait_for("the last write", || {
                (cluster.revision(index)? >= last).then_some(())
            });
        }
        thread::sleep(Duration::from_millis(100));
        is_over.store(true, Ordering::Relaxed);
    });
    let observed = observed
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    let in_force = |(all, at): &(u64, Instant)| {
        let first = |observed: &Vec<(u64, Instant)>| {
            let mut observed = observed.iter();
            observed
                .find(|(revision, _)| revision >= all)
                .map(|(_, when)| when.saturating_duration_since(*at))
        };
        let times: Option<Vec<Duration>> = observed.iter().map(first).collect();
        times.and_then(|times| times.into_iter().max())
    };
    accepted.iter().filter_map(in_force).collect()
}

fn print(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    if times.is_empty() {
        println!("{what}: nothing measured");
        return;
    }
    println!(
        "{what}: {} samples, p50 {:.2?}, p99 {:.2?}, max {:.2?}",
        times.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

/// Writes a folder of declarations with all domains of the cluster.
fn declarations() -> std::io::Result<tempfile::TempDir> {
    let folder = tempfile::tempdir()?;
    let from = Path::new("examples/declarations");
    std::fs::create_dir(folder.path().join("teams"))?;
    let mut platform = std::fs::read_to_string(from.join("platform.ini"))?;
    let domains: BTreeSet<&str> = CONFIGS.iter().map(|config| config.domain).collect();
    for domain in domains {
        if !platform.contains(&format!("[domain {domain}]")) {
            platform += &format!("\n[domain {domain}]\nregion = demo\n");
        }
    }
    std::fs::write(folder.path().join("platform.ini"), platform)?;
    let team = "teams/press.ini";
    std::fs::copy(from.join(team), folder.path().join(team))?;
    Ok(folder)
}

fn main() -> std::io::Result<()> {
    let programs = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".to_owned());
    let seconds = std::env::args().nth(2).and_then(|text| text.parse().ok());
    let bound = Duration::from_secs(seconds.unwrap_or(FAILOVER_SECONDS));
    let mut cluster = Cluster::start(Path::new(&programs), &CONFIGS)?;
    cluster.apply(0, declarations()?.path());
    cluster.add_engine("e1", "north", &[])?;
    print("write in force at 6 instances", measure_writes(&cluster));
    let times = measure_failover(&mut cluster, bound)?;
    print("time without a controller", times);
    Ok(())
}
