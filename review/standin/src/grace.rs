//! The time between SIGTERM and SIGKILL is raised in the settings, and an entry machine is then stopped as planned.

use std::{
    io::{BufRead, Write},
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Addresses, Deployment},
    record::Record,
    server::{EVENT_PAUSE, EVENT_TOKENS, Server},
    wire::{self, name},
};

/// `grace-s` before and after the change.
const GRACE: u64 = 8;
const RAISED: u64 = 20;

/// Time from the change until the stop. The process reads its settings once a second, also without a signal.
const SETTLE: Duration = Duration::from_secs(4);

/// Streams in progress, and their events: a stream takes 11 s.
const STREAMS: usize = 6;
const EVENTS: u64 = 350;

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let mut addresses = Addresses::new();
    let servers_ip = addresses.take();
    let mut deployment = Deployment::start(root, record, &mut addresses, 1);
    let document = include_str!("models.txt")
        .trim()
        .replace("VERSION", "1")
        .replace("PLACES", "8")
        .replace("TIMEOUT", "20000")
        .replace(
            "LIST",
            &include_str!("model.txt")
                .trim()
                .replace("NAME", "m1")
                .replace("ADAPTERS", "0"),
        );
    if !deployment.publish(&document) {
        return Outcome::NotRun("the config was not acknowledged".to_owned());
    }
    let _engines: Vec<Server> = (1..=3)
        .map(|number| {
            Server::start_with(
                &format!("i-engine-{number}"),
                "engines",
                &format!("zone-{number}"),
                &servers_ip,
                Duration::from_millis(20),
                deployment.controls(),
                record,
                &["m1"],
            )
        })
        .collect();
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry machine was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let grace = if has_trouble {
        deployment.change_grace(RAISED);
        RAISED
    } else {
        GRACE
    };
    thread::sleep(SETTLE);
    let callers = deployment.entries[0].callers();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || receive(callers, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let stopped = Instant::now();
    let stopped_at = record.seconds();
    deployment.entries[0].signal("TERM");
    record.line(&format!(
        "entry-1 gets SIGTERM; SIGKILL follows after {grace} s"
    ));
    while deployment.entries[0].is_running() && stopped.elapsed() < Duration::from_secs(grace) {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "the process of entry-1 has run for {:.2} s since SIGTERM",
        stopped.elapsed().as_secs_f64()
    ));
    deployment.entries[0].kill();
    let mut cut = 0;
    for consumer in consumers {
        let Ok(stream) = consumer.join() else {
            return Outcome::NotRun("a consumer failed".to_owned());
        };
        if stream.last == 0 {
            return Outcome::NotRun("a stream did not begin".to_owned());
        }
        // Streams whose engine was still at work in the last sixth of the grace don't count.
        let is_excused = stream.ended >= stopped_at + grace as f64 * 5.0 / 6.0;
        if !stream.is_complete && !is_excused {
            cut += 1;
        }
    }
    record.line(&format!(
        "{cut} of {STREAMS} streams were cut off before the last sixth of the grace"
    ));
    if cut > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

struct Stream {
    last: u64,
    is_complete: bool,
    ended: f64,
}

/// Sends a request and reads its stream.
fn receive(callers: SocketAddr, number: usize, record: &Record) -> Stream {
    let id = format!("stream-{number}");
    let mut stream = Stream {
        last: 0,
        is_complete: false,
        ended: 0.0,
    };
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 20000\r\n{}: m1\r\n{}: 715,{}\r\n{}: a1:172,{number}:543\r\nContent-Length: 2\r\n\r\n{{}}",
        name("request"),
        name("deadline"),
        name("model"),
        name("tokens"),
        EVENTS * EVENT_TOKENS,
        name("prompt")
    );
    if let Some(mut connection) = wire::connect(callers, EVENT_PAUSE * 100)
        && connection.get_mut().write_all(head.as_bytes()).is_ok()
    {
        let mut line = String::new();
        while connection.read_line(&mut line).is_ok_and(|read| read > 0) {
            if let Some(event) = line.strip_prefix("id: ") {
                stream.last = event.trim().parse().unwrap_or(0);
            }
            // The last chunk of a complete answer.
            if line == "0\r\n" && stream.last == EVENTS {
                stream.is_complete = true;
                break;
            }
            line.clear();
        }
    }
    stream.ended = record.seconds();
    record.line(&format!(
        "{id}: {} of {EVENTS} events, complete: {}",
        stream.last, stream.is_complete
    ));
    stream
}
