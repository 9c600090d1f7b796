//! State of a model engine.
//!
//! Service times follow a simple model of continuous batching: the gap between tokens grows with the share of batch
//! slots in use, and the first token is delayed by the part of the prompt that is not in the prefix cache. The memory
//! of the engine is the reference by which tests judge a controller: a load that would exceed it is refused and counted
//! as an overcommitment. Without fencing, orders with an old token are carried out.

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

/// Divisor of the time of a message for a prompt whose only message is cached: the engine still processes the last
/// block to compute the first token.
const CACHED_PROMPT_DIVISOR: u32 = 10;

/// Time after which a leaving target must receive no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// Accelerator memory for artifacts.
    pub memory: Bytes,
    /// Maximum number of concurrent requests in the batch.
    pub slots: u32,
    /// Gap between tokens in an empty batch. It is twice as long in a full batch.
    pub token_gap: Duration,
    /// Time to process one message of a prompt that is not cached.
    pub prompt_time: Duration,
    /// Memory of the prefix cache.
    pub cache_memory: Bytes,
    /// Size of the KV cache of one message.
    pub message_memory: Bytes,
    /// Bytes that the weight store delivers per second.
    pub load_rate: Bytes,
    /// Whether orders with an old fencing token are refused.
    pub has_fencing: bool,
}

/// Counters of an engine, for tests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Orders that were accepted, including repeated ones.
    pub orders: u64,
    /// Orders that were refused because of an old fencing token.
    pub fenced: u64,
    /// Loads that were refused because they did not fit into memory.
    pub overcommitted: u64,
    /// Generations that were started.
    pub generations: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Prompts whose prefix was not cached.
    pub prefix_misses: u64,
    /// Tokens that were sent.
    pub tokens: u64,
    /// Generations that were started while the engine was leaving.
    pub started_while_leaving: u64,
    /// Generations that were requested more than 3 s after the engine began to leave, including refused ones.
    pub asked_after_leaving_bound: u64,
    /// Loads in the order in which they began.
    pub loads: Vec<LoadTimes>,
}

/// Start and end of the load of an artifact, in milliseconds since the start of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadTimes {
    /// Start of the load.
    pub begun_ms: u64,
    /// End of the load.
    pub done_ms: u64,
}

#[derive(Debug, Clone)]
struct Resident {
    /// Artifact in memory, with its phase.
    copy: Copy,
    /// Time at which the load or unload in progress is complete.
    done_at: Point,
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
    leaving_since: Option<Point>,
    cache: Cache,
    counters: Counters,
}

impl Engine {
    /// Returns an engine with empty memory.
    pub fn new(config: Config) -> Self {
        Self {
            cache: Cache::new(config.cache_memory),
            config,
            residents: Vec::new(),
            token: id::Token(0),
            running: 0,
            waiting: 0,
            leaving_since: None,
            counters: Counters::default(),
        }
    }

    /// Completes the loads and unloads that are due.
    pub fn advance(&mut self, now: Point) {
        self.residents.retain(|resident| {
            !(resident.copy.phase == Phase::Unloading && resident.done_at <= now)
        });
        for resident in &mut self.residents {
            if resident.copy.phase == Phase::Loading && resident.done_at <= now {
                resident.copy.phase = Phase::Ready;
            }
        }
    }

    /// Carries out an order, unless its fencing token is old or its load does not fit.
    pub fn order(&mut self, now: Point, order: &Order) -> Reply {
        self.advance(now);
        if self.config.has_fencing {
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
            // An artifact that is being unloaded can't be retained. The controller repeats the order later.
            let is_unloading = resident.copy.phase == Phase::Unloading;
            return if is_unloading {
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
        let done_at = now + Duration::from_millis(bytes.0.saturating_mul(1000) / rate);
        let copy = Copy {
            artifact: artifact.clone(),
            phase: Phase::Loading,
            bytes,
        };
        self.residents.push(Resident { copy, done_at });
        self.counters.loads.push(LoadTimes {
            begun_ms: millis(now),
            done_ms: millis(done_at),
        });
        Reply::Accepted
    }

    fn unload(&mut self, now: Point, artifact: &Artifact) -> Reply {
        if let Some(resident) = self
            .residents
            .iter_mut()
            .find(|resident| resident.copy.artifact == *artifact)
        {
            resident.copy.phase = Phase::Unloading;
            resident.done_at = now + Duration::from_millis(50);
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

    /// Starts a generation, or returns `false` if the artifact or its base model is not ready.
    pub fn begin_generation(&mut self, now: Point, artifact: &Artifact) -> bool {
        self.advance(now);
        let is_late = self
            .leaving_since
            .is_some_and(|since| now.since(since) > LEAVING_BOUND);
        self.counters.asked_after_leaving_bound += u64::from(is_late);
        let is_ready = self
            .find(artifact)
            .is_some_and(|resident| resident.copy.phase == Phase::Ready);
        let base = artifact.base();
        let is_base_ready = self
            .find(&base)
            .is_some_and(|resident| resident.copy.phase == Phase::Ready);
        if !(is_ready && is_base_ready) {
            return false;
        }
        self.counters.started_while_leaving += u64::from(self.is_leaving());
        self.counters.generations += 1;
        self.running += 1;
        true
    }

    /// Ends a generation that was started.
    pub fn end_generation(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a token that was sent.
    pub fn count_token(&mut self) {
        self.counters.tokens += 1;
    }

    /// Returns the time until the next token at the current load.
    pub fn token_gap(&self) -> Duration {
        let slots = self.config.slots.max(1);
        // With more requests than slots, the slots are shared, so the gap grows with the excess.
        let share = f64::from(self.running) / f64::from(slots);
        self.config
            .token_gap
            .mul_f64(1.0 + share.min(1.0) + (share - 1.0).max(0.0))
    }

    /// Returns the processing time of a prompt and stores its prefix in the cache.
    pub fn prompt_time(&mut self, now: Point, prefix: Prefix, messages: u32) -> Duration {
        let messages = messages.max(1);
        let bytes = self.config.message_memory.0.saturating_mul(messages.into());
        let is_cached = self.cache.lookup_or_store(now, prefix, Bytes(bytes));
        self.counters.prefix_hits += u64::from(is_cached);
        self.counters.prefix_misses += u64::from(!is_cached);
        match (is_cached, messages) {
            (true, 1) => self.config.prompt_time / CACHED_PROMPT_DIVISOR,
            (true, _) => self.config.prompt_time,
            (false, _) => self.config.prompt_time * messages,
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&mut self) -> &mut Cache {
        &mut self.cache
    }

    /// Marks the engine as leaving.
    pub fn leave(&mut self, now: Point) {
        self.leaving_since.get_or_insert(now);
    }

    /// Returns whether the engine is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns the artifacts in memory.
    pub fn copies(&self) -> Vec<Copy> {
        self.residents
            .iter()
            .map(|resident| resident.copy.clone())
            .collect()
    }

    /// Returns the current load.
    pub fn current_load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            slots: self.config.slots,
        }
    }

    /// Returns the highest fencing token received in an order; 0 if fencing is off.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Returns the memory for artifacts.
    pub fn memory(&self) -> Bytes {
        self.config.memory
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
