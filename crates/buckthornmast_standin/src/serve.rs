//! HTTP interface of the stand-ins.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use buckthornmast_http::{
    exchange::{Exchange, Stream},
    problem::Problem,
    response::Response,
    server::{self, Config, Handle},
};
use buckthornmast_target::{
    cache::{EXPORT_PATH, Export, Exported, IMPORT_PATH},
    work::{Chunk, Event, Finish, Work},
};
use buckthornmast_types::{
    cache::Prefix,
    id,
    order::{Order, Reply},
    report::{Load, Report},
    size::Bytes,
    time::{Clock, Point, System},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::{
    announce::{self, Reporter},
    cache::ImportError,
    engine::{self, Engine},
    flags::{Standin as Flags, duration_or},
    plain::Plain,
    publish::{self, Publisher},
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reason why a stand-in could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address is not available.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP server could not be started.
    #[snafu(context(false), display("{source}"))]
    Serve {
        /// Cause.
        source: server::StartError,
    },
    /// A thread that sends reports or cache events could not be started.
    #[snafu(display("a thread for reports or cache events can't be started: {source}"))]
    Announce {
        /// Cause.
        source: std::io::Error,
    },
}

struct Shared {
    flags: Flags,
    clock: System,
    engine: Mutex<Engine>,
    plain: Mutex<Plain>,
    /// Load samples, oldest first, from which delayed loads are reported.
    load_samples: Mutex<Vec<(Point, Load)>>,
    /// Decides which orders are lost.
    loss_rng: Mutex<SmallRng>,
    /// Cancelled attempts, oldest first. Beyond 10,000 the oldest 5,000 are dropped to bound the memory.
    cancelled: Mutex<Vec<(id::Request, id::Attempt)>>,
    /// Time of the start in milliseconds since the Unix epoch.
    incarnation: id::Incarnation,
}

/// Running stand-in.
pub struct Standin {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: Handle,
    reporter: Reporter,
    publisher: Publisher,
}

/// Locks a mutex. The data of a stand-in stays usable after a panic of another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Standin {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks the target as leaving and reports it.
    pub fn leave(&self) {
        lock(&self.shared.engine).leave(self.shared.clock.now());
        self.reporter.wake();
    }

    /// Ends the requests in progress, stops the reports and the cache events, and joins all threads.
    pub fn stop(mut self) {
        self.server.stop();
        self.reporter.stop();
        self.publisher.stop();
    }
}

/// Starts a stand-in.
pub fn start(flags: Flags) -> Result<Standin, StartError> {
    let listener = TcpListener::bind(flags.listen).context(ListenSnafu {
        address: flags.listen,
    })?;
    let address = listener.local_addr().context(ListenSnafu {
        address: flags.listen,
    })?;
    let shared = Arc::new(new_shared(flags));
    let config = Config {
        name: "standin".to_owned(),
        max_exchanges: 2048,
        ..Config::default()
    };
    let server = server::start(listener, config, {
        let shared = Arc::clone(&shared);
        move |exchange| handle(&shared, exchange)
    })?;
    let reporter = announce::start(shared.flags.report_to.clone(), {
        let shared = Arc::clone(&shared);
        move |sequence| report(&shared, address, sequence)
    })
    .context(AnnounceSnafu)?;
    let publisher = publish_events(&shared).context(AnnounceSnafu)?;
    Ok(Standin {
        address,
        shared,
        server,
        reporter,
        publisher,
    })
}

fn publish_events(shared: &Arc<Shared>) -> std::io::Result<Publisher> {
    let flags = &shared.flags;
    let config = publish::Config {
        target: flags.name.clone(),
        incarnation: shared.incarnation,
        instances: flags.report_to.clone(),
        loss_ratio: flags.lose_cache_events.unwrap_or(0.0),
        // The losses of orders use a seed of their own.
        seed: flags.seed.unwrap_or(1).wrapping_add(1),
    };
    let delay = duration_or(flags.cache_event_delay, Duration::ZERO);
    let shared = Arc::clone(shared);
    publish::start(config, move |max| {
        let now = shared.clock.now();
        if now.since(Point::ZERO) < delay {
            return Vec::new();
        }
        lock(&shared.engine)
            .cache()
            .take_events(now - delay, now, max)
    })
}

fn new_shared(flags: Flags) -> Shared {
    let engine = Engine::new(engine::Config {
        memory: flags.memory.unwrap_or(Bytes::gib(80)),
        slots: flags.slots.unwrap_or(32),
        token_gap: duration_or(flags.token_gap, Duration::from_millis(20)),
        prompt_time: duration_or(flags.prompt_time, Duration::from_millis(20)),
        cache_memory: flags.cache_memory.unwrap_or(Bytes::gib(4)),
        message_memory: flags.message_memory.unwrap_or(Bytes::mib(64)),
        load_rate: flags.load_rate.unwrap_or(Bytes::gib(20)),
        has_fencing: !flags.ignore_fencing,
    });
    Shared {
        clock: System::start(),
        engine: Mutex::new(engine),
        plain: Mutex::default(),
        load_samples: Mutex::default(),
        loss_rng: Mutex::new(SmallRng::seed_from_u64(flags.seed.unwrap_or(1))),
        cancelled: Mutex::default(),
        incarnation: id::Incarnation(buckthornmast_types::time::unix_millis()),
        flags,
    }
}

/// Returns the load as it was before the configured lag, or the oldest sample if none is old enough.
fn lagging_load(shared: &Shared, now: Point) -> Load {
    let mut samples = lock(&shared.load_samples);
    samples.push((now, lock(&shared.engine).current_load()));
    let lag = duration_or(shared.flags.load_lag, Duration::ZERO);
    let old = samples
        .iter()
        .rposition(|(at, _)| now.since(*at) >= lag)
        .unwrap_or(0);
    samples.drain(..old);
    samples.first().map(|(_, load)| *load).unwrap_or_default()
}

fn report(shared: &Shared, address: SocketAddr, sequence: u64) -> Report {
    let now = shared.clock.now();
    let load = lagging_load(shared, now);
    let mut engine = lock(&shared.engine);
    engine.advance(now);
    let flags = &shared.flags;
    let (accelerators, memory) = if flags.plain {
        (0, Bytes::ZERO)
    } else {
        (flags.accelerators.unwrap_or(1), engine.memory())
    };
    Report {
        target: flags.name.clone(),
        domain: flags.domain.clone(),
        kind: flags.kind.clone(),
        service: flags.service.clone(),
        address,
        incarnation: shared.incarnation,
        sequence,
        is_leaving: engine.is_leaving(),
        accelerators,
        memory,
        copies: engine.copies(),
        token: engine.token(),
        load,
    }
}

fn respond(exchange: Exchange, response: impl Into<Response>) {
    if let Err(error) = exchange.respond(response) {
        log::debug!(step = "respond"; "the answer was not sent: {error}");
    }
}

fn is_allowed(shared: &Shared, exchange: &Exchange) -> bool {
    let Some(token) = &shared.flags.access_token else {
        return true;
    };
    exchange.header("authorization") == Some(&format!("Bearer {token}"))
}

fn handle(shared: &Arc<Shared>, exchange: Exchange) {
    match (exchange.method(), exchange.path()) {
        ("GET", "/counters") => respond(exchange, Response::json(200, counters(shared))),
        ("POST", "/leave") => {
            lock(&shared.engine).leave(shared.clock.now());
            respond(exchange, Response::json(200, "{}"));
        }
        _ if shared.flags.plain => call(shared, exchange),
        _ if !is_allowed(shared, &exchange) => {
            respond(exchange, Problem::new(403, "access denied", "access"));
        }
        ("POST", "/v1/orders") => order(shared, exchange),
        ("POST", "/v1/generate") => generate(shared, exchange),
        ("POST", "/v1/cancel") => cancel(shared, exchange),
        ("POST", EXPORT_PATH) => export(shared, exchange),
        ("POST", IMPORT_PATH) => import(shared, exchange),
        _ => respond(exchange, Problem::new(404, "no such path", "route")),
    }
}

fn counters(shared: &Shared) -> String {
    let engine = lock(&shared.engine);
    let plain = lock(&shared.plain);
    json!({
        "engine": engine.counters(),
        "used": engine.used(),
        "running": engine.current_load().running,
        "started": shared.incarnation,
        "plain": &*plain,
        "repeated": plain.repeated_keys(),
    })
    .to_string()
}

fn call(shared: &Shared, exchange: Exchange) {
    let key = exchange
        .header("idempotency-key")
        .unwrap_or_default()
        .to_owned();
    let number = lock(&shared.plain).run(&key);
    thread::sleep(duration_or(
        shared.flags.call_time,
        Duration::from_millis(5),
    ));
    let answer = json!({ "service": shared.flags.service, "call": number, "key": key });
    respond(exchange, Response::json(200, answer.to_string()));
}

/// Reads a JSON body, or answers 400 and returns `None`.
fn read_json<T: serde::de::DeserializeOwned>(mut exchange: Exchange) -> Option<(T, Exchange)> {
    let parsed = exchange
        .take_text(MAX_BODY_BYTES)
        .map_err(Problem::from)
        .and_then(|text| {
            serde_json::from_str(&text)
                .map_err(|error| Problem::new(400, "bad body", "parse").detail(error.to_string()))
        });
    match parsed {
        Ok(value) => Some((value, exchange)),
        Err(problem) => {
            respond(exchange, problem);
            None
        }
    }
}

fn order(shared: &Arc<Shared>, exchange: Exchange) {
    let Some((order, exchange)) = read_json::<Order>(exchange) else {
        return;
    };
    let loss_ratio = shared.flags.lose_orders.unwrap_or(0.0);
    if loss_ratio > 0.0 && lock(&shared.loss_rng).random_bool(loss_ratio.min(1.0)) {
        // Closes the connection without an answer, as if the network had lost the order.
        return;
    }
    let delay = duration_or(shared.flags.delay_orders, Duration::ZERO);
    let reply = if delay.is_zero() {
        lock(&shared.engine).order(shared.clock.now(), &order)
    } else {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            thread::sleep(delay);
            lock(&shared.engine).order(shared.clock.now(), &order)
        });
        Reply::Accepted
    };
    respond(
        exchange,
        Response::json(200, serde_json::to_vec(&reply).unwrap_or_default()),
    );
}

fn cancel(shared: &Shared, exchange: Exchange) {
    #[derive(serde::Deserialize)]
    struct Cancel {
        request: id::Request,
        attempt: id::Attempt,
    }
    let Some((cancel, exchange)) = read_json::<Cancel>(exchange) else {
        return;
    };
    let mut cancelled = lock(&shared.cancelled);
    cancelled.push((cancel.request, cancel.attempt));
    if cancelled.len() > 10_000 {
        cancelled.drain(..5_000);
    }
    drop(cancelled);
    respond(exchange, Response::json(200, "{}"));
}

fn export(shared: &Shared, exchange: Exchange) {
    let Some((export, exchange)) = read_json::<Export>(exchange) else {
        return;
    };
    let exported = lock(&shared.engine).cache().export(export.prefix);
    match exported {
        Some(exported) => {
            let body = serde_json::to_vec(&exported).unwrap_or_default();
            respond(exchange, Response::json(200, body));
        }
        None => respond(exchange, Problem::new(404, "not cached", "export")),
    }
}

fn import(shared: &Shared, exchange: Exchange) {
    let Some((exported, exchange)) = read_json::<Exported>(exchange) else {
        return;
    };
    let now = shared.clock.now();
    let imported = lock(&shared.engine).cache().import(now, &exported);
    match imported {
        Ok(()) => respond(exchange, Response::json(200, "{}")),
        Err(error) => {
            let status = match error {
                ImportError::Damaged => 400,
                ImportError::TooLarge { .. } => 413,
            };
            let problem = Problem::new(status, "not imported", "import");
            respond(exchange, problem.detail(error.to_string()));
        }
    }
}

fn generate(shared: &Shared, exchange: Exchange) {
    let Some((work, exchange)) = read_json::<Work>(exchange) else {
        return;
    };
    if !lock(&shared.engine).begin_generation(shared.clock.now(), &work.artifact) {
        let problem = Problem::new(503, "artifact is not ready", "begin");
        return respond(exchange, problem.retry_after(Duration::from_secs(1)));
    }
    let headers = [("Content-Type", "text/event-stream")];
    match exchange.stream(200, &headers) {
        Ok(stream) => send_tokens(shared, &work, stream),
        Err(error) => log::debug!(step = "generate"; "the token stream was not opened: {error}"),
    }
    lock(&shared.engine).end_generation();
}

/// Returns the prefix of the work, or one computed from it if the instance has an older version that sends none.
fn prefix_of(work: &Work) -> Prefix {
    if let Some(prefix) = work.prefix {
        return prefix;
    }
    let mut hasher = DefaultHasher::new();
    work.artifact.hash(&mut hasher);
    work.messages
        .first()
        .map(|message| &message.content)
        .hash(&mut hasher);
    Prefix(hasher.finish())
}

/// Returns the token at a position. It depends only on the prompt, so that a resumed answer can be checked.
pub fn token_at(work: &Work, index: u32) -> String {
    let last = work.messages.last().map_or("", |message| &message.content);
    let words: Vec<&str> = last.split_whitespace().collect();
    let word = words
        .get(index as usize % words.len().max(1))
        .copied()
        .unwrap_or("ok");
    format!("{word}-{index} ")
}

fn send_tokens(shared: &Shared, work: &Work, mut stream: Stream) {
    let messages = u32::try_from(work.messages.len()).unwrap_or(u32::MAX);
    let prompt_time =
        lock(&shared.engine).prompt_time(shared.clock.now(), prefix_of(work), messages);
    thread::sleep(prompt_time);
    let first_index = u32::try_from(work.resume.len()).unwrap_or(u32::MAX);
    let chunk = |index, event| {
        let chunk = Chunk {
            request: work.request,
            attempt: work.attempt,
            index,
            event,
        };
        serde_json::to_string(&chunk).unwrap_or_default()
    };
    for index in first_index..work.max_tokens {
        if lock(&shared.cancelled).contains(&(work.request, work.attempt)) {
            return;
        }
        let text = chunk(index, Event::Token(token_at(work, index)));
        if let Err(error) = stream.event(&text) {
            log::debug!(step = "generate"; "token {index} was not sent: {error}");
            return;
        }
        lock(&shared.engine).count_token();
        let gap = lock(&shared.engine).token_gap();
        thread::sleep(gap);
    }
    let end = chunk(
        work.max_tokens.max(first_index),
        Event::Finish(Finish::Length),
    );
    if let Err(error) = stream.event(&end).and_then(|()| stream.finish()) {
        log::debug!(step = "generate"; "the end of the token stream was not sent: {error}");
    }
}
