//! Many consumers send large bodies at once, each within the limits of the config.

use std::{
    fs,
    io::Write,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Addresses, Deployment},
    record::Record,
    server::Server,
    wire::{self, name},
};

/// Memory of an entry machine in bytes (`memory-mb`, read as MiB).
const MEMORY: u64 = 260 << 20;

/// Size of a large body in bytes. The config allows 4,194,304.
const BODY: usize = 4_000_000;

/// Large requests at once at an entry machine, usually and in the burst, which is 1.7 times as many.
const USUAL: usize = 24;
const BURST: usize = 41;

/// Time in which a large body is sent. All of the burst together stay under the machine's 1,000 Mbit/s.
const UPLOAD: Duration = Duration::from_millis(3000);

/// Pieces in which it is sent.
const PIECES: usize = 40;

/// Consumers with kept channels and small requests.
const KEPT: usize = 24;

/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(300);

/// Channels without an answer, after their request was passed on, that the rule allows.
const ALLOWED: usize = 3;

#[derive(Default)]
struct Counts {
    // Ids of requests on kept channels that got no answer.
    cut: Mutex<Vec<String>>,
    served: AtomicUsize,
    uploads_served: AtomicUsize,
    is_over: AtomicBool,
}

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let mut addresses = Addresses::new();
    let servers_ip = addresses.take();
    let mut deployment = Deployment::start(root, record, &mut addresses, 1);
    let document = include_str!("document.txt")
        .trim()
        .replace("VERSION", "1")
        .replace("TIMEOUT", "12000");
    if !deployment.publish(&document) {
        return Outcome::NotRun("the config was not acknowledged".to_owned());
    }
    let servers: Vec<Server> = (1..=6)
        .map(|number| {
            Server::start(
                &format!("i-server-{number}"),
                "ledger",
                &format!("zone-{}", number % 4 + 1),
                &servers_ip,
                WORK,
                deployment.controls(),
                record,
            )
        })
        .collect();
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry machine was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let callers = deployment.entries[0].callers();
    let counts = Arc::new(Counts::default());
    let mut tasks = Vec::new();
    for number in 0..KEPT {
        let (counts, record) = (Arc::clone(&counts), record.clone());
        tasks.push(thread::spawn(move || {
            keep_sending(callers, number, &counts, &record);
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let uploads = if has_trouble { BURST } else { USUAL };
    record.line(&format!(
        "{uploads} consumers begin to send {BODY} bytes each"
    ));
    for number in 0..uploads {
        let counts = Arc::clone(&counts);
        tasks.push(thread::spawn(move || {
            if upload(callers, number).is_some_and(|status| status == 200) {
                counts.uploads_served.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    let kills = watch(&mut deployment, record, Duration::from_secs(10));
    counts.is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        // A consumer that panicked has sent nothing more.
        let _ = task.join();
    }
    let ran: Vec<String> = servers
        .iter()
        .flat_map(Server::runs)
        .map(|run| run.request)
        .collect();
    let cut = counts.cut.lock().map(|cut| cut.clone()).unwrap_or_default();
    let lost: Vec<&String> = cut.iter().filter(|id| ran.contains(id)).collect();
    for id in &lost {
        record.line(&format!(
            "{id} was passed on to a server, and its kept channel ended without an answer"
        ));
    }
    record.line(&format!(
        "{} small and {} of {uploads} large requests served, {kills} ends of the process, {} requests lost",
        counts.served.load(Ordering::SeqCst),
        counts.uploads_served.load(Ordering::SeqCst),
        lost.len()
    ));
    if counts.served.load(Ordering::SeqCst) < KEPT {
        return Outcome::NotRun("the small requests were not served".to_owned());
    }
    if lost.len() > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Ends and restarts an entry process that uses more memory than its machine has, as the platform does. Returns how
/// often it did.
fn watch(deployment: &mut Deployment, record: &Record, time: Duration) -> usize {
    let start = Instant::now();
    let (mut kills, mut peak) = (0, 0);
    while start.elapsed() < time {
        let entry = &mut deployment.entries[0];
        let used = entry.pid().map_or(0, resident);
        peak = peak.max(used);
        if used > MEMORY {
            record.line(&format!(
                "{} uses {} MB, more than its memory; the platform kills it",
                entry.name,
                used >> 20
            ));
            entry.kill();
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            deployment.start_machine(false, 0);
        } else if !entry.is_running() {
            record.line(&format!("{} ended by itself", entry.name));
            entry.kill();
            deployment.start_machine(false, 0);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!("largest memory: {} MB", peak >> 20));
    kills
}

/// Returns the memory of a process in bytes.
fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}

/// Sends small requests on a kept channel until the play is over.
fn keep_sending(callers: std::net::SocketAddr, number: usize, counts: &Counts, record: &Record) {
    let mut count = 0;
    while !counts.is_over.load(Ordering::SeqCst) {
        let Some(mut connection) = wire::connect(callers, Duration::from_secs(13)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !counts.is_over.load(Ordering::SeqCst) {
            count += 1;
            let id = format!("small-{number}-{count}");
            let head = head("/confirm/small", &id);
            let Some(answer) = wire::exchange(&mut connection, &head, b"{}") else {
                record.line(&format!("{id}: the channel ended without an answer"));
                if let Ok(mut cut) = counts.cut.lock() {
                    cut.push(id);
                }
                break;
            };
            if answer.status() == 200 {
                counts.served.fetch_add(1, Ordering::SeqCst);
            } else {
                record.line(&format!("{id}: {}", answer.status()));
                break;
            }
        }
    }
}

fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 12000",
        name("request"),
        name("deadline")
    )
}

/// Sends one large request and returns the status of its answer.
fn upload(callers: std::net::SocketAddr, number: usize) -> Option<u16> {
    let mut connection = wire::connect(callers, Duration::from_secs(13))?;
    let head = head("/confirm/large", &format!("large-{number}"));
    let head = format!("{head}\r\nContent-Length: {BODY}\r\n\r\n");
    connection.get_mut().write_all(head.as_bytes()).ok()?;
    let piece = vec![b'x'; BODY / PIECES];
    let start = Instant::now();
    for sent in 0..PIECES {
        connection.get_mut().write_all(&piece).ok()?;
        let due = UPLOAD * (sent as u32 + 1) / PIECES as u32;
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    wire::read(&mut connection).map(|answer| answer.status())
}
