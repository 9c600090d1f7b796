//! Calls of clients: admission, dispatches, first tokens, ends and further tries.

use std::cmp::Reverse;

use buckthornmast_routing::{
    admission::Verdict,
    attempt::{Decision, History},
    dispatcher::Ended,
};
use buckthornmast_types::outcome::Run;
use rand::Rng;

use crate::{
    engine::Request,
    path::{self, Path, Pick, REFRESH, Turns},
    world::{INSTANCES, World},
};

/// Time after which a client that got an error at once comes back, in seconds.
const COME_BACK: f64 = 1.0;
/// Longest pause in seconds before a client whose answer was late tries again.
const PAUSE: f64 = 0.1;
/// Deadline from which nobody waits for an answer.
const LONG: std::time::Duration = std::time::Duration::from_secs(30);

/// Call of a client; each try is one.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    item: usize,
    instance: usize,
    /// First arrival in seconds, over all tries.
    born: f64,
    tries: u32,
    request: Request,
    admitted: Option<f64>,
    tried: Vec<usize>,
    history: History,
    /// Whether an answer has begun, so that only its version will do.
    begun: Option<usize>,
    active: Vec<usize>,
    over: bool,
}

/// Dispatch of a call to an engine.
#[derive(Debug, Clone)]
pub(crate) struct Dispatched {
    call: usize,
    pick: Pick,
    sent: f64,
    incarnation: u64,
    /// Start, first token and end in seconds, once the engine has begun.
    started: Option<(f64, f64, f64)>,
    tokens: f64,
    in_time: bool,
    over: bool,
}

enum Sent {
    Taken,
    Failed,
    NoTarget,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum What {
    /// An answer ends or is cancelled at its deadline.
    Done { dispatch: usize },
    /// The first token of an answer.
    First { dispatch: usize },
    /// The deadline of a call.
    Deadline { call: usize },
    /// A call leaves a queue.
    Turn { call: usize, run: bool },
    /// A client tries again.
    Again { call: usize },
    /// A second dispatch is due.
    Hedge { call: usize },
    /// Capacities of an instance are updated.
    Refresh { instance: usize },
}

/// Something that happens; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Event {
    at: f64,
    order: u64,
    what: What,
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
            .then(self.order.cmp(&other.order))
    }
}

impl<P: Path> World<'_, P> {
    pub(crate) fn at(&mut self, at: f64, what: What) {
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(Event { at, order, what }));
    }

    /// Handles everything that happens until a time.
    pub(crate) fn advance(&mut self, until: f64) {
        while self.events.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(Event { at, what, .. })) = self.events.pop() else {
                return;
            };
            match what {
                What::Done { dispatch } => self.done(at, dispatch),
                What::First { dispatch } => self.first(at, dispatch),
                What::Deadline { call } => self.deadline(at, call),
                What::Turn { call, run } => self.turn(at, call, run),
                What::Again { call } => self.again(at, call),
                What::Hedge { call } => self.hedge(at, call),
                What::Refresh { instance } => {
                    let turns = self.paths[instance].refresh(at);
                    self.turns(at, turns);
                    // Queues are empty some time after the last arrival.
                    if at < self.trace.seconds + 100.0 {
                        self.at(at + REFRESH, What::Refresh { instance });
                    }
                }
            }
        }
    }

    fn turns(&mut self, now: f64, turns: Turns) {
        for (call, run) in turns {
            self.at(now, What::Turn { call, run });
        }
    }

    /// Takes a new call of a client.
    pub(crate) fn arrive(&mut self, now: f64, item: usize) {
        let spec = &self.specs[item];
        let spread = self.random.random_range(0.5..1.5);
        let request = Request {
            at: now,
            deadline: now + spec.deadline.as_secs_f64(),
            tokens: spec.tokens * spread,
            dispatch: 0,
            urgent: !self.trace.classes || spec.deadline < LONG,
        };
        let urgent = u32::from(spec.deadline < LONG);
        let instance = self.random.random_range(0..INSTANCES);
        self.score.requests += 1;
        let second = self.score.second(now);
        second.arrived += 1;
        second.urgent += urgent;
        self.offer(
            now,
            Call {
                item,
                instance,
                born: now,
                tries: 1,
                request,
                admitted: None,
                tried: Vec::new(),
                history: History::default(),
                begun: None,
                active: Vec::new(),
                over: false,
            },
        );
    }

    fn again(&mut self, now: f64, call: usize) {
        let old = &self.calls[call];
        let patience = old.request.deadline - old.request.at;
        let mut new = Call {
            tries: old.tries + 1,
            admitted: None,
            tried: Vec::new(),
            history: History::default(),
            begun: None,
            active: Vec::new(),
            over: false,
            ..old.clone()
        };
        new.request.at = now;
        new.request.deadline = now + patience;
        new.instance = self.random.random_range(0..INSTANCES);
        self.offer(now, new);
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
                self.at(deadline, What::Deadline { call: id });
                self.turn(now, id, true);
            }
            Verdict::Queued => self.at(deadline, What::Deadline { call: id }),
            Verdict::Refused { retry_after, .. } => {
                self.refuse(now, id, retry_after.as_secs_f64());
            }
        }
    }

    fn turn(&mut self, now: f64, call: usize, run: bool) {
        if !run {
            return self.refuse(now, call, COME_BACK);
        }
        self.calls[call].admitted = Some(now);
        let instance = self.calls[call].instance;
        self.paths[instance].admitted();
        if self.calls[call].over {
            return self.release(now, call);
        }
        self.dispatch(now, call);
    }

    fn release(&mut self, now: f64, call: usize) {
        let Call { instance, item, .. } = self.calls[call];
        if let Some(since) = self.calls[call].admitted.take() {
            let turns = self.paths[instance].release(item, now - since, now);
            self.turns(now, turns);
        }
    }

    /// Answers a call with an error.
    fn refuse(&mut self, now: f64, call: usize, come_back: f64) {
        self.release(now, call);
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        self.score.errors += 1;
        if self.calls[call].tries < self.trace.tries {
            let spread = 1.0 + self.random.random::<f64>();
            self.at(now + come_back * spread, What::Again { call });
        } else if self.calls[call].history.run() == Run::No {
            self.score.refused += 1;
        } else {
            self.score.lost += 1;
        }
    }

    /// Tries targets until one takes the call or none is to be tried any more.
    fn dispatch(&mut self, now: f64, call: usize) {
        loop {
            match self.send(now, call) {
                Sent::Taken => return,
                Sent::NoTarget => return self.refuse(now, call, COME_BACK),
                Sent::Failed => {}
            }
            let Call {
                instance,
                history,
                request,
                ..
            } = self.calls[call];
            let decision = self.paths[instance].decide(&history, request.deadline, now);
            if let Decision::End { .. } = decision {
                return self.refuse(now, call, COME_BACK);
            }
        }
    }

    /// Returns whether an untried target is left; the tried ones are at most a few.
    fn has_target(&self, now: f64, call: usize) -> bool {
        let Call { item, tried, .. } = &self.calls[call];
        let new = self.controller.replacement(*item);
        (0..self.engines.len()).any(|target| {
            let report = self.controller.fresh(target, now);
            let has = |copy: &crate::engine::Copy| copy.item == *item || Some(copy.item) == new;
            !tried.contains(&target) && report.is_some_and(|own| own.copies.iter().any(has))
        })
    }

    /// Sends a call to one more target.
    fn send(&mut self, now: f64, call: usize) -> Sent {
        let own = &self.calls[call];
        let (instance, mut request) = (own.instance, own.request);
        let item = own.begun.unwrap_or(own.item);
        let exact = own.begun.is_some();
        let path = &mut self.paths[instance];
        let Some(pick) = path.pick(item, exact, &own.tried, now, &mut self.random) else {
            return Sent::NoTarget;
        };
        self.calls[call].tried.push(pick.target);
        self.score.dispatches += 1;
        let new = self.controller.replacement(item);
        let engine = &self.engines[pick.target];
        if let Some((ended, got)) = path::refusal(engine, item, new) {
            self.paths[instance].ended(&pick, ended, now);
            self.calls[call].history.add(got);
            return Sent::Failed;
        }
        let dispatch = self.dispatches.len();
        request.dispatch = dispatch;
        let target = pick.target;
        self.dispatches.push(Dispatched {
            call,
            pick,
            sent: now,
            incarnation: engine.incarnation,
            started: None,
            tokens: request.tokens,
            in_time: false,
            over: false,
        });
        self.calls[call].active.push(dispatch);
        if engine.running < engine.slots {
            self.start(now, target, request);
        } else {
            self.engines[target].waiting.push_back(request);
        }
        let first = self.calls[call].active.len() == 1;
        if first && let Some(at) = self.paths[instance].hedge_at(now, request.deadline) {
            self.at(at, What::Hedge { call });
        }
        Sent::Taken
    }

    fn start(&mut self, now: f64, target: usize, request: Request) {
        let (low, high) = self.trace.prompt;
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
            self.at(started.first, What::First { dispatch });
        }
        let dispatch = &mut self.dispatches[request.dispatch];
        dispatch.started = Some((now, started.first, started.whole));
        dispatch.in_time = started.in_time;
        let dispatch = request.dispatch;
        self.at(started.end, What::Done { dispatch });
    }

    /// The first of two dispatches that answers goes on; the other one is cancelled.
    fn first(&mut self, now: f64, dispatch: usize) {
        let Dispatched { call, over, .. } = self.dispatches[dispatch];
        if over {
            return;
        }
        let losers = self.calls[call].active.iter().copied();
        for loser in losers.filter(|own| *own != dispatch).collect::<Vec<_>>() {
            self.cancel(now, loser);
        }
        self.calls[call].begun = Some(self.dispatches[dispatch].pick.item);
    }

    /// Cancels a dispatch at its engine.
    fn cancel(&mut self, now: f64, dispatch: usize) {
        let own = &mut self.dispatches[dispatch];
        if std::mem::replace(&mut own.over, true) {
            return;
        }
        let (call, target) = (own.call, own.pick.target);
        let (pick, started) = (own.pick.clone(), own.started);
        let alive = own.incarnation == self.engines[target].incarnation;
        self.calls[call].active.retain(|own| *own != dispatch);
        let instance = self.calls[call].instance;
        self.paths[instance].ended(&pick, Ended::Abandoned, now);
        if !alive || !self.engines[target].alive {
            return;
        }
        match started {
            Some((since, ..)) => {
                self.score.wasted += now - since;
                self.free(now, target);
            }
            None => {
                let waiting = &mut self.engines[target].waiting;
                waiting.retain(|request| request.dispatch != dispatch);
            }
        }
    }

    /// Frees a slot and starts the next request that can still be in time.
    fn free(&mut self, now: f64, target: usize) {
        let engine = &mut self.engines[target];
        engine.running -= 1;
        while let Some(request) = self.engines[target].take_waiting() {
            if request.deadline > now {
                self.start(now, target, request);
                break;
            }
        }
    }

    fn done(&mut self, now: f64, dispatch: usize) {
        let own = &mut self.dispatches[dispatch];
        let target = own.pick.target;
        let engine = &self.engines[target];
        if own.over || !engine.alive || engine.incarnation != own.incarnation {
            return;
        }
        own.over = true;
        let cut = engine.cut;
        let (call, in_time, sent) = (own.call, own.in_time && !cut, own.sent);
        let (since, first, _) = own.started.unwrap_or((now, now, now));
        let pick = own.pick.clone();
        self.calls[call].active.retain(|own| *own != dispatch);
        let instance = self.calls[call].instance;
        // An answer that the deadline cuts off has told its first token all the same.
        let ended = match in_time {
            true => Ended::Answered(std::time::Duration::from_secs_f64(first - sent)),
            false => Ended::Abandoned,
        };
        self.paths[instance].ended(&pick, ended, now);
        if in_time {
            self.score.useful += now - since;
            if !std::mem::replace(&mut self.calls[call].over, true) {
                self.score.in_time += 1;
                let Call { born, item, .. } = self.calls[call];
                let urgent = u32::from(self.specs[item].deadline < LONG);
                let second = self.score.second(born);
                second.in_time += 1;
                second.urgent_in_time += urgent;
                self.score.second(now).answered += 1;
            }
        } else {
            self.score.wasted += now - since;
        }
        if self.calls[call].active.is_empty() {
            self.release(now, call);
        }
        self.free(now, target);
        if !in_time && self.calls[call].active.is_empty() {
            self.late(now, call);
        }
    }

    /// Ends a call whose deadline has passed.
    fn late(&mut self, now: f64, call: usize) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        self.score.late += 1;
        if self.calls[call].tries < self.trace.tries {
            let pause = self.random.random::<f64>() * PAUSE;
            self.at(now + pause, What::Again { call });
        }
    }

    fn deadline(&mut self, now: f64, call: usize) {
        if self.calls[call].over {
            return;
        }
        // What runs at an engine is cancelled by the event of its own end.
        let running = |own: &&usize| self.dispatches[**own].started.is_some();
        if self.calls[call].active.iter().any(|own| running(&own)) {
            return;
        }
        for dispatch in std::mem::take(&mut self.calls[call].active) {
            let own = &mut self.dispatches[dispatch];
            own.over = true;
            let pick = own.pick.clone();
            let instance = self.calls[call].instance;
            self.paths[instance].ended(&pick, Ended::Abandoned, now);
        }
        self.release(now, call);
        self.late(now, call);
    }

    fn hedge(&mut self, now: f64, call: usize) {
        let own = &self.calls[call];
        if own.over || own.begun.is_some() || own.active.len() != 1 || !self.has_target(now, call) {
            return;
        }
        let instance = own.instance;
        if self.paths[instance].take_hedge(now) {
            self.score.hedges += 1;
            self.send(now, call);
        }
    }

    /// Ends the dispatches at an engine that has died.
    pub(crate) fn lose(&mut self, now: f64, target: usize) {
        let lost = self.dispatches.iter().enumerate();
        let lost = lost.filter(|(_, own)| own.pick.target == target && !own.over);
        for dispatch in lost.map(|(at, _)| at).collect::<Vec<_>>() {
            self.lost(now, dispatch);
        }
    }

    fn lost(&mut self, now: f64, dispatch: usize) {
        let own = &mut self.dispatches[dispatch];
        own.over = true;
        let (call, pick, tokens) = (own.call, own.pick.clone(), own.tokens);
        let instance = self.calls[call].instance;
        let (since, first, whole) = own.started.unwrap_or((now, f64::INFINITY, f64::INFINITY));
        self.calls[call].active.retain(|own| *own != dispatch);
        self.paths[instance].ended(&pick, Ended::Failed, now);
        if self.calls[call].over || !self.calls[call].active.is_empty() {
            return;
        }
        let done = match now > first {
            true => tokens * ((now - first) / (whole - first)).min(1.0),
            false => 0.0,
        };
        self.score.wasted += now - since.max(first.min(now));
        self.calls[call]
            .history
            .add(path::cut_off(first, done, now));
        self.calls[call].request.tokens -= done;
        let Call {
            history, request, ..
        } = self.calls[call];
        match self.paths[instance].decide(&history, request.deadline, now) {
            Decision::End { .. } => self.refuse(now, call, COME_BACK),
            _ => self.dispatch(now, call),
        }
    }
}
