//! Memory of an entry instance under clients that aren't controlled.
//!
//! The clients send heads and bodies of legal size, stop one byte short of the end and stay open. An ordinary client sends
//! small requests beside them. The platform kills a process that takes more than the memory of its machine.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    record::Record,
    server::{Behaviour, Server},
    site::{CONFIG, Machine, Site, wait_for},
    wire::{Client, name},
};

/// `front` machines of Chợ Làng Việt.
pub const MACHINE: Machine = Machine {
    memory_mb: 112,
    descriptors: 2870,
};

/// Connections of the clients that aren't controlled, fewer than the process may have descriptors.
const CROWD: usize = 1900;

/// Header lines of their requests. A head has some 14,500 bytes, and the config allows 16,384.
const HEADERS: usize = 90;
const VALUE_BYTES: usize = 150;

/// Bytes of a body. The config allows 4,194,304.
const BODY_BYTES: usize = 16 << 10;

/// Longest time for which the clients come.
const STAY: Duration = Duration::from_secs(40);

/// Returns a number from the status of a process, in bytes.
fn status_bytes(pid: u32, key: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let digits = line.unwrap_or_default().trim().trim_end_matches(" kB");
    digits.parse::<usize>().unwrap_or(0) << 10
}

/// Sends an ordinary request on a connection of its own.
pub fn ordinary(address: SocketAddr, id: &str) -> Option<u16> {
    let mut client = Client::connect(address, Duration::from_secs(5))?;
    let request = format!(
        "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 3000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
        name("request"),
        name("deadline")
    );
    client.send(request.as_bytes());
    Some(client.receive()?.status())
}

/// Opens a connection whose request stops one byte short of its end.
fn open_unfinished(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut request = format!(
        "POST /slow/x HTTP/1.1\r\nHost: shop.example\r\n{}: crowd-{number}\r\n{}: 20000\r\n",
        name("request"),
        name("deadline")
    );
    for header in 0..HEADERS {
        request.push_str(&format!("X-{header}: {}\r\n", "v".repeat(VALUE_BYTES)));
    }
    request.push_str(&format!("Content-Length: {BODY_BYTES}\r\n\r\n"));
    request.push_str(&"x".repeat(BODY_BYTES - 1));
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_write_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Entry instances whose clients aren't controlled, and how often the process of each may end.
const ENTRIES: usize = 2;
const MAX_ENDS: u32 = 3;

/// What a thread saw at one entry instance.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    ends: u32,
    requests: u32,
    served: u32,
    peak: usize,
}

/// Plays the clients of one entry instance, and the platform that kills its process and starts it again.
fn play(site: &Mutex<Site>, entry: usize, has_trouble: bool, record: &Record) -> Seen {
    // The larger reading of a megabyte. Pages of files, such as those of the program, are left out.
    let limit = MACHINE.memory_mb << 20;
    let address = lock(site).callers(entry);
    let mut seen = Seen::default();
    let mut crowd: Vec<TcpStream> = Vec::new();
    let mut opened = 0;
    let start = Instant::now();
    while start.elapsed() < STAY && seen.ends < MAX_ENDS {
        let pid = lock(site).entry_pid(entry);
        if has_trouble && opened < CROWD {
            crowd.extend((0..100).filter_map(|more| open_unfinished(address, opened + more)));
            opened += 100;
        } else {
            thread::sleep(Duration::from_millis(300));
        }
        let bytes = status_bytes(pid, "RssAnon:");
        seen.peak = seen.peak.max(bytes);
        seen.requests += 1;
        let answer = ordinary(address, &format!("ordinary-{entry}-{}", seen.requests));
        seen.served += u32::from(answer == Some(200));
        record.line(&format!(
            "entry {entry}: {} unfinished requests sent, {bytes} bytes, ordinary request answered with {answer:?}",
            crowd.len()
        ));
        let has_ended = lock(site).entry_end(entry).is_some();
        if bytes > limit || has_ended {
            seen.ends += 1;
            record.line(&format!(
                "entry {entry}: {bytes} bytes are more than the {limit} of the machine; the platform kills the process and starts it again"
            ));
            lock(site).kill_entry(entry);
            crowd.clear();
            opened = 0;
            thread::sleep(Duration::from_secs(1));
            lock(site).start_entry(entry);
            wait_for(Duration::from_secs(10), || {
                ordinary(address, "after") == Some(200)
            });
        }
    }
    seen
}

fn lock(site: &Mutex<Site>) -> MutexGuard<'_, Site> {
    site.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let site = Site::start(3, ENTRIES, MACHINE);
    let _server = Server::start("i-1", "ledger", site.controls(), Behaviour::default());
    if !site.publish(CONFIG) || !site.wait_ready() || !site.wait_servers(1) {
        return Verdict::Failed;
    }
    if (0..ENTRIES).any(|entry| ordinary(site.callers(entry), "first") != Some(200)) {
        return Verdict::Failed;
    }
    let site = Mutex::new(site);
    let seen: Vec<Seen> = thread::scope(|scope| {
        let site = &site;
        let threads: Vec<_> = (0..ENTRIES)
            .map(|entry| scope.spawn(move || play(site, entry, has_trouble, record)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results.map(Result::unwrap_or_default).collect()
    });
    for (entry, seen) in seen.iter().enumerate() {
        record.line(&format!("entry {entry}: {seen:?}"));
    }
    let over = seen.iter().filter(|seen| seen.ends >= MAX_ENDS).count();
    record.line(&format!(
        "{over} of {ENTRIES} entry instances ended {MAX_ENDS} times for want of memory"
    ));
    Verdict::of(over >= 2)
}
