//! Forwarding of a stream from its first event to its last, with resumption at other targets.

use std::{rc::Rc, time::Duration};

use buckthornmast_routing::attempt::{Decision, Dispatch, Reason};
use buckthornmast_types::{id, time::Clock};
use bytes::Bytes;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{sleep, timeout};

use crate::{
    body::{self, Body, Sender},
    context::{Context, End, Reporter, millis},
    events::{Ending, Splitter},
    exchange::{EventStream, Exchange, Failure, Reply},
    forwarder::Forwarder,
    mapping::Mapping,
    quarantine::PROGRESS_BATCHES,
    refusal::Refusal,
    stats::Ended,
    supply::Supply,
    wait_limit,
};

/// Minimum number of events after the first one for an answer to count as a sample of the model's speed.
const MIN_SAMPLE_EVENTS: u32 = 8;

/// Interval at which a stream whose silent target was left looks for an attempt in the retry budget.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How the stream of one target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    Disconnected,
    /// The target failed. The stream can be resumed after the event `last`.
    Broken {
        cause: &'static str,
        last: Option<u64>,
        /// Whether the connection failed while the target was beginning to answer.
        is_lost_at_start: bool,
    },
}

/// What a target sent next.
enum Next {
    Frame(Frame<Bytes>),
    /// The regular end of its answer.
    End,
    /// The connection to it failed.
    Lost(hyper::Error),
    /// It sent nothing in time.
    Silent,
    /// The caller has disconnected.
    Disconnected,
}

fn is_for_budget(decision: Decision) -> bool {
    let Decision::End { reason, .. } = decision else {
        return false;
    };
    reason == Reason::Budget
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the response whose body forwards a stream.
    pub(crate) fn stream(
        self: Rc<Self>,
        context: Context,
        stream: EventStream,
        reporter: Reporter,
    ) -> Response<Body> {
        let (sender, events) = body::channel(&self.state.borrow().memory);
        let response = Response::from_parts(stream.head, Body::Parts(events));
        let task = StreamTask {
            forwarder: self,
            context,
            reporter,
            sender,
            status: response.status().as_u16(),
        };
        // The task ends with the stream, or when the body of the response is dropped.
        tokio::task::spawn_local(task.run(stream.first_events, stream.splitter, stream.rest));
        response
    }
}

/// Task that forwards a stream to its caller.
struct StreamTask<M, S> {
    forwarder: Rc<Forwarder<M, S>>,
    context: Context,
    reporter: Reporter,
    sender: Sender,
    status: u16,
}

impl<M: Mapping, S: Supply> StreamTask<M, S> {
    async fn run(
        mut self,
        mut first_events: Option<Bytes>,
        mut splitter: Splitter,
        mut rest: Option<Exchange>,
    ) {
        loop {
            if let Some(events) = first_events.take()
                && self.sender.send(events).await.is_err()
            {
                return;
            }
            self.context.last_event_at = Some(self.forwarder.clock.now());
            let Some(exchange) = rest else {
                return self.complete().await;
            };
            let target = exchange.in_flight.target.clone();
            let incarnation = exchange.in_flight.incarnation;
            let (cause, last, is_lost_at_start) =
                match self.forward_events(exchange, &mut splitter).await {
                    StreamEnd::Complete => return self.complete().await,
                    StreamEnd::Disconnected => return,
                    StreamEnd::Broken {
                        cause,
                        last,
                        is_lost_at_start,
                    } => (cause, last, is_lost_at_start),
                };
            log::info!(
                step = "stream",
                request:% = self.context.head.request,
                target:% = target,
                last = last.unwrap_or(0),
                parts:% = self.context.shared_part_names(),
                cause:% = cause;
                "stream from a target failed"
            );
            let failure = Failure {
                dispatch: Dispatch::Streaming {
                    next: last.map_or(0, |last| last.saturating_add(1)),
                },
                cause,
                answer: None,
                is_lost_at_start,
            };
            if !splitter.is_resumable() {
                log::info!(step = "stream", request:% = self.context.head.request, target:% = target; "the failed stream has events without numbers; closing the caller's connection");
                if failure.is_lost_at_start {
                    self.forwarder
                        .examine_lost(&self.context, &target, incarnation)
                        .await;
                }
                return self.reporter.end(End::Failed, self.status, cause);
            }
            match self.resume(&target, incarnation, last, failure).await {
                Some(stream) => {
                    first_events = stream.first_events;
                    splitter = stream.splitter;
                    rest = stream.rest;
                }
                // Without its end, the stream closes the caller's connection.
                None => return self.reporter.end(End::Failed, self.status, cause),
            }
        }
    }

    /// Ends a stream that is complete.
    async fn complete(mut self) {
        if self.sender.end().await.is_ok() {
            self.reporter.end(End::Answered, self.status, "");
        }
    }

    /// Forwards the events of one target.
    async fn forward_events(
        &mut self,
        mut exchange: Exchange,
        splitter: &mut Splitter,
    ) -> StreamEnd {
        let broken = |cause, splitter: &Splitter| StreamEnd::Broken {
            cause,
            last: splitter.last(),
            is_lost_at_start: false,
        };
        let lost_at_start = |cause, splitter: &Splitter, batches| StreamEnd::Broken {
            cause,
            last: splitter.last(),
            is_lost_at_start: batches < PROGRESS_BATCHES,
        };
        let mut last_progress = self.forwarder.clock.now();
        // Batches of events after the first one.
        let mut batches = 0;
        loop {
            if let Some(fault) = splitter.fault() {
                exchange.in_flight.end(Ended::Failed);
                return broken(fault.as_str(), splitter);
            }
            let now = self.forwarder.clock.now();
            let left = self.context.time_left(now);
            if left.is_zero() {
                return broken("the deadline has passed", splitter);
            }
            // Bytes that complete no event must not extend the pause. A pause that is over and did not move the stream
            // is measured again from now.
            let gap = self
                .max_gap()
                .filter(|_| splitter.is_resumable())
                .map_or(left, |gap| (last_progress + gap).since(now).min(left));
            let frame = match self.next_frame(&mut exchange, gap).await {
                Next::Disconnected => return StreamEnd::Disconnected,
                Next::Frame(frame) => frame,
                Next::Lost(error) => {
                    log::info!(step = "stream", request:% = self.context.head.request, target:% = exchange.in_flight.target; "the target ended the connection of a stream: {error}");
                    exchange.in_flight.end(Ended::Failed);
                    return lost_at_start("the connection to the target failed", splitter, batches);
                }
                Next::End => {
                    let cause = match splitter.ending() {
                        Ending::Stream => {
                            self.finish_exchange(exchange, splitter);
                            return StreamEnd::Complete;
                        }
                        Ending::Broken => "the stream ended in the middle of an event",
                        Ending::Nothing => "the stream ended before its first event",
                    };
                    exchange.in_flight.end(Ended::Failed);
                    return lost_at_start(cause, splitter, batches);
                }
                Next::Silent => {
                    let target = &exchange.in_flight.target;
                    if !self.forwarder.can_move(&self.context, target) {
                        last_progress = self.forwarder.clock.now();
                        continue;
                    }
                    self.context.silent.push(target.clone());
                    exchange.in_flight.end(Ended::Failed);
                    return broken("the target sent no event in time", splitter);
                }
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let before = splitter.last();
            if let Some(events) = splitter.push(bytes) {
                self.reporter.record_event();
                batches += 1;
                if batches == PROGRESS_BATCHES {
                    self.forwarder.record_progress(&self.context);
                }
                if self.sender.send(events).await.is_err() {
                    return StreamEnd::Disconnected;
                }
                self.context.last_event_at = Some(self.forwarder.clock.now());
                // Comments and unnumbered events between numbered ones don't show that the target makes progress.
                if splitter.last().is_none() || splitter.last() != before {
                    last_progress = self.forwarder.clock.now();
                }
            }
        }
    }

    /// Waits for the next bytes of a target, for at most the given time.
    async fn next_frame(&self, exchange: &mut Exchange, gap: Duration) -> Next {
        // A timeout of zero would still return bytes that have arrived, so a target that sends fast would never reach it.
        if gap.is_zero() {
            return Next::Silent;
        }
        let frame = tokio::select! {
            biased;
            () = self.sender.closed() => return Next::Disconnected,
            frame = timeout(gap, exchange.body.frame()) => frame,
        };
        match frame {
            Ok(Some(Ok(frame))) => Next::Frame(frame),
            Ok(Some(Err(error))) => Next::Lost(error),
            Ok(None) => Next::End,
            Err(_) => Next::Silent,
        }
    }

    /// Records the end of a complete stream.
    fn finish_exchange(&self, exchange: Exchange, splitter: &Splitter) {
        self.forwarder.record_progress(&self.context);
        let Exchange {
            connection,
            idle,
            in_flight,
            ..
        } = exchange;
        let events = self.sample_events(splitter);
        let usage = in_flight.complete(connection, idle, events);
        self.forwarder.report_usage(&self.context, usage);
    }

    /// Returns the number of events after the first one if the answer is long enough for a sample of the model's speed
    /// and one target generated all of it, or 0 otherwise.
    fn sample_events(&self, splitter: &Splitter) -> u32 {
        let is_from_one_target =
            self.context.tried.is_empty() && self.context.head.last_event.is_none();
        let last = splitter.last().filter(|_| is_from_one_target).unwrap_or(0);
        let after_first = u32::try_from(last.saturating_sub(1)).unwrap_or(u32::MAX);
        if after_first < MIN_SAMPLE_EVENTS {
            0
        } else {
            after_first
        }
    }

    /// Returns the pause between events after which the stream is resumed at another target, if it may be resumed.
    fn max_gap(&self) -> Option<Duration> {
        let gap = wait_limit::for_next_event(&self.context.route);
        gap.filter(|_| self.context.may_try_again())
    }

    /// Resumes the stream at another target.
    async fn resume(
        &mut self,
        target: &id::Target,
        mut incarnation: id::Incarnation,
        last: Option<u64>,
        mut failure: Failure,
    ) -> Option<EventStream> {
        let was_silent = self.context.silent.contains(target);
        let mut target = target.clone();
        loop {
            let mut decision = self.decide(&target, incarnation, &failure).await;
            // The silent target could have gone on, so the stream isn't given up for the lack of a budget at this moment.
            while was_silent && is_for_budget(decision) && self.is_awaited() {
                tokio::select! {
                    () = self.sender.closed() => return None,
                    () = sleep(BUDGET_POLL_INTERVAL) => {}
                }
                decision = self
                    .forwarder
                    .decide_again(&mut self.context, &target, &failure, false);
            }
            log::info!(
                step = "resume",
                request:% = self.context.head.request,
                target:% = target,
                cause:% = failure.cause,
                decision:? = decision;
                "decided whether to resume the failed stream"
            );
            if matches!(decision, Decision::End { .. }) {
                return None;
            }
            let selection = self.forwarder.select_target(&mut self.context);
            let chosen = tokio::select! {
                () = self.sender.closed() => return None,
                chosen = selection => chosen,
            };
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    self.log_refused_resume(&target, refusal);
                    return None;
                }
            };
            self.reporter.record_dispatch(&chosen);
            let attempt = self.forwarder.attempt(
                &self.context,
                &chosen.member,
                chosen.rank,
                last,
                self.max_gap(),
            );
            let reply = tokio::select! {
                () = self.sender.closed() => return None,
                reply = attempt => reply,
            };
            target = chosen.member.target.clone();
            incarnation = chosen.member.incarnation;
            failure = match reply {
                Ok(Reply::Stream(stream)) => {
                    log::info!(step = "resume", request:% = self.context.head.request, target:% = target, version:% = chosen.member.version_name(), last = last.unwrap_or(0); "the stream goes on at another target");
                    return Some(*stream);
                }
                Ok(Reply::Full(_) | Reply::Part(_)) => Failure {
                    dispatch: Dispatch::Sent,
                    cause: "the target did not resume the stream",
                    answer: None,
                    is_lost_at_start: false,
                },
                Err(failure) => failure,
            };
        }
    }

    /// Returns whether the caller still waits for the next event.
    fn is_awaited(&self) -> bool {
        self.forwarder.clock.now() < self.context.next_event_deadline()
    }

    fn log_refused_resume(&self, target: &id::Target, refusal: Refusal) {
        let now = self.forwarder.clock.now();
        let routes_version = self.forwarder.state.borrow().version();
        log::info!(
            step = "resume",
            request:% = self.context.head.request,
            target:% = target,
            refusal:% = refusal.as_str(),
            age_ms = millis(now.since(self.context.received)),
            left_ms = millis(self.context.time_left(now)),
            version = self.context.version.0,
            version_in_force = routes_version.map_or(0, |version| version.0);
            "no target can resume the failed stream; closing the caller's connection"
        );
    }

    async fn decide(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        failure: &Failure,
    ) -> Decision {
        let forwarder = Rc::clone(&self.forwarder);
        let decision = forwarder.decide(&mut self.context, target, incarnation, failure);
        decision.await
    }
}
