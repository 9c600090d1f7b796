//! Reception of request bodies.
//!
//! All bodies of an instance draw from one [`Memory`] before they are held: with an announced length at once, otherwise as
//! they grow. A body that can't draw stays unread, so that its client is slowed down, and is refused if it has waited too
//! long. Large bodies leave a reserve to small ones. Bodies that make no progress give way to those that wait, so that
//! clients which stop before the end of a body can't hold the memory.
//!
//! Nothing of a refused body was sent to a target, so its request has not run.

mod pace;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout},
};

pub use self::pace::{GRACE, MIN_RATE, Pace};
use crate::memory::{Held, Memory};

/// Size in bytes up to which a body is small. Bodies of usual requests have less than 10 KB.
pub const SMALL_BYTES: usize = 16 << 10;

/// The memory divided by this is left to small bodies.
pub const RESERVE_DIVISOR: usize = 4;

/// First capacity of a body without an announced length, in bytes.
const FIRST_CAPACITY: usize = 4 << 10;

/// Longest wait of a body for memory. It exceeds [`GRACE`], so that bodies without progress give way before.
pub const MAX_WAIT: Duration = Duration::from_millis(2500);

/// Number of bodies that may wait for memory. Each looks at all bodies when memory is returned.
pub const MAX_WAITING: usize = 256;

/// `Retry-After` of a request for whose body there was no memory, in seconds. Bodies that hold it without progress have
/// given way by then.
const NO_ROOM_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Reason why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It exceeds the limit.
    TooLarge,
    /// The client has broken it off or sent invalid framing.
    Unreadable,
    /// It did not arrive in time.
    Late,
    /// It made no progress while others waited for memory.
    Slow,
    /// There was no memory for it.
    NoRoom,
}

impl Fault {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::Late | Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "the body is too large",
            Self::Unreadable => "the body could not be read",
            Self::Late => "the body did not arrive in time",
            Self::Slow => "the body made no progress while others waited for memory",
            Self::NoRoom => "there was no memory for the body",
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::TooLarge => "large",
            Self::Unreadable => "unreadable",
            Self::Late => "late",
            Self::Slow => "slow",
            Self::NoRoom => "memory",
        }
    }

    /// Returns the answer, which closes the connection because the body was not read to its end.
    pub fn response<B: Default>(self) -> Response<B> {
        let mut response = Response::new(B::default());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        if self == Self::NoRoom {
            headers.insert(header::RETRY_AFTER, NO_ROOM_RETRY_AFTER);
        }
        response
    }
}

/// Body that is being received.
#[derive(Debug)]
struct Entry {
    pace: Cell<Pace>,
    is_waiting: Cell<bool>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// Reception of all bodies of an instance.
#[derive(Debug)]
pub struct Intake {
    memory: Memory,
    entries: RefCell<BTreeMap<u64, Rc<Entry>>>,
    next: Cell<u64>,
    waiting: Cell<usize>,
}

/// Entry of an intake until it is dropped.
struct Registered<'a> {
    intake: &'a Intake,
    number: u64,
    entry: Rc<Entry>,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.intake.entries.borrow_mut().remove(&self.number);
        self.end_wait();
    }
}

impl Registered<'_> {
    fn begin_wait(&self) {
        if !self.entry.is_waiting.replace(true) {
            let waiting = self.intake.waiting.get() + 1;
            self.intake.waiting.set(waiting);
            metrics::counter!("buckthornmast_bodies_waiting_total").increment(1);
        }
    }

    fn end_wait(&self) {
        if self.entry.is_waiting.replace(false) {
            self.intake.waiting.set(self.intake.waiting.get() - 1);
        }
    }
}

impl Intake {
    /// Returns the reception of bodies that draw from a memory.
    pub fn new(memory: Memory) -> Self {
        Self {
            memory,
            entries: RefCell::default(),
            next: Cell::new(0),
            waiting: Cell::new(0),
        }
    }

    /// Returns the memory.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Returns the number of bodies that wait for memory.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Receives a body of at most `limit` bytes.
    pub async fn receive<B>(
        &self,
        body: B,
        limit: usize,
        time_left: Duration,
    ) -> Result<Bytes, Fault>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let received = timeout(time_left, self.collect(body, limit)).await;
        let received = received.unwrap_or(Err(Fault::Late));
        received.inspect_err(|fault| {
            let cause = fault.label();
            metrics::counter!("buckthornmast_bodies_refused_total", "cause" => cause).increment(1);
        })
    }

    async fn collect<B>(&self, mut body: B, limit: usize) -> Result<Bytes, Fault>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > limit) {
            return Err(Fault::TooLarge);
        }
        let registered = self.register();
        let mut held = Held::new(&self.memory);
        let first = announced.unwrap_or(FIRST_CAPACITY.min(limit));
        self.draw(&mut held, first, &registered).await?;
        loop {
            let frame = tokio::select! {
                biased;
                () = registered.entry.evicted.notified() => return Err(Fault::Slow),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                return Ok(held.into_bytes());
            };
            let frame = frame.map_err(|_| Fault::Unreadable)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let length = held.len().saturating_add(bytes.len());
            if length > limit {
                return Err(Fault::TooLarge);
            }
            if length > held.capacity() {
                let capacity = length.max(held.capacity().saturating_mul(2)).min(limit);
                self.draw(&mut held, capacity, &registered).await?;
            }
            if !held.push(&bytes) {
                return Err(Fault::NoRoom);
            }
            let pace = registered.entry.pace.get();
            let pace = pace.advance(bytes.len(), Instant::now());
            registered.entry.pace.set(pace);
        }
    }

    fn register(&self) -> Registered<'_> {
        let entry = Rc::new(Entry {
            pace: Cell::new(Pace::start(Instant::now())),
            is_waiting: Cell::new(false),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.entries.borrow_mut().insert(number, Rc::clone(&entry));
        Registered {
            intake: self,
            number,
            entry,
        }
    }

    /// Makes room for a number of bytes. While there is none, a body without progress gives way.
    async fn draw(
        &self,
        held: &mut Held,
        capacity: usize,
        registered: &Registered<'_>,
    ) -> Result<(), Fault> {
        let reserve = if capacity <= SMALL_BYTES {
            0
        } else {
            self.memory.total() / RESERVE_DIVISOR
        };
        let end = Instant::now() + MAX_WAIT;
        loop {
            let freed = self.memory.freed();
            if held.draw(capacity, reserve) {
                registered.end_wait();
                let pace = Pace::start(Instant::now());
                registered.entry.pace.set(pace);
                return Ok(());
            }
            let now = Instant::now();
            let is_crowded = !registered.entry.is_waiting.get() && self.waiting() >= MAX_WAITING;
            if is_crowded || now >= end {
                return Err(Fault::NoRoom);
            }
            registered.begin_wait();
            let next = if self.evict_slowest() {
                None
            } else {
                self.first_due()
            };
            let next = next.map_or(end, |due| due.min(end));
            tokio::select! {
                () = freed => {}
                () = sleep_until(next) => {}
            }
        }
    }

    /// Returns when the next body counts as one without progress.
    fn first_due(&self) -> Option<Instant> {
        let entries = self.entries.borrow();
        let entries = entries.values().filter(|entry| !entry.is_waiting.get());
        let entries = entries.filter(|entry| !entry.is_evicted.get());
        entries.map(|entry| entry.pace.get().due()).min()
    }

    /// Ends the reception of the body that has been without progress for longest. Returns whether there was one.
    pub fn evict_slowest(&self) -> bool {
        let now = Instant::now();
        let entries = self.entries.borrow();
        let entries = entries.values().filter(|entry| {
            !entry.is_waiting.get() && !entry.is_evicted.get() && entry.pace.get().due() <= now
        });
        let Some(slowest) = entries.min_by_key(|entry| entry.pace.get().due()) else {
            return false;
        };
        slowest.is_evicted.set(true);
        slowest.evicted.notify_one();
        true
    }
}
