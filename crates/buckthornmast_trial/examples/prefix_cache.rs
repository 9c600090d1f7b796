//! Measures prefix cache hits and time to the first token with and without cache events.
//!
//! `cargo build --release --workspace --bins --examples`, then `target/release/examples/prefix_cache [PROGRAMS]` in the
//! root of the repository; PROGRAMS is the folder of the daemon and the stand-in, `target/release` by default.
//!
//! Prints, for 2 and 6 instances and each variant of cache events, the answers and failures of 25 s, the share of
//! prompts that were cached, and the median and the p95 of the time to the first token.

use std::{
    error::Error,
    fs,
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use buckthornmast_trial::prelude::*;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const ENGINES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];

const CALLER_COUNT: u64 = 8;

/// Distinct prompts; they fit into all caches together (6 x 16), but not if each is in two of them.
const PROMPT_COUNT: u64 = 80;

/// Pause of a caller between requests.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// Time before the measurement, in which the caches fill.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

const WINDOW: Duration = Duration::from_secs(25);

const MODEL: &str = "proof-reader";

/// A prompt takes 200 ms, or 20 ms if it is cached; the cache of an engine has room for 16 prompts.
const FLAGS: [&str; 8] = [
    "--prompt-time",
    "200ms",
    "--token-gap",
    "2ms",
    "--slots",
    "16",
    "--cache-memory",
    "1GiB",
];

/// Random numbers of a caller (splitmix64), seeded so that each variant gets the same requests.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the number of a prompt; taking the lower of two draws makes some prompts more frequent.
    fn prompt(&mut self) -> u64 {
        (self.next() % PROMPT_COUNT).min(self.next() % PROMPT_COUNT)
    }
}

fn configs(count: usize) -> Vec<InstanceConfig> {
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let config = |(index, name): (usize, &'static str)| InstanceConfig {
        name,
        domain: "north",
        is_voter: index < 3,
    };
    names
        .into_iter()
        .take(count)
        .enumerate()
        .map(config)
        .collect()
}

/// Starts a cluster with six engines and waits until each instance sees the model ready at all of them.
fn start(programs: &Path, instances: usize, flags: &[&str]) -> Result<Cluster> {
    let folder = tempfile::tempdir()?;
    fs::create_dir(folder.path().join("teams"))?;
    for file in ["platform.ini", "teams/press.ini"] {
        let text = fs::read_to_string(Path::new("examples/declarations").join(file))?;
        // All engines have the model and keep it, so that only the choice of target differs.
        let text = text.replace("name = marginal", "name = static");
        let text = text.replace("copies = 2", "copies = 6");
        fs::write(folder.path().join(file), text)?;
    }
    let mut cluster = Cluster::start(programs, &configs(instances))?;
    cluster.apply(0, folder.path());
    let engines = ENGINES.map(|name| (name, "north"));
    let all: Vec<&str> = FLAGS.iter().chain(flags).copied().collect();
    cluster.add_engines(&engines, &all)?;
    for instance in 0..instances {
        wait_for("the model at all engines", || {
            let status = cluster.status(instance);
            let rows = status["targets"].as_array().cloned().unwrap_or_default();
            let ready = rows.iter().filter(|row| {
                let copies = row["copies"].as_array().cloned().unwrap_or_default();
                copies
                    .iter()
                    .any(|copy| copy["artifact"] == "proof-reader@1" && copy["phase"] == "ready")
            });
            (ready.count() == ENGINES.len()).then_some(())
        });
        cluster.wait_for_model(instance, MODEL);
    }
    Ok(cluster)
}

/// Returns the sum of a counter over all engines, or NaN if an engine did not report it.
fn sum_counters(cluster: &Cluster, name: &str) -> f64 {
    let engines = cluster.targets.iter();
    engines
        .map(|engine| caller::counters(engine.address)["engine"][name].as_f64())
        .sum::<Option<f64>>()
        .unwrap_or(f64::NAN)
}

/// Sends requests sequentially and returns the times to the first token and the number of failures.
fn call(cluster: &Cluster, seed: u64, until: Instant) -> (Vec<Duration>, usize) {
    let mut random = Random(seed);
    let (mut times, mut failed) = (Vec::new(), 0);
    while Instant::now() < until {
        let instance = random.next() as usize % cluster.instances.len();
        let port = cluster.instances[instance].ports.callers;
        let prompt = format!("summary of order list {}", random.prompt());
        let begun = Instant::now();
        let mut first = None;
        let outcome = stream::follow(port, MODEL, &prompt, 2, |_| {
            first.get_or_insert(begun.elapsed());
        });
        match first {
            Some(first) if outcome.is_complete => times.push(first),
            _ => failed += 1,
        }
        thread::sleep(CALL_PAUSE);
    }
    (times, failed)
}

/// Runs all callers for a time and returns the times to the first token and the number of failures.
fn call_all(cluster: &Cluster, round: u64, span: Duration) -> (Vec<Duration>, usize) {
    let until = Instant::now() + span;
    let all = Mutex::new((Vec::new(), 0));
    thread::scope(|scope| {
        for number in 0..CALLER_COUNT {
            let all = &all;
            scope.spawn(move || {
                let (times, failed) = call(cluster, round << 32 | number, until);
                if let Ok(mut all) = all.lock() {
                    all.0.extend(times);
                    all.1 += failed;
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}

fn measure(programs: &Path, instances: usize, name: &str, flags: &[&str]) -> Result<()> {
    let cluster = start(programs, instances, flags)?;
    call_all(&cluster, 1, WARM_UP_TIME);
    let (hits, misses) = (
        sum_counters(&cluster, "prefix_hits"),
        sum_counters(&cluster, "prefix_misses"),
    );
    let (mut times, failed) = call_all(&cluster, 2, WINDOW);
    let hits = sum_counters(&cluster, "prefix_hits") - hits;
    let misses = sum_counters(&cluster, "prefix_misses") - misses;
    times.sort();
    let quantile = |share: f64| times.get((times.len().saturating_sub(1) as f64 * share) as usize);
    println!(
        "{instances} instances, {name}: {} answers, {failed} failed, {:.1} % hits, first token p50 {:.0?} p95 {:.0?}",
        times.len(),
        hits / (hits + misses) * 100.0,
        quantile(0.5).copied().unwrap_or_default(),
        quantile(0.95).copied().unwrap_or_default(),
    );
    Ok(())
}

fn main() -> Result<()> {
    let programs = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".to_owned());
    let variants: [(&str, &[&str]); 3] = [
        ("no events", &["--lose-cache-events", "1"]),
        ("events", &[]),
        (
            "events 2 s late, 1 % lost",
            &["--cache-event-delay", "2s", "--lose-cache-events", "0.01"],
        ),
    ];
    for instances in [2, 6] {
        for (name, flags) in variants {
            measure(Path::new(&programs), instances, name, flags)?;
        }
    }
    Ok(())
}
