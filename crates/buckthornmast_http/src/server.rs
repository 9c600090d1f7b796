//! Assembly of the server.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use snafu::Snafu;

use crate::{
    exchange::Exchange,
    link::Home,
    pool::Pool,
    reactor::{self, Reactor},
};

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
    /// Most bytes of a request line with headers.
    pub head_limit: usize,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most bytes of all bodies that are being received.
    pub pending_limit: usize,
    /// Time for the request line with headers, from the connection or the first byte.
    pub head_timeout: Duration,
    /// Time for the body.
    pub body_timeout: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// Time in which the client must take a response, or 64 KiB of a longer one, or an event.
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
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
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

/// Running server. Dropping it stops it as well.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    pool: Arc<Pool>,
    reactor: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of exchanges in progress on worker threads.
    pub fn busy(&self) -> usize {
        self.pool.busy()
    }

    /// Stops accepting, lets exchanges in progress finish and joins all threads.
    ///
    /// A request that has arrived in part may still arrive within its time, so this takes the head and
    /// body timeouts at most, and the longest exchange.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = self.waker.wake();
        if let Some(reactor) = self.reactor.take() {
            // A panic of the thread has been printed by the panic hook.
            let _ = reactor.join();
        }
        self.pool.join();
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
    let failed = |step| {
        let name = name.clone();
        move |source| StartError { name, step, source }
    };
    let address = listener.local_addr().map_err(failed("address"))?;
    listener.set_nonblocking(true).map_err(failed("listener"))?;
    bound_silence(&listener).map_err(failed("keep-alive"))?;
    let poll = mio::Poll::new().map_err(failed("poll"))?;
    let waker = mio::Waker::new(poll.registry(), reactor::WAKER).map_err(failed("waker"))?;
    let waker = Arc::new(waker);
    let (sender, returns) = flume::unbounded();
    let stopping = Arc::new(AtomicBool::new(false));
    let home = Home {
        sender,
        waker: waker.clone(),
        stopping: stopping.clone(),
    };
    let pool = Arc::new(Pool::new(&config));
    let listener = mio::net::TcpListener::from_std(listener);
    let crew = (pool.clone(), Arc::new(handler));
    let mut reactor = Reactor::new(poll, listener, config, (home, returns), crew);
    reactor.listen().map_err(failed("listen"))?;
    let reactor = thread::Builder::new()
        .name(format!("{name}-reactor"))
        .spawn(move || reactor.run())
        .map_err(failed("thread"))?;
    Ok(Handle {
        address,
        stopping,
        waker,
        pool,
        reactor: Some(reactor),
    })
}

/// Bounds how long a peer may be silent on TCP level; accepted sockets inherit both options.
fn bound_silence(listener: &TcpListener) -> io::Result<()> {
    let socket = socket2::SockRef::from(listener);
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(10))
        .with_interval(Duration::from_secs(3))
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(Duration::from_secs(10)))?;
    Ok(())
}
