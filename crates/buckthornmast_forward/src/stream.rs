//! Forwarding of a stream from its first event to its last, with resumption at other targets.

use std::{rc::Rc, time::Duration};

use buckthornmast_routing::attempt::{Decision, Dispatch};
use buckthornmast_types::{id, time::Clock};
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    board::Ended,
    body::{Body, Broken},
    caller::Forwarder,
    events::Splitter,
    exchange::{Exchange, Failure, Flow, Reply},
    mapping::Mapping,
    patience,
    supply::Supply,
    work::{End, Outcome, Work},
};

/// Number of chunks that are buffered for a slow caller before reading from the target pauses.
const MAX_WAITING: usize = 64;

/// Minimum number of events after the first one for an answer to count as a sample of the model's speed.
const LONG_ANSWER: u32 = 8;

type Sender = mpsc::Sender<Result<Bytes, Broken>>;

/// How the stream of one target ended.
enum Over {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    Left,
    /// The target failed. The stream can be resumed after the event `last`.
    Broken {
        cause: &'static str,
        last: Option<u64>,
    },
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the response whose body forwards a stream.
    pub(crate) fn stream(
        self: Rc<Self>,
        work: Work,
        flow: Flow,
        outcome: Outcome,
    ) -> Response<Body> {
        let (sender, events) = mpsc::channel(MAX_WAITING);
        let response = Response::from_parts(flow.head, Body::Events(events));
        let pump = Pump {
            forwarder: self,
            work,
            outcome,
            sender,
            status: response.status().as_u16(),
        };
        // The task ends with the stream, or when the body of the response is dropped.
        tokio::task::spawn_local(pump.run(flow.begun, flow.splitter, flow.rest));
        response
    }
}

struct Pump<M, S> {
    forwarder: Rc<Forwarder<M, S>>,
    work: Work,
    outcome: Outcome,
    sender: Sender,
    status: u16,
}

impl<M: Mapping, S: Supply> Pump<M, S> {
    async fn run(
        mut self,
        mut begun: Option<Bytes>,
        mut splitter: Splitter,
        mut rest: Option<Exchange>,
    ) {
        loop {
            if let Some(events) = begun.take()
                && self.sender.send(Ok(events)).await.is_err()
            {
                return;
            }
            let Some(exchange) = rest else {
                return self.outcome.end(End::Answered, self.status, "");
            };
            let member = exchange.running.target.clone();
            let (cause, last) = match self.pass_on(exchange, &mut splitter).await {
                Over::Complete => return self.outcome.end(End::Answered, self.status, ""),
                Over::Left => return,
                Over::Broken { cause, last } => (cause, last),
            };
            log::info!(
                step = "stream",
                request:% = self.work.head.request,
                target:% = member,
                last = last.unwrap_or(0),
                cause:% = cause;
                "stream broke"
            );
            match self.resume(&member, last, cause).await {
                Some(flow) => {
                    begun = flow.begun;
                    splitter = flow.splitter;
                    rest = flow.rest;
                }
                None => {
                    self.outcome.end(End::Failed, self.status, cause);
                    // The caller may have disconnected as well.
                    let _ = self.sender.send(Err(Broken)).await;
                    return;
                }
            }
        }
    }

    /// Forwards the events of one target.
    async fn pass_on(&mut self, mut exchange: Exchange, splitter: &mut Splitter) -> Over {
        let broken = |cause, splitter: &Splitter| Over::Broken {
            cause,
            last: splitter.last(),
        };
        loop {
            let now = self.forwarder.clock.now();
            let left = self.work.left(now);
            let gap = self.gap().unwrap_or(left).min(left);
            if left.is_zero() {
                return broken("the deadline has passed", splitter);
            }
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Over::Left,
                frame = timeout(gap, exchange.body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    exchange.running.end(Ended::Failed);
                    return broken("the connection broke", splitter);
                }
                Ok(None) if splitter.is_partial() => {
                    exchange.running.end(Ended::Failed);
                    return broken("the stream ended in the middle of an event", splitter);
                }
                Ok(None) => {
                    let Exchange {
                        connection,
                        idle,
                        running,
                        ..
                    } = exchange;
                    let events = self.events(splitter);
                    let spent = running.answered(connection, idle, events);
                    self.forwarder.note_end(&self.work, spent);
                    return Over::Complete;
                }
                Err(_)
                    if !self
                        .forwarder
                        .may_move(&self.work, &exchange.running.target) =>
                {
                    continue;
                }
                Err(_) => {
                    exchange.running.end(Ended::Failed);
                    return broken("the target fell silent", splitter);
                }
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match splitter.push(bytes) {
                Ok(Some(events)) => {
                    self.outcome.passed();
                    if self.sender.send(Ok(events)).await.is_err() {
                        return Over::Left;
                    }
                }
                Ok(None) => {}
                Err(_) => {
                    exchange.running.end(Ended::Failed);
                    return broken("an event is missing", splitter);
                }
            }
        }
    }

    /// Returns the number of events after the first one if the answer is long enough for a sample of the model's speed and
    /// one target generated all of it, or 0 otherwise.
    fn events(&self, splitter: &Splitter) -> u32 {
        let is_whole = self.work.tried.is_empty() && self.work.head.last_event.is_none();
        let last = splitter.last().filter(|_| is_whole).unwrap_or(0);
        let behind = u32::try_from(last.saturating_sub(1)).unwrap_or(u32::MAX);
        if behind < LONG_ANSWER { 0 } else { behind }
    }

    /// Returns the pause between events after which the stream is resumed at another target, if it may be resumed.
    fn gap(&self) -> Option<Duration> {
        let used =
            self.work.history.attempts() + 1 - self.work.not_run.min(self.work.history.attempts());
        let may_resume = self.work.route.kind.is_repeatable() && used < self.work.route.attempts;
        let gap = patience::for_next(&self.work.route);
        gap.filter(|_| may_resume)
    }

    /// Resumes the stream at another target.
    async fn resume(
        &mut self,
        target: &id::Target,
        last: Option<u64>,
        cause: &'static str,
    ) -> Option<Flow> {
        let mut target = target.clone();
        let mut failure = Failure {
            dispatch: Dispatch::Streaming {
                next: last.map_or(0, |last| last + 1),
            },
            cause,
            answer: None,
        };
        loop {
            let decision = self.decide(&target, &failure);
            log::info!(
                step = "resume",
                request:% = self.work.head.request,
                target:% = target,
                cause:% = failure.cause,
                decision:? = decision;
                "attempt failed"
            );
            if matches!(decision, Decision::End { .. }) {
                return None;
            }
            let place = self.forwarder.place(&mut self.work);
            let chosen = tokio::select! {
                () = self.sender.closed() => return None,
                chosen = place => chosen.ok()?,
            };
            self.outcome.dispatched(&chosen);
            let attempt =
                self.forwarder
                    .attempt(&self.work, &chosen.member, chosen.rank, last, self.gap());
            let reply = tokio::select! {
                () = self.sender.closed() => return None,
                reply = attempt => reply,
            };
            target = chosen.member.target.clone();
            failure = match reply {
                Ok(Reply::Stream(flow)) => return Some(*flow),
                Ok(Reply::Whole(_)) => Failure {
                    dispatch: Dispatch::Sent,
                    cause: "the target does not go on with the stream",
                    answer: None,
                },
                Err(failure) => failure,
            };
        }
    }

    fn decide(&mut self, target: &id::Target, failure: &Failure) -> Decision {
        let forwarder = Rc::clone(&self.forwarder);
        forwarder.decide(&mut self.work, target, failure)
    }
}
