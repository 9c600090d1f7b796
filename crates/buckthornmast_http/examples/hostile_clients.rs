//! Measures the latency of well-behaved clients beside 1,000 half-open and 1,000 slow ones.
//!
//! `cargo run --release -p buckthornmast_http --example hostile_clients`; clients and server share the process, which
//! needs more than 4,000 file descriptors.
//!
//! Prints the answers and failed callers, the median and the p99 of the latency in microseconds, and the threads and
//! resident memory of the process: without the bad clients, 2 s after they begin to connect, and 10 s after that
//! measurement. The last lines are the number of bad clients and of their connections that the server closed, and the
//! time that the server took to stop.

use std::{
    error::Error,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use buckthornmast_http::prelude::*;
use hdrhistogram::Histogram;

/// Number of half-open clients, and of slow ones.
const CLIENTS_PER_KIND: usize = 1000;
const CALLERS: usize = 4;
/// Requests of all callers together in one measurement.
const CALLS: usize = 1000;
const TIMEOUTS: client::Timeouts = client::Timeouts {
    connect: Duration::from_secs(5),
    head: Duration::from_secs(5),
    gap: Duration::from_secs(5),
};

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Returns the value of a line of `/proc/self/status`.
fn status(key: &str) -> String {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key));
    line.unwrap_or_default()
        .split_whitespace()
        .skip(1)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Calls at 250 requests a second in all and returns the latencies in microseconds.
fn call(address: SocketAddr) -> Outcome<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    for _ in 0..CALLS / CALLERS {
        let start = Instant::now();
        let request = client::Request {
            method: "POST",
            target: "/v1/chat/completions",
            headers: &[("Content-Type", "application/json")],
            body: br#"{"model":"m","messages":[]}"#,
        };
        let mut answer = client::send(address, &request, &TIMEOUTS)?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status).into());
        }
        answer.read_to_end(1 << 16)?;
        latencies.record(u64::try_from(start.elapsed().as_micros())?)?;
        thread::sleep(Duration::from_millis(16));
    }
    Ok(latencies)
}

fn measure(label: &str, address: SocketAddr) -> Outcome<()> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| thread::spawn(move || call(address)))
        .collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    let (mut failed, mut threads) = (0, String::new());
    for caller in callers {
        if threads.is_empty() {
            threads = status("Threads");
        }
        match caller.join().map_err(|_| "a caller panicked")? {
            Ok(thread_latencies) => latencies.add(thread_latencies)?,
            Err(error) => {
                failed += 1;
                println!("caller failed: {error}");
            }
        }
    }
    println!(
        "{label}: {} answers, {failed} callers failed, p50 {} us, p99 {} us, threads {threads} ({CALLERS} of them callers), resident {}",
        latencies.len(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        status("VmRSS"),
    );
    Ok(())
}

/// Keeps half-open and slow clients connected; those that the server disconnects connect again. Returns the number of
/// clients and the number of connections that were closed.
fn attack(address: SocketAddr, stop: &AtomicBool) -> Outcome<(usize, usize)> {
    let connect = |index: usize| -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(if index < CLIENTS_PER_KIND {
            b"POST /v1/chat/completions HTTP/1.1\r\nHo"
        } else {
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
        })?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    let mut streams = (0..2 * CLIENTS_PER_KIND)
        .map(connect)
        .collect::<std::io::Result<Vec<_>>>()?;
    let mut closed = 0;
    while !stop.load(Ordering::Relaxed) {
        for (index, stream) in streams.iter_mut().enumerate() {
            let ended = match stream.peek(&mut [0]) {
                Ok(_) => true,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            };
            let failed = index >= CLIENTS_PER_KIND && stream.write(b"a").is_err();
            if ended || failed {
                closed += 1;
                *stream = connect(index)?;
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok((streams.len(), closed))
}

fn main() -> Outcome<()> {
    let handler = |mut exchange: Exchange| {
        let answer = match exchange.take_body(1 << 20) {
            Ok(body) => Response::json(200, body),
            Err(error) => Problem::from(error).into(),
        };
        let _ = exchange.respond(answer);
    };
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let server = server::start(listener, Config::default(), handler)?;
    let address = server.address();
    measure("alone", address)?;
    let stop = Arc::new(AtomicBool::new(false));
    let attacker = thread::spawn({
        let stop = stop.clone();
        move || attack(address, &stop)
    });
    thread::sleep(Duration::from_secs(2));
    measure("with bad clients", address)?;
    thread::sleep(Duration::from_secs(10));
    measure("12 s later", address)?;
    stop.store(true, Ordering::Relaxed);
    let (held, closed) = attacker.join().map_err(|_| "the attacker panicked")??;
    println!("bad clients: {held} held open, {closed} closed by the server and connected again");
    let start = Instant::now();
    server.stop();
    println!("stopped after {:.1?}", start.elapsed());
    Ok(())
}
