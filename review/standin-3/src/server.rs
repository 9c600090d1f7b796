//! Sound servers of a service.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    site::next_ip,
    wire::{call, name, read_body, read_head},
};

/// Pause between two announcements, as the settings of a deployment state it.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1200);

/// Requests that wait beside those that run, as a multiple of the slots.
const QUEUE: usize = 4;

/// How a server runs requests.
#[derive(Debug, Clone)]
pub struct Behaviour {
    pub slots: usize,
    /// Time of a request that is not a stream.
    pub work: Duration,
    /// Number of events of a stream, and the pause after each.
    pub events: u64,
    pub pause: Duration,
    /// Header lines that it adds to its answers.
    pub extra: String,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 64,
            work: Duration::from_millis(15),
            events: 47,
            pause: Duration::from_millis(100),
            extra: "Keep-Alive: timeout=15\r\n".to_owned(),
        }
    }
}

/// Server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    service: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    behaviour: Arc<Behaviour>,
    // Number of runs by request.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    running: Arc<AtomicUsize>,
    life: Arc<Mutex<Life>>,
}

/// Life from one start of the server to the next.
#[derive(Default)]
struct Life {
    number: u64,
    is_down: bool,
    version: &'static str,
    connections: Vec<TcpStream>,
}

impl Server {
    /// Starts a server that announces itself to the core.
    pub fn start(id: &str, service: &str, controls: Vec<SocketAddr>, behaviour: Behaviour) -> Self {
        let address: SocketAddr = SocketAddrV4::new(next_ip(), 8240).into();
        let listener = TcpListener::bind(address).expect("an address for a server");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            controls,
            behaviour: Arc::new(behaviour),
            runs: Arc::default(),
            running: Arc::default(),
            life: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut life = accepting.life();
                if life.is_down {
                    continue;
                }
                life.connections.extend(stream.try_clone());
                let version = life.version;
                drop(life);
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream, version));
            }
        });
        server.begin_life("v1", Duration::ZERO);
        server
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends all work at once, as in a crash.
    pub fn crash(&self) {
        let mut life = self.life();
        life.is_down = true;
        life.number += 1;
        for stream in life.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts under the same id, with this version of the software. Its first announcement arrives after `delay`.
    pub fn begin_life(&self, version: &'static str, delay: Duration) {
        let number = {
            let mut life = self.life();
            life.is_down = false;
            life.number += 1;
            life.version = version;
            life.number
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |time| time.as_millis());
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            for seq in 1.. {
                if server.life().number != number {
                    return;
                }
                server.announce(version, born, seq);
                thread::sleep(ANNOUNCEMENT_INTERVAL);
            }
        });
    }

    fn announce(&self, version: &str, born: u128, seq: usize) {
        let body = include_str!("../announcement.json")
            .replace("SERVICE", &self.service)
            .replace("ADDRESS", &self.address.to_string())
            .replace("VERSION", version)
            .replace("SLOTS", &self.behaviour.slots.to_string())
            .replace("BORN", &born.to_string())
            .replace("SEQ", &seq.to_string());
        let path = format!("/instances/{}", self.id);
        let controls = self.controls.iter().cycle().skip(seq);
        let mut controls = controls.take(self.controls.len());
        let _ = controls.any(|control| {
            let answer = call(*control, "PUT", &path, &body);
            answer.is_some_and(|answer| answer.status() / 100 == 2)
        });
    }

    /// Returns how often a request ran here.
    pub fn runs(&self, request: &str) -> u32 {
        let runs = self.runs.lock();
        runs.map_or(0, |runs| runs.get(request).copied().unwrap_or(0))
    }

    fn serve(&self, stream: TcpStream, version: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request);
            if !request.is_complete {
                return;
            }
            let id = request.header(name("request")).unwrap_or_default();
            let expected = request.header(name("expected"));
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let is_sent = if is_other {
                self.refuse(id, 421, &mut writer)
            } else if running >= self.behaviour.slots * (1 + QUEUE) {
                self.refuse(id, 503, &mut writer)
            } else {
                if let Ok(mut runs) = self.runs.lock() {
                    *runs.entry(id.to_owned()).or_default() += 1;
                }
                if request.path().starts_with("/chat/") {
                    let last = request.header(name("last-event"));
                    let last = last.and_then(|last| last.parse().ok()).unwrap_or(0);
                    self.stream(id, last, version, &mut writer)
                } else {
                    self.work(id, &mut writer)
                }
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_sent {
                return;
            }
        }
    }

    fn head(&self, id: &str, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\n{}: {id}\r\n{}: {},0,{}\r\n{}",
            name("request"),
            name("load"),
            self.running.load(Ordering::SeqCst),
            self.behaviour.slots,
            self.behaviour.extra,
        )
    }

    fn refuse(&self, id: &str, status: u16, writer: &mut TcpStream) -> bool {
        let head = self.head(id, &format!("{status} Refused"));
        let answer = format!("{head}{}: 1\r\nContent-Length: 0\r\n\r\n", name("not-run"));
        writer.write_all(answer.as_bytes()).is_ok()
    }

    fn work(&self, id: &str, writer: &mut TcpStream) -> bool {
        thread::sleep(self.behaviour.work);
        let head = self.head(id, "200 OK");
        let body = format!("done {id}\n");
        let answer = format!(
            "{head}{}: 3e1b.07.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            name("stamp"),
            body.len()
        );
        writer.write_all(answer.as_bytes()).is_ok()
    }

    /// Sends the events of a stream after the last one that the client has.
    fn stream(&self, id: &str, last: u64, version: &str, writer: &mut TcpStream) -> bool {
        let head = self.head(id, "200 OK");
        let head = format!(
            "{head}{}: 3e1b.07.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            name("stamp")
        );
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        for event in last + 1..=self.behaviour.events {
            let text = format!("id: {event}\ndata: piece {event} by {version}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_sent = is_sent && writer.write_all(chunk.as_bytes()).is_ok();
            if !is_sent {
                return false;
            }
            thread::sleep(self.behaviour.pause);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
