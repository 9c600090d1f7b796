//! Calls: admission, dispatches, first tokens, ends and retries.

use std::cmp::Reverse;

use buckthornmast_routing::{
    admission::Verdict,
    attempt::{Decision, History},
    dispatcher::Completion,
};
use buckthornmast_types::outcome::Execution;
use rand::Rng;

use crate::{
    engine::Request,
    path::{self, Dequeued, Path, Pick, REFRESH_SECONDS},
    world::{INSTANCE_COUNT, World},
};

/// Delay in seconds after which a caller retries a call that failed at once.
const ERROR_RETRY_SECONDS: f64 = 1.0;
/// Longest delay in seconds after which a caller retries a call whose answer was late.
const MAX_LATE_RETRY_SECONDS: f64 = 0.1;
/// Shortest time limit of a call that counts as batch work, for which no user waits.
const MIN_BATCH_DEADLINE: std::time::Duration = std::time::Duration::from_secs(30);

/// One try of a caller's request; each retry is a call of its own.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    item: usize,
    instance: usize,
    /// Arrival of the first try in seconds.
    first_arrival: f64,
    /// Number of this try, from 1.
    tries: u32,
    request: Request,
    /// Time of the admission in seconds; `None` before it and after the release.
    admitted_at: Option<f64>,
    /// Targets to which this try was sent.
    tried: Vec<usize>,
    history: History,
    /// Artifact that has begun the answer; only this version may continue it.
    answering_item: Option<usize>,
    /// Dispatches that have not ended.
    active: Vec<usize>,
    is_finished: bool,
}

/// Dispatch of a call to an engine.
#[derive(Debug, Clone)]
pub(crate) struct Dispatched {
    call: usize,
    pick: Pick,
    sent_at: f64,
    incarnation: u64,
    /// Start, first token and end without a cancellation in seconds, once the engine has begun.
    started: Option<(f64, f64, f64)>,
    tokens: f64,
    is_in_time: bool,
    is_finished: bool,
}

enum SendResult {
    Accepted,
    Failed,
    NoTarget,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum EventKind {
    /// An answer ends or is cancelled at its deadline.
    Done { dispatch: usize },
    /// The first token of an answer.
    FirstToken { dispatch: usize },
    /// The deadline of a call.
    Deadline { call: usize },
    /// A call leaves an admission queue.
    Dequeue { call: usize, is_admitted: bool },
    /// A caller retries a call.
    Retry { call: usize },
    /// A second dispatch is due.
    Hedge { call: usize },
    /// Capacities of an instance are updated.
    Refresh { instance: usize },
}

/// Scheduled event; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Event {
    at: f64,
    sequence: u64,
    kind: EventKind,
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

impl<P: Path> World<'_, P> {
    pub(crate) fn schedule(&mut self, at: f64, kind: EventKind) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(Event { at, sequence, kind }));
    }

    /// Handles all events up to a time.
    pub(crate) fn advance(&mut self, until: f64) {
        while self.events.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(Event { at, kind, .. })) = self.events.pop() else {
                return;
            };
            match kind {
                EventKind::Done { dispatch } => self.handle_end(at, dispatch),
                EventKind::FirstToken { dispatch } => self.handle_first_token(at, dispatch),
                EventKind::Deadline { call } => self.handle_deadline(at, call),
                EventKind::Dequeue { call, is_admitted } => self.dequeue(at, call, is_admitted),
                EventKind::Retry { call } => self.retry(at, call),
                EventKind::Hedge { call } => self.hedge(at, call),
                EventKind::Refresh { instance } => {
                    let dequeued = self.paths[instance].refresh(at);
                    self.schedule_dequeued(at, dequeued);
                    // The longest deadline is 60 s, so waiting calls leave the queues within 100 s after the trace.
                    if at < self.trace.seconds + 100.0 {
                        self.schedule(at + REFRESH_SECONDS, EventKind::Refresh { instance });
                    }
                }
            }
        }
    }

    fn schedule_dequeued(&mut self, now: f64, dequeued: Dequeued) {
        for (call, is_admitted) in dequeued {
            self.schedule(now, EventKind::Dequeue { call, is_admitted });
        }
    }

    /// Starts a call for an artifact, at a random entry instance.
    pub(crate) fn arrive(&mut self, now: f64, item: usize) {
        let spec = &self.specs[item];
        let spread = self.random.random_range(0.5..1.5);
        let request = Request {
            at: now,
            deadline: now + spec.deadline.as_secs_f64(),
            tokens: spec.tokens * spread,
            dispatch: 0,
            is_urgent: !self.trace.has_classes || spec.deadline < MIN_BATCH_DEADLINE,
        };
        let interactive = u32::from(spec.deadline < MIN_BATCH_DEADLINE);
        let instance = self.random.random_range(0..INSTANCE_COUNT);
        self.score.requests += 1;
        let second = self.score.second(now);
        second.arrived += 1;
        second.interactive += interactive;
        self.offer(
            now,
            Call {
                item,
                instance,
                first_arrival: now,
                tries: 1,
                request,
                admitted_at: None,
                tried: Vec::new(),
                history: History::default(),
                answering_item: None,
                active: Vec::new(),
                is_finished: false,
            },
        );
    }

    fn retry(&mut self, now: f64, call: usize) {
        let previous = &self.calls[call];
        let time_limit = previous.request.deadline - previous.request.at;
        let mut next = Call {
            tries: previous.tries + 1,
            admitted_at: None,
            tried: Vec::new(),
            history: History::default(),
            answering_item: None,
            active: Vec::new(),
            is_finished: false,
            ..previous.clone()
        };
        next.request.at = now;
        next.request.deadline = now + time_limit;
        next.instance = self.random.random_range(0..INSTANCE_COUNT);
        self.offer(now, next);
    }

    fn offer(&mut self, now: f64, call: Call) {
        let newest = self.newest(now, call.item);
        self.arrived[newest].0 += 1.0;
        self.arrived[newest].1 += call.request.tokens;
        self.score.tries += 1;
        let id = self.calls.len();
        let (instance, item, request) = (call.instance, call.item, call.request);
        let deadline = request.deadline;
        self.calls.push(call);
        match self.paths[instance].offer(id, item, &request, now) {
            Verdict::Run => {
                self.schedule(deadline, EventKind::Deadline { call: id });
                self.dequeue(now, id, true);
            }
            Verdict::Queued => self.schedule(deadline, EventKind::Deadline { call: id }),
            Verdict::Refused { retry_after, .. } => {
                self.refuse(now, id, retry_after.as_secs_f64());
            }
        }
    }

    fn dequeue(&mut self, now: f64, call: usize, is_admitted: bool) {
        if !is_admitted {
            return self.refuse(now, call, ERROR_RETRY_SECONDS);
        }
        self.calls[call].admitted_at = Some(now);
        let instance = self.calls[call].instance;
        self.paths[instance].record_admission();
        if self.calls[call].is_finished {
            return self.release(now, call);
        }
        self.dispatch(now, call);
    }

    fn release(&mut self, now: f64, call: usize) {
        let Call { instance, item, .. } = self.calls[call];
        if let Some(since) = self.calls[call].admitted_at.take() {
            let dequeued = self.paths[instance].release(item, now - since, now);
            self.schedule_dequeued(now, dequeued);
        }
    }

    /// Answers a call with an error, after which the caller retries or gives up.
    fn refuse(&mut self, now: f64, call: usize, retry_delay: f64) {
        self.release(now, call);
        if std::mem::replace(&mut self.calls[call].is_finished, true) {
            return;
        }
        self.score.failed_tries += 1;
        if self.calls[call].tries < self.trace.max_tries {
            let spread = 1.0 + self.random.random::<f64>();
            self.schedule(now + retry_delay * spread, EventKind::Retry { call });
        } else if self.calls[call].history.execution() == Execution::No {
            self.score.refused += 1;
        } else {
            self.score.lost_requests += 1;
        }
    }

    /// Tries targets until one accepts the call or none is left to try.
    fn dispatch(&mut self, now: f64, call: usize) {
        loop {
            match self.send(now, call) {
                SendResult::Accepted => return,
                SendResult::NoTarget => return self.refuse(now, call, ERROR_RETRY_SECONDS),
                SendResult::Failed => {}
            }
            let Call {
                instance,
                history,
                request,
                ..
            } = self.calls[call];
            let decision = self.paths[instance].decide(&history, request.deadline, now);
            if let Decision::End { .. } = decision {
                return self.refuse(now, call, ERROR_RETRY_SECONDS);
            }
        }
    }

    /// Returns whether an untried target reports a copy; `tried` is short, so the search in it is linear.
    fn has_target(&self, now: f64, call: usize) -> bool {
        let Call { item, tried, .. } = &self.calls[call];
        let replacement = self.controller.replacement(*item);
        (0..self.engines.len()).any(|target| {
            let report = self.controller.fresh_report(target, now);
            let can_answer =
                |copy: &crate::engine::Copy| copy.item == *item || Some(copy.item) == replacement;
            !tried.contains(&target)
                && report.is_some_and(|report| report.copies.iter().any(can_answer))
        })
    }

    /// Sends a call to one more target.
    fn send(&mut self, now: f64, call: usize) -> SendResult {
        let state = &self.calls[call];
        let (instance, mut request) = (state.instance, state.request);
        let item = state.answering_item.unwrap_or(state.item);
        let is_exact = state.answering_item.is_some();
        let path = &mut self.paths[instance];
        let Some(pick) = path.pick(item, is_exact, &state.tried, now, &mut self.random) else {
            return SendResult::NoTarget;
        };
        self.calls[call].tried.push(pick.target);
        self.score.dispatches += 1;
        let replacement = self.controller.replacement(item);
        let engine = &self.engines[pick.target];
        if let Some((completion, progress)) = path::refusal(engine, item, replacement) {
            self.paths[instance].record_end(&pick, completion, now);
            self.calls[call].history.add(progress);
            return SendResult::Failed;
        }
        let dispatch = self.dispatches.len();
        request.dispatch = dispatch;
        let target = pick.target;
        self.dispatches.push(Dispatched {
            call,
            pick,
            sent_at: now,
            incarnation: engine.incarnation,
            started: None,
            tokens: request.tokens,
            is_in_time: false,
            is_finished: false,
        });
        self.calls[call].active.push(dispatch);
        if engine.running < engine.slots {
            self.start(now, target, request);
        } else {
            self.engines[target].waiting.push_back(request);
        }
        let first = self.calls[call].active.len() == 1;
        if first && let Some(at) = self.paths[instance].hedge_at(now, request.deadline) {
            self.schedule(at, EventKind::Hedge { call });
        }
        SendResult::Accepted
    }

    fn start(&mut self, now: f64, target: usize, request: Request) {
        let (low, high) = self.trace.prompt_seconds;
        let prompt = match high > low {
            true => self.random.random_range(low..high),
            false => low,
        };
        let started = self.engines[target].start(now, request, prompt);
        if started.first < request.deadline {
            self.score
                .first_tokens
                .push((started.first - request.at) as f32);
            let dispatch = request.dispatch;
            self.schedule(started.first, EventKind::FirstToken { dispatch });
        }
        let dispatch = &mut self.dispatches[request.dispatch];
        dispatch.started = Some((now, started.first, started.full_end));
        dispatch.is_in_time = started.is_in_time;
        let dispatch = request.dispatch;
        self.schedule(started.end, EventKind::Done { dispatch });
    }

    /// Continues with the first dispatch that answers and cancels the other one.
    fn handle_first_token(&mut self, now: f64, dispatch: usize) {
        let Dispatched {
            call, is_finished, ..
        } = self.dispatches[dispatch];
        if is_finished {
            return;
        }
        let losers = self.calls[call].active.iter().copied();
        for loser in losers
            .filter(|other| *other != dispatch)
            .collect::<Vec<_>>()
        {
            self.cancel(now, loser);
        }
        self.calls[call].answering_item = Some(self.dispatches[dispatch].pick.item);
    }

    /// Cancels a dispatch at its engine.
    fn cancel(&mut self, now: f64, dispatch: usize) {
        let dispatched = &mut self.dispatches[dispatch];
        if std::mem::replace(&mut dispatched.is_finished, true) {
            return;
        }
        let (call, target) = (dispatched.call, dispatched.pick.target);
        let (pick, started) = (dispatched.pick.clone(), dispatched.started);
        let is_same_incarnation = dispatched.incarnation == self.engines[target].incarnation;
        self.calls[call].active.retain(|other| *other != dispatch);
        let instance = self.calls[call].instance;
        self.paths[instance].record_end(&pick, Completion::Abandoned, now);
        if !is_same_incarnation || !self.engines[target].is_alive {
            return;
        }
        match started {
            Some((since, ..)) => {
                self.score.wasted_slot_seconds += now - since;
                self.free_slot(now, target);
            }
            None => {
                let waiting = &mut self.engines[target].waiting;
                waiting.retain(|request| request.dispatch != dispatch);
            }
        }
    }

    /// Frees a slot and starts the next request that can still be in time.
    fn free_slot(&mut self, now: f64, target: usize) {
        let engine = &mut self.engines[target];
        engine.running -= 1;
        while let Some(request) = self.engines[target].take_waiting() {
            if request.deadline > now {
                self.start(now, target, request);
                break;
            }
        }
    }

    fn handle_end(&mut self, now: f64, dispatch: usize) {
        let dispatched = &mut self.dispatches[dispatch];
        let target = dispatched.pick.target;
        let engine = &self.engines[target];
        if dispatched.is_finished
            || !engine.is_alive
            || engine.incarnation != dispatched.incarnation
        {
            return;
        }
        dispatched.is_finished = true;
        let is_partitioned = engine.is_partitioned;
        let (call, is_in_time, sent) = (
            dispatched.call,
            dispatched.is_in_time && !is_partitioned,
            dispatched.sent_at,
        );
        let (since, first, _) = dispatched.started.unwrap_or((now, now, now));
        let pick = dispatched.pick.clone();
        self.calls[call].active.retain(|other| *other != dispatch);
        let instance = self.calls[call].instance;
        // An answer that the deadline or a partition cuts off counts as abandoned, even after its first token.
        let completion = match is_in_time {
            true => Completion::Answered(std::time::Duration::from_secs_f64(first - sent)),
            false => Completion::Abandoned,
        };
        self.paths[instance].record_end(&pick, completion, now);
        if is_in_time {
            self.score.useful_slot_seconds += now - since;
            if !std::mem::replace(&mut self.calls[call].is_finished, true) {
                self.score.in_time += 1;
                let Call {
                    first_arrival,
                    item,
                    ..
                } = self.calls[call];
                let interactive = u32::from(self.specs[item].deadline < MIN_BATCH_DEADLINE);
                let second = self.score.second(first_arrival);
                second.in_time += 1;
                second.interactive_in_time += interactive;
                self.score.second(now).answered += 1;
            }
        } else {
            self.score.wasted_slot_seconds += now - since;
        }
        if self.calls[call].active.is_empty() {
            self.release(now, call);
        }
        self.free_slot(now, target);
        if !is_in_time && self.calls[call].active.is_empty() {
            self.expire(now, call);
        }
    }

    /// Ends a call whose deadline has passed.
    fn expire(&mut self, now: f64, call: usize) {
        if std::mem::replace(&mut self.calls[call].is_finished, true) {
            return;
        }
        self.score.late_tries += 1;
        if self.calls[call].tries < self.trace.max_tries {
            let pause = self.random.random::<f64>() * MAX_LATE_RETRY_SECONDS;
            self.schedule(now + pause, EventKind::Retry { call });
        }
    }

    fn handle_deadline(&mut self, now: f64, call: usize) {
        if self.calls[call].is_finished {
            return;
        }
        // Work that runs at an engine is cancelled by its own end event.
        let is_running = |dispatch: &&usize| self.dispatches[**dispatch].started.is_some();
        if self.calls[call]
            .active
            .iter()
            .any(|dispatch| is_running(&dispatch))
        {
            return;
        }
        for dispatch in std::mem::take(&mut self.calls[call].active) {
            let dispatched = &mut self.dispatches[dispatch];
            dispatched.is_finished = true;
            let pick = dispatched.pick.clone();
            let instance = self.calls[call].instance;
            self.paths[instance].record_end(&pick, Completion::Abandoned, now);
        }
        self.release(now, call);
        self.expire(now, call);
    }

    fn hedge(&mut self, now: f64, call: usize) {
        let state = &self.calls[call];
        if state.is_finished
            || state.answering_item.is_some()
            || state.active.len() != 1
            || !self.has_target(now, call)
        {
            return;
        }
        let instance = state.instance;
        if self.paths[instance].take_hedge(now) {
            self.score.hedges += 1;
            self.send(now, call);
        }
    }

    /// Fails the dispatches at an engine that has crashed.
    pub(crate) fn fail_dispatches(&mut self, now: f64, target: usize) {
        let failed = self.dispatches.iter().enumerate();
        let failed = failed
            .filter(|(_, dispatched)| dispatched.pick.target == target && !dispatched.is_finished);
        for dispatch in failed.map(|(at, _)| at).collect::<Vec<_>>() {
            self.fail_dispatch(now, dispatch);
        }
    }

    fn fail_dispatch(&mut self, now: f64, dispatch: usize) {
        let dispatched = &mut self.dispatches[dispatch];
        dispatched.is_finished = true;
        let (call, pick, tokens) = (dispatched.call, dispatched.pick.clone(), dispatched.tokens);
        let instance = self.calls[call].instance;
        let (since, first, full_end) =
            dispatched
                .started
                .unwrap_or((now, f64::INFINITY, f64::INFINITY));
        self.calls[call].active.retain(|other| *other != dispatch);
        self.paths[instance].record_end(&pick, Completion::Failed, now);
        if self.calls[call].is_finished || !self.calls[call].active.is_empty() {
            return;
        }
        let done = match now > first {
            true => tokens * ((now - first) / (full_end - first)).min(1.0),
            false => 0.0,
        };
        self.score.wasted_slot_seconds += now - since.max(first.min(now));
        self.calls[call]
            .history
            .add(path::progress_at_crash(first, done, now));
        self.calls[call].request.tokens -= done;
        let Call {
            history, request, ..
        } = self.calls[call];
        match self.paths[instance].decide(&history, request.deadline, now) {
            Decision::End { .. } => self.refuse(now, call, ERROR_RETRY_SECONDS),
            _ => self.dispatch(now, call),
        }
    }
}
