//! One attempt to send a request to one target.
//!
//! This module classifies failures: no byte of the request was sent, the target stated that it did not run the request,
//! or it is unknown whether the request ran.

mod in_flight;
mod judgement;
mod receive;

use std::{sync::Arc, time::Duration};

use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::{id, time::Clock};
use buckthornmast_way::reach::Path;
use bytes::Bytes;
use http::{HeaderMap, Request, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::timeout;

pub use self::in_flight::InFlight;
use self::{
    judgement::Sent,
    receive::{Received, collect, form, has_end, read_first_events},
};
use crate::{
    choice::Candidate,
    context::Context,
    continuation::Form,
    events::Splitter,
    forwarder::Forwarder,
    mapping::{Mapping, TargetHeaders},
    pool::Connection,
    state::Member,
    stats::{Ended, TargetStats},
    supply::{Supply, Usage},
};

/// Largest body of an answer that is not a stream, in bytes. A larger one counts as a failed exchange.
pub(crate) const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Headers that apply to one connection only.
const HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to one connection only, including those that the `Connection` header names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Failed attempt.
#[derive(Debug)]
pub struct Failure {
    /// How far the attempt got.
    pub dispatch: Dispatch,
    /// Cause, for the log.
    pub cause: &'static str,
    /// Error response of the target, if there is one.
    pub answer: Option<Box<FullAnswer>>,
    /// Whether the connection was lost while the target was beginning to answer.
    pub is_lost_at_start: bool,
}

/// Answer of a target that was received in full.
#[derive(Debug)]
pub struct FullAnswer {
    /// Head, without the headers of its connection.
    pub head: response::Parts,
    /// Body, in pieces.
    pub body: SmallVec<[Bytes; 1]>,
}

/// Answer of a target that has begun.
#[derive(Debug)]
pub enum Reply {
    /// The answer was received in full.
    Full(FullAnswer),
    /// The answer is not a stream, and there is no memory to receive it in full before it is forwarded.
    Part(Box<PartialAnswer>),
    /// The answer is a stream of events.
    Stream(Box<EventStream>),
}

/// Answer of a target that has been received in part.
#[derive(Debug)]
pub struct PartialAnswer {
    /// Head, without the headers of its connection.
    pub head: response::Parts,
    /// Beginning of the body.
    pub first: SmallVec<[Bytes; 1]>,
    /// Exchange that yields the rest.
    pub rest: Exchange,
}

/// Stream of events that a target has begun.
#[derive(Debug)]
pub struct EventStream {
    /// Head, without the headers of its connection.
    pub head: response::Parts,
    /// Events received so far.
    pub first_events: Option<Bytes>,
    /// Splits the rest into events.
    pub splitter: Splitter,
    /// Exchange that yields the rest, unless the stream has ended.
    pub rest: Option<Exchange>,
}

/// Exchange in progress. Dropping it closes the connection, which cancels the request at the target.
#[derive(Debug)]
pub struct Exchange {
    /// Body that is being received.
    pub body: Incoming,
    /// Connection.
    pub connection: Connection,
    /// Idle timeout that the target announced for the connection.
    pub idle: Option<Duration>,
    /// Entry in the load statistics of the target.
    pub in_flight: InFlight,
}

pub(crate) fn failure(dispatch: Dispatch, cause: &'static str) -> Failure {
    Failure {
        dispatch,
        cause,
        answer: None,
        is_lost_at_start: false,
    }
}

fn lost_at_start(cause: &'static str) -> (Failure, Ended) {
    let failure = Failure {
        is_lost_at_start: true,
        ..failure(Dispatch::Sent, cause)
    };
    (failure, Ended::Failed)
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Sends a request to a target and waits until the answer has begun: for the whole answer, or for the first events
    /// of a stream. Events up to `after` are skipped. After `wait_limit`, the target is abandoned if another one would
    /// accept the request.
    pub async fn attempt(
        &self,
        context: &Context,
        member: &Member,
        rank: Option<u8>,
        after: Option<u64>,
        wait_limit: Option<Duration>,
    ) -> Result<Reply, Failure> {
        let mut in_flight = InFlight::start(self, member, Arc::clone(&context.route));
        let deadline = self.clock.now() + context.time_left(self.clock.now());
        let result = {
            let mut begin =
                std::pin::pin!(self.begin(context, member, rank, after, &mut in_flight));
            loop {
                let left = deadline.since(self.clock.now());
                let wait = wait_limit.unwrap_or(left).min(left);
                match timeout(wait, begin.as_mut()).await {
                    Ok(result) => break Some(result),
                    // A slow target is better than none.
                    Err(_) if wait < left && !self.can_move(context, &member.target) => {}
                    Err(_) => break None,
                }
            }
        };
        match result {
            Some(Ok(started_answer)) => self.finish(context, started_answer, in_flight),
            Some(Err((failure, ended))) => {
                in_flight.end(ended);
                Err(failure)
            }
            None => {
                in_flight.end(Ended::Failed);
                Err(failure(Dispatch::Sent, "no answer in time"))
            }
        }
    }

    fn finish(
        &self,
        context: &Context,
        started_answer: StartedAnswer,
        mut in_flight: InFlight,
    ) -> Result<Reply, Failure> {
        in_flight.record_first_event();
        match started_answer {
            StartedAnswer::Full {
                answer,
                connection,
                idle,
            } => {
                let is_error = answer.head.status.is_server_error();
                if is_error {
                    in_flight.end(Ended::Failed);
                }
                let usage = in_flight.complete(connection, idle, 0);
                self.report_usage(context, usage);
                if answer.head.status.is_success() {
                    self.record_progress(context);
                }
                if is_error {
                    return Err(Failure {
                        dispatch: Dispatch::Sent,
                        cause: "the target answered with an error",
                        answer: Some(Box::new(answer)),
                        is_lost_at_start: false,
                    });
                }
                Ok(Reply::Full(answer))
            }
            StartedAnswer::Part {
                head,
                first,
                body,
                connection,
                idle,
            } => {
                let rest = Exchange {
                    body,
                    connection,
                    idle,
                    in_flight,
                };
                Ok(Reply::Part(Box::new(PartialAnswer { head, first, rest })))
            }
            StartedAnswer::Stream {
                head,
                first_events,
                splitter,
                body,
                connection,
                idle,
            } => {
                let rest = if first_events.is_none() {
                    let usage = in_flight.complete(connection, idle, 0);
                    self.report_usage(context, usage);
                    None
                } else {
                    Some(Exchange {
                        body,
                        connection,
                        idle,
                        in_flight,
                    })
                };
                Ok(Reply::Stream(Box::new(EventStream {
                    head,
                    first_events,
                    splitter,
                    rest,
                })))
            }
        }
    }

    async fn begin(
        &self,
        context: &Context,
        member: &Member,
        rank: Option<u8>,
        after: Option<u64>,
        in_flight: &mut InFlight,
    ) -> Result<StartedAnswer, (Failure, Ended)> {
        let at = self.clock.now();
        let (mut connection, response) = self.send(context, member, rank, after).await?;
        let (mut head, mut body) = response.into_parts();
        let answer = self.mapping.decode_answer(&head);
        let is_kept = connection.is_used;
        self.record_path(member, &connection, &answer);
        self.judge(context, member, &head, &answer, Sent { at, is_kept })?;
        let has_end = has_end(&head, &body);
        if !has_end && connection.way.is_some() {
            // A way that ends closes the connection as a target does at the end of such an answer.
            let cause = "the end of the answer can't be told from that of the way";
            return Err((failure(Dispatch::Sent, cause), Ended::Failed));
        }
        strip_hop_headers(&mut head.headers);
        let idle = answer.idle;
        let is_stream = context.route.kind.is_stream() && head.status.is_success();
        let memory = self.state.borrow().memory.clone();
        if form(context, &head, after)? == Form::Whole {
            return match collect(&mut body, &memory).await? {
                Received::Whole(body) if is_stream && body.is_empty() => {
                    Err(lost_at_start("the stream ended before its first event"))
                }
                Received::Whole(body) => {
                    connection.is_used = true;
                    Ok(StartedAnswer::Full {
                        answer: FullAnswer { head, body },
                        connection,
                        idle,
                    })
                }
                Received::Part(_) if head.status.is_server_error() => {
                    let failure = failure(Dispatch::Sent, "the error answer is too large");
                    Err((failure, Ended::Failed))
                }
                Received::Part(first) => Ok(StartedAnswer::Part {
                    head,
                    first,
                    body,
                    connection,
                    idle,
                }),
            };
        }
        // Another target may resume the stream, so the length of this target's part is not that of the answer.
        head.headers.remove(header::CONTENT_LENGTH);
        let mut splitter = Splitter::new(after, memory.share());
        let first_events =
            read_first_events(context, &member.target, &mut body, &mut splitter, has_end).await?;
        in_flight.record_first_event();
        Ok(StartedAnswer::Stream {
            head,
            first_events,
            splitter,
            body,
            connection,
            idle,
        })
    }

    /// Sends a request on a pooled connection, or on a new one if none is usable or the target has refused the request
    /// before.
    async fn send(
        &self,
        context: &Context,
        member: &Member,
        rank: Option<u8>,
        after: Option<u64>,
    ) -> Result<(Connection, http::Response<Incoming>), (Failure, Ended)> {
        loop {
            self.check_accepts(context, member)?;
            let path = self.path(member);
            let may_use_idle = match path {
                Path::Direct => true,
                Path::Around { may_use_idle, .. } => may_use_idle,
                Path::Down => false,
            };
            let pooled = if may_use_idle && !self.is_repeat(context, member) {
                let mut state = self.state.borrow_mut();
                let now = self.clock.now();
                state.pool.take(&member.target, member.incarnation, now)
            } else {
                None
            };
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(context, member, path).await?,
            };
            if connection.sender.ready().await.is_err() {
                if connection.is_used {
                    continue;
                }
                let failure = failure(Dispatch::NotSent, "the target closed a new connection");
                return Err((failure, Ended::Unreachable));
            }
            // Other answers of the target, or quarantines, may have arrived while the connection was being opened.
            self.check_accepts(context, member)?;
            if self.is_quarantined(context) {
                let failure = failure(
                    Dispatch::NotSent,
                    "the prompt has parts on which targets crash",
                );
                return Err((failure, Ended::Abandoned));
            }
            self.log_limited(context, member);
            self.start_brittle(member)?;
            let request = self.request(context, member, rank, after);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(error) if error.message().is_some() && connection.is_used => {}
                Err(error) => {
                    let cause = "the connection to the target failed before an answer";
                    if error.message().is_some() {
                        return Err((failure(Dispatch::NotSent, cause), Ended::Failed));
                    }
                    return Err(lost_at_start(cause));
                }
            }
        }
    }

    fn request(
        &self,
        context: &Context,
        member: &Member,
        rank: Option<u8>,
        after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = context.parts.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let target_headers = TargetHeaders {
            target: &member.target,
            time_left: context.time_left(self.clock.now()),
            rank,
            last_event: after,
            caller: context.caller(),
        };
        self.mapping.encode(&mut headers, &target_headers);
        let mut request = Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.parts.method.clone();
        *request.uri_mut() = context.parts.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Records a request that is about to be sent. Returns an error if the target is brittle and has refused another one
    /// since it was chosen.
    fn start_brittle(&self, member: &Member) -> Result<(), (Failure, Ended)> {
        let now = self.clock.now();
        let key = (member.target.clone(), member.incarnation);
        let mut state = self.state.borrow_mut();
        let stats = state.stats.get(&member.target, member.incarnation);
        // The request itself is counted already.
        let own = stats.map_or(0, TargetStats::own_requests).saturating_sub(1);
        if !state.brittle.wait(&key, own, now).is_zero() {
            let cause = "the target is brittle and has just refused a request";
            return Err((failure(Dispatch::NotSent, cause), Ended::Abandoned));
        }
        state.brittle.record_dispatch(&key, own, now);
        Ok(())
    }

    /// Reports the time and events that a request took at its target.
    pub(crate) fn report_usage(&self, context: &Context, usage: Usage) {
        if let Some(item) = context.item() {
            self.supply.report_usage(&item, usage);
        }
    }

    /// Returns an error if the target has stated, since it was chosen, that it wants no request.
    fn check_accepts(&self, context: &Context, member: &Member) -> Result<(), (Failure, Ended)> {
        self.check_limit(context, member)?;
        self.check_key(context)?;
        if !context.origin.permits(member.mark) {
            let failure = failure(
                Dispatch::NotSent,
                "the target has another version than the one that began the stream",
            );
            return Err((failure, Ended::Abandoned));
        }
        if self.state.borrow().accepts(member, self.clock.now()) {
            return Ok(());
        }
        let failure = failure(
            Dispatch::NotSent,
            "the target leaves or wants no request for some time",
        );
        Err((failure, Ended::Abandoned))
    }
}

/// Answer whose start, or all of it, has been received, with the connection that carries it.
enum StartedAnswer {
    Full {
        answer: FullAnswer,
        connection: Connection,
        idle: Option<Duration>,
    },
    Part {
        head: response::Parts,
        first: SmallVec<[Bytes; 1]>,
        body: Incoming,
        connection: Connection,
        idle: Option<Duration>,
    },
    Stream {
        head: response::Parts,
        first_events: Option<Bytes>,
        splitter: Splitter,
        body: Incoming,
        connection: Connection,
        idle: Option<Duration>,
    },
}

impl Member {
    /// Returns the properties that the choice of a target is based on.
    pub fn candidate(&self, domain: &id::Domain) -> Candidate {
        Candidate {
            target: self.target.clone(),
            incarnation: self.incarnation,
            slots: self.slots,
            is_local: self.domain == *domain,
        }
    }
}
