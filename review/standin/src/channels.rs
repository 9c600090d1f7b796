//! Many consumers open channels at an entry machine and keep them.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Addresses, Deployment, GROWN_ENTRY_FILES},
    record::Record,
    server::Server,
    wire::{self, name},
};

/// Channels that consumers keep at one machine, usually and in the burst, which has 1.7 times as many.
const USUAL: usize = 1700;
const BURST: usize = 2890;

/// Open files that this program and the entry process need.
const FILES: usize = 4300;

/// Threads that open them.
const OPENERS: usize = 16;

/// Consumers that try to open a channel meanwhile. The rule needs seven.
const TRIERS: usize = 10;

/// Time for which they try, and the time after which the rule is broken (`contact-ms`).
const TRIAL: Duration = Duration::from_millis(5500);
const CONTACT: Duration = Duration::from_millis(4000);

const PAUSE: Duration = Duration::from_millis(250);

type Channel = BufReader<TcpStream>;

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let limit = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let limit = limit
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))
        .and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    if limit.is_some_and(|limit| limit < FILES) {
        return Outcome::NotRun(format!("{FILES} files may not be opened"));
    }
    let mut addresses = Addresses::new();
    let servers_ip = addresses.take();
    let deployment = Deployment::start_with(root, record, &mut addresses, 1, GROWN_ENTRY_FILES);
    let document = include_str!("document.txt")
        .trim()
        .replace("VERSION", "1")
        .replace("TIMEOUT", "3000");
    if !deployment.publish(&document) {
        return Outcome::NotRun("the config was not acknowledged".to_owned());
    }
    let _servers: Vec<Server> = (1..=4)
        .map(|number| {
            Server::start(
                &format!("i-server-{number}"),
                "ledger",
                &format!("zone-{number}"),
                &servers_ip,
                Duration::from_millis(5),
                deployment.controls(),
                record,
            )
        })
        .collect();
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry machine was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let entry = &deployment.entries[0];
    let callers = entry.callers();
    let count = if has_trouble { BURST } else { USUAL };
    let kept = open(callers, count, record);
    record.line(&format!(
        "{} of {count} consumers keep a channel",
        kept.len()
    ));
    let taken = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let triers: Vec<_> = (0..TRIERS)
        .map(|number| {
            let (record, taken) = (record.clone(), Arc::clone(&taken));
            thread::spawn(move || {
                let mut tries = 0;
                while start.elapsed() < TRIAL {
                    tries += 1;
                    let id = format!("new-{number}-{tries}");
                    let answer = wire::connect(callers, Duration::from_secs(1))
                        .and_then(|mut channel| ask(&mut channel, &id));
                    record.line(&format!("{id}: {}", answer.unwrap_or(0)));
                    if answer.is_some() {
                        taken.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let mut ready_since: Option<Instant> = None;
    let mut ready_for = Duration::ZERO;
    while start.elapsed() < TRIAL {
        if deployment.is_ready(0) {
            let since = *ready_since.get_or_insert_with(Instant::now);
            ready_for = ready_for.max(since.elapsed());
        } else {
            ready_since = None;
        }
        thread::sleep(PAUSE);
    }
    for trier in triers {
        // A trier only waits for the machine.
        let _ = trier.join();
    }
    let taken = taken.load(Ordering::SeqCst);
    record.line(&format!(
        "the machine said that it was ready for {:.1} s; {taken} new channels of {TRIERS} consumers were taken",
        ready_for.as_secs_f64()
    ));
    drop(kept);
    if taken == 0 && ready_for >= CONTACT {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Opens channels, sends a request on each, and returns those on which it was answered.
fn open(callers: SocketAddr, count: usize, record: &Record) -> Vec<Channel> {
    let openers: Vec<_> = (0..OPENERS)
        .map(|opener| {
            let record = record.clone();
            thread::spawn(move || {
                let mut kept = Vec::new();
                for number in (opener..count).step_by(OPENERS) {
                    let id = format!("kept-{number}");
                    let Some(mut channel) = wire::connect(callers, Duration::from_secs(4)) else {
                        record.line(&format!("{id}: no channel"));
                        continue;
                    };
                    match ask(&mut channel, &id) {
                        Some(200) => kept.push(channel),
                        status => record.line(&format!("{id}: {}", status.unwrap_or(0))),
                    }
                }
                kept
            })
        })
        .collect();
    openers
        .into_iter()
        .flat_map(|opener| opener.join().unwrap_or_default())
        .collect()
}

/// Sends a request and returns the status of the answer, or `None` if the channel ended without one.
fn ask(channel: &mut Channel, id: &str) -> Option<u16> {
    let head = format!(
        "GET /check/stock HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 3000",
        name("request"),
        name("deadline")
    );
    wire::exchange(channel, &head, b"").map(|answer| answer.status())
}
