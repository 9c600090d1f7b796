//! Crowds of clients inside their limits, most of which stop short of the end of a body. The stand-in for the platform kills a
//! process that takes more memory than its machine has, and starts it again.

use std::{
    fs,
    io::{BufReader, ErrorKind, Read, Write},
    net::TcpStream,
    path::Path,
    sync::{Arc, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    lab::{Lab, Record, Role, name},
    server::{Server, Work},
};

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r","host":"a.example","path-prefix":"/p/","route-kind":"idempotent","timeout-ms":20000,"target-latency-ms":3000,"priority":1,"service":"s","max-attempts":2}],"services":[{"name":"s","health-path":"/healthz","max-conns":400,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Memory of the machine of an entry process: `memory-mb` of the site, 260 MB, taken as MiB.
const MEMORY_BYTES: u64 = 260 << 20;
/// Length of the run.
const LENGTH: Duration = Duration::from_secs(45);
/// Connections that a crowd keeps open.
const CROWD: usize = 2780;
/// Connections that a crowd opens a second, at most. Their bytes take less than two thirds of the link of the machine.
const CROWD_PER_SECOND: u64 = 1000;
/// Ends of a process in one day that the rule excuses on a machine.
const EXCUSED: usize = 2;
/// Pause until the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

/// Numbers that look random, the same in each run.
struct Numbers(u64);

impl Numbers {
    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        values[(self.0 >> 16) as usize % values.len()]
    }
}

/// Returns the head of a request, just below the largest that the document allows.
fn head() -> String {
    let mut head = format!(
        "POST /p/x HTTP/1.1\r\nHost: a.example\r\n{}: crowd\r\n{}: 20000\r\n",
        name("request"),
        name("deadline")
    );
    for number in 0..90 {
        head += &format!("X-{}-{number:02}: n\r\n", "note".repeat(40));
    }
    head
}

/// Returns a request whose body stops just short of its end, and its length.
fn request(head: &str, numbers: &mut Numbers) -> Vec<u8> {
    let is_chunked = numbers.pick(&[true, true, true, false]);
    if is_chunked {
        let chunk = numbers.pick(&[1750, 4000, 4000]);
        let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for _ in 0..4 {
            bytes.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
            bytes.resize(bytes.len() + chunk, b'x');
            bytes.extend_from_slice(b"\r\n");
        }
        return bytes;
    }
    let length: usize = numbers.pick(&[60_000, 120_000, 240_000]);
    let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length - 1, b'x');
    bytes
}

/// Connection of a crowd with what it has left to send.
struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

impl Caller {
    /// Sends as much as is taken. Returns whether the connection stays open: it was neither answered nor closed.
    fn advance(&mut self) -> bool {
        let most = self.bytes.len().min(self.sent + 200_000);
        if self.sent < most {
            match self.stream.write(&self.bytes[self.sent..most]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            if self.sent == self.bytes.len() {
                (self.bytes, self.sent) = (Vec::new(), 0);
            }
        }
        let read = self.stream.read(&mut [0; 512]);
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

fn crowd(address: &str, seed: u64, stop: &AtomicBool, opened: &AtomicU64) {
    let head = head();
    let mut numbers = Numbers(seed);
    let mut open: Vec<Caller> = Vec::new();
    let started = Instant::now();
    let mut tried = 0;
    while !stop.load(Ordering::Relaxed) {
        open.retain_mut(Caller::advance);
        let allowed = started.elapsed().as_millis() as u64 * CROWD_PER_SECOND / 1000;
        // What was not opened in time isn't made up for.
        tried = tried.max(allowed.saturating_sub(CROWD_PER_SECOND / 20));
        while tried < allowed && open.len() < CROWD {
            tried += 1;
            let Ok(stream) = http::connect(address, Duration::from_millis(100)) else {
                break;
            };
            if stream.set_nonblocking(true).is_ok() {
                opened.fetch_add(1, Ordering::Relaxed);
                open.push(Caller { stream, bytes: request(&head, &mut numbers), sent: 0 });
            }
        }
        sleep(Duration::from_millis(1));
    }
}

/// Sends ordinary requests, each on a connection of its own.
fn client(number: usize, address: &str, stop: &AtomicBool, answered: &AtomicU64) {
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let request = format!(
            "GET /p/x HTTP/1.1\r\nHost: a.example\r\n{}: c{number}-{sent}\r\n{}: 3000\r\nConnection: close\r\n\r\n",
            name("request"),
            name("deadline")
        );
        let answer = http::connect(address, Duration::from_secs(3)).and_then(|mut stream| {
            stream.write_all(request.as_bytes())?;
            http::read_answer(&mut BufReader::new(stream))
        });
        if answer.is_ok_and(|answer| answer.status == 200) {
            answered.fetch_add(1, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(200));
    }
}

/// Returns the resident memory of a process in bytes.
fn resident(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes << 10)
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let mut lab = Lab::new(root)?;
    let zones = ["z1", "z2", "z3"];
    let cores: Vec<usize> = zones.iter().map(|zone| lab.add(Role::Core, zone, true)).collect();
    lab.set_seeds(&cores);
    let entries = [lab.add(Role::Entry, "z1", true), lab.add(Role::Entry, "z2", true)];
    for node in cores.iter().chain(&entries) {
        lab.start(*node)?;
    }
    let started = Instant::now();
    while !http::call(&lab.nodes[cores[0]].control(), "PUT", "/config", DOCUMENT).is_ok_and(|answer| answer.status == 200) {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the config was not acknowledged".into());
        }
        sleep(Duration::from_millis(100));
    }
    let ip = lab.next_ip();
    let _server = Server::start(&ip, "i-1", "s", "z1", 50, Work::Whole(Duration::from_millis(20)), lab.controls())?;
    sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let (opened, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let address = lab.nodes[*entry].callers();
        let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
        threads.push(thread::spawn(move || client(number, &address, &stop, &answered)));
    }
    sleep(Duration::from_secs(2));
    if has_trouble {
        for (number, entry) in entries.iter().enumerate() {
            let address = lab.nodes[*entry].callers();
            let (stop, opened) = (Arc::clone(&stop), Arc::clone(&opened));
            let seed = 0x9e37_79b9 + number as u64;
            threads.push(thread::spawn(move || crowd(&address, seed, &stop, &opened)));
        }
        record.line("the crowds begin");
    }
    let mut ends = [0; 2];
    let mut peaks = [0; 2];
    let began = Instant::now();
    let mut next_line = Duration::ZERO;
    while began.elapsed() < LENGTH {
        for (number, entry) in entries.iter().enumerate() {
            let node = &mut lab.nodes[*entry];
            if node.has_ended() {
                record.line(&format!("{} has ended by itself", node.name));
                ends[number] += 1;
                node.kill();
                sleep(RESTART);
                lab.start(*entry)?;
                continue;
            }
            let taken = node.process().and_then(resident).unwrap_or(0);
            peaks[number] = peaks[number].max(taken);
            if taken > MEMORY_BYTES {
                record.line(&format!("{} takes {} MiB, which the platform ends it for", node.name, taken >> 20));
                ends[number] += 1;
                node.kill();
                sleep(RESTART);
                lab.start(*entry)?;
            }
        }
        if began.elapsed() >= next_line {
            next_line += Duration::from_secs(5);
            record.line(&format!(
                "ordinary requests answered: {}; connections of the crowds opened: {}; most memory taken: {} and {} MiB",
                answered.load(Ordering::Relaxed), opened.load(Ordering::Relaxed), peaks[0] >> 20, peaks[1] >> 20
            ));
        }
        sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let answered = answered.load(Ordering::Relaxed);
    record.say(&format!(
        "the two entry processes ended {} and {} times ({EXCUSED} excused on each), and took up to {} and {} MiB of {}; ordinary requests answered: {answered}",
        ends[0], ends[1], peaks[0] >> 20, peaks[1] >> 20, MEMORY_BYTES >> 20
    ));
    if !has_trouble && answered == 0 {
        return Err("no ordinary request was answered".into());
    }
    let is_broken = ends.iter().all(|ends| *ends > EXCUSED);
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
