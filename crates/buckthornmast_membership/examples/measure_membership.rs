//! Measures CPU time and traffic of the runtime for several cluster sizes in one process.
//!
//! `cargo run --release -p buckthornmast_membership --example measure_membership`
//!
//! Prints, for two runs of 5 s of each size, the datagrams and bytes sent and the milliseconds of CPU time used, each
//! per second and instance. The other lines are least-squares lines over these runs, with the standard errors of their
//! parameters.

use std::{
    net::UdpSocket,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use buckthornmast_membership::prelude::*;
use buckthornmast_types::{id, time::System};
use buckthornmast_wire::key::Key;
use metrics::{
    Counter, CounterFn, Gauge, Key as Name, KeyName, Metadata, Recorder, SharedString, Unit,
};

type Failure = Box<dyn std::error::Error>;

const MEASURE_TIME: Duration = Duration::from_secs(5);

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

#[derive(Default)]
struct Total(AtomicU64);

impl CounterFn for Total {
    fn increment(&self, value: u64) {
        self.0.fetch_add(value, Ordering::Relaxed);
    }

    fn absolute(&self, _value: u64) {}
}

/// Recorder of the sums over all instances in the process.
#[derive(Default, Clone)]
struct Totals {
    datagrams: Arc<Total>,
    bytes: Arc<Total>,
}

impl Recorder for Totals {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, name: &Name, _: &Metadata<'_>) -> Counter {
        let is_sent = name.labels().any(|label| label.value() == "sent");
        match name.name() {
            "buckthornmast_membership_datagrams_total" if is_sent => {
                Counter::from_arc(self.datagrams.clone())
            }
            "buckthornmast_membership_bytes_total" if is_sent => {
                Counter::from_arc(self.bytes.clone())
            }
            _ => Counter::noop(),
        }
    }

    fn register_gauge(&self, _: &Name, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Name, _: &Metadata<'_>) -> metrics::Histogram {
        metrics::Histogram::noop()
    }
}

/// Returns the CPU time of the threads of the process in nanoseconds.
fn cpu_nanos() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let time = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    tasks.filter_map(time).sum()
}

/// Returns datagrams, bytes and milliseconds of CPU time per second and instance.
fn measure(count: usize, domains: usize, totals: &Totals) -> Result<[f64; 3], Failure> {
    let sockets: Result<Vec<UdpSocket>, _> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect();
    let mut members = Vec::new();
    let sockets = sockets?;
    for (index, socket) in sockets.iter().enumerate() {
        members.push(Member {
            instance: format!("node-{index:03}").parse()?,
            domain: format!("zone-{}", index % domains).parse()?,
            address: socket.local_addr()?,
        });
    }
    let mut handles = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let config = Config {
            me: members[index].instance.clone(),
            members: members.clone(),
            key: Key::new([1; 32]),
            socket,
            incarnation: id::Incarnation(1),
            timing: Timing::default(),
        };
        handles.push(start(config, Progress::default, System::start())?);
    }
    std::thread::sleep(Duration::from_secs(3));
    let (datagrams, bytes) = (&totals.datagrams.0, &totals.bytes.0);
    let before = (
        datagrams.load(Ordering::SeqCst),
        bytes.load(Ordering::SeqCst),
        cpu_nanos(),
    );
    std::thread::sleep(MEASURE_TIME);
    let datagrams = datagrams.load(Ordering::SeqCst) - before.0;
    let bytes = bytes.load(Ordering::SeqCst) - before.1;
    let nanos = cpu_nanos() - before.2;
    let alive = handles[0].view().alive().count();
    handles.into_iter().for_each(Handle::stop);
    let instance_seconds = MEASURE_TIME.as_secs_f64() * count as f64;
    let row = [
        datagrams as f64 / instance_seconds,
        (bytes + HEADER_BYTES * datagrams) as f64 / instance_seconds,
        nanos as f64 / 1e6 / instance_seconds,
    ];
    println!(
        "{count:3} instances in {domains} domains, {alive} alive: {:.1} datagrams/s, {:.0} bytes/s sent with headers, {:.3} ms cpu/s",
        row[0], row[1], row[2]
    );
    Ok(row)
}

/// Prints the least-squares line through the points and the standard errors of its parameters.
fn print_fit(what: &str, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / n;
    let sxx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let sxy: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = sxy / sxx;
    let intercept = mean_y - slope * mean_x;
    let residual = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).powi(2);
    let variance = points.iter().map(residual).sum::<f64>() / (n - 2.0);
    let slope_error = (variance / sxx).sqrt();
    let intercept_error = (variance * (1.0 / n + mean_x * mean_x / sxx)).sqrt();
    println!(
        "{what} = {intercept:.4} (+-{intercept_error:.4}) + {slope:.5} (+-{slope_error:.5}) x"
    );
}

fn main() -> Result<(), Failure> {
    let totals = Totals::default();
    metrics::set_global_recorder(totals.clone()).map_err(|error| error.to_string())?;
    let mut all = Vec::new();
    for domains in [4, 1] {
        let mut points = Vec::new();
        for _ in 0..2 {
            for count in [6, 24, 48] {
                points.push((count as f64, measure(count, domains, &totals)?));
            }
        }
        let column = |value: usize| -> Vec<(f64, f64)> {
            let points = points.iter();
            points.map(|(count, row)| (*count, row[value])).collect()
        };
        print_fit("  bytes/s per instance, x = instances", &column(1));
        print_fit("  ms cpu/s per instance, x = instances", &column(2));
        all.extend(points);
    }
    let all: Vec<_> = all.iter().map(|(_, row)| (row[0], row[2])).collect();
    print_fit("all: ms cpu/s per instance, x = datagrams/s sent", &all);
    Ok(())
}
