//! Beginnings of prompts that a target probably keeps.
//!
//! A target keeps the parts of prompts that it has read in the memory that its running requests leave free, and evicts
//! the least recently used ones. Nobody reports this in time, so it is inferred from the requests that were sent there:
//! a part is kept as long as no more tokens have passed through the target since its last use than its memory has room
//! for. Requests that were sent without a permit aren't seen, so that certainty fades as the room is used up and with
//! time. A new incarnation of a target has a new record, and an unloaded model takes its parts with it.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{prompt::Prefix, time::Point};

/// Share of the room up to which a part counts in full. Beyond it, it may be evicted while the request is on its way.
const CERTAIN_ROOM_SHARE: f64 = 0.7;

/// Time over which a part that isn't used loses its weight, since not all requests are seen.
const DOUBT_SPAN: Duration = Duration::from_secs(20);

/// Weight of a new request in the mean length of requests.
const MEAN_WEIGHT: f64 = 0.1;

/// Maximum number of parts that are remembered for a target.
const MAX_PARTS: usize = 1024;

/// Number that identifies the model of a part.
pub type ModelHash = u64;

#[derive(Debug, Clone, Copy)]
struct Part {
    model: ModelHash,
    // Tokens that had passed through the target when the part was last used.
    passed: u64,
    used_at: Point,
}

/// Request that is sent to a target.
#[derive(Debug, Clone, Copy)]
pub struct Use<'a> {
    /// Model.
    pub model: ModelHash,
    /// Beginnings of the prompt, from the shortest to the longest.
    pub prefixes: &'a [Prefix],
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub answer_tokens: u32,
}

/// Parts that one incarnation of a target probably keeps.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    parts: HashMap<u64, Part>,
    // Tokens that have passed through the target.
    passed: u64,
    mean_tokens: f64,
}

impl Cache {
    /// Returns the number of tokens of a prompt that the target is expected to keep, with its memory for `capacity` tokens
    /// shared by this many running requests.
    pub fn kept_tokens(&self, prefixes: &[Prefix], capacity: u64, running: f64, now: Point) -> f64 {
        let room = capacity as f64 - running * self.mean_tokens;
        let mut kept = 0.0;
        let mut certainty: f64 = 1.0;
        // A part is only of use together with all parts before it.
        for prefix in prefixes {
            let Some(part) = self.parts.get(&prefix.hash) else {
                break;
            };
            certainty = certainty.min(self.certainty(part, room, now));
            kept += f64::from(prefix.tokens) * certainty;
        }
        kept
    }

    fn certainty(&self, part: &Part, room: f64, now: Point) -> f64 {
        if room <= 0.0 {
            return 0.0;
        }
        let used = (self.passed - part.passed) as f64 / room;
        let by_room = ((1.0 - used) / (1.0 - CERTAIN_ROOM_SHARE)).clamp(0.0, 1.0);
        let idle = now.since(part.used_at).as_secs_f64();
        by_room * (-idle / DOUBT_SPAN.as_secs_f64()).exp()
    }

    /// Records a request, of which the target probably keeps this many tokens already.
    pub fn record(&mut self, request: Use<'_>, kept_tokens: f64, now: Point) {
        let tokens = f64::from(request.prompt_tokens) + f64::from(request.answer_tokens);
        self.passed += (tokens - kept_tokens).max(0.0) as u64;
        self.mean_tokens = if self.mean_tokens > 0.0 {
            self.mean_tokens + (tokens - self.mean_tokens) * MEAN_WEIGHT
        } else {
            tokens
        };
        for prefix in request.prefixes {
            self.parts.insert(
                prefix.hash,
                Part {
                    model: request.model,
                    passed: self.passed,
                    used_at: now,
                },
            );
        }
        if self.parts.len() > MAX_PARTS {
            self.remove_oldest_half();
        }
    }

    /// Forgets the parts of models that the target no longer has.
    pub fn retain_models(&mut self, is_resident: impl Fn(ModelHash) -> bool) {
        self.parts.retain(|_, part| is_resident(part.model));
    }

    fn remove_oldest_half(&mut self) {
        let mut passed: Vec<u64> = self.parts.values().map(|part| part.passed).collect();
        let middle = passed.len() / 2;
        let (_, median, _) = passed.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, part| part.passed > median);
    }
}
