//! An engine sends one of its answers a second time, late, on a connection that its reports and orders share.

use std::{io::BufRead, io::Write, net::SocketAddr, path::Path, thread, time::Duration};

use crate::{
    Outcome,
    deployment::{Addresses, Deployment},
    record::Record,
    server::{EVENT_TOKENS, Server},
    wire::{self, name},
};

/// Events of a long stream, which takes 11 s, and of a short one.
const LONG: u64 = 350;
const SHORT: u64 = 8;

/// Short requests, so that one answer of the engine is less than 3 in 100.
const REQUESTS: usize = 48;
const CONSUMERS: usize = 16;

/// Time after the beginning of the long streams at which another adapter is asked for.
const ASK: Duration = Duration::from_millis(1100);

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let mut addresses = Addresses::new();
    let servers_ip = addresses.take();
    let deployment = Deployment::start(root, record, &mut addresses, 1);
    let document = include_str!("models.txt")
        .trim()
        .replace("VERSION", "1")
        .replace("TIMEOUT", "20000")
        .replace("PLACES", "2")
        .replace(
            "LIST",
            &include_str!("model.txt")
                .trim()
                .replace("NAME", "m1")
                .replace("ADAPTERS", "4"),
        );
    if !deployment.publish(&document) {
        return Outcome::NotRun("the config was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry machine was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    // An engine is added, as `scale_out` does; the leader asks it for its state.
    let engine = Server::start_with(
        "i-engine-1",
        "engines",
        "zone-1",
        &servers_ip,
        Duration::from_millis(20),
        deployment.controls(),
        record,
        &["m1"],
    );
    engine.add_adapter("m1", "a1");
    engine.add_adapter("m1", "a2");
    if has_trouble {
        engine.send_copy();
    }
    let mut waited = Duration::ZERO;
    while engine.answers() == 0 && waited < Duration::from_secs(4) {
        thread::sleep(Duration::from_millis(20));
        waited += Duration::from_millis(20);
    }
    thread::sleep(Duration::from_millis(200));
    let callers = deployment.entries[0].callers();
    let start = |item: &str, id: String, events: u64| {
        let (item, record) = (item.to_owned(), record.clone());
        thread::spawn(move || receive(callers, &item, &id, events, &record))
    };
    let long = [
        start("m1/a1", "long-1".to_owned(), LONG),
        start("m1/a2", "long-2".to_owned(), LONG),
    ];
    let short: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let record = record.clone();
            thread::spawn(move || {
                let numbers = (consumer..REQUESTS).step_by(CONSUMERS);
                let served = numbers.filter(|number| {
                    receive(callers, "m1", &format!("short-{number}"), SHORT, &record)
                });
                served.count()
            })
        })
        .collect();
    thread::sleep(ASK);
    let other = start("m1/a3", "other-1".to_owned(), SHORT);
    let served: usize = short
        .into_iter()
        .map(|consumer| consumer.join().unwrap_or(0))
        .sum();
    let is_served = other.join().unwrap_or(false);
    let complete = long
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .filter(|is_complete| *is_complete)
        .count();
    record.line(&format!(
        "{served} of {REQUESTS} short requests served; the other adapter was served: {is_served}; {complete} of 2 long streams complete; the engine has given {} answers",
        engine.answers()
    ));
    let is_overloaded = engine.is_overloaded();
    engine.exit();
    if is_overloaded {
        return Outcome::Broken;
    }
    if complete < 2 || served < REQUESTS {
        return Outcome::NotRun("the engine did not serve what it was asked for".to_owned());
    }
    Outcome::Held
}

/// Sends a request, reads its stream, and returns whether it was complete.
fn receive(callers: SocketAddr, item: &str, id: &str, events: u64, record: &Record) -> bool {
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 15000\r\n{}: {item}\r\n{}: 715,{}\r\n{}: a1:172,{:x}:543\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}",
        name("request"),
        name("deadline"),
        name("model"),
        name("tokens"),
        events * EVENT_TOKENS,
        name("prompt"),
        id.len() * 1000 + events as usize
    );
    let mut last = 0;
    let mut status = 0;
    let mut is_complete = false;
    if let Some(mut connection) = wire::connect(callers, Duration::from_secs(16))
        && connection.get_mut().write_all(head.as_bytes()).is_ok()
    {
        let mut line = String::new();
        while connection.read_line(&mut line).is_ok_and(|read| read > 0) {
            if status == 0 {
                status = line
                    .split(' ')
                    .nth(1)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(1);
            }
            if let Some(event) = line.strip_prefix("id: ") {
                last = event.trim().parse().unwrap_or(0);
            }
            if line == "0\r\n" && last == events {
                is_complete = true;
                break;
            }
            line.clear();
        }
    }
    record.line(&format!(
        "{id}: {status}, {last} of {events} events, complete: {is_complete}"
    ));
    is_complete
}
