//! Measures well-behaved callers of a daemon beside 1,000 half-open and 1,000 slow clients, first with enough
//! descriptors and then with fewer than these clients use.
//!
//! `cargo build --release --workspace --bins --examples`, then `target/release/examples/hostile_callers [PROGRAMS]` in
//! the root of the repository; PROGRAMS is the folder of the daemon and the stand-in, `target/release` by default.
//!
//! Prints the answered and failed calls, the median and the p99 of the latency in microseconds, and the resident
//! memory, threads and descriptors of the daemon: alone, with hostile clients, with few descriptors, and afterwards.

use std::{
    io::{self, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use buckthornmast_trial::prelude::*;
use hdrhistogram::Histogram;

/// Number of half-open clients, and of slow clients.
const HOSTILE_CLIENTS: usize = 1000;

/// Threads of well-behaved callers.
const CALLER_THREADS: u32 = 4;

/// Calls of each thread.
const CALLS_PER_THREAD: u32 = 100;

/// Descriptor limit of the daemon in the last part; fewer than the hostile clients use.
const LOW_DESCRIPTOR_LIMIT: u64 = 600;

const MODEL: &str = "catalogue";

/// Returns latencies in microseconds and the number of failed calls.
fn call(address: SocketAddr) -> io::Result<(Histogram<u64>, u32)> {
    let mut latencies = Histogram::new(3).map_err(io::Error::other)?;
    let mut failed = 0;
    for _ in 0..CALLS_PER_THREAD {
        let start = Instant::now();
        let answer = caller::chat(address, MODEL, "hello", 2);
        if answer.status == 200 {
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            latencies.record(micros).map_err(io::Error::other)?;
        } else {
            failed += 1;
            eprintln!("chat failed with status {}: {}", answer.status, answer.text);
        }
        thread::sleep(Duration::from_millis(16));
    }
    Ok((latencies, failed))
}

/// Runs the well-behaved callers and prints their latencies and the daemon's resource usage.
fn measure(label: &str, cluster: &Cluster) -> io::Result<()> {
    let address = cluster.instances[0].ports.callers;
    let callers: Vec<_> = (0..CALLER_THREADS)
        .map(|_| thread::spawn(move || call(address)))
        .collect();
    let mut all = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut failed = 0;
    for caller in callers {
        let joined = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        let (latencies, caller_failed) = joined?;
        all.add(latencies).map_err(io::Error::other)?;
        failed += caller_failed;
    }
    let pid = cluster.instances[0].process.as_ref().map_or(0, Process::id);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = |key: &str| {
        status
            .lines()
            .find(|line| line.starts_with(key))
            .map(str::to_owned)
    };
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    println!(
        "{label}: {} answers, {failed} failed, p50 {} us, p99 {} us, {:?}, {:?}, {descriptors} descriptors",
        all.len(),
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.99),
        value("VmRSS"),
        value("Threads"),
    );
    Ok(())
}

/// Keeps half-open and slow clients connected until `stop`, and reconnects those that the daemon closes. Returns
/// the number of reconnection attempts.
fn attack(address: SocketAddr, stop: &AtomicBool) -> io::Result<usize> {
    let connect = |index: usize| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(if index < HOSTILE_CLIENTS {
            b"POST /v1/chat/completions HTTP/1.1\r\nHo"
        } else {
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
        })?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    // A daemon without free descriptors may close a connection at any time, so errors are only counted.
    let mut streams: Vec<Option<TcpStream>> =
        (0..2 * HOSTILE_CLIENTS).map(|n| connect(n).ok()).collect();
    let mut closed = 0;
    while !stop.load(Ordering::Relaxed) {
        for (index, slot) in streams.iter_mut().enumerate() {
            let is_open = slot.as_mut().is_some_and(|stream| {
                let is_waiting = stream
                    .peek(&mut [0])
                    .is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
                is_waiting && (index < HOSTILE_CLIENTS || stream.write(b"a").is_ok())
            });
            if !is_open {
                closed += 1;
                *slot = connect(index).ok();
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(closed)
}

fn under_attack(label: &str, cluster: &Cluster) -> io::Result<()> {
    let address = cluster.instances[0].ports.callers;
    let stop = Arc::new(AtomicBool::new(false));
    let attacker = thread::spawn({
        let stop = Arc::clone(&stop);
        move || attack(address, &stop)
    });
    thread::sleep(Duration::from_secs(3));
    measure(label, cluster)?;
    stop.store(true, Ordering::Relaxed);
    let closed = attacker
        .join()
        .map_err(|_| io::Error::other("the attacker panicked"))??;
    println!("  {closed} reconnection attempts of hostile clients");
    Ok(())
}

fn main() -> io::Result<()> {
    let programs = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release".to_owned());
    let config = InstanceConfig {
        name: "north-1",
        domain: "north",
        is_voter: true,
    };
    rlimit::increase_nofile_limit(8192)?;
    let mut cluster = Cluster::start(Path::new(&programs), &[config])?;
    cluster.apply(0, Path::new("examples/declarations"));
    cluster.add_engine("engine-1", "north", &[])?;
    cluster.wait_for_model(0, MODEL);
    measure("alone", &cluster)?;
    under_attack("with hostile clients", &cluster)?;
    thread::sleep(Duration::from_secs(1));
    cluster.kill(0);
    cluster.launch_limited(0, LOW_DESCRIPTOR_LIMIT)?;
    cluster.wait_for_model(0, MODEL);
    under_attack("with few descriptors", &cluster)?;
    thread::sleep(Duration::from_secs(1));
    measure("afterwards", &cluster)?;
    Ok(())
}
