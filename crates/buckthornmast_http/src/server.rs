//! Assembly of the server: accepts connections and serves each to its end.

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
    exchange::{Answer, Exchange, whole},
    problem::Problem,
    runtime,
    screen::Screen,
    waiting::{Place, Waiting},
    workers::Workers,
};

/// Pause after accept failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for a connection that was told to give way; it does so at its next step.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which a connection that was told to give way before anything was read from it is looked at: the runtime tells
/// of arrived bytes only after it has looked at all sockets.
const FIRST_LOOK: Duration = Duration::from_millis(2);

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the server in thread names and log lines.
    pub name: String,
    /// Most exchanges in progress, each on a thread of its own; beyond it the answer is 503.
    pub workers: usize,
    /// Stack of a worker in bytes.
    pub stack: usize,
    /// Most open connections; beyond it the one that has kept the server waiting longest is closed.
    pub connections: usize,
    /// Most bytes of a request line with headers; at least 8 KiB.
    pub head_limit: usize,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most bytes of all bodies that are being received.
    pub pending_limit: usize,
    /// Time for the request line with headers, and for the wait between two requests.
    pub head_timeout: Duration,
    /// Time for the body.
    pub body_timeout: Duration,
    /// Time in which the client must make room for an event.
    pub write_timeout: Duration,
    /// `Retry-After` of the 503 beyond the bounds.
    pub retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "http".to_owned(),
            workers: 1024,
            stack: 256 << 10,
            connections: 8192,
            head_limit: 16 << 10,
            body_limit: 4 << 20,
            pending_limit: 64 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Reason why a server did not start.
#[derive(Debug, Snafu)]
#[snafu(display("http server {name}: {step}: {source}"))]
pub struct StartError {
    name: String,
    step: &'static str,
    source: io::Error,
}

struct Shared<H> {
    config: Config,
    workers: Workers<H>,
    connections: AtomicUsize,
    /// Told when a connection has ended.
    room: Notify,
    waiting: Arc<Waiting>,
    pending: AtomicUsize,
    runtime: tokio::runtime::Handle,
}

/// Running server. Dropping it stops it as well.
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
        self.end();
    }

    fn end(&mut self) {
        let Some(inner) = self.inner.take() else {
            return;
        };
        let _ = inner.stop.send(true);
        // The accept task waits for all connections, and those for their exchanges.
        let _ = inner.runtime.block_on(inner.accept);
        (inner.join)();
        drop(inner.runtime);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end();
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
        config.stack,
        config.workers,
        Arc::new(handler),
    );
    let shared = Arc::new(Shared {
        workers,
        connections: AtomicUsize::new(0),
        room: Notify::new(),
        waiting: Arc::default(),
        pending: AtomicUsize::new(0),
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

/// Accepts connections until the server stops, then waits for the open ones.
async fn accept<H>(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared<H>>,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let mut open = tokio::task::JoinSet::new();
    let (mut failing, mut is_full) = (false, false);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.changed() => break,
        };
        while open.try_join_next().is_some() {}
        match accepted {
            Ok((stream, peer)) => {
                failing = false;
                if !make_room(&shared).await {
                    if !std::mem::replace(&mut is_full, true) {
                        log::warn!(step = "accept", peer:% = peer; "too many connections, closed");
                    }
                    continue;
                }
                is_full = false;
                shared.connections.fetch_add(1, Ordering::Relaxed);
                let counted = Counted(Arc::clone(&shared));
                // It waits from now on, not only once its task runs: many may be accepted before that.
                let place = Arc::new(shared.waiting.join());
                open.spawn(serve(stream, peer, counted, place, stopping.clone()));
            }
            Err(error) => {
                // Descriptors may have run out; closing an idle connection brings one back.
                shared.waiting.close_oldest();
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(step = "accept"; "accept failed, trying again: {error}");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Returns whether one more connection may be served, after the one that has waited longest has given
/// way if need be. It is waited for, so that the bound on descriptors holds at any moment.
async fn make_room<H>(shared: &Shared<H>) -> bool {
    let is_full = || shared.connections.load(Ordering::Relaxed) >= shared.config.connections;
    if !is_full() {
        return true;
    }
    if !shared.waiting.close_oldest() {
        return false;
    }
    let closed = async {
        while is_full() {
            shared.room.notified().await;
        }
    };
    timeout(ROOM_TIMEOUT, closed).await.is_ok()
}

/// Connection that counts until it is dropped.
struct Counted<H>(Arc<Shared<H>>);

impl<H> Drop for Counted<H> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
        self.0.room.notify_one();
    }
}

/// Serves one connection to its end.
async fn serve<H>(
    stream: TcpStream,
    peer: SocketAddr,
    counted: Counted<H>,
    place: Arc<Place>,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let shared = &counted.0;
    set_options(&stream);
    let closed = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let service = service_fn(|request| {
        calls.fetch_add(1, Ordering::Relaxed);
        answer(shared, peer, &place, Arc::clone(&closed), request)
    });
    let screen = Screen::new(stream, Arc::clone(&calls));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.config.head_timeout)
        .max_buf_size(shared.config.head_limit.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .keep_alive(true)
        .serve_connection(screen, service);
    let result = loop {
        // The connection comes first, since a request may have arrived before it was told to give way.
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = place.closed() => {
                let has_answered = calls.load(Ordering::Relaxed) > 0;
                if !has_answered
                    && let Ok(result) = timeout(FIRST_LOOK, &mut connection).await
                {
                    break result;
                }
                if !place.gives_way() {
                    continue;
                }
                // An answer may still be on its way to the client.
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                let time = if has_answered { ROOM_TIMEOUT } else { Duration::ZERO };
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
    let ended = connection.into_parts().io.end(is_refused);
    let ended = tokio::select! {
        ended = timeout(shared.config.write_timeout, ended) => ended,
        () = place.closed() => Ok(Ok(())),
    };
    if let Err(error) = result {
        log::debug!(step = "connection", peer:% = peer; "{error}");
    } else if let Ok(Err(error)) = ended {
        log::debug!(step = "connection", peer:% = peer; "{error}");
    }
}

/// Notices clients that vanished without closing: acknowledgements that stay out end the connection.
fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let alive = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(15))
        .with_interval(Duration::from_secs(5));
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&alive);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_secs(20)));
}

/// Marks the client as gone when the connection drops the future of an exchange.
struct Watch(Arc<AtomicBool>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn answer<H>(
    shared: &Shared<H>,
    peer: SocketAddr,
    place: &Arc<Place>,
    closed: Arc<AtomicBool>,
    request: Request<Incoming>,
) -> Result<Answer, io::Error>
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let (channel, answered) = oneshot::channel();
    let exchange = match request::read(shared, peer, place, Arc::clone(&closed), request).await {
        Ok(exchange) => Exchange {
            answer: Some(channel),
            ..exchange
        },
        Err(problem) => {
            // The connection may have to give way already; the problem is true all the same.
            let _ = place.arrived();
            place.wait();
            return Ok(whole(problem.into()));
        }
    };
    if !place.arrived() {
        return Err(io::Error::other("the connection has to give way"));
    }
    let watch = Watch(closed);
    if let Err(exchange) = shared.workers.run(exchange) {
        drop(exchange);
        std::mem::forget(watch);
        place.wait();
        let problem = Problem::new(503, "too many requests in progress", "accept");
        return Ok(whole(problem.retry_after(shared.config.retry_after).into()));
    }
    let answer = answered.await;
    std::mem::forget(watch);
    // A handler that gave no answer has panicked or dropped the exchange.
    let answer = answer.unwrap_or_else(|_| {
        let problem = Problem::new(500, "internal error", "handler");
        whole(
            problem
                .run(buckthornmast_types::outcome::Run::Unknown)
                .into(),
        )
    });
    if answer.body().size_hint().exact().is_some() {
        place.wait();
        return Ok(answer);
    }
    // A stream is in progress until its body has ended; the connection waits again from then on.
    let end = StreamEnd(Arc::clone(place));
    Ok(answer.map(|body| {
        body.map_frame(move |frame| {
            let _ = &end;
            frame
        })
        .boxed()
    }))
}

/// Lets the connection wait for a request when it is dropped together with the body of a stream.
struct StreamEnd(Arc<Place>);

impl Drop for StreamEnd {
    fn drop(&mut self) {
        self.0.wait();
    }
}
