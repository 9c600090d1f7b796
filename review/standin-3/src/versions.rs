//! Streams while the servers are upgraded in place, one after the other.
//!
//! A server starts again under its id with another version of its software, as in a rolling upgrade of a service. What two
//! versions write doesn't fit together, and servers don't check it.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    record::Record,
    server::{Behaviour, Server},
    site::{CONFIG, Machine, Site},
    stream::{Received, head, play},
};

/// Streams that run during the upgrade.
const STREAMS: usize = 20;

/// Time between the restarts of two servers, and time for which each is down.
const GAP: Duration = Duration::from_millis(1500);
const DOWN: Duration = Duration::from_millis(300);

/// Time by which the first announcement of a server that was upgraded is late.
const LATE: Duration = Duration::from_millis(2500);

/// Time that a client waits for its stream in all.
const BUDGET: Duration = Duration::from_secs(12);

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let machine = Machine {
        memory_mb: 260,
        descriptors: 4200,
    };
    let site = Site::start(3, 1, machine);
    let servers: Vec<Server> = (1..=2)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, "engines", site.controls(), Behaviour::default())
        })
        .collect();
    if !site.publish(CONFIG) || !site.wait_ready() || !site.wait_servers(servers.len()) {
        return Verdict::Failed;
    }
    let address = site.callers(0);
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let head = head(&format!("stream-{number}"), BUDGET, 0, None);
            thread::spawn(move || play(address, &head, None))
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let delay = if has_trouble { LATE } else { Duration::ZERO };
    for server in &servers {
        record.line(&format!(
            "{} is stopped, and starts again with v2",
            server.id
        ));
        server.crash();
        thread::sleep(DOWN);
        server.begin_life("v2", delay);
        thread::sleep(GAP - DOWN);
    }
    let results = streams.into_iter().map(|stream| stream.join());
    let received: Vec<Received> = results.map(Result::unwrap_or_default).collect();
    for (number, stream) in received.iter().enumerate() {
        let id = format!("stream-{number}");
        let ran: Vec<u32> = servers.iter().map(|server| server.runs(&id)).collect();
        record.line(&format!("{id}: {stream:?}, runs at the servers {ran:?}"));
    }
    let begun = received.iter().filter(|stream| stream.last > 0).count();
    let mixed = received
        .iter()
        .filter(|stream| stream.versions.len() > 1)
        .count();
    record.line(&format!(
        "{begun} streams began, {mixed} hold events of two versions"
    ));
    if begun < STREAMS {
        return Verdict::Failed;
    }
    Verdict::of(mixed > 2)
}
