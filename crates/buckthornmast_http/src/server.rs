//! HTTP server: accepts connections and serves each of them until it closes.

mod request;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{
    Request,
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpStream,
    runtime::Runtime,
    sync::{Notify, oneshot, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::{
    account::Account,
    eviction::{self, Slot},
    exchange::{Answer, Exchange, complete},
    interceptor::Interceptor,
    problem::Problem,
    runtime,
    workers::Workers,
};

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum wait for an evicted connection to close; it does so when it is polled next.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an evicted connection is still polled if nothing has been read from it: the runtime reports received
/// bytes only after it has polled all sockets.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(2);

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Name and limits of a server.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the server in thread names and log lines.
    pub name: String,
    /// Maximum number of exchanges in progress, each on its own thread; further requests are answered with 503.
    pub max_exchanges: usize,
    /// Stack size of a worker thread in bytes.
    pub stack_bytes: usize,
    /// Maximum number of open connections; beyond it, the connection that has waited longest for a request is closed,
    /// or the new one if none waits.
    pub max_connections: usize,
    /// Maximum size of the request line with headers in bytes, at least 8 KiB; a larger one is answered with 431.
    pub head_limit: usize,
    /// Maximum size of a body in bytes; a larger one is answered with 413.
    pub body_limit: usize,
    /// Memory for the bodies of all requests until the end of their exchanges, in bytes. A request that exceeds it is
    /// answered with 503, and one whose body makes no progress while half of it is in use with 408. Bodies over 16 KiB
    /// leave a quarter of it to others.
    pub total_body_limit: usize,
    /// Time limit for the request line with headers, and for the wait between two requests. The connection is then
    /// closed without an answer.
    pub head_timeout: Duration,
    /// Time limit for receiving the body; a slower one is answered with 408.
    pub body_timeout: Duration,
    /// Maximum wait for the client to read on when the queue of a stream is full. The connection is then closed.
    pub write_timeout: Duration,
    /// `Retry-After` of the 503 answers when `max_exchanges` or `total_body_limit` is exceeded.
    pub retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "http".to_owned(),
            max_exchanges: 1024,
            stack_bytes: 256 << 10,
            max_connections: 8192,
            head_limit: 16 << 10,
            body_limit: 4 << 20,
            total_body_limit: 64 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Reason why a server failed to start.
#[derive(Debug, Snafu)]
#[snafu(display("HTTP server {name} failed to start at step {step}: {source}"))]
pub struct StartError {
    name: String,
    step: &'static str,
    source: io::Error,
}

struct Shared<H> {
    config: Config,
    workers: Workers<H>,
    connection_count: AtomicUsize,
    /// Notified when a connection has ended.
    connection_closed: Notify,
    evictions: Arc<eviction::Queue>,
    bodies: Account,
    runtime: tokio::runtime::Handle,
}

/// Running server, which stops when the handle is dropped.
pub struct Handle {
    address: SocketAddr,
    inner: Option<Inner>,
}

struct Inner {
    runtime: Runtime,
    stop: watch::Sender<bool>,
    accept: JoinHandle<()>,
    join: Box<dyn FnOnce() + Send>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets exchanges in progress finish and joins all threads.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        let Some(inner) = self.inner.take() else {
            return;
        };
        let _ = inner.stop.send(true);
        // The accept task waits for all connections, and each connection for its exchange.
        let _ = inner.runtime.block_on(inner.accept);
        (inner.join)();
        drop(inner.runtime);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts a server on a listener.
pub fn start<H>(listener: TcpListener, config: Config, handler: H) -> Result<Handle, StartError>
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let name = config.name.clone();
    let fail = |step| StartSnafu {
        name: name.clone(),
        step,
    };
    let address = listener.local_addr().context(fail("address"))?;
    listener.set_nonblocking(true).context(fail("listen"))?;
    let runtime = runtime::start(&config.name).context(fail("runtime"))?;
    let listener = {
        let _entered = runtime.enter();
        tokio::net::TcpListener::from_std(listener).context(fail("listen"))?
    };
    let workers = Workers::new(
        config.name.clone(),
        config.stack_bytes,
        config.max_exchanges,
        Arc::new(handler),
    );
    let shared = Arc::new(Shared {
        workers,
        connection_count: AtomicUsize::new(0),
        connection_closed: Notify::new(),
        evictions: Arc::default(),
        bodies: Account::new(config.total_body_limit),
        runtime: runtime.handle().clone(),
        config,
    });
    let (stop, stopping) = watch::channel(false);
    let accept = runtime.spawn(accept(listener, Arc::clone(&shared), stopping));
    let join = Box::new(move || {
        if let Some(shared) = Arc::into_inner(shared) {
            shared.workers.stop();
        }
    });
    Ok(Handle {
        address,
        inner: Some(Inner {
            runtime,
            stop,
            accept,
            join,
        }),
    })
}

/// Accepts connections until the server stops, then waits for the open ones to finish.
async fn accept<H>(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared<H>>,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let mut open = tokio::task::JoinSet::new();
    let (mut is_failing, mut is_full) = (false, false);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.changed() => break,
        };
        while open.try_join_next().is_some() {}
        match accepted {
            Ok((stream, peer)) => {
                is_failing = false;
                if !ensure_capacity(&shared).await {
                    if !std::mem::replace(&mut is_full, true) {
                        log::warn!(step = "accept", peer:% = peer; "too many connections, closed");
                    }
                    continue;
                }
                is_full = false;
                shared.connection_count.fetch_add(1, Ordering::Relaxed);
                let count = ConnectionCount(Arc::clone(&shared));
                // Registered before its task runs, since many connections may be accepted until then.
                let slot = Arc::new(shared.evictions.register());
                open.spawn(serve(stream, peer, count, slot, stopping.clone()));
            }
            Err(error) => {
                // Descriptors may be exhausted; closing an idle connection frees one.
                shared.evictions.evict_oldest();
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!(step = "accept"; "accepting a connection failed, retrying: {error}");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Returns whether one more connection may be served. If the limit is reached, evicts the connection that has waited
/// longest and waits until it has closed, so that the limit on descriptors holds at any time.
async fn ensure_capacity<H>(shared: &Shared<H>) -> bool {
    let is_full =
        || shared.connection_count.load(Ordering::Relaxed) >= shared.config.max_connections;
    if !is_full() {
        return true;
    }
    if !shared.evictions.evict_oldest() {
        return false;
    }
    let closed = async {
        while is_full() {
            shared.connection_closed.notified().await;
        }
    };
    timeout(EVICTION_TIMEOUT, closed).await.is_ok()
}

/// Counts a connection as open until it is dropped.
struct ConnectionCount<H>(Arc<Shared<H>>);

impl<H> Drop for ConnectionCount<H> {
    fn drop(&mut self) {
        self.0.connection_count.fetch_sub(1, Ordering::Relaxed);
        self.0.connection_closed.notify_one();
    }
}

/// Serves one connection until it closes.
async fn serve<H>(
    stream: TcpStream,
    peer: SocketAddr,
    count: ConnectionCount<H>,
    slot: Arc<Slot>,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let shared = &count.0;
    set_options(&stream);
    let closed = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let is_unread = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        calls.fetch_add(1, Ordering::Relaxed);
        let has_body = !request.body().is_end_stream();
        let answered = answer(shared, peer, &slot, Arc::clone(&closed), request);
        let is_unread = &is_unread;
        async move {
            let answer = answered.await;
            let is_refused = answer
                .as_ref()
                .is_ok_and(|answer| !answer.status().is_success());
            is_unread.store(has_body && is_refused, Ordering::Relaxed);
            answer
        }
    });
    let interceptor = Interceptor::new(stream, Arc::clone(&calls));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.config.head_timeout)
        .max_buf_size(shared.config.head_limit.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .keep_alive(true)
        .serve_connection(interceptor, service);
    let result = loop {
        // The connection is polled first, since a request may have arrived before the eviction.
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = slot.evicted() => {
                let has_answered = calls.load(Ordering::Relaxed) > 0;
                if !has_answered
                    && let Ok(result) = timeout(FIRST_READ_TIMEOUT, &mut connection).await
                {
                    break result;
                }
                if !slot.begin_close() {
                    continue;
                }
                // An answer may not have been sent completely yet.
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                let time = if has_answered { EVICTION_TIMEOUT } else { Duration::ZERO };
                break timeout(time, &mut connection).await.unwrap_or(Ok(()));
            }
            _ = stopping.changed() => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                break (&mut connection).await;
            }
        }
    };
    closed.store(true, Ordering::Relaxed);
    let is_refused = result.as_ref().is_err_and(hyper::Error::is_parse);
    let io = connection.into_parts().io;
    let has_rest = result.is_ok() && is_unread.load(Ordering::Relaxed);
    let ended = io.end(is_refused, has_rest);
    let ended = tokio::select! {
        ended = timeout(shared.config.write_timeout, ended) => ended,
        () = slot.evicted() => Ok(Ok(())),
    };
    if let Err(error) = result {
        log::debug!(step = "connection", peer:% = peer; "connection of a client failed: {error}");
    } else if let Ok(Err(error)) = ended {
        log::debug!(step = "connection", peer:% = peer; "closing the connection of a client failed: {error}");
    }
}

/// Sets the options that end the connection of a client that vanished without closing it: acknowledgements of data or
/// keepalive probes are missing for about 20 s.
fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(15))
        .with_interval(Duration::from_secs(5));
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_secs(20)));
}

/// Marks the client as disconnected when the connection drops the future of an exchange. It is forgotten once the
/// answer is known.
struct ClosedGuard(Arc<AtomicBool>);

impl Drop for ClosedGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn answer<H>(
    shared: &Shared<H>,
    peer: SocketAddr,
    slot: &Arc<Slot>,
    closed: Arc<AtomicBool>,
    request: Request<Incoming>,
) -> Result<Answer, io::Error>
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let (channel, answered) = oneshot::channel();
    let exchange = match request::read(shared, peer, slot, Arc::clone(&closed), request).await {
        Ok(exchange) => Exchange {
            answer: Some(channel),
            ..exchange
        },
        Err(problem) => {
            // The connection may be evicted already; the problem is valid in either case.
            let _ = slot.dequeue_for_request();
            slot.enqueue();
            return Ok(complete(problem.into()));
        }
    };
    if !slot.dequeue_for_request() {
        return Err(io::Error::other(
            "connection evicted before its request was run",
        ));
    }
    let guard = ClosedGuard(closed);
    if let Err(exchange) = shared.workers.run(exchange) {
        drop(exchange);
        std::mem::forget(guard);
        slot.enqueue();
        let problem = Problem::new(503, "too many requests in progress", "accept");
        return Ok(complete(
            problem.retry_after(shared.config.retry_after).into(),
        ));
    }
    let answer = answered.await;
    std::mem::forget(guard);
    // A handler that returned no answer has panicked or dropped the exchange.
    let answer = answer.unwrap_or_else(|_| {
        let problem = Problem::new(500, "internal error", "handler");
        complete(
            problem
                .execution(buckthornmast_types::outcome::Execution::Unknown)
                .into(),
        )
    });
    if answer.body().size_hint().exact().is_some() {
        slot.enqueue();
        return Ok(answer);
    }
    // A stream is in progress until its body has ended; from then on the connection waits for a request again.
    let end = StreamEnd(Arc::clone(slot));
    Ok(answer.map(|body| {
        body.map_frame(move |frame| {
            let _ = &end;
            frame
        })
        .boxed()
    }))
}

/// Adds the connection to the eviction queue again when the body of its stream is dropped.
struct StreamEnd(Arc<Slot>);

impl Drop for StreamEnd {
    fn drop(&mut self) {
        self.0.enqueue();
    }
}
