//! Measures one daemon at several numbers of open streams, and the propagation of settings in a cluster.
//!
//! `cargo build --release`, then `cargo run --release -p buckthornmast_trial --example cluster_capacity --
//! [streams|settings]...` in the root of the repository.
//!
//! Prints the load average of the machine. `streams` prints tokens per second, CPU cores, threads and resident memory
//! of the daemon, and least-squares lines with their standard errors. `settings` prints the median and the longest time
//! until a write is in force at all instances, and how often an instance did not have it within 10 s.

use std::{
    error::Error,
    fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Time between the start of the last stream and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time over which CPU time and tokens are counted.
const WINDOW: Duration = Duration::from_secs(6);

/// Time over which the starts of the streams are spread.
const START_SPREAD: Duration = Duration::from_secs(2);

/// Tokens of a stream; more than it receives within the measurement.
const TOKENS: u32 = 400;

/// Kernel ticks per second of CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Writes whose propagation is measured.
const WRITES: usize = 20;

const MODEL: &str = "proof-reader";

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
struct Usage {
    ticks: f64,
    threads: f64,
    bytes: f64,
}

/// Reads the resource usage from `/proc`; user and system time are the fields 11 and 12 after the name.
fn usage(process: u32) -> Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let tick = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        number.unwrap_or_default()
    };
    Ok(Usage {
        ticks: tick(11).unwrap_or_default() + tick(12).unwrap_or_default(),
        threads: field("Threads:"),
        bytes: field("VmRSS:") * 1024.0,
    })
}

/// Opens a stream of a model and sends its request.
fn open(address: SocketAddr, number: usize) -> Result<TcpStream> {
    let body = caller::chat_body(MODEL, &format!("stream {number}"), TOKENS, true);
    let mut stream = TcpStream::connect(address)?;
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Reads the available bytes of all streams and returns the number of events.
fn read_events(streams: &mut [TcpStream], buffer: &mut [u8]) -> usize {
    let mut events = 0;
    for stream in streams {
        match stream.read(buffer) {
            Ok(read) => {
                let prefixes = buffer[..read].windows(6);
                events += prefixes.filter(|prefix| prefix == b"data: ").count();
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => eprintln!("reading a stream failed: {error}"),
        }
    }
    events
}

/// Reads all streams for a time and returns the number of events.
fn read_for(span: Duration, streams: &mut [TcpStream]) -> usize {
    let (start, mut events) = (Instant::now(), 0);
    let mut buffer = [0; 8192];
    while start.elapsed() < span {
        events += read_events(streams, &mut buffer);
        thread::sleep(Duration::from_millis(2));
    }
    events
}

/// Measures one daemon; returns the number of streams, tokens per second, cores, and resident bytes.
fn streams_at(programs: &Path, count: usize) -> Result<[f64; 4]> {
    let config = InstanceConfig {
        name: "north-1",
        domain: "north",
        is_voter: true,
    };
    let mut cluster = Cluster::start(programs, &[config])?;
    cluster.apply(0, Path::new("examples/declarations"));
    let flags = ["--slots", "256", "--token-gap", "25ms"];
    cluster.add_engines(&[("e1", "north"), ("e2", "north")], &flags)?;
    cluster.wait_for_model(0, MODEL);
    // Both copies of the model are loaded after this pause.
    thread::sleep(Duration::from_secs(3));
    let process = cluster.instances[0]
        .process
        .as_ref()
        .ok_or("the daemon is down")?
        .id();
    let port = cluster.instances[0].ports.callers;
    let mut streams = Vec::new();
    for number in 0..count {
        streams.push(open(port, number)?);
        thread::sleep(START_SPREAD / u32::try_from(count.max(1))?);
    }
    read_for(SETTLE_TIME, &mut streams);
    let (before, start) = (usage(process)?, Instant::now());
    let events = read_for(WINDOW, &mut streams) as f64;
    let (after, seconds) = (usage(process)?, start.elapsed().as_secs_f64());
    let cores = (after.ticks - before.ticks) / TICKS_PER_SECOND / seconds;
    let rate = events / seconds;
    println!(
        "  {count} streams: {rate:.0} tokens/s, {cores:.3} cores, {} threads, {:.1} MB resident",
        after.threads,
        after.bytes / 1e6
    );
    Ok([count as f64, rate, cores, after.bytes])
}

fn print_fit(what: &str, points: &[(f64, f64)]) {
    if let Some(fit) = Fit::through(points) {
        println!("  fit {what}: {fit}");
    }
}

fn streams(programs: &Path) -> Result<()> {
    println!("open streams at one daemon");
    let mut rows = Vec::new();
    streams_at(programs, 0)?;
    for count in [50, 100, 200, 400] {
        rows.push(streams_at(programs, count)?);
    }
    let points = |x: usize, y: usize| -> Vec<(f64, f64)> {
        rows.iter().map(|row| (row[x], row[y])).collect()
    };
    print_fit("bytes, x = streams", &points(0, 3));
    let cost = rows.iter().map(|row| (row[1] / 1e3, row[2] * 1e3));
    print_fit(
        "ms of processor time a second, x = 1,000 tokens/s",
        &cost.collect::<Vec<_>>(),
    );
    Ok(())
}

/// Writes once and returns the times until the write is in force at each instance, sorted. An instance that does
/// not have it within 10 s is left out.
fn measure_write(cluster: &Cluster, base: u64, writer: usize) -> Vec<Duration> {
    let value = format!("{}", base % 9 + 1);
    let changes = [("model/proof-reader/priority", Some(value.as_str()))];
    let port = cluster.instances[writer].ports.operators;
    let start = Instant::now();
    let answer = caller::write_settings(port, "team/press", id::Write::generate(), base, &changes);
    let revision = answer.json()["all"].as_u64();
    let mut pending: Vec<usize> = (0..cluster.instances.len()).collect();
    let mut times = Vec::new();
    while !pending.is_empty() && start.elapsed() < Duration::from_secs(10) {
        pending.retain(|index| {
            let is_in_force = revision.is_some() && cluster.revision(*index) >= revision;
            if is_in_force {
                times.push(start.elapsed());
            }
            !is_in_force
        });
        thread::sleep(Duration::from_millis(2));
    }
    times
}

/// Measures writes in a cluster with a number of instances, of which three are voters.
fn settings_at(programs: &Path, count: usize) -> Result<()> {
    const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let config = |index: usize| InstanceConfig {
        name: NAMES[index],
        domain: if index < 3 { "north" } else { "south" },
        is_voter: index < 3,
    };
    let configs: Vec<InstanceConfig> = (0..count).map(config).collect();
    let cluster = Cluster::start(programs, &configs)?;
    cluster.apply(0, Path::new("examples/declarations"));
    let (mut last, mut missing) = (Vec::new(), 0);
    for write in 0..WRITES {
        let times = measure_write(&cluster, 1 + write as u64, 0);
        missing += count - times.len();
        last.extend(times.last().copied());
        thread::sleep(Duration::from_millis(100));
    }
    last.sort();
    let quantile = |share: f64| last.get(((last.len() as f64 - 1.0) * share) as usize);
    println!(
        "  {count} instances, {WRITES} writes: in force everywhere after p50 {:.0?}, max {:.0?}; {missing} missing",
        quantile(0.5).copied().unwrap_or_default(),
        quantile(1.0).copied().unwrap_or_default()
    );
    Ok(())
}

fn main() -> Result<()> {
    println!("load {}", fs::read_to_string("/proc/loadavg")?.trim());
    let programs = Path::new("target/release");
    for part in std::env::args().skip(1) {
        match part.as_str() {
            "streams" => streams(programs)?,
            "settings" => {
                println!("settings through a cluster");
                for count in [4, 8, 12] {
                    settings_at(programs, count)?;
                }
            }
            _ => return Err("usage: cluster_capacity [streams|settings]...".into()),
        }
    }
    Ok(())
}
