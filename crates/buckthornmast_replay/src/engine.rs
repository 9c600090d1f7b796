//! Fake model engine with continuous batching.
//!
//! A request's speed is fixed when it starts, by the size of the batch it joins: the time between
//! tokens grows linearly with the batch. An answer that is not complete at its deadline is cancelled then.

use std::collections::{HashSet, VecDeque};

use buckthornmast_types::{report::Phase, size::Bytes};

/// Part of the time between tokens that does not depend on the batch, in seconds.
const BASE_TOKEN_SECONDS: f64 = 0.018;
/// Time that each request of the batch adds to it, in seconds.
const TOKEN_SECONDS_PER_REQUEST: f64 = 0.0008;
/// Time to process a prompt in an idle engine, in seconds.
pub const PREFILL_SECONDS: f64 = 0.12;
/// Requests that may wait per slot.
const QUEUE_PER_SLOT: usize = 1;

/// Returns the tokens per second of a full batch.
pub fn capacity(slots: u32) -> f64 {
    f64::from(slots) / token_seconds(slots)
}

/// Returns the time between tokens of a batch with a number of requests, in seconds.
fn token_seconds(batch: u32) -> f64 {
    BASE_TOKEN_SECONDS + TOKEN_SECONDS_PER_REQUEST * f64::from(batch)
}

/// Request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Arrival in seconds.
    pub at: f64,
    /// Time from which the answer is too late, in seconds.
    pub deadline: f64,
    /// Tokens of the answer.
    pub tokens: f64,
    /// Index of the dispatch that sent the request.
    pub dispatch: usize,
    /// Whether the request is taken before those that are not urgent.
    pub is_urgent: bool,
}

/// Request that has been started.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    /// Time of the first token in seconds.
    pub first: f64,
    /// Time of the last token, or of the cancellation, in seconds.
    pub end: f64,
    /// Time of the last token if nothing cancels it, in seconds.
    pub full_end: f64,
    /// Whether the whole answer is in time.
    pub is_in_time: bool,
}

/// Copy of an artifact on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Copy {
    /// Index of the artifact.
    pub item: usize,
    /// State.
    pub phase: Phase,
    /// Memory.
    pub bytes: Bytes,
    /// Bytes that are still to be read while loading.
    pub bytes_left: f64,
    /// End of the warm-up or of the unload in seconds.
    pub until: f64,
}

/// Fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Whether the process runs.
    pub is_alive: bool,
    /// Whether a network partition separates the engine from the instances and the controller.
    pub is_partitioned: bool,
    /// Number of the process start, from 1.
    pub incarnation: u64,
    /// Memory.
    pub memory: Bytes,
    /// Requests that the engine processes concurrently.
    pub slots: u32,
    /// Copies that take memory, in any phase.
    pub copies: Vec<Copy>,
    /// Number of requests in progress.
    pub running: u32,
    /// Requests that wait.
    pub waiting: VecDeque<Request>,
    /// Time of the last crash or partition in seconds, and the artifacts that were ready then.
    pub last_loss: Option<(f64, Vec<usize>)>,
    /// Multiple of the usual time that each step takes.
    pub slowdown: f64,
    executed: HashSet<u64>,
}

impl Engine {
    /// Starts an empty engine.
    pub fn new(memory: Bytes, slots: u32) -> Self {
        Self {
            is_alive: true,
            is_partitioned: false,
            incarnation: 1,
            memory,
            slots,
            copies: Vec::new(),
            running: 0,
            waiting: VecDeque::new(),
            last_loss: None,
            slowdown: 1.0,
            executed: HashSet::new(),
        }
    }

    /// Records the artifacts that become unreachable when the engine crashes or is partitioned.
    pub fn record_loss(&mut self, now: f64) {
        let ready = self.copies.iter().filter(|copy| copy.phase == Phase::Ready);
        self.last_loss = Some((now, ready.map(|copy| copy.item).collect()));
    }

    /// Stops the process; copies and requests are lost.
    pub fn crash(&mut self, now: f64) {
        self.record_loss(now);
        self.is_alive = false;
        self.copies.clear();
        self.running = 0;
        self.waiting.clear();
        self.executed.clear();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.is_alive = true;
        self.incarnation += 1;
    }

    /// Returns whether messages reach the engine.
    pub fn is_up(&self) -> bool {
        self.is_alive && !self.is_partitioned
    }

    /// Returns whether an artifact is ready.
    pub fn is_ready(&self, item: usize) -> bool {
        let mut copies = self.copies.iter();
        copies.any(|copy| copy.item == item && copy.phase == Phase::Ready)
    }

    /// Returns the memory that the copies use.
    pub fn used(&self) -> Bytes {
        self.copies.iter().map(|copy| copy.bytes).sum()
    }

    /// Records the id of an order and returns whether it is new; an order that is resent must run once.
    pub fn admit_order(&mut self, order: u64) -> bool {
        self.executed.insert(order)
    }

    /// Returns whether the engine can take one more request.
    pub fn has_room(&self) -> bool {
        self.running < self.slots || self.waiting.len() < self.slots as usize * QUEUE_PER_SLOT
    }

    /// Takes the next waiting request: the first urgent one, or the first of all.
    pub fn take_waiting(&mut self) -> Option<Request> {
        let urgent = self.waiting.iter().position(|request| request.is_urgent);
        self.waiting.remove(urgent.unwrap_or(0))
    }

    /// Starts a request whose prompt takes `prompt` seconds in an idle engine.
    pub fn start(&mut self, now: f64, request: Request, prompt: f64) -> Started {
        self.running += 1;
        let batch = self.running;
        let prefill = prompt * (1.0 + f64::from(batch) / f64::from(self.slots));
        let first = now + prefill * self.slowdown;
        let end = first + request.tokens * token_seconds(batch) * self.slowdown;
        Started {
            first,
            end: end.min(request.deadline),
            full_end: end,
            is_in_time: end <= request.deadline,
        }
    }
}
