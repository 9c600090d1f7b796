//! Measures 400 open streams with 9,250 events a second in all.
//!
//! `cargo run --release -p buckthornmast_http --example streams`
//!
//! Prints the threads and the resident memory of the process, which is both server and reader. At the end it prints the
//! number of events, the median and the p99 of the time from the send of an event to its read in microseconds, and the
//! CPU cores that the process used.

use std::{
    error::Error,
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    sync::OnceLock,
    thread,
    time::{Duration, Instant},
};

use buckthornmast_http::prelude::*;
use hdrhistogram::Histogram;

const STREAMS: usize = 400;
/// Events of each stream.
const EVENTS: u32 = 231;
/// Time between two events of a stream: 400 streams with an event each 43.24 ms are 9,250 events a second.
const GAP: Duration = Duration::from_micros(43_243);

type Outcome = Result<(), Box<dyn Error>>;

fn clock() -> &'static Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now)
}

fn micros() -> u128 {
    clock().elapsed().as_micros()
}

fn handle(exchange: Exchange) {
    let Ok(mut stream) = exchange.stream(200, &[("Content-Type", "text/event-stream")]) else {
        return;
    };
    let start = Instant::now();
    for event in 0..EVENTS {
        let due = start + GAP * event;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if stream.event(&micros().to_string()).is_err() {
            return;
        }
    }
    let _ = stream.finish();
}

/// Returns the processor time used by the process, in ticks of 10 ms.
fn ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    field(13).unwrap_or(0) + field(14).unwrap_or(0)
}

/// Returns a line of `/proc/self/status` without spaces.
fn status(key: &str) -> String {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key));
    line.unwrap_or_default().replace(['\t', ' '], "")
}

fn record(text: &str, delays: &mut Histogram<u64>) -> Outcome {
    let now = micros();
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let sent: u128 = line.parse()?;
        delays.record(u64::try_from(now.saturating_sub(sent))?)?;
    }
    Ok(())
}

fn main() -> Outcome {
    clock();
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let server = server::start(listener, Config::default(), handle)?;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = TcpStream::connect(server.address())?;
        stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        stream.set_nonblocking(true)?;
        streams.push(Some(stream));
        // Starts are spread over one gap, as with real streams.
        thread::sleep(GAP / u32::try_from(STREAMS)?);
    }
    let (start, used) = (Instant::now(), ticks());
    let mut delays = Histogram::<u64>::new(3)?;
    let mut buffer = [0; 4096];
    let mut shown = false;
    while streams.iter().any(Option::is_some) {
        for held in &mut streams {
            let Some(stream) = held else { continue };
            match stream.read(&mut buffer) {
                Ok(0) => *held = None,
                Ok(read) => record(std::str::from_utf8(&buffer[..read])?, &mut delays)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
        if !shown && start.elapsed() > Duration::from_secs(5) {
            shown = true;
            println!("{} {}", status("Threads"), status("VmRSS"));
        }
        // The reader polls all streams about once a millisecond, so that it uses little processor time.
        thread::sleep(Duration::from_millis(1));
    }
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let cores = (ticks() - used) as f64 / 100.0 / start.elapsed().as_secs_f64();
    println!(
        "{} events in {:.1?}, sent to read: p50 {} us, p99 {} us; {cores:.2} cores with the reader",
        delays.len(),
        start.elapsed(),
        delays.value_at_quantile(0.5),
        delays.value_at_quantile(0.99),
    );
    server.stop();
    Ok(())
}
