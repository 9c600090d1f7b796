//! Stand-in for a server of a plain service, or for a model engine.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    record::Record,
    wire::{self, Message, name},
};

/// Interval of announcements.
const HEARTBEAT: Duration = Duration::from_millis(1200);

const ANNOUNCEMENT: &str = include_str!("announcement.txt");

const REPORT: &str = include_str!("report.txt");

/// Tokens that fit into the memory of an engine.
const CAPACITY: u64 = 81_962;

/// Models that fit into it.
const MAX_MODELS: usize = 2;

/// Time of a load from the weight store.
const LOAD_TIME: Duration = Duration::from_millis(4200);

/// Adapters that fit into it, those that are being unloaded included, and the time of a load.
const ADAPTER_PLACES: usize = 2;
const ADAPTER_TIME: Duration = Duration::from_millis(6);

/// Tokens in an event of a stream, and the pause between two events.
pub const EVENT_TOKENS: u64 = 6;
pub const EVENT_PAUSE: Duration = Duration::from_millis(31);

/// Models of an engine and its orders.
#[derive(Default)]
struct Engine {
    models: Vec<String>,
    // Adapters by model, those on their way from the store, and those that are unloaded once no request uses them.
    adapters: Vec<(String, String)>,
    coming: Vec<(String, String)>,
    leaving: Vec<(String, String)>,
    // Adapters of the requests in progress.
    used: Vec<(String, String)>,
    is_overloaded: bool,
    accepted: u64,
    fence: u64,
    is_busy: bool,
}

/// Request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub at: f64,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    slots: usize,
    // Time that a request takes.
    work: Duration,
    record: Record,
    sequence: AtomicU64,
    is_pinging: AtomicBool,
    // Whether its answers say that it leaves.
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    running: AtomicU64,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    engine: Mutex<Engine>,
    // Whether the answer to the next report is sent a second time, before the next answer on its connection.
    sends_copy: AtomicBool,
    answers: AtomicU64,
}

/// Returns the models as announcements and reports list them.
fn list(engine: &Engine) -> String {
    let models: Vec<String> = engine
        .models
        .iter()
        .map(|model| {
            let adapters = engine.adapters.iter().filter(|(of, _)| of == model);
            let adapters: Vec<String> = adapters
                .map(|(_, adapter)| format!("\"{adapter}\""))
                .collect();
            format!(
                r#"{{"name":"{model}","version":1,"adapters":[{}]}}"#,
                adapters.join(",")
            )
        })
        .collect();
    models.join(",")
}

/// Returns the text of a field of a flat JSON object.
fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let value = body[at..].trim_start();
    let end = value.find([',', '}']).unwrap_or(value.len());
    Some(value[..end].trim().trim_matches('"'))
}

/// Stand-in server. It runs until it is stopped.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server that announces itself to the control addresses.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        work: Duration,
        controls: Vec<SocketAddr>,
        record: &Record,
    ) -> Self {
        Self::start_with(id, service, zone, ip, work, controls, record, &[])
    }

    /// Starts a model engine that has some models from the beginning.
    #[allow(clippy::too_many_arguments, reason = "all differ between cases")]
    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        work: Duration,
        controls: Vec<SocketAddr>,
        record: &Record,
        models: &[&str],
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Self(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots: if models.is_empty() { 6 } else { 24 },
            work,
            record: record.clone(),
            sequence: AtomicU64::new(0),
            is_pinging: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            running: AtomicU64::new(0),
            runs: Mutex::default(),
            connections: Mutex::default(),
            engine: Mutex::new(Engine {
                models: models.iter().map(|model| (*model).to_owned()).collect(),
                ..Engine::default()
            }),
            sends_copy: AtomicBool::new(false),
            answers: AtomicU64::new(0),
        }));
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let pinging = server.clone();
        thread::spawn(move || pinging.ping(&controls));
        server
    }

    /// Adds an adapter that the engine has from the beginning.
    pub fn add_adapter(&self, model: &str, adapter: &str) {
        let place = (model.to_owned(), adapter.to_owned());
        self.engine().adapters.push(place);
    }

    /// Sends the answer to the next report a second time, late: before the next answer on its connection.
    pub fn send_copy(&self) {
        self.0.sends_copy.store(true, Ordering::SeqCst);
    }

    /// Returns whether the engine was ordered to load more than it holds.
    pub fn is_overloaded(&self) -> bool {
        self.engine().is_overloaded
    }

    /// Returns the number of requests, reports and orders that the server has answered.
    pub fn answers(&self) -> u64 {
        self.0.answers.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.0.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_gone(&self) -> bool {
        self.0.is_gone.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while !self.is_gone() {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a connection");
                    if let (Ok(mut known), Ok(copy)) =
                        (self.0.connections.lock(), stream.try_clone())
                    {
                        known.push(copy);
                    }
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    /// Announces the server until it leaves, to one control address after the other if a call fails.
    fn ping(&self, controls: &[SocketAddr]) {
        let mut at = self.0.address.port() as usize % controls.len();
        while self.0.is_pinging.load(Ordering::SeqCst) && !self.is_gone() {
            for _ in 0..controls.len() {
                if self.announce(controls[at], "ready") == 200 {
                    break;
                }
                at = (at + 1) % controls.len();
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Announces the server once and returns the status of the answer, or 0 without one.
    pub fn announce(&self, control: SocketAddr, state: &str) -> u16 {
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = ANNOUNCEMENT
            .trim()
            .replace("SERVICE", &self.0.service)
            .replace("ADDRESS", &self.0.address.to_string())
            .replace("ZONE", &self.0.zone)
            .replace("SLOTS", &self.0.slots.to_string())
            .replace("STATE", state)
            .replace("MODELS", &list(&self.engine()))
            .replace("SEQUENCE", &sequence.to_string());
        let path = format!("{}{}", name("instances"), self.0.id);
        let answer = wire::call(control, "PUT", &path, &body);
        answer.map_or(0, |answer| answer.status())
    }

    /// Stops announcing the server.
    pub fn stop_pings(&self) {
        self.0.is_pinging.store(false, Ordering::SeqCst);
    }

    /// Says with all further answers that the server leaves.
    pub fn set_leaving(&self) {
        self.0.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Withdraws the server with one call and returns the status of the answer, or 0 without one.
    pub fn withdraw(&self, control: SocketAddr) -> u16 {
        let path = format!("{}{}", name("instances"), self.0.id);
        let answer = wire::call(control, "DELETE", &path, "");
        answer.map_or(0, |answer| answer.status())
    }

    /// Ends the server with everything that it runs.
    pub fn exit(&self) {
        self.0.is_gone.store(true, Ordering::SeqCst);
        if let Ok(connections) = self.0.connections.lock() {
            for connection in connections.iter() {
                // The peer may have closed it already.
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        self.0.record.line(&format!("{} exits", self.0.id));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0
            .runs
            .lock()
            .map_or_else(|_| Vec::new(), |runs| runs.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        // Answer that is sent again before the next one.
        let mut copy: Option<String> = None;
        while let Some(request) = wire::read(&mut reader) {
            if self.is_gone() {
                return;
            }
            if let Some(copy) = copy.take() {
                self.0.record.line(&format!(
                    "{} sends the answer to a report again, before that to {}",
                    self.0.id, request.line
                ));
                if writer.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let is_report = request.path() == "/report";
            if is_report && self.0.sends_copy.swap(false, Ordering::SeqCst) {
                copy = Some(answer_text(200, &self.keep_alive(), &self.report()));
            }
            self.0.answers.fetch_add(1, Ordering::SeqCst);
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request and returns whether the connection stays open.
    fn answer(&self, request: &Message, out: &mut TcpStream) -> bool {
        let id = request.header(name("request")).to_owned();
        let expected = request.header(name("expected"));
        let leaving = if self.0.is_leaving.load(Ordering::SeqCst) {
            format!("{}: 1\r\n", name("leaving"))
        } else {
            String::new()
        };
        if !expected.is_empty() && expected != self.0.id {
            let headers = format!("{}: {id}\r\n{}: 1\r\n", name("request"), name("refusal"));
            return respond(out, 421, &headers, "");
        }
        if request.path() == "/report" {
            return respond(
                out,
                200,
                &format!("{}{leaving}", self.keep_alive()),
                &self.report(),
            );
        }
        if request.path() == "/order" {
            let status = self.order(&String::from_utf8_lossy(&request.body));
            if self.is_gone() {
                return false;
            }
            return respond(out, status, &format!("{}{leaving}", self.keep_alive()), "");
        }
        if id.is_empty() {
            return respond(out, 400, &format!("{}: 1\r\n", name("refusal")), "");
        }
        let item = request.header(name("model"));
        let (model, adapter) = item.split_once('/').unwrap_or((item, ""));
        let place = (model.to_owned(), adapter.to_owned());
        if !model.is_empty() {
            let refusal = format!(
                "{}: {id}\r\n{}: 1\r\n{leaving}",
                name("request"),
                name("refusal")
            );
            let engine = self.engine();
            let has_adapter = adapter.is_empty() || engine.adapters.contains(&place);
            if !engine.models.iter().any(|known| known == model) || !has_adapter {
                return respond(out, 421, &refusal, "");
            }
            if engine.leaving.contains(&place) {
                return respond(out, 503, &refusal, "");
            }
            drop(engine);
            let tokens: u64 = request
                .header(name("tokens"))
                .split(',')
                .filter_map(|part| part.trim().parse::<u64>().ok())
                .sum();
            if tokens > CAPACITY {
                // As if the engine were full.
                self.0
                    .record
                    .line(&format!("{} rejects {id}: {tokens} tokens", self.0.id));
                return respond(out, 503, &refusal, "");
            }
        }
        let run = Run {
            request: id.clone(),
            at: self.0.record.seconds(),
        };
        if let Ok(mut runs) = self.0.runs.lock() {
            runs.push(run);
        }
        self.0.record.line(&format!("{} runs {id}", self.0.id));
        let running = self.0.running.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(self.0.work);
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone() {
            return false;
        }
        let headers = format!(
            "{}: {id}\r\n{}: {}.{id}\r\n{}: {running},0,{}\r\n{leaving}",
            name("request"),
            name("stamp"),
            self.0.id,
            name("load"),
            self.0.slots
        );
        if model.is_empty() {
            return respond(out, 200, &headers, &format!("done {id}"));
        }
        self.engine().used.push(place.clone());
        let is_kept = self.stream(request, &headers, out);
        let mut engine = self.engine();
        if let Some(at) = engine.used.iter().position(|used| *used == place) {
            engine.used.remove(at);
        }
        if !engine.used.contains(&place) && engine.leaving.contains(&place) {
            engine.leaving.retain(|leaving| *leaving != place);
            engine.adapters.retain(|known| *known != place);
        }
        is_kept
    }

    fn report(&self) -> String {
        let engine = self.engine();
        REPORT
            .trim()
            .replace("MODELS", &list(&engine))
            .replace("BUSY", &engine.is_busy.to_string())
            .replace("SEQUENCE", &engine.accepted.to_string())
            .replace(
                "RUNNING",
                &self.0.running.load(Ordering::SeqCst).to_string(),
            )
            .replace("CAPACITY", &CAPACITY.to_string())
    }

    /// Returns the header with the time after which an idle connection is closed.
    fn keep_alive(&self) -> String {
        "Keep-Alive: timeout=10\r\n".to_owned()
    }

    /// Takes an order for an adapter and returns the status of the answer.
    fn order_adapter(&self, engine: &mut Engine, op: &str, place: (String, String)) -> u16 {
        let has = engine.adapters.contains(&place) || engine.coming.contains(&place);
        if has == (op == "load") && !engine.leaving.contains(&place) {
            return 200;
        }
        if !engine.models.contains(&place.0) {
            return 400;
        }
        engine.accepted += 1;
        if op == "load" {
            let taken = engine.adapters.len() + engine.coming.len();
            if taken >= ADAPTER_PLACES {
                engine.is_overloaded = true;
                self.0.record.line(&format!(
                    "{} is ordered to load {}/{} while {taken} adapters take its {ADAPTER_PLACES} places, and crashes",
                    self.0.id, place.0, place.1
                ));
                return 0;
            }
            engine.coming.push(place.clone());
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(ADAPTER_TIME);
                let mut engine = server.engine();
                engine.coming.retain(|coming| *coming != place);
                engine.adapters.push(place);
            });
            return 202;
        }
        if engine.used.contains(&place) {
            engine.leaving.push(place);
            return 202;
        }
        engine.adapters.retain(|known| *known != place);
        200
    }

    /// Answers with a stream of events.
    fn stream(&self, request: &Message, headers: &str, out: &mut TcpStream) -> bool {
        let last: u64 = request.header(name("lastevent")).parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let tokens = request.header(name("tokens")).split(',').nth(1);
        let tokens: u64 = tokens
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0);
        for number in last + 1..=(tokens / EVENT_TOKENS).max(1) {
            let event = format!("id: {number}\ndata: word{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.is_gone() || out.write_all(chunk.as_bytes()).is_err() {
                let id = request.header(name("request"));
                self.0.record.line(&format!(
                    "{}: {id} was cut off before event {number}",
                    self.0.id
                ));
                return false;
            }
            thread::sleep(EVENT_PAUSE);
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Takes an order and returns the status of the answer.
    fn order(&self, body: &str) -> u16 {
        let (Some(op), Some(model), Some(fence)) = (
            field(body, "op"),
            field(body, "model"),
            field(body, "fence"),
        ) else {
            return 400;
        };
        let fence: u64 = fence.parse().unwrap_or(0);
        let expected = field(body, "expected").and_then(|text| text.parse::<u64>().ok());
        let mut engine = self.engine();
        if fence < engine.fence {
            return 412;
        }
        engine.fence = fence;
        if engine.is_busy || expected.is_some_and(|expected| expected != engine.accepted) {
            return 409;
        }
        if let Some(adapter) = field(body, "adapter") {
            let status =
                self.order_adapter(&mut engine, op, (model.to_owned(), adapter.to_owned()));
            drop(engine);
            self.0.record.line(&format!(
                "{} is ordered: {op} {model}/{adapter}: {status}",
                self.0.id
            ));
            if status == 0 {
                self.exit();
            }
            return status;
        }
        let has_model = engine.models.iter().any(|known| known == model);
        if has_model == (op == "load") {
            return 200;
        }
        engine.accepted += 1;
        engine.is_busy = true;
        let number = engine.models.len();
        drop(engine);
        self.0
            .record
            .line(&format!("{} accepts an order: {op} {model}", self.0.id));
        let (server, op, model) = (self.clone(), op.to_owned(), model.to_owned());
        thread::spawn(move || {
            if op == "load" {
                if number >= MAX_MODELS {
                    server.0.record.line("more models than an engine holds");
                    return server.exit();
                }
                thread::sleep(LOAD_TIME);
                server.engine().models.push(model);
            } else {
                while server.0.running.load(Ordering::SeqCst) > 0 {
                    thread::sleep(Duration::from_millis(5));
                }
                server.engine().models.retain(|known| *known != model);
            }
            server.engine().is_busy = false;
        });
        202
    }
}

fn answer_text(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn respond(out: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    out.write_all(answer_text(status, headers, body).as_bytes())
        .is_ok()
}
