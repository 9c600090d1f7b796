//! Measures call latency, notice throughput and idle traffic between instances in one process.
//!
//! `cargo run --release -p buckthornmast_peer --example measure_peer`
//!
//! Prints latencies in microseconds, rates per second, CPU time of the process, which includes both ends, and bytes on
//! the sockets of all servers in both directions.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use buckthornmast_peer::prelude::*;
use buckthornmast_types::id;
use buckthornmast_wire::key::Key;
use hdrhistogram::Histogram;
use metrics::{
    Counter, CounterFn, Gauge, Key as Name, KeyName, Metadata, Recorder, SharedString, Unit,
};

type Failure = Box<dyn std::error::Error>;

type Node = (id::Instance, Handle<Echo>, Arc<Echo>);

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Total of the bytes on the sockets of all servers in the process.
#[derive(Default)]
struct SocketBytes(AtomicU64);

impl CounterFn for SocketBytes {
    fn increment(&self, value: u64) {
        self.0.fetch_add(value, Ordering::Relaxed);
    }

    fn absolute(&self, _value: u64) {}
}

struct Totals(Arc<SocketBytes>);

impl Recorder for Totals {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, name: &Name, _: &Metadata<'_>) -> Counter {
        if name.name() == "buckthornmast_peer_socket_bytes_total" {
            Counter::from_arc(self.0.clone())
        } else {
            Counter::noop()
        }
    }

    fn register_gauge(&self, _: &Name, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Name, _: &Metadata<'_>) -> metrics::Histogram {
        metrics::Histogram::noop()
    }
}

#[derive(Default)]
struct Echo {
    notices: AtomicU64,
}

impl Handler for Echo {
    type Request = String;
    type Response = String;
    type Notice = (u64, String);

    fn call(&self, _from: &id::Instance, request: String) -> String {
        request
    }

    fn notify(&self, _from: &id::Instance, _notice: (u64, String)) {
        self.notices.fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns the CPU time of the process.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |field| {
        fields
            .split_whitespace()
            .nth(field)
            .and_then(|text| text.parse::<u64>().ok())
    };
    // User and system time are in hundredths of a second.
    Duration::from_millis(10 * (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)))
}

fn start_all(count: usize) -> Result<Vec<Node>, Failure> {
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for index in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        peers.push(Peer {
            instance: format!("node-{index}").parse()?,
            address: listener.local_addr()?,
            counter_label: "measure",
        });
        listeners.push(listener);
    }
    let mut nodes = Vec::new();
    for (index, listener) in listeners.into_iter().enumerate() {
        let handler = Arc::new(Echo::default());
        let config = Config {
            me: peers[index].instance.clone(),
            key: Key::new([1; 32]),
            listener,
            peers: peers.clone(),
            limits: Limits::default(),
        };
        let handle = start(config, handler.clone())?;
        nodes.push((peers[index].instance.clone(), handle, handler));
    }
    Ok(nodes)
}

fn measure_calls(callers: usize, calls: usize) -> Result<(), Failure> {
    let nodes = start_all(2)?;
    let (client, to) = (nodes[0].1.client(), &nodes[1].0);
    client.call(to, "warm up".into(), CALL_TIMEOUT)?;
    let (started, cpu) = (Instant::now(), cpu_time());
    let mut latencies = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|_| {
                let client = client.clone();
                scope.spawn(move || {
                    let mut times = Vec::with_capacity(calls);
                    for _ in 0..calls {
                        let start = Instant::now();
                        if client.call(to, "x".repeat(200), CALL_TIMEOUT).is_ok() {
                            times.push(start.elapsed().as_micros());
                        }
                    }
                    times
                })
            })
            .collect();
        for thread in threads {
            let times = thread.join().unwrap_or_default();
            failed += calls - times.len();
            for micros in times {
                latencies.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
            }
        }
    });
    let (wall, cpu) = (started.elapsed(), cpu_time() - cpu);
    let total_calls = (callers * calls) as f64;
    println!(
        "calls, {callers} callers: p50 {} us, p99 {} us, {:.0}/s, cpu {:.0} us per call (both ends), {failed} failed",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        total_calls / wall.as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / total_calls,
    );
    nodes.into_iter().for_each(|(_, handle, _)| handle.stop());
    Ok(())
}

/// Sends notices of 200 bytes as fast as the receiver handles them.
fn measure_notices(count: u64) -> Result<(), Failure> {
    let nodes = start_all(2)?;
    let (client, to) = (nodes[0].1.client(), &nodes[1].0);
    let handled = || nodes[1].2.notices.load(Ordering::SeqCst);
    let (started, cpu) = (Instant::now(), cpu_time());
    for sent in 0..count {
        // Stays below the limit of the queue, so that no notice is dropped.
        while sent - handled() >= 3000 {
            std::thread::sleep(Duration::from_micros(100));
        }
        client.notify(to, (sent, "x".repeat(200)));
    }
    while handled() < count && started.elapsed() < Duration::from_secs(60) {
        std::thread::sleep(Duration::from_micros(100));
    }
    let (wall, cpu) = (started.elapsed(), cpu_time() - cpu);
    println!(
        "notices of 200 bytes: {:.0}/s, cpu {:.1} us per notice (both ends), {} of {count} taken",
        handled() as f64 / wall.as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / count as f64,
        handled(),
    );
    nodes.into_iter().for_each(|(_, handle, _)| handle.stop());
    Ok(())
}

/// Sends one small notice every 100 ms, as a leader does to a follower.
fn measure_paced(sockets: &SocketBytes) -> Result<(), Failure> {
    const COUNT: u64 = 50;
    let nodes = start_all(2)?;
    let (client, to) = (nodes[0].1.client(), &nodes[1].0);
    client.call(to, "warm up".into(), CALL_TIMEOUT)?;
    let bytes = sockets.0.load(Ordering::SeqCst);
    for sent in 0..COUNT {
        client.notify(to, (sent, "x".repeat(100)));
        std::thread::sleep(Duration::from_millis(100));
    }
    let bytes = sockets.0.load(Ordering::SeqCst) - bytes;
    println!(
        "notices of 100 bytes at 10/s: {} bytes each (both directions)",
        bytes / COUNT
    );
    nodes.into_iter().for_each(|(_, handle, _)| handle.stop());
    Ok(())
}

/// Measures traffic and CPU time without calls, first without connections and then while idle ones are pinged.
fn measure_idle(count: usize, sockets: &SocketBytes) -> Result<(), Failure> {
    // Shorter than the time after which idle connections are closed.
    const MEASURE_TIME: Duration = Duration::from_millis(2500);
    let nodes = start_all(count)?;
    for is_connected in [false, true] {
        if is_connected {
            for (_, handle, _) in &nodes {
                for (to, _, _) in &nodes {
                    handle.call(to, "x".into(), CALL_TIMEOUT)?;
                }
            }
        }
        let (cpu, bytes) = (cpu_time(), sockets.0.load(Ordering::SeqCst));
        std::thread::sleep(MEASURE_TIME);
        let cpu = cpu_time() - cpu;
        let bytes = sockets.0.load(Ordering::SeqCst) - bytes;
        let instance_seconds = MEASURE_TIME.as_secs_f64() * count as f64;
        println!(
            "idle, {count} instances, {} connections each: {:.0} bytes/s (both directions) and {:.2} ms cpu/s per instance",
            if is_connected { count } else { 0 },
            bytes as f64 / instance_seconds,
            cpu.as_secs_f64() * 1e3 / instance_seconds,
        );
    }
    nodes.into_iter().for_each(|(_, handle, _)| handle.stop());
    Ok(())
}

fn main() -> Result<(), Failure> {
    let sockets = Arc::new(SocketBytes::default());
    metrics::set_global_recorder(Totals(sockets.clone())).map_err(|error| error.to_string())?;
    measure_calls(1, 5000)?;
    measure_calls(32, 2000)?;
    measure_notices(200_000)?;
    measure_paced(&sockets)?;
    measure_idle(6, &sockets)?;
    measure_idle(24, &sockets)
}
