//! Measures the latency that one daemon adds to a stream: time to the first token and gap between tokens.
//!
//! The same stand-in engine is loaded directly and then through the daemon, each time with the same
//! open-loop schedule. The figures are differences of quantiles of the two distributions; requests
//! are not paired, so a difference is not a quantile of the added latency per request.
//!
//! The load generator is a single thread: it reads raw bytes, takes a timestamp as soon as a read returns
//! and counts the blank lines that end events. Its delays are part of both paths.
//!
//! `cargo build --release --workspace --bins --examples`, then `target/release/examples/overhead [PROGRAMS]` in the
//! root of the repository; PROGRAMS is the folder of the daemon and the stand-in, `target/release` by default.
//!
//! Prints for each route the tokens, complete answers and failures, and the CPU cores and microseconds per token of
//! daemon, engine and load generator; then the quantiles of both routes in microseconds and their differences. A
//! negative difference means that the direct route was slower at that quantile.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornmast_trial::{cluster::TARGET_TOKEN, prelude::*};
use hdrhistogram::Histogram;
use tokio::{
    net::TcpStream,
    task::{JoinSet, LocalSet},
    time::{Instant as Tick, sleep, sleep_until},
};

/// Requests per second.
const REQUESTS_PER_SECOND: u32 = 20;

/// Concurrent streams; the first ones get shorter answers, so that the load is steady from the start.
const OPEN_STREAMS: u32 = 400;

/// Tokens per answer: 20 s at 43.2 ms per token, so that [`REQUESTS_PER_SECOND`] keeps [`OPEN_STREAMS`] streams open.
const TOKENS_PER_ANSWER: u32 = 463;

/// Time over which the first streams start.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Time between the ramp and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Duration of the measurement.
const WINDOW: Duration = Duration::from_secs(25);

/// Pause in which the engine detects that the streams of a route are closed.
const DRAIN_TIME: Duration = Duration::from_secs(3);

const MODEL: &str = "catalogue";

/// Route to the engine, direct or through the daemon.
struct Route {
    label: &'static str,
    address: SocketAddr,
    /// Returns the raw request for an answer of the given number of tokens.
    request: fn(u32) -> String,
}

/// Results of one route.
struct Results {
    /// Times from the connection attempt to the first token in microseconds.
    first_token: Histogram<u64>,
    /// Times between tokens in microseconds.
    token_gap: Histogram<u64>,
    tokens: u64,
    reads: u64,
    finished: u64,
    /// Errors of failed streams.
    failed: Vec<String>,
    /// Start and end of the measurement; only samples in between count.
    window: (Instant, Instant),
}

impl Results {
    fn new(window: (Instant, Instant)) -> io::Result<Self> {
        let max_micros = micros(Duration::from_secs(60));
        let histogram = || Histogram::new_with_bounds(1, max_micros, 3).map_err(io::Error::other);
        Ok(Self {
            first_token: histogram()?,
            token_gap: histogram()?,
            tokens: 0,
            reads: 0,
            finished: 0,
            failed: Vec::new(),
            window,
        })
    }

    fn is_measured_at(&self, at: Instant) -> bool {
        (self.window.0..self.window.1).contains(&at)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn to_daemon(tokens: u32) -> String {
    let body = caller::chat_body(MODEL, "a b c d", tokens, true);
    post(
        "/v1/chat/completions",
        "Request-Timeout-Ms: 60000\r\n",
        &body,
    )
}

fn to_engine(tokens: u32) -> String {
    let message = r#"{"role":"user","content":"a b c d"}"#;
    let body = format!(
        r#"{{"request":"{}","attempt":1,"artifact":"{MODEL}@3","messages":[{message}],"max_tokens":{tokens},"priority":5,"resume":[],"deadline_ms":60000}}"#,
        buckthornmast_types::id::Request::generate(),
    );
    let access = format!("Authorization: Bearer {TARGET_TOKEN}\r\n");
    post("/v1/generate", &access, &body)
}

/// Returns the number of events that end in `chunk`; `last` is the byte before it.
fn events(chunk: &[u8], last: &mut u8) -> u32 {
    let mut count = 0;
    for byte in chunk {
        count += u32::from(*byte == b'\n' && *last == b'\n');
        *last = *byte;
    }
    count
}

/// Reads one answer to its end and records its tokens.
async fn stream(
    address: SocketAddr,
    request: &str,
    tokens: u32,
    results: &RefCell<Results>,
) -> io::Result<()> {
    let begun = Instant::now();
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut rest = request.as_bytes();
    while !rest.is_empty() {
        socket.writable().await?;
        match socket.try_write(rest) {
            Ok(len) => rest = &rest[len..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    let (mut buffer, mut last, mut received, mut before) = ([0; 8192], 0, 0, begun);
    let (mut answer, mut end) = (None, [0; 5]);
    loop {
        socket.readable().await?;
        let len = match socket.try_read(&mut buffer) {
            Ok(0) => break,
            Ok(len) => len,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        let (now, chunk) = (Instant::now(), &buffer[..len]);
        answer.get_or_insert_with(|| String::from_utf8_lossy(chunk).into_owned());
        for byte in chunk.iter().skip(len.saturating_sub(end.len())) {
            end.rotate_left(1);
            end[4] = *byte;
        }
        let count = events(chunk, &mut last);
        let mut results = results.borrow_mut();
        results.reads += 1;
        for index in received..(received + count).min(tokens) {
            if index == 0 && results.is_measured_at(begun) {
                results.first_token.saturating_record(micros(now - begun));
            }
            if index > 0 && results.is_measured_at(before) {
                results.token_gap.saturating_record(micros(now - before));
            }
            results.tokens += u64::from(results.is_measured_at(now));
            before = now;
        }
        received += count;
    }
    let answer = answer.unwrap_or_default();
    let is_answered = answer.starts_with("HTTP/1.1 200 ");
    if is_answered && received > tokens && &end == b"0\r\n\r\n" {
        results.borrow_mut().finished += 1;
        return Ok(());
    }
    Err(io::Error::other(format!(
        "incomplete answer of {received} events for {tokens} tokens, began with {answer:?}"
    )))
}

/// Generates the load on one route and returns the results, and the CPU times that daemon, engine and generator used
/// during the measurement.
async fn load(route: &Route, pids: [u32; 3]) -> io::Result<(Results, [Duration; 3])> {
    let start = Instant::now();
    let begin = start + RAMP_TIME + SETTLE_TIME;
    let results = Rc::new(RefCell::new(Results::new((begin, begin + WINDOW))?));
    let local = LocalSet::new();
    let mut open = JoinSet::new();
    let mut costs = [Duration::ZERO; 3];
    let run = async {
        let first = (1..=OPEN_STREAMS).map(|n| {
            (
                RAMP_TIME * n / OPEN_STREAMS,
                n * TOKENS_PER_ANSWER / OPEN_STREAMS,
            )
        });
        let later = SETTLE_TIME + WINDOW;
        let count = REQUESTS_PER_SECOND * u32::try_from(later.as_secs()).unwrap_or(0);
        let further = (0..count).map(|n| (RAMP_TIME + later * n / count, TOKENS_PER_ANSWER));
        let mut is_measured = false;
        for (at, tokens) in first.chain(further) {
            sleep_until(Tick::from_std(start + at)).await;
            if !is_measured && Instant::now() >= begin {
                is_measured = true;
                costs = cpu(pids)?;
            }
            let tokens = tokens.max(2);
            let (address, request) = (route.address, (route.request)(tokens));
            let results = Rc::clone(&results);
            open.spawn_local(async move {
                if let Err(error) = stream(address, &request, tokens, &results).await {
                    results.borrow_mut().failed.push(error.to_string());
                }
            });
        }
        sleep_until(Tick::from_std(begin + WINDOW)).await;
        let ends = cpu(pids)?;
        for (cost, end) in costs.iter_mut().zip(ends) {
            *cost = end.saturating_sub(*cost);
        }
        println!("{}: {}", route.label, process_summary(pids[0])?);
        open.shutdown().await;
        sleep(DRAIN_TIME).await;
        io::Result::Ok(())
    };
    local.run_until(run).await?;
    drop(open);
    drop(local);
    let results = Rc::into_inner(results)
        .ok_or_else(|| io::Error::other("a stream still runs after the shutdown"))?;
    Ok((results.into_inner(), costs))
}

/// Returns the CPU times that daemon, engine and load generator have used so far.
fn cpu(pids: [u32; 3]) -> io::Result<[Duration; 3]> {
    let mut times = [Duration::ZERO; 3];
    for (time, pid) in times.iter_mut().zip(pids) {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // User and system time are fields 14 and 15, in ticks of 10 ms; the name may contain spaces.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2).map(str::parse::<u64>);
        *time = Duration::from_millis(10 * ticks.flatten().sum::<u64>());
    }
    Ok(times)
}

/// Returns the memory and threads of a process and the load average of the machine.
fn process_summary(pid: u32) -> io::Result<String> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key));
        line.unwrap_or_default()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ")
    };
    let load = std::fs::read_to_string("/proc/loadavg")?;
    let load = load.split(' ').take(3).collect::<Vec<_>>().join(" ");
    Ok(format!(
        "daemon resident {}, peak {}, threads {}; load of the machine {load}",
        value("VmRSS:"),
        value("VmHWM:"),
        value("Threads:"),
    ))
}

fn report(label: &str, results: &Results, costs: &[Duration; 3]) {
    println!(
        "{label}: {} first tokens, {} tokens ({:.0} a second) in {} reads, {} complete answers, {} failed {:?}",
        results.first_token.len(),
        results.tokens,
        results.tokens as f64 / WINDOW.as_secs_f64(),
        results.reads,
        results.finished,
        results.failed.len(),
        results.failed.first(),
    );
    for (name, cost) in ["daemon", "engine", "generator"].iter().zip(costs) {
        println!(
            "  {name}: {:.3} cores, {:.1} us a token",
            cost.as_secs_f64() / WINDOW.as_secs_f64(),
            cost.as_secs_f64() * 1e6 / results.tokens.max(1) as f64,
        );
    }
}

fn compare(label: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for quantile in [0.5, 0.95, 0.99] {
        let (a, b) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        println!(
            "{label} p{:.0}: direct {a} us, through {b} us, difference {} us",
            quantile * 100.0,
            i128::from(b) - i128::from(a),
        );
    }
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
    let mut cluster = Cluster::start(Path::new(&programs), &[config])?;
    cluster.apply(0, Path::new("examples/declarations"));
    // With this many slots the gap between tokens hardly depends on the number of open streams. With a
    // prompt time of 1 ms, the jitter of a busy machine exceeds what the router's limit tolerates above
    // the unloaded time, and the daemon refuses most requests.
    let flags = [
        "--token-gap",
        "40500us",
        "--prompt-time",
        "20ms",
        "--slots",
        "100000",
    ];
    let engine = cluster.add_engine("engine-1", "north", &flags)?;
    cluster.wait_for_model(0, MODEL);
    let daemon = cluster.instances[0].process.as_ref().map(Process::id);
    let daemon = daemon.ok_or_else(|| io::Error::other("the daemon is down"))?;
    let pids = [
        daemon,
        cluster.targets[engine].process.id(),
        std::process::id(),
    ];
    let routes = [
        Route {
            label: "direct",
            address: cluster.targets[engine].address,
            request: to_engine,
        },
        Route {
            label: "through",
            address: cluster.instances[0].ports.callers,
            request: to_daemon,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut all = Vec::new();
    for route in &routes {
        let (results, costs) = runtime.block_on(load(route, pids))?;
        report(route.label, &results, &costs);
        all.push(results);
    }
    compare("first token", &all[0].first_token, &all[1].first_token);
    compare("gap", &all[0].token_gap, &all[1].token_gap);
    Ok(())
}
