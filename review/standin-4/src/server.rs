//! Stand-in for a sound server of a plain service. It announces itself, runs each request for a set time and answers.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, TcpListener, TcpStream},
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    lab::{ANNOUNCEMENT, name},
};

const PORT: u16 = 8240;

/// Words in an event.
const WORDS: usize = 20;

/// Requests that a server has begun to run, and those of them whose answer it has written.
#[derive(Default)]
pub struct Runs {
    pub begun: HashMap<String, u32>,
    pub answered: HashMap<String, u32>,
}

/// What a server does with a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Works for a time, and answers as a whole with so many bytes.
    Whole(Duration, usize),
    /// Answers with this number of events, each of which it writes in two pieces with a pause after each piece.
    Events(u32, Duration),
    /// Works for a time, and answers with so many bytes without a length, and with the end of the connection.
    Unframed(Duration, usize),
}

/// Server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    address: String,
    zone: String,
    slots: u32,
    work: Work,
    born: u128,
    pub runs: Arc<Mutex<Runs>>,
    running: Arc<AtomicU32>,
}

impl Server {
    /// Starts to listen and to announce itself at one of these addresses after the other.
    pub fn start(
        ip: &str,
        id: &str,
        zone: &str,
        slots: u32,
        work: Work,
        controls: Vec<String>,
    ) -> io::Result<Self> {
        let address = format!("{ip}:{PORT}");
        let listener = TcpListener::bind(&address)?;
        let server = Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            work,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis()),
            runs: Arc::default(),
            running: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    // A connection that fails concerns no other one.
                    let _ = server.serve(stream);
                });
            }
        });
        let announcing = server.clone();
        thread::spawn(move || {
            for sequence in 1_usize.. {
                let body = announcing.announcement(sequence);
                let path = format!("/instances/{}", announcing.id);
                let mut tried = (0..controls.len()).map(|next| &controls[(sequence + next) % controls.len()]);
                tried.any(|control| {
                    let answer = http::call(control, "PUT", &path, &body);
                    answer.is_ok_and(|answer| answer.status / 100 == 2)
                });
                thread::sleep(Duration::from_millis(1200));
            }
        });
        Ok(server)
    }

    fn announcement(&self, sequence: usize) -> String {
        let announcement = ANNOUNCEMENT
            .trim()
            .replace("@address", &self.address)
            .replace("@zone", &self.zone);
        let announcement = announcement
            .replace("@slots", &self.slots.to_string())
            .replace("@born", &self.born.to_string());
        announcement.replace("@sequence", &sequence.to_string())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let Some((_, headers)) = http::read_head(&mut reader)? else {
                return Ok(());
            };
            http::read_body(&mut reader, &headers)?;
            let find = |wanted: &str| {
                let found = headers
                    .iter()
                    .find(|(known, _)| known.eq_ignore_ascii_case(wanted));
                found.map(|(_, value)| value.clone())
            };
            let request = find(name("request")).unwrap_or_default();
            let is_other = find(name("expected")).is_some_and(|expected| expected != self.id);
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let status = if is_other {
                "421 Misdirected Request"
            } else if running >= self.slots {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let is_run = status.starts_with("200");
            let mut length = 0;
            if is_run {
                if let Ok(mut runs) = self.runs.lock() {
                    *runs.begun.entry(request.clone()).or_default() += 1;
                }
                match self.work {
                    Work::Whole(time, bytes) => {
                        thread::sleep(time);
                        length = bytes;
                    }
                    Work::Unframed(time, bytes) => {
                        thread::sleep(time);
                        self.running.fetch_sub(1, Ordering::SeqCst);
                        self.write_unframed(&mut writer, &request, bytes)?;
                        if let Ok(mut runs) = self.runs.lock() {
                            *runs.answered.entry(request).or_default() += 1;
                        }
                        return writer.shutdown(Shutdown::Write);
                    }
                    Work::Events(count, pause) => {
                        let after = find(name("last")).and_then(|last| last.parse().ok()).unwrap_or(0);
                        let written = self.write_events(&mut writer, &request, after + 1..=count, pause);
                        self.running.fetch_sub(1, Ordering::SeqCst);
                        written?;
                        if let Ok(mut runs) = self.runs.lock() {
                            *runs.answered.entry(request).or_default() += 1;
                        }
                        continue;
                    }
                }
            }
            let now = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
            let refusal = if is_run {
                String::new()
            } else {
                format!("{}: 1\r\n", name("refusal"))
            };
            let body = "x".repeat(length);
            let answer = format!(
                "HTTP/1.1 {status}\r\n{}: {request}\r\n{}: {}.{request}\r\n{}: {now},0,{}\r\n{refusal}Content-Length: {}\r\n\r\n{body}",
                name("request"),
                name("stamp"),
                self.id,
                name("load"),
                self.slots,
                body.len()
            );
            writer.write_all(answer.as_bytes())?;
            if is_run && let Ok(mut runs) = self.runs.lock() {
                *runs.answered.entry(request).or_default() += 1;
            }
        }
    }

    fn write_unframed(&self, writer: &mut TcpStream, request: &str, bytes: usize) -> io::Result<()> {
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {}.{request}\r\nConnection: close\r\n\r\n{}",
            name("request"),
            name("stamp"),
            self.id,
            "x".repeat(bytes)
        );
        writer.write_all(answer.as_bytes())
    }

    fn write_events(
        &self,
        writer: &mut TcpStream,
        request: &str,
        events: RangeInclusive<u32>,
        pause: Duration,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {}.{request}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            name("request"),
            name("stamp"),
            self.id
        );
        writer.write_all(head.as_bytes())?;
        let mut chunk = |text: &str| {
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(pause);
            Ok::<_, io::Error>(())
        };
        for number in events {
            let words = "word ".repeat(WORDS);
            chunk(&format!(
                "id: {number}\ndata: event {number} of {request}: {words}\n"
            ))?;
            chunk("\n")?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
