//! State of a model engine.
//!
//! Service times follow a simple model of continuous batching: the gap between tokens grows with the
//! share of batch slots in use, and the first token waits for the part of the prompt that is not in
//! the prefix cache. Memory is the truth that promises are judged by: an order that would exceed it
//! is refused and counted, but a stand-in that was told to be careless executes it and counts it as
//! an overcommitment.

use std::time::Duration;

use buckthornmast_types::{
    artifact::Artifact,
    cache::Prefix,
    id,
    order::{Action, Order, Reply},
    report::{Copy, Load, Phase},
    size::Bytes,
    time::Point,
};
use serde::Serialize;

use crate::cache::Cache;

/// Part of the time of a message that a prompt takes whose only message is cached: the engine still
/// processes the last block to get the first token.
const CACHED_SHARE: u32 = 10;

/// Time after which a target that is leaving must get no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// Accelerator memory for artifacts.
    pub memory: Bytes,
    /// Requests in the batch at once.
    pub slots: u32,
    /// Gap between tokens of an empty batch; it doubles when the batch is full.
    pub token_gap: Duration,
    /// Time to process one message of a prompt that is not cached.
    pub prompt_time: Duration,
    /// Memory of the prefix cache.
    pub cache_memory: Bytes,
    /// Memory that the KV cache of one message takes.
    pub message_memory: Bytes,
    /// Bytes a second that the weight store delivers.
    pub load_rate: Bytes,
    /// Whether orders with an old fencing token are refused.
    pub fencing: bool,
}

/// What an engine has done, for tests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Orders that were carried out.
    pub orders: u64,
    /// Orders refused for an old fencing token.
    pub fenced: u64,
    /// Loads that did not fit into memory.
    pub overcommitted: u64,
    /// Generations started.
    pub generations: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Prompts whose prefix was not cached.
    pub prefix_misses: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Generations started while the engine was leaving.
    pub started_while_leaving: u64,
    /// Generations asked for more than 3 s after the engine began to leave, refused ones included.
    pub asked_after_leaving_bound: u64,
    /// Loads in the order in which they began.
    pub loads: Vec<Loading>,
}

/// Load of an artifact, in milliseconds since the start of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Loading {
    /// When it began.
    pub begun_ms: u64,
    /// When it is done.
    pub done_ms: u64,
}

#[derive(Debug, Clone)]
struct Resident {
    copy: Copy,
    /// When a load or an unload is done.
    done: Point,
}

fn millis(at: Point) -> u64 {
    u64::try_from(at.since(Point::default()).as_millis()).unwrap_or(u64::MAX)
}

/// Model engine.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    residents: Vec<Resident>,
    token: id::Token,
    running: u32,
    waiting: u32,
    leaving: Option<Point>,
    cache: Cache,
    counters: Counters,
}

impl Engine {
    /// Starts with empty memory.
    pub fn new(config: Config) -> Self {
        Self {
            cache: Cache::new(config.cache_memory),
            config,
            residents: Vec::new(),
            token: id::Token(0),
            running: 0,
            waiting: 0,
            leaving: None,
            counters: Counters::default(),
        }
    }

    /// Moves loads and unloads on to the current time.
    pub fn advance(&mut self, now: Point) {
        self.residents
            .retain(|resident| !(resident.copy.phase == Phase::Unloading && resident.done <= now));
        for resident in &mut self.residents {
            if resident.copy.phase == Phase::Loading && resident.done <= now {
                resident.copy.phase = Phase::Ready;
            }
        }
    }

    /// Carries out an order.
    pub fn order(&mut self, now: Point, order: &Order) -> Reply {
        self.advance(now);
        if self.config.fencing {
            if order.token < self.token {
                self.counters.fenced += 1;
                return Reply::Fenced;
            }
            self.token = order.token;
        }
        let reply = match &order.action {
            Action::Load { artifact, bytes } => self.load(now, artifact, *bytes),
            Action::Unload { artifact } => self.unload(now, artifact),
            Action::Fence => Reply::Accepted,
        };
        if reply == Reply::Accepted {
            self.counters.orders += 1;
        }
        reply
    }

    fn load(&mut self, now: Point, artifact: &Artifact, bytes: Bytes) -> Reply {
        if let Some(resident) = self.find(artifact) {
            // An artifact that is being unloaded can't be kept; the controller asks again later.
            let busy = resident.copy.phase == Phase::Unloading;
            return if busy {
                Reply::Refused
            } else {
                Reply::Accepted
            };
        }
        if self.used().saturating_add(bytes) > self.config.memory {
            self.counters.overcommitted += 1;
            return Reply::Refused;
        }
        let rate = self.config.load_rate.0.max(1);
        let done = now + Duration::from_millis(bytes.0.saturating_mul(1000) / rate);
        let copy = Copy {
            artifact: artifact.clone(),
            phase: Phase::Loading,
            bytes,
        };
        self.residents.push(Resident { copy, done });
        self.counters.loads.push(Loading {
            begun_ms: millis(now),
            done_ms: millis(done),
        });
        Reply::Accepted
    }

    fn unload(&mut self, now: Point, artifact: &Artifact) -> Reply {
        if let Some(resident) = self
            .residents
            .iter_mut()
            .find(|r| r.copy.artifact == *artifact)
        {
            resident.copy.phase = Phase::Unloading;
            resident.done = now + Duration::from_millis(50);
        }
        Reply::Accepted
    }

    fn find(&self, artifact: &Artifact) -> Option<&Resident> {
        self.residents
            .iter()
            .find(|resident| resident.copy.artifact == *artifact)
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        self.residents
            .iter()
            .map(|resident| resident.copy.bytes)
            .sum()
    }

    /// Starts a generation, or returns `false` if the artifact is not ready.
    pub fn begin(&mut self, now: Point, artifact: &Artifact) -> bool {
        self.advance(now);
        let is_late = self
            .leaving
            .is_some_and(|since| now.since(since) > LEAVING_BOUND);
        self.counters.asked_after_leaving_bound += u64::from(is_late);
        let ready = self
            .find(artifact)
            .is_some_and(|r| r.copy.phase == Phase::Ready);
        let base = artifact.base();
        let base_ready = self
            .find(&base)
            .is_some_and(|r| r.copy.phase == Phase::Ready);
        if !(ready && base_ready) {
            return false;
        }
        self.counters.started_while_leaving += u64::from(self.is_leaving());
        self.counters.generations += 1;
        self.running += 1;
        true
    }

    /// Ends a generation that was begun.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a token.
    pub fn count_token(&mut self) {
        self.counters.tokens += 1;
    }

    /// Returns the gap to the next token at the present load.
    pub fn token_gap(&self) -> Duration {
        let slots = self.config.slots.max(1);
        // Beyond a full batch the slots are shared, so the gap grows with the queue.
        let share = f64::from(self.running) / f64::from(slots);
        self.config
            .token_gap
            .mul_f64(1.0 + share.min(1.0) + (share - 1.0).max(0.0))
    }

    /// Returns the time for a prompt and remembers its prefix.
    pub fn prompt_time(&mut self, now: Point, prefix: Prefix, messages: u32) -> Duration {
        let messages = messages.max(1);
        let bytes = self.config.message_memory.0.saturating_mul(messages.into());
        let is_cached = self.cache.lookup(now, prefix, Bytes(bytes));
        self.counters.prefix_hits += u64::from(is_cached);
        self.counters.prefix_misses += u64::from(!is_cached);
        match (is_cached, messages) {
            (true, 1) => self.config.prompt_time / CACHED_SHARE,
            (true, _) => self.config.prompt_time,
            (false, _) => self.config.prompt_time * messages,
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&mut self) -> &mut Cache {
        &mut self.cache
    }

    /// Says that the engine is leaving.
    pub fn leave(&mut self, now: Point) {
        self.leaving.get_or_insert(now);
    }

    /// Returns whether the engine is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns the artifacts in memory.
    pub fn copies(&self) -> Vec<Copy> {
        self.residents
            .iter()
            .map(|resident| resident.copy.clone())
            .collect()
    }

    /// Returns the load.
    pub fn load_now(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            slots: self.config.slots,
        }
    }

    /// Returns the highest fencing token seen.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Returns the memory for artifacts.
    pub fn memory(&self) -> Bytes {
        self.config.memory
    }

    /// Returns what was done so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
