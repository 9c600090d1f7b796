//! Stand-in for an engine of a plain service that announces itself and runs requests, as the platform's pages say.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Message, call_core, read_body, read_head},
    names::name,
    record::Record,
};

/// What an engine does with a request that it runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answers with a length.
    Sound,
    /// Answers without a length, and ends the answer with its channel.
    Unframed,
}

pub struct State {
    pub reply: Reply,
    pub work: Duration,
    pub body: Vec<u8>,
    /// Times and ids of the requests that were run.
    pub runs: Vec<(f64, String)>,
    /// Since when the engine is brittle, and how many refusals in a second it bears.
    pub brittle: Option<(f64, usize)>,
    /// Times of its refusals for want of room.
    pub refusals: Vec<f64>,
}

/// Time from the first statement that an engine is brittle until it lets no request wait.
const NOTICE_S: f64 = 3.0;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: String,
    pub service: String,
    pub record: Record,
    pub state: Arc<Mutex<State>>,
    pub slots: usize,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    acknowledged: Arc<AtomicU64>,
    is_silent: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
}

const PERIOD: Duration = Duration::from_millis(1200);

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        slots: usize,
        controls: Vec<String>,
        record: &Record,
    ) -> Self {
        let process = std::process::id();
        let mut listeners = (1..250u32).filter_map(|number| {
            let ip = format!("127.{}.{}.{number}", 20 + process % 200, 251);
            TcpListener::bind((ip.as_str(), 8240)).ok()
        });
        let listener = listeners.next().expect("no free address for an engine");
        Self::serve_at(listener, id, service, slots, controls, record)
    }

    /// Starts an engine at the address of one that has ended.
    pub fn restart(&self, id: &str, controls: Vec<String>) -> Option<Self> {
        let listener = TcpListener::bind(&self.address).ok()?;
        Some(Self::serve_at(
            listener,
            id,
            &self.service,
            self.slots,
            controls,
            &self.record,
        ))
    }

    fn serve_at(
        listener: TcpListener,
        id: &str,
        service: &str,
        slots: usize,
        controls: Vec<String>,
        record: &Record,
    ) -> Self {
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            service: service.to_owned(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                reply: Reply::Sound,
                work: Duration::from_millis(60),
                body: b"{\"done\":true}".to_vec(),
                runs: Vec::new(),
                brittle: None,
                refusals: Vec::new(),
            })),
            slots,
            running: Arc::default(),
            sequence: Arc::default(),
            acknowledged: Arc::default(),
            is_silent: Arc::default(),
            is_gone: Arc::default(),
        };
        let server = engine.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            // Dropping the listener refuses channels from then on.
            while !server.is_gone() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let pinger = engine.clone();
        thread::spawn(move || {
            let mut next = 0;
            while !pinger.is_gone.load(Ordering::SeqCst) {
                if !pinger.is_silent.load(Ordering::SeqCst) {
                    let body = pinger.ping("ready");
                    for _ in 0..controls.len() {
                        if pinger.call(&controls[next], "PUT", &body) == 200 {
                            pinger.acknowledged.fetch_add(1, Ordering::SeqCst);
                            break;
                        }
                        next = (next + 1) % controls.len();
                    }
                }
                thread::sleep(PERIOD);
            }
        });
        engine
    }

    /// Returns the body of the next ping.
    pub fn ping(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold = name("cold");
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"muc-nord","version":"v1","slots":{},"state":"{state}","{cold}":0,"seq":{sequence}}}"#,
            self.service, self.address, self.slots
        )
    }

    /// Ends the regular pings, so that the caller sends the next ones.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    pub fn call(&self, control: &str, method: &str, body: &str) -> u16 {
        let path = format!("/instances/{}", self.id);
        call_core(control, method, &path, body).map_or(0, |answer| answer.status())
    }

    /// Tells the core that this engine leaves, one instance after the other, and returns the time of the acknowledgement.
    pub fn leave(&self, controls: &[String], method: &str) -> Option<f64> {
        self.silence();
        for _ in 0..5 {
            let body = if method == "PUT" {
                self.ping("draining")
            } else {
                String::new()
            };
            for control in controls {
                let status = self.call(control, method, &body);
                self.record.line(format!(
                    "{} {method} {body} at {control}: {status}",
                    self.id
                ));
                if status / 100 == 2 {
                    return Some(self.record.now());
                }
            }
        }
        None
    }

    /// Returns the number of pings that the core has acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<(f64, String)> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns whether this engine has fallen over.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst)
    }

    /// Records a refusal for want of room, after which a brittle engine may fall over.
    fn record_refusal(&self) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        state.refusals.push(now);
        let recent = state.refusals.iter().filter(|at| now - **at < 1.0).count();
        let falls = state
            .brittle
            .is_some_and(|(since, most)| now >= since + NOTICE_S && recent > most);
        if falls && !self.is_gone.swap(true, Ordering::SeqCst) {
            self.record.line(format!(
                "{} falls over after {recent} refusals in a second",
                self.id
            ));
        }
    }

    pub fn set_reply(&self, reply: Reply) {
        self.state.lock().unwrap().reply = reply;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() || !request.is_complete {
                return;
            }
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request and returns whether the channel stays open.
    fn answer(&self, request: &Message, out: &mut TcpStream) -> bool {
        let id = request.header(name("id")).unwrap_or("").to_owned();
        let common = format!(
            "{}: {id}\r\n{}: {}\r\n",
            name("id"),
            name("instance"),
            self.id
        );
        let refused = format!("{}: 1\r\nContent-Length: 0\r\n", name("refused"));
        let expected = request.header(name("expect")).unwrap_or("");
        if !expected.is_empty() && expected != self.id {
            return write(
                out,
                &format!("HTTP/1.1 421 Misdirected Request\r\n{common}{refused}\r\n"),
            );
        }
        if id.is_empty() {
            return write(
                out,
                &format!("HTTP/1.1 400 Bad Request\r\n{common}{refused}\r\n"),
            );
        }
        let brittle = self.state.lock().unwrap().brittle;
        let stated = brittle.map_or_else(String::new, |(_, most)| {
            format!("{}: {most}\r\n", name("brittle"))
        });
        let common = format!("{common}{stated}");
        let waits = brittle.is_none_or(|(since, _)| self.record.now() < since + NOTICE_S);
        let room = if waits { self.slots * 5 } else { self.slots };
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        if running >= room {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record_refusal();
            return !self.is_gone()
                && write(
                    out,
                    &format!("HTTP/1.1 503 Service Unavailable\r\n{common}{refused}\r\n"),
                );
        }
        let (reply, work, body) = {
            let mut state = self.state.lock().unwrap();
            state.runs.push((self.record.now(), id.clone()));
            (state.reply.clone(), state.work, state.body.clone())
        };
        self.record.line(format!(
            "{} runs {id} ({} {})",
            self.id,
            request.method(),
            request.path()
        ));
        thread::sleep(work);
        if self.is_gone() {
            self.record.line(format!("{id} ended with {}", self.id));
            return false;
        }
        let load = format!(
            "{}: {},0,{}\r\n",
            name("load"),
            running.min(self.slots),
            self.slots
        );
        let stamp = format!(
            "{}: {}.{id}\r\nContent-Type: application/json\r\n",
            name("stamp"),
            self.id
        );
        let head = format!("HTTP/1.1 200 OK\r\n{common}{load}{stamp}");
        self.running.fetch_sub(1, Ordering::SeqCst);
        let length = body.len();
        let text = String::from_utf8_lossy(&body).into_owned();
        match reply {
            Reply::Sound => write(
                out,
                &format!("{head}Content-Length: {length}\r\n\r\n{text}"),
            ),
            Reply::Unframed => {
                write(out, &format!("{head}Connection: close\r\n\r\n{text}"));
                false
            }
        }
    }
}

fn write(out: &mut TcpStream, text: &str) -> bool {
    out.write_all(text.as_bytes()).is_ok()
}
