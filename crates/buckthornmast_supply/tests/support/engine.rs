//! Load model of a batching engine: each step reads prompts that have arrived, up to a bound, and then generates a
//! token of every running answer, so reading a prompt delays all answers.
#![allow(dead_code, reason = "shared by several test binaries")]

use std::collections::VecDeque;

/// Time of a step without prompts, in milliseconds.
pub(crate) const STEP_MS: f64 = 5.0;

/// Prompt tokens that are read per millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// Maximum number of prompt tokens that are read in a step.
const MAX_STEP_TOKENS: f64 = 2048.0;

/// Steps per event of an answer.
pub(crate) const STEPS_PER_EVENT: u32 = 6;

/// Answer in progress or complete. All times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) arrived: f64,
    pub(crate) first: f64,
    pub(crate) longest_gap: f64,
    pub(crate) done: f64,
    last: f64,
    steps: u32,
    events: u32,
    prompt: f64,
}

impl Answer {
    pub(crate) fn prompt(&self) -> f64 {
        self.prompt
    }

    pub(crate) fn new(arrived: f64, prompt: f64, events: u32) -> Self {
        Self {
            arrived,
            first: 0.0,
            longest_gap: 0.0,
            done: 0.0,
            last: 0.0,
            steps: 0,
            events,
            prompt,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Engine {
    pub(crate) slots: usize,
    /// Time that work takes, as a ratio of its usual time.
    pub(crate) pace: f64,
    queue: VecDeque<Answer>,
    running: Vec<Answer>,
    pub(crate) done: Vec<Answer>,
    now: f64,
}

impl Engine {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            pace: 1.0,
            ..Self::default()
        }
    }

    pub(crate) fn send(&mut self, answer: Answer) {
        self.queue.push_back(answer);
    }

    pub(crate) fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Simulates until a time, in milliseconds.
    pub(crate) fn run_until(&mut self, until: f64) {
        while self.now < until {
            let mut budget = MAX_STEP_TOKENS;
            let mut read = 0.0;
            while budget > 0.0 && self.running.len() < self.slots {
                let Some(mut answer) = self.queue.pop_front() else {
                    break;
                };
                let part = answer.prompt.min(budget);
                answer.prompt -= part;
                budget -= part;
                read += part;
                if answer.prompt > 0.0 {
                    self.queue.push_front(answer);
                } else {
                    self.running.push(answer);
                }
            }
            self.now += (STEP_MS + read / PREFILL_TOKENS_PER_MS) * self.pace;
            for answer in &mut self.running {
                answer.steps += 1;
                if answer.first == 0.0 {
                    answer.first = self.now;
                    answer.last = self.now;
                } else if answer.steps.is_multiple_of(STEPS_PER_EVENT) {
                    answer.longest_gap = answer.longest_gap.max(self.now - answer.last);
                    answer.last = self.now;
                }
            }
            let now = self.now;
            let done = &mut self.done;
            self.running.retain_mut(|answer| {
                let is_done = answer.steps >= answer.events * STEPS_PER_EVENT;
                if is_done {
                    answer.done = now;
                    done.push(*answer);
                }
                !is_done
            });
        }
    }
}
