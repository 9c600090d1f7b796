//! Fake model engine with continuous batching.
//!
//! A request's speed is fixed when it starts, by the size of the batch it joins: the time between
//! tokens grows linearly with the batch. An answer that passes its deadline is cancelled there.

use std::collections::{HashSet, VecDeque};

use buckthornmast_types::{report::Phase, size::Bytes};

/// Time between tokens of a batch of one, in seconds.
const STEP: f64 = 0.018;
/// Time that each further request of the batch adds to it, in seconds.
const STEP_PER_REQUEST: f64 = 0.0008;
/// Time to process a prompt in an idle engine, in seconds.
pub const PREFILL: f64 = 0.12;
/// Requests that may wait, as a multiple of the slots.
const QUEUE: usize = 1;

/// Returns tokens a second at full batch.
pub fn capacity(slots: u32) -> f64 {
    f64::from(slots) / step(slots)
}

fn step(batch: u32) -> f64 {
    STEP + STEP_PER_REQUEST * f64::from(batch)
}

/// Request of a client.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Arrival in seconds.
    pub at: f64,
    /// Time at which the answer is too late, in seconds.
    pub deadline: f64,
    /// Tokens of the answer.
    pub tokens: f64,
    /// Dispatch that brought it.
    pub dispatch: usize,
    /// Whether it goes before the ones that are not.
    pub urgent: bool,
}

/// Request that has been started.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    /// Time of the first token in seconds.
    pub first: f64,
    /// Time of the last token, or of the cancellation, in seconds.
    pub end: f64,
    /// Time of the last token if nothing cancels it, in seconds.
    pub whole: f64,
    /// Whether the whole answer is in time.
    pub in_time: bool,
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
    pub left: f64,
    /// End of the warm-up or of the unload in seconds.
    pub until: f64,
}

/// Fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Whether the process runs.
    pub alive: bool,
    /// Whether a partition separates it.
    pub cut: bool,
    /// Number of its start.
    pub incarnation: u64,
    /// Memory.
    pub memory: Bytes,
    /// Slots.
    pub slots: u32,
    /// Copies.
    pub copies: Vec<Copy>,
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: VecDeque<Request>,
    /// Time of the last death or partition in seconds, and the artifacts that were ready then.
    pub lost: Option<(f64, Vec<usize>)>,
    /// Multiple of the usual time that each step takes.
    pub factor: f64,
    executed: HashSet<u64>,
}

impl Engine {
    /// Starts an empty engine.
    pub fn new(memory: Bytes, slots: u32) -> Self {
        Self {
            alive: true,
            cut: false,
            incarnation: 1,
            memory,
            slots,
            copies: Vec::new(),
            running: 0,
            waiting: VecDeque::new(),
            lost: None,
            factor: 1.0,
            executed: HashSet::new(),
        }
    }

    /// Notes what becomes unreachable when the engine dies or is cut off.
    pub fn note_loss(&mut self, now: f64) {
        let ready = self.copies.iter().filter(|copy| copy.phase == Phase::Ready);
        self.lost = Some((now, ready.map(|copy| copy.item).collect()));
    }

    /// Stops the process; copies and requests are lost.
    pub fn die(&mut self, now: f64) {
        self.note_loss(now);
        self.alive = false;
        self.copies.clear();
        self.running = 0;
        self.waiting.clear();
        self.executed.clear();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    /// Returns whether messages reach it.
    pub fn is_up(&self) -> bool {
        self.alive && !self.cut
    }

    /// Returns whether an artifact is ready here.
    pub fn is_ready(&self, item: usize) -> bool {
        let mut copies = self.copies.iter();
        copies.any(|copy| copy.item == item && copy.phase == Phase::Ready)
    }

    /// Returns the memory that the copies take.
    pub fn used(&self) -> Bytes {
        self.copies.iter().map(|copy| copy.bytes).sum()
    }

    /// Remembers an order and returns whether it is new.
    pub fn admit_order(&mut self, order: u64) -> bool {
        self.executed.insert(order)
    }

    /// Returns whether the queue takes one more request.
    pub fn has_room(&self) -> bool {
        self.running < self.slots || self.waiting.len() < self.slots as usize * QUEUE
    }

    /// Takes the next waiting request: the first urgent one, or the first of all.
    pub fn take_waiting(&mut self) -> Option<Request> {
        let urgent = self.waiting.iter().position(|request| request.urgent);
        self.waiting.remove(urgent.unwrap_or(0))
    }

    /// Starts a request now whose prompt takes this many seconds in an idle engine.
    pub fn start(&mut self, now: f64, request: Request, prompt: f64) -> Started {
        self.running += 1;
        let batch = self.running;
        let prefill = prompt * (1.0 + f64::from(batch) / f64::from(self.slots));
        let first = now + prefill * self.factor;
        let end = first + request.tokens * step(batch) * self.factor;
        Started {
            first,
            end: end.min(request.deadline),
            whole: end,
            in_time: end <= request.deadline,
        }
    }
}
