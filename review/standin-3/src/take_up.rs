//! Streams that their clients take up again at another entry instance.
//!
//! All servers have one version throughout. The clients' channels break in the middle of their streams, and each comes back
//! at the other entry instance with the last event that it has.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    record::Record,
    server::{Behaviour, Server},
    site::{CONFIG, Machine, Site},
    stream::{Received, head, play},
};

/// What the clients send, and which processes are killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Clients don't name the request that began their stream. One process of the core is killed.
    Unnamed,
    /// Clients name it. The entry instance that carries their streams and all processes of the core are killed at once.
    Named,
}

/// Streams that are taken up again, and as many new ones beside them.
const STREAMS: usize = 20;

/// Number of events that the servers send, and the number after which the channels break.
const EVENTS: u64 = 47;
const BREAK: u64 = 8;

/// Time without a disruption after which the machines are in touch: `contact-ms`, and `catch-up-s` after it.
const CALM: Duration = Duration::from_millis(7500);

/// Time that a client waits for its stream in all.
const BUDGET: Duration = Duration::from_secs(12);

/// Plays a stream for each client at the same time.
fn play_all(
    address: SocketAddr,
    stop_at: Option<u64>,
    head_of: impl Fn(usize) -> Option<String> + Send + Sync + 'static,
) -> Vec<Received> {
    let head_of = Arc::new(head_of);
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            let head_of = Arc::clone(&head_of);
            thread::spawn(move || {
                let head = head_of(number);
                head.map_or_else(Received::default, |head| play(address, &head, stop_at))
            })
        })
        .collect();
    let results = threads.into_iter().map(|thread| thread.join());
    results.map(Result::unwrap_or_default).collect()
}

pub fn run(kind: Kind, has_trouble: bool, record: &Record) -> Verdict {
    let machine = Machine {
        memory_mb: 260,
        descriptors: 4200,
    };
    let mut site = Site::start(3, 4, machine);
    let started = Instant::now();
    let servers: Vec<Server> = (1..=3)
        .map(|number| {
            let behaviour = Behaviour {
                events: EVENTS,
                pause: Duration::from_millis(50),
                ..Behaviour::default()
            };
            Server::start(
                &format!("i-{number}"),
                "engines",
                site.controls(),
                behaviour,
            )
        })
        .collect();
    if !site.publish(CONFIG) || !site.wait_ready() || !site.wait_servers(servers.len()) {
        return Verdict::Failed;
    }
    // Longer than any stream lasts, so that nothing from before the start matters.
    thread::sleep(Duration::from_secs(40).saturating_sub(started.elapsed()));
    if kind == Kind::Unnamed && has_trouble {
        record.line("one process of the core is killed, and starts again after a second");
        site.kill_core(0);
        thread::sleep(Duration::from_secs(1));
        site.start_core(0);
    }
    thread::sleep(CALM);
    record.line("the clients begin their streams at the first entry instance");
    let begun_at = Instant::now();
    let begun = {
        let address = site.callers(0);
        play_all(address, Some(BREAK), |number| {
            Some(head(&format!("begin-{number}"), BUDGET, 0, None))
        })
    };
    let count = begun.iter().filter(|stream| stream.last >= BREAK).count();
    record.line(&format!(
        "{count} channels broke after event {BREAK} or later"
    ));
    if count < STREAMS {
        return Verdict::Failed;
    }
    if kind == Kind::Named {
        let cores = if has_trouble { 0..3 } else { 0..0 };
        site.kill_entry(0);
        cores.clone().for_each(|core| site.kill_core(core));
        record.line(&format!(
            "the first entry instance and {} processes of the core are killed at once",
            cores.len()
        ));
        thread::sleep(Duration::from_millis(500));
        cores.for_each(|core| site.start_core(core));
        site.start_entry(0);
        // The clients have some of their time budget of 12 s left.
        thread::sleep(CALM);
    }
    let left = BUDGET.saturating_sub(begun_at.elapsed());
    record.line(&format!(
        "the clients come back at another entry instance, with {left:?} left"
    ));
    let lasts: Vec<u64> = begun.iter().map(|stream| stream.last).collect();
    let address = site.callers(1);
    let fresh = thread::spawn(move || {
        play_all(address, Some(BREAK), |number| {
            Some(head(&format!("new-{number}"), BUDGET, 0, None))
        })
    });
    let taken = play_all(address, None, move |number| {
        let resumes = format!("begin-{number}");
        let resumes = Some(resumes.as_str()).filter(|_| kind == Kind::Named);
        Some(head(
            &format!("again-{number}"),
            left,
            lasts[number],
            resumes,
        ))
    });
    let fresh = fresh.join().unwrap_or_default();
    for (number, stream) in taken.iter().enumerate() {
        let runs: u32 = servers
            .iter()
            .map(|server| server.runs(&format!("again-{number}")))
            .sum();
        record.line(&format!(
            "again-{number}: status {}, last event {}, complete: {}, ran {runs} times",
            stream.status, stream.last, stream.is_complete
        ));
    }
    let went_on = taken.iter().filter(|stream| stream.last > BREAK).count();
    let began = fresh.iter().filter(|stream| stream.last > 0).count();
    record.line(&format!(
        "of {STREAMS} streams that clients took up again {went_on} went on, of {STREAMS} new ones {began} began"
    ));
    if began * 2 < STREAMS {
        return Verdict::Failed;
    }
    Verdict::of(went_on * 2 < began)
}
