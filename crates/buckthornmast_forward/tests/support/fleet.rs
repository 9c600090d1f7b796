//! A forwarder with a server for callers, before scripted targets on loopback.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_fleet::prelude::*;
use buckthornmast_forward::{
    forwarder::Forwarder,
    mapping::{
        Answer, Generation, Head, Load, Malformed, Mapping, PromptPart, RequestId, TargetHeaders,
    },
    server::{Bounds, Server},
    state::{RetryBounds, State},
    supply::{Availability, Item, Permit, PermitRequest, Supply, Usage},
};
use buckthornmast_limit::{
    account,
    statement::{Report, Statement},
};
use buckthornmast_origin::{
    inquiry::{Finding, Question},
    record::Record,
};
use buckthornmast_quarantine::{ledger::Evidence, part::Set};
use buckthornmast_quota::credit::Claim;
use buckthornmast_routes::{
    document::{Document, Kind, Limits, Pool, Route, Service},
    register::Revision,
};
use buckthornmast_types::{id, rate::Rate, size::Bytes as Size, time::Clock, time::System};
use http::{HeaderMap, StatusCode, request, response};
use smallvec::SmallVec;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{AbortHandle, LocalSet},
    time::sleep,
};

/// Header with the parts of a prompt, as numbers that are separated by commas.
const PARTS: &str = "x-parts";

/// Header with the id of the request that is answered, if it isn't the request that was sent, or nothing.
const ID: &str = "x-id";

/// Header with the limit that a target states, in requests a second.
const LIMIT: &str = "x-limit";

/// Header with the time for which a target wants no request, in seconds.
const PAUSE: &str = "x-pause";

/// Header of a target that leaves.
const LEAVING: &str = "x-leaving";

/// Header with the number of running requests of a target.
const LOAD: &str = "x-load";

/// Step of a target while it answers one request.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Sends bytes.
    Send(String),
    /// Does nothing for some time.
    Pause(Duration),
    /// Sends nothing more until the caller closes the connection.
    Hang,
    /// Sends bytes over and over, with a pause after each time, until the caller closes the connection.
    Flood(String, Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection, and all others of this target, and stops to listen.
    Crash,
}

/// Returns the steps for a request with this head.
pub(crate) type Script = fn(&str) -> Vec<Step>;

/// Returns the head of a stream that ends with its connection.
pub(crate) fn stream_head() -> Step {
    Step::Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_owned())
}

/// Returns the head of an answer that is not a stream, with the given length or, without one, its connection as its end.
pub(crate) fn whole_head(status: u16, length: Option<usize>) -> Step {
    let length = length.map(|length| format!("Content-Length: {length}\r\n"));
    let length = length.unwrap_or_default();
    Step::Send(format!("HTTP/1.1 {status} Status\r\n{length}\r\n"))
}

/// Returns bytes of an answer.
pub(crate) fn bytes(text: &str) -> Step {
    Step::Send(text.to_owned())
}

/// Returns the answer of a target that doesn't run the request.
pub(crate) fn refusal() -> Step {
    Step::Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned())
}

/// Returns an event.
pub(crate) fn event(number: u64) -> Step {
    Step::Send(format!("id: {number}\ndata: e{number}\n\n"))
}

/// What the targets do and saw.
#[derive(Debug, Default)]
pub(crate) struct Play {
    /// Steps for the next requests in the order of their arrival, at whichever target they arrive.
    pub(crate) scripts: RefCell<VecDeque<Vec<Step>>>,
    /// Steps for requests without a script of their own, by their heads.
    pub(crate) answer: Cell<Option<Script>>,
    /// Heads of the requests that arrived.
    pub(crate) requests: RefCell<Vec<String>>,
    /// Number of connections that were closed while a target was sending without end, or was to send nothing more.
    pub(crate) closed: Cell<usize>,
}

#[derive(Debug)]
pub(crate) struct Headers;

impl Mapping for Headers {
    fn decode(&self, head: &request::Parts) -> Result<Head, Malformed> {
        let header = |name| head.headers.get(name)?.to_str().ok();
        let parts = header(PARTS).map(|parts| {
            let parts = parts.split(',').map(|id| PromptPart {
                id: id.parse().unwrap(),
                tokens: 10,
            });
            parts.collect::<SmallVec<[PromptPart; 4]>>()
        });
        Ok(Head {
            request: RequestId("r1".into()),
            deadline: None,
            last_event: None,
            resumes: None,
            generation: parts.map(|parts| Generation {
                model: "m1".parse().unwrap(),
                adapter: None,
                prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
                answer_tokens: 10,
                parts,
            }),
        })
    }

    fn encode(&self, headers: &mut HeaderMap, target_headers: &TargetHeaders<'_>) {
        if let Some(last) = target_headers.last_event {
            headers.insert("x-after", last.into());
        }
    }

    fn decode_answer(&self, head: &response::Parts) -> Answer {
        let number = |name| head.headers.get(name)?.to_str().unwrap().parse().ok();
        let id = head.headers.get(ID).map_or("r1", |id| id.to_str().unwrap());
        Answer {
            request: Some(id).filter(|id| !id.is_empty()).map(Into::into),
            is_stamped: true,
            is_refusal: head.status == StatusCode::SERVICE_UNAVAILABLE,
            is_leaving: head.headers.contains_key(LEAVING),
            pause: number(PAUSE).map(|seconds: u32| Duration::from_secs(seconds.into())),
            load: number(LOAD).map(|running| Load {
                running,
                waiting: 0,
                ..Load::default()
            }),
            limit: head
                .headers
                .get(LIMIT)
                .map_or(Statement::Unlimited, |limit| {
                    Statement::Limited(limit.to_str().unwrap().parse().unwrap())
                }),
            ..Answer::default()
        }
    }
}

/// Leader that grants no permits.
#[derive(Debug, Default)]
pub(crate) struct NoPermits {
    /// Answer to all requests for grants. Without one, the leader can't be reached.
    pub(crate) grant: RefCell<Option<account::Answer>>,
    /// Reports about limits.
    pub(crate) reports: RefCell<Vec<Report>>,
}

impl Supply for NoPermits {
    async fn request_copy(&self, _: Item) -> Availability {
        Availability::No
    }

    fn record_demand(&self, _: &Item) {}

    fn report_down(&self, _: &id::Target, _: id::Incarnation) {}

    async fn request_permit(&self, _: PermitRequest) -> Permit {
        Permit::Unknown
    }

    async fn request_grant(&self, _: account::Request) -> Option<account::Answer> {
        self.grant.borrow().clone()
    }

    fn report_limit(&self, report: Report) {
        self.reports.borrow_mut().push(report);
    }

    fn claim_credit(&self, _: Claim) {}

    fn report_crash(&self, _: &Evidence) {}

    fn report_progress(&self, _: &Set) {}

    fn report_origin(&self, _: Record) {}

    async fn find_origin(&self, _: Question) -> Finding {
        Finding::Nowhere
    }

    fn report_usage(&self, _: &Item, _: Usage) {}
}

/// Route of the tests: a resumable stream whose callers wait 2.4 s for each event.
pub(crate) fn route() -> Route {
    Route {
        name: "chat".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream {
            resumable: true,
            gap: Duration::from_millis(300),
        },
        services: vec![("engines".parse().unwrap(), 1)],
        timeout: Duration::from_secs(12),
        objective: Duration::from_millis(300),
        attempts: 3,
        priority: 1,
        affinity: false,
        is_public: false,
    }
}

fn document(route: Route) -> Document {
    let pool = Pool {
        slots: 8,
        memory: Size(1000),
        adapters: 4,
        loads: Rate::per_second(1.0).unwrap(),
        cache_tokens: 1000,
        models: BTreeMap::new(),
    };
    let service = Service {
        name: "engines".parse().unwrap(),
        connections: 100,
        pool: Some(pool),
    };
    Document {
        version: Revision(1),
        routes: vec![route],
        services: BTreeMap::from([(service.name.clone(), service)]),
        limits: Limits {
            head: 16 << 10,
            body: 1 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        organisations: Vec::new(),
    }
}

/// Forwarder with its server and targets.
pub(crate) struct Fleet {
    /// Forwarder.
    pub(crate) forwarder: Rc<Forwarder<Headers, NoPermits>>,
    /// What the targets do and saw.
    pub(crate) play: Rc<Play>,
    /// Address for callers.
    pub(crate) address: SocketAddr,
    targets: Vec<AbortHandle>,
    _server: Server,
}

impl Fleet {
    /// Starts a fleet of `targets` targets.
    pub(crate) async fn start(route: Route, targets: u64) -> Self {
        let play = Rc::new(Play::default());
        let clock = System::start();
        let mut state = State::new(RetryBounds {
            ratio: 0.2,
            burst: 50.0,
            window: Duration::from_secs(10),
        });
        assert!(state.set_routes(document(route)));
        let mut tasks = Vec::new();
        for number in 0..targets {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let task = tokio::task::spawn_local(serve_target(listener, Rc::clone(&play)));
            tasks.push(task.abort_handle());
            let update = Update {
                announcement: announcement(number, address),
                withdrawn: false,
            };
            state.change_targets(|registry| {
                registry.merge(update, Duration::ZERO, clock.now());
                true
            });
        }
        let forwarder = Rc::new(Forwarder {
            mapping: Headers,
            supply: NoPermits::default(),
            clock,
            instance: "entry-1".parse().unwrap(),
            domain: "d1".parse().unwrap(),
            state: Rc::new(RefCell::new(state)),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bounds = Bounds {
            connections: 100,
            idle: Duration::from_secs(60),
        };
        let server = Server::start(listener, bounds, Rc::clone(&forwarder));
        Self {
            forwarder,
            play,
            address,
            targets: tasks,
            _server: server,
        }
    }

    /// Ends a target, which then refuses connections.
    pub(crate) async fn stop_target(&self, number: usize) {
        self.targets[number].abort();
        // The task drops its listener when it runs next.
        tokio::task::yield_now().await;
    }

    /// Adds the steps for the next request that arrives at a target.
    pub(crate) fn script(&self, steps: impl IntoIterator<Item = Step>) {
        let steps = steps.into_iter().collect();
        self.play.scripts.borrow_mut().push_back(steps);
    }

    /// Sends a request.
    pub(crate) async fn send(&self, parts: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let request =
            format!("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{PARTS}: {parts}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    /// Sends a request and returns all bytes of the answer.
    pub(crate) async fn call(&self, parts: &str) -> String {
        let mut stream = self.send(parts).await;
        let mut answer = Vec::new();
        // A reset connection leaves the answer as it is.
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8(answer).unwrap()
    }

    /// Waits until the connections of this many targets that had more to send, or hung, are closed.
    pub(crate) async fn wait_closed(&self, connections: usize) {
        while self.play.closed.get() < connections {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the number of requests that arrived at targets.
    pub(crate) fn arrived(&self) -> usize {
        self.play.requests.borrow().len()
    }
}

fn announcement(number: u64, address: SocketAddr) -> Announcement {
    Announcement {
        target: format!("t{number}").parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence: 1,
        service: "engines".parse().unwrap(),
        address,
        domain: "d1".parse().unwrap(),
        slots: 8,
        state: buckthornmast_fleet::announcement::State::Ready,
        cold: Duration::ZERO,
        resident: vec![Resident {
            model: "m1".parse().unwrap(),
            adapters: Vec::new(),
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        version: "v1".parse().ok(),
    }
}

/// Serves a target until it crashes.
async fn serve_target(listener: TcpListener, play: Rc<Play>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn_local(serve_connection(stream, Rc::clone(&play)));
            }
            Some(Ok(true)) = connections.join_next() => return,
        }
    }
}

/// Serves a connection. Returns whether the target crashes.
async fn serve_connection(mut stream: TcpStream, play: Rc<Play>) -> bool {
    // A crash resets connections. Without a reset, the end of a connection is the regular end of an answer.
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(char::from(byte)),
            Err(_) => return false,
        }
    }
    let script = play.scripts.borrow_mut().pop_front();
    let script = script.or_else(|| play.answer.get().map(|answer| answer(&head)));
    play.requests.borrow_mut().push(head);
    for step in script.expect("there is a script for each request") {
        match step {
            Step::Send(bytes) => {
                if stream.write_all(bytes.as_bytes()).await.is_err() {
                    return false;
                }
            }
            Step::Pause(pause) => sleep(pause).await,
            Step::Hang => {
                let _ = stream.read_u8().await;
                play.closed.set(play.closed.get() + 1);
                return false;
            }
            Step::Flood(bytes, pause) => {
                while stream.write_all(bytes.as_bytes()).await.is_ok() {
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
                play.closed.set(play.closed.get() + 1);
                return false;
            }
            Step::Reset => return false,
            Step::Crash => return true,
        }
    }
    // The end of the connection ends the answer.
    let _ = stream.shutdown().await;
    let _ = stream.read_u8().await;
    false
}

/// Runs a test on one thread.
pub(crate) fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(LocalSet::new().run_until(test));
}
