//! Load model of a batching engine: each step reads prompts that have arrived, up to a bound, and then makes a token
//! of every running answer, so a prompt that is read holds up all answers.
#![allow(dead_code, reason = "shared by several test binaries")]

use std::collections::VecDeque;

/// Time of a step without prompts, in milliseconds.
pub(crate) const STEP: f64 = 5.0;

/// Prompt tokens that are read in a millisecond.
pub(crate) const READ: f64 = 40.0;

/// Prompt tokens that are read in a step at most.
const CHUNK: f64 = 2048.0;

/// Steps in which an event of an answer is made.
pub(crate) const STRIDE: u32 = 6;

/// Answer in progress, or done.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) asked: f64,
    pub(crate) first: f64,
    pub(crate) longest: f64,
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

    pub(crate) fn new(asked: f64, prompt: f64, events: u32) -> Self {
        Self {
            asked,
            first: 0.0,
            longest: 0.0,
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
    queue: VecDeque<Answer>,
    running: Vec<Answer>,
    pub(crate) done: Vec<Answer>,
    now: f64,
}

impl Engine {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    pub(crate) fn send(&mut self, answer: Answer) {
        self.queue.push_back(answer);
    }

    pub(crate) fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Plays until a time, in milliseconds.
    pub(crate) fn play(&mut self, until: f64) {
        while self.now < until {
            let mut chunk = CHUNK;
            let mut read = 0.0;
            while chunk > 0.0 && self.running.len() < self.slots {
                let Some(mut answer) = self.queue.pop_front() else {
                    break;
                };
                let part = answer.prompt.min(chunk);
                answer.prompt -= part;
                chunk -= part;
                read += part;
                if answer.prompt > 0.0 {
                    self.queue.push_front(answer);
                } else {
                    self.running.push(answer);
                }
            }
            self.now += STEP + read / READ;
            for answer in &mut self.running {
                answer.steps += 1;
                if answer.first == 0.0 {
                    answer.first = self.now;
                    answer.last = self.now;
                } else if answer.steps.is_multiple_of(STRIDE) {
                    answer.longest = answer.longest.max(self.now - answer.last);
                    answer.last = self.now;
                }
            }
            let now = self.now;
            let done = &mut self.done;
            self.running.retain_mut(|answer| {
                let is_done = answer.steps >= answer.events * STRIDE;
                if is_done {
                    answer.done = now;
                    done.push(*answer);
                }
                !is_done
            });
        }
    }
}
