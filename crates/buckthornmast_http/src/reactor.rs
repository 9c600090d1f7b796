//! Thread that accepts connections and reads requests without blocking.

use std::{
    fs::File,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr},
    os::fd::OwnedFd,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use mio::{Events, Interest, Poll, Token, net};

use crate::{
    exchange::Exchange,
    intake::{Intake, Phase, Step},
    link::{self, Home, Link, Return},
    pool::Pool,
    problem::Problem,
    server::Config,
};

const LISTENER: Token = Token(usize::MAX);
/// Token of the waker.
pub(crate) const WAKER: Token = Token(usize::MAX - 1);
/// Interval in which deadlines are looked at and a failed accept is tried again.
const TICK: Duration = Duration::from_millis(100);
/// Time that a client has to read a refusal. Closing with unread bytes would reset the connection,
/// and the refusal could be lost.
const LINGER: Duration = Duration::from_secs(1);
const READ_LEN: usize = 16 << 10;
/// Most reads of one connection before the others have their turn.
const TURN: usize = 16;
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
/// File whose descriptor is given up for a client when none is left.
const SPARE: &str = "/dev/null";

#[derive(Debug)]
struct Connection {
    stream: net::TcpStream,
    peer: SocketAddr,
    intake: Intake,
    lingering: bool,
    since: Instant,
    deadline: Instant,
}

/// State of the thread.
#[derive(Debug)]
pub(crate) struct Reactor<H> {
    poll: Poll,
    listener: Option<net::TcpListener>,
    config: Config,
    home: Home,
    returns: flume::Receiver<Return>,
    pool: Arc<Pool>,
    handler: Arc<H>,
    slots: Vec<Option<Connection>>,
    free: Vec<usize>,
    /// Connections that workers have.
    lent: usize,
    /// Bytes of requests that have arrived in part.
    pending: usize,
    /// Whether the next tick must accept again.
    accept_failed: bool,
    spare: Option<File>,
    /// Connections that had more to read than one turn allows.
    unread: Vec<usize>,
    buffer: Vec<u8>,
}

impl<H: Fn(Exchange) + Send + Sync + 'static> Reactor<H> {
    pub(crate) fn new(
        poll: Poll,
        listener: net::TcpListener,
        config: Config,
        (home, returns): (Home, flume::Receiver<Return>),
        (pool, handler): (Arc<Pool>, Arc<H>),
    ) -> Self {
        Self {
            poll,
            listener: Some(listener),
            config,
            home,
            returns,
            pool,
            handler,
            slots: Vec::new(),
            free: Vec::new(),
            lent: 0,
            pending: 0,
            accept_failed: false,
            spare: File::open(SPARE).ok(),
            unread: Vec::new(),
            buffer: vec![0; READ_LEN],
        }
    }

    pub(crate) fn listen(&mut self) -> io::Result<()> {
        match &mut self.listener {
            Some(listener) => {
                let registry = self.poll.registry();
                registry.register(listener, LISTENER, Interest::READABLE)
            }
            None => Ok(()),
        }
    }

    fn open(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Runs until the server stops and all connections are closed.
    pub(crate) fn run(mut self) {
        let mut events = Events::with_capacity(1024);
        let mut swept = Instant::now();
        while self.listener.is_some() || self.open() + self.lent > 0 {
            let timeout = if self.unread.is_empty() {
                TICK
            } else {
                Duration::ZERO
            };
            if let Err(error) = self.poll.poll(&mut events, Some(timeout))
                && error.kind() != io::ErrorKind::Interrupted
            {
                log::error!(step = "poll"; "{error}");
                std::thread::sleep(TICK);
            }
            let now = Instant::now();
            for slot in std::mem::take(&mut self.unread) {
                self.read(slot, now);
            }
            for event in events.iter() {
                match event.token() {
                    LISTENER => self.accept(now),
                    WAKER => {}
                    Token(slot) => self.read(slot, now),
                }
            }
            while let Ok(back) = self.returns.try_recv() {
                self.take_back(back, now);
            }
            if now.duration_since(swept) >= TICK {
                swept = now;
                self.sweep(now);
            }
            if self.listener.is_some() && self.home.stopping.load(Ordering::SeqCst) {
                self.close_listener(now);
            }
        }
    }

    /// Takes the connections that the kernel has already accepted, then closes the listener.
    fn close_listener(&mut self, now: Instant) {
        self.accept(now);
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        self.sweep(now);
    }

    fn accept(&mut self, now: Instant) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, peer)) => {
                    self.admit(stream, peer, now);
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => {
                        self.accept_failed = false;
                        return;
                    }
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => {
                        if !self.accept_failed {
                            self.accept_failed = true;
                            log::warn!(step = "accept"; "{error}");
                        }
                        // Whatever the error is, the next tick tries again.
                        let out = matches!(error.raw_os_error(), Some(EMFILE | ENFILE));
                        if !(out && self.accept_with_spare(now)) {
                            return;
                        }
                    }
                },
            }
        }
    }

    /// Accepts with the spare descriptor, and closes the connection that has waited longest to get
    /// another spare. Returns whether a connection was accepted.
    ///
    /// Accept reports a lack of descriptors even if no client waits, so nothing may be closed before
    /// a client was accepted.
    fn accept_with_spare(&mut self, now: Instant) -> bool {
        let accepted = match (self.spare.take(), &self.listener) {
            (Some(spare), Some(listener)) => {
                drop(spare);
                listener.accept()
            }
            _ => Err(io::ErrorKind::WouldBlock.into()),
        };
        let found = accepted.is_ok();
        if let Ok((mut stream, peer)) = accepted {
            if self.evict() {
                self.admit(stream, peer, now);
            } else {
                let refusal = self.refusal(&self.overload("connections"));
                let _ = stream.write(&refusal);
            }
        }
        self.spare = File::open(SPARE).ok();
        found
    }

    fn admit(&mut self, stream: net::TcpStream, peer: SocketAddr, now: Instant) {
        let _ = stream.set_nodelay(true);
        if self.open() + self.lent >= self.config.connections && !self.evict() {
            let mut stream = stream;
            let _ = stream.write(&self.refusal(&self.overload("connections")));
            return;
        }
        self.insert(stream, peer, Intake::default(), now);
    }

    /// Closes the connection that has waited longest: half-open and slow clients collect at that
    /// end, while a well-behaved client has sent its request before others push it there.
    fn evict(&mut self) -> bool {
        let slots = self.slots.iter().enumerate();
        let waiting = slots.filter_map(|(slot, held)| held.as_ref().map(|held| (held.since, slot)));
        match waiting.min() {
            Some((_, slot)) => {
                self.remove(slot);
                true
            }
            None => false,
        }
    }

    fn insert(
        &mut self,
        mut stream: net::TcpStream,
        peer: SocketAddr,
        intake: Intake,
        now: Instant,
    ) -> Option<usize> {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let registry = self.poll.registry();
        if let Err(error) = registry.register(&mut stream, Token(slot), Interest::READABLE) {
            log::warn!(step = "register", peer:% = peer; "{error}");
            self.free.push(slot);
            return None;
        }
        self.pending += intake.len();
        self.slots[slot] = Some(Connection {
            stream,
            peer,
            intake,
            lingering: false,
            since: now,
            deadline: now + self.config.head_timeout,
        });
        Some(slot)
    }

    fn remove(&mut self, slot: usize) -> Option<Connection> {
        let mut connection = self.slots.get_mut(slot)?.take()?;
        self.free.push(slot);
        self.pending -= connection.intake.len();
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }

    fn read(&mut self, slot: usize, now: Instant) {
        for _ in 0..TURN {
            let Some(Some(connection)) = self.slots.get_mut(slot) else {
                return;
            };
            match connection.stream.read(&mut self.buffer) {
                Ok(0) => return self.ended(slot, now),
                Ok(_) if connection.lingering => {}
                Ok(read) => {
                    let buffer = std::mem::take(&mut self.buffer);
                    self.feed(slot, &buffer[..read], now);
                    self.buffer = buffer;
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return,
                    io::ErrorKind::Interrupted => {}
                    _ => {
                        self.remove(slot);
                        return;
                    }
                },
            }
        }
        // The poll reports a socket once per arrival, so what is left must be remembered here.
        self.unread.push(slot);
    }

    /// The client has closed its writing side.
    fn ended(&mut self, slot: usize, now: Instant) {
        let Some(Some(connection)) = self.slots.get(slot) else {
            return;
        };
        if connection.lingering || connection.intake.phase() == Phase::Idle {
            self.remove(slot);
        } else {
            let problem = Problem::new(400, "truncated request", "receive");
            self.refuse(slot, &problem, now);
        }
    }

    fn feed(&mut self, slot: usize, bytes: &[u8], now: Instant) {
        let Some(Some(connection)) = self.slots.get_mut(slot) else {
            return;
        };
        let before = (connection.intake.phase(), connection.intake.len());
        let step = connection.intake.push(bytes, &self.config);
        self.pending = self.pending + connection.intake.len() - before.1;
        let phase = connection.intake.phase();
        if phase != before.0 {
            connection.since = now;
            connection.deadline = now
                + match phase {
                    Phase::Body => self.config.body_timeout,
                    Phase::Head | Phase::Idle => self.config.head_timeout,
                };
        }
        match step {
            Step::More if phase == Phase::Body && self.pending > self.config.pending_limit => {
                let problem = self.overload("bodies");
                self.refuse(slot, &problem, now);
            }
            Step::More => {}
            Step::Continue => {
                // The few bytes fit into the empty send buffer.
                let _ = connection.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            Step::Refuse(problem) => self.refuse(slot, &problem, now),
            Step::Whole(head, body) => match self.pool.reserve(&self.handler) {
                Ok(true) => self.lend(slot, |link| Exchange::new(head, body, link)),
                Ok(false) => self.refuse(slot, &self.overload("workers"), now),
                Err(error) => {
                    log::warn!(step = "worker"; "{error}");
                    self.refuse(slot, &self.overload("worker thread"), now);
                }
            },
        }
    }

    /// Hands a connection to the pool, which has a place reserved for it.
    fn lend(&mut self, slot: usize, exchange: impl FnOnce(Link) -> Exchange) {
        let Some(connection) = self.remove(slot) else {
            return;
        };
        self.lent += 1;
        let stream = std::net::TcpStream::from(OwnedFd::from(connection.stream));
        let timeout = self.config.write_timeout;
        // On failure the writes fail as well, which closes the connection.
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_write_timeout(Some(timeout));
        let link = Link {
            stream: Some(stream),
            peer: connection.peer,
            rest: connection.intake.into_rest(),
            home: self.home.clone(),
            write_timeout: timeout,
        };
        self.pool.run(exchange(link));
    }

    fn take_back(&mut self, back: Return, now: Instant) {
        self.lent -= 1;
        let (stream, peer, rest, lingering) = match back {
            Return::KeepAlive(stream, peer, rest) => (stream, peer, rest, false),
            Return::Linger(stream, peer) => (stream, peer, Vec::new(), true),
            Return::Closed => return,
        };
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let stream = net::TcpStream::from_std(stream);
        let Some(slot) = self.insert(stream, peer, Intake::new(rest), now) else {
            return;
        };
        if lingering {
            self.linger(slot, now);
        } else if let Some(Some(connection)) = self.slots.get_mut(slot) {
            match connection.intake.phase() {
                Phase::Idle => connection.deadline = now + self.config.idle_timeout,
                Phase::Head | Phase::Body => self.feed(slot, &[], now),
            }
        }
    }

    fn overload(&self, what: &str) -> Problem {
        let problem = Problem::new(503, "overloaded", "accept");
        problem
            .detail(format!("no room for more {what}"))
            .retry_after(self.config.retry_after)
    }

    fn refusal(&self, problem: &Problem) -> Vec<u8> {
        link::whole(&problem.clone().into(), None, false)
    }

    /// Answers a problem from this thread and closes the connection once it was read.
    fn refuse(&mut self, slot: usize, problem: &Problem, now: Instant) {
        let refusal = self.refusal(problem);
        if let Some(Some(connection)) = self.slots.get_mut(slot) {
            // The send buffer is empty and the refusal short, so it is written whole.
            let _ = connection.stream.write(&refusal);
            self.linger(slot, now);
        }
    }

    fn linger(&mut self, slot: usize, now: Instant) {
        if let Some(Some(connection)) = self.slots.get_mut(slot) {
            let _ = connection.stream.shutdown(Shutdown::Write);
            self.pending -= connection.intake.len();
            connection.intake = Intake::default();
            connection.lingering = true;
            connection.deadline = now + LINGER;
        }
    }

    /// Ends connections whose time is over, and idle ones when the server stops.
    fn sweep(&mut self, now: Instant) {
        if self.accept_failed {
            if self.spare.is_none() {
                self.spare = File::open(SPARE).ok();
            }
            self.accept(now);
        }
        let stopping = self.listener.is_none();
        for slot in 0..self.slots.len() {
            let Some(connection) = &self.slots[slot] else {
                continue;
            };
            let idle = !connection.lingering && connection.intake.phase() == Phase::Idle;
            if now < connection.deadline && !(stopping && idle) {
                continue;
            }
            if idle || connection.lingering {
                self.remove(slot);
            } else {
                let problem = Problem::new(408, "request took too long", "receive");
                self.refuse(slot, &problem, now);
            }
        }
    }
}
