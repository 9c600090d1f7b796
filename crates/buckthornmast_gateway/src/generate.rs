//! Generation of an answer by model engines.
//!
//! A generation may be run twice, since it changes nothing outside of the engine, so a failed
//! dispatch is repeated elsewhere while deadline and retry budget allow it. An answer that has begun
//! is resumed after its last token by a target with the same artifact, or ended with an error.

use std::time::Duration;

use buckthornmast_http::{
    exchange::{Exchange, Stream},
    problem::Problem,
    response::Response,
};
use buckthornmast_routing::{
    affinity,
    attempt::{Decision, History},
};
use buckthornmast_target::{
    engine::{Endpoint, Engine, Tokens},
    error::{Cause, Error},
    work::{Finish, Work},
};
use buckthornmast_types::{
    artifact::Artifact,
    id,
    outcome::Run,
    time::{Clock, Point},
};

use crate::{
    assembly::Answer,
    catalog::Model,
    chat::{Head, Request},
    deadline::Deadline,
    gateway::{
        Gateway, Names, Parts, deadline_problem, is_cut_by_deadline, local_problem, respond,
    },
    observe::{End, Observer, Sample},
    router::{Ask, Need, Pick, Refused, Report, Retry, Router, Tried, dispatch_of},
};

/// Way in which tokens reach the caller.
enum Sink {
    /// All at the end.
    Whole(Exchange),
    /// Streamed, before the first token.
    Closed(Exchange),
    /// Streamed.
    Open(Stream),
}

/// Reason why a generation ended without an answer.
enum Failure {
    /// The caller must be told.
    Problem(Problem),
    /// The caller is gone.
    Gone,
}

/// How one dispatch ended.
enum Dispatched {
    Finished(Finish),
    Failed(Error),
    Ended(Failure),
    /// Ended before a byte was sent, so that there is nothing to cancel.
    Unsent(Failure),
}

struct Session<'a, P: Parts, N> {
    gateway: &'a Gateway<P, N>,
    request: &'a Request,
    model: &'a Model,
    head: Head,
    deadline: Deadline,
    started: Point,
    first_token: Option<Duration>,
    answer: Answer,
    sink: Option<Sink>,
    tried: Tried,
    target: Option<id::Target>,
    /// Artifact that the answer began with; another version would go on with another text.
    begun: Option<Artifact>,
    /// Attempt whose engine must be told to end it, once the caller has its answer.
    ended: Option<(Endpoint, id::Attempt)>,
}

/// Carries a chat request to its end.
pub(crate) fn run<P: Parts, N: Names>(
    gateway: &Gateway<P, N>,
    exchange: Exchange,
    request: &Request,
    model: &Model,
    deadline: Deadline,
) {
    let started = gateway.clock.now();
    let id = id::Request::generate();
    let head = Head {
        request: id,
        model: request.model.clone(),
        created: buckthornmast_types::time::unix_millis() / 1000,
        prompt_words: request.words(),
    };
    let sink = if request.stream {
        Sink::Closed(exchange)
    } else {
        Sink::Whole(exchange)
    };
    let mut session = Session {
        gateway,
        request,
        model,
        head,
        deadline,
        started,
        first_token: None,
        answer: Answer::new(id),
        sink: Some(sink),
        tried: Tried::new(),
        target: None,
        begun: None,
        ended: None,
    };
    let end = match session.generate() {
        Ok(finish) => session.finish(finish),
        Err(failure) => session.fail(failure),
    };
    // A frozen engine takes a second not to answer a cancel, so the caller is answered first.
    if let Some((endpoint, attempt)) = session.ended.take() {
        gateway.targets.cancel(&endpoint, id, attempt);
    }
    session.observe(end);
}

impl<P: Parts, N: Names> Session<'_, P, N> {
    fn left(&self) -> Option<Duration> {
        self.deadline.left(self.gateway.clock.now())
    }

    fn generate(&mut self) -> Result<Finish, Failure> {
        let ask = Ask {
            team: Some(&self.model.team),
            name: &self.request.model,
            priority: self.model.priority,
            tokens: self.request.max_tokens,
            deadline: self.deadline.0,
        };
        let mut permit = self.gateway.router.admit(&ask).map_err(|refused| {
            let problem = Problem::new(503, "over capacity", "admit").detail(refused.to_string());
            Failure::Problem(problem.retry_after(refused.retry_after))
        })?;
        let mut history = History::default();
        let mut last: Option<Error> = None;
        loop {
            // The caller may have left while its request waited for admission.
            if self.is_gone() {
                return Err(Failure::Gone);
            }
            let Some(left) = self.left() else {
                return Err(Failure::Problem(deadline_problem(history.run())));
            };
            let Some(pick) = self.pick() else {
                if let Some(error) = &last {
                    return Err(Failure::Problem(unavailable(error, history.run())));
                }
                // The last target with the model has gone since the request was admitted.
                let router = &self.gateway.router;
                let waited = router.wait(permit, &ask, &self.need());
                permit = waited.map_err(|refused| Failure::Problem(no_target(&refused)))?;
                continue;
            };
            let error = match self.dispatch(&pick, left, history.run()) {
                Dispatched::Finished(finish) => return Ok(finish),
                Dispatched::Ended(failure) | Dispatched::Unsent(failure) => return Err(failure),
                Dispatched::Failed(error) => error,
            };
            history.add(dispatch_of(&error, self.answer.tokens().len()));
            self.log_failure(&error, &history);
            if let Cause::Local { .. } = error.cause {
                return Err(Failure::Problem(local_problem(&error, history.run())));
            }
            self.tried.push(pick.endpoint.target.clone());
            let retry = Retry {
                history: &history,
                repeatable: true,
                deadline: self.deadline.0,
            };
            if let Decision::End { run, .. } = self.gateway.router.decide(&retry) {
                return Err(Failure::Problem(unavailable(&error, run)));
            }
            last = Some(error);
        }
    }

    fn log_failure(&self, error: &Error, history: &History) {
        log::info!(
            step = error.step, peer = error.target.as_str(),
            request = self.head.request.to_string().as_str();
            "dispatch {} failed after {} tokens: {error}",
            history.attempts(), self.answer.tokens().len(),
        );
    }

    fn need(&self) -> Need<'_> {
        Need::Artifact {
            artifact: self.begun.as_ref().unwrap_or(&self.model.artifact),
            exact: self.begun.is_some(),
            prefix: prefix_of(self.request),
        }
    }

    fn pick(&mut self) -> Option<Pick> {
        let pick = self.gateway.router.pick(&self.need(), &self.tried)?;
        self.target = Some(pick.endpoint.target.clone());
        Some(pick)
    }

    /// Dispatches once and reports to the router how it ended.
    fn dispatch(&mut self, pick: &Pick, left: Duration, before: Run) -> Dispatched {
        let begun = self.gateway.clock.now();
        let tokens_before = self.answer.tokens().len();
        let work = self.work(pick, left);
        let mut first = None;
        let result = self.receive(pick, &work, before, &mut first);
        let is_sent = !matches!(result, Dispatched::Unsent(_));
        let result = match result {
            Dispatched::Unsent(failure) => Dispatched::Ended(failure),
            result => result,
        };
        let now = self.gateway.clock.now();
        let report = match &result {
            Dispatched::Finished(_) => Report::Answered {
                first: first.unwrap_or(now).since(begun),
                total: now.since(begun),
            },
            Dispatched::Failed(error) => Report::Failed { error },
            Dispatched::Ended(_) | Dispatched::Unsent(_) => Report::Abandoned,
        };
        self.gateway.router.done(pick, &report);
        if self.answer.tokens().len() > tokens_before {
            self.begun.get_or_insert(work.artifact.clone());
            // A target that made progress may be tried again once others failed.
            self.tried.clear();
        }
        if is_sent && matches!(result, Dispatched::Ended(_)) {
            self.ended = Some((pick.endpoint.clone(), work.attempt));
        }
        result
    }

    fn work(&mut self, pick: &Pick, left: Duration) -> Work {
        let attempt = self.answer.next_attempt();
        let artifact = pick
            .artifact
            .clone()
            .unwrap_or_else(|| self.model.artifact.clone());
        Work {
            request: self.head.request,
            attempt,
            prefix: Some(affinity::prefix_of(prefix_of(self.request), &artifact)),
            artifact,
            messages: self.request.messages.clone(),
            max_tokens: self.request.max_tokens,
            priority: self.model.priority,
            resume: self.answer.tokens().to_vec(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Dispatches and passes on the tokens; `before` says whether an earlier dispatch may have run.
    fn receive(
        &mut self,
        pick: &Pick,
        work: &Work,
        before: Run,
        first: &mut Option<Point>,
    ) -> Dispatched {
        let gateway = self.gateway;
        let Some(left) = self.left() else {
            return Dispatched::Unsent(Failure::Problem(deadline_problem(before)));
        };
        // A target answers with its head at once, also when the request has to wait for the batch.
        let bound = gateway.limits.bounds.gap.min(left);
        let stream = gateway.targets.generate(&pick.endpoint, work, bound);
        let mut stream = match stream {
            Ok(stream) => stream,
            Err(error) => return self.failed(error, before),
        };
        loop {
            // Before the first token nothing else notices a caller that has left.
            if self.is_gone() {
                return Dispatched::Ended(Failure::Gone);
            }
            let Some(left) = self.left() else {
                return Dispatched::Ended(Failure::Problem(deadline_problem(Run::Unknown)));
            };
            let is_first = first.is_none();
            // The first token waits for the batch and the prompt, as long as the target reports.
            let gap = if is_first {
                FIRST_TOKEN_LOOK
            } else {
                gateway.limits.bounds.gap
            };
            let chunk = match stream.next(gap.min(left)) {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return Dispatched::Failed(cut_short(pick)),
                Err(error) if is_first && is_silent(&error) && gateway.router.is_alive(pick) => {
                    continue;
                }
                Err(error) => return self.failed(error, before),
            };
            first.get_or_insert_with(|| gateway.clock.now());
            match self.take(chunk) {
                Ok(Some(finish)) => return Dispatched::Finished(finish),
                Ok(None) => {}
                Err(Taken::Gone) => return Dispatched::Ended(Failure::Gone),
                Err(Taken::Broken(reason)) => {
                    return Dispatched::Failed(malformed(pick, reason));
                }
            }
        }
    }

    /// Returns how a dispatch ended that got no further. Waits are bounded by the deadline, so an error
    /// after it says nothing about the target, which would be ejected for it.
    fn failed(&self, error: Error, before: Run) -> Dispatched {
        if self.left().is_some() || !is_cut_by_deadline(&error) {
            return Dispatched::Failed(error);
        }
        match error.run() {
            Run::No => Dispatched::Unsent(Failure::Problem(deadline_problem(before))),
            Run::Unknown => Dispatched::Ended(Failure::Problem(deadline_problem(Run::Unknown))),
        }
    }

    /// Returns whether the caller has closed its connection.
    fn is_gone(&self) -> bool {
        match &self.sink {
            Some(Sink::Whole(exchange) | Sink::Closed(exchange)) => exchange.is_gone(),
            Some(Sink::Open(stream)) => stream.is_gone(),
            None => true,
        }
    }

    /// Takes a chunk and passes on the tokens that are now in order.
    fn take(&mut self, chunk: buckthornmast_target::work::Chunk) -> Result<Option<Finish>, Taken> {
        let before = self.answer.tokens().len();
        let tokens = match self.answer.accept(chunk) {
            Ok(tokens) => tokens,
            Err(error) => return Err(Taken::Broken(error.to_string())),
        };
        for (at, token) in tokens.iter().enumerate() {
            if before + at == 0 {
                self.first_token = Some(self.gateway.clock.now().since(self.started));
            }
            if !send(&mut self.sink, &self.head, token, before + at == 0) {
                return Err(Taken::Gone);
            }
        }
        Ok(self.answer.finish())
    }

    fn finish(&mut self, finish: Finish) -> End {
        let sent = match self.sink.take() {
            Some(Sink::Whole(exchange)) => {
                let body = self.head.whole(self.answer.tokens(), finish);
                exchange.respond(Response::json(200, body))
            }
            Some(Sink::Closed(exchange)) => {
                // The answer has no tokens.
                exchange
                    .stream(200, &STREAM_HEADERS)
                    .and_then(|stream| end_stream(stream, &self.head.end(finish)))
            }
            Some(Sink::Open(stream)) => end_stream(stream, &self.head.end(finish)),
            None => return End::Abandoned,
        };
        if sent.is_ok() {
            End::Answered
        } else {
            End::Abandoned
        }
    }

    fn fail(&mut self, failure: Failure) -> End {
        let Failure::Problem(problem) = failure else {
            return End::Abandoned;
        };
        let problem = problem.request(self.head.request);
        let end = if problem.step == "admit" {
            End::Refused
        } else {
            End::Failed
        };
        match self.sink.take() {
            Some(Sink::Whole(exchange) | Sink::Closed(exchange)) => respond(exchange, problem),
            Some(Sink::Open(mut stream)) => {
                // The stream is dropped without its proper end, so it can't pass for a whole answer.
                let event = format!("{{\"error\":{}}}", problem.to_json());
                if let Err(error) = stream.event(&event) {
                    log::debug!(step = "stream"; "{error}");
                }
            }
            None => {}
        }
        end
    }

    fn observe(&self, end: End) {
        let total = self.gateway.clock.now().since(self.started);
        let in_time = total <= self.model.deadline
            && self
                .model
                .first_token
                .is_none_or(|bound| self.first_token.is_some_and(|first| first <= bound));
        self.gateway.observer.observe(&Sample {
            team: &self.model.team,
            model: &self.request.model,
            objective: &self.model.objective,
            target: self.target.as_ref(),
            end,
            met: end == End::Answered && in_time,
            first_token: self.first_token,
            total,
            tokens: u32::try_from(self.answer.tokens().len()).unwrap_or(u32::MAX),
        });
    }
}

/// Reason why a chunk could not be passed on.
enum Taken {
    Gone,
    Broken(String),
}

/// Time between two looks at whether a target that has sent no token is still alive.
const FIRST_TOKEN_LOOK: Duration = Duration::from_millis(500);

const STREAM_HEADERS: [(&str, &str); 2] = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
];

/// Sends one token and returns whether the caller is still there.
fn send(sink: &mut Option<Sink>, head: &Head, token: &str, first: bool) -> bool {
    if let Some(Sink::Closed(exchange)) = sink.take_if(|sink| matches!(sink, Sink::Closed(_))) {
        match exchange.stream(200, &STREAM_HEADERS) {
            Ok(stream) => *sink = Some(Sink::Open(stream)),
            Err(_) => return false,
        }
    }
    match sink {
        Some(Sink::Open(stream)) => stream.event(&head.token(token, first)).is_ok(),
        Some(Sink::Whole(exchange)) => !exchange.is_gone(),
        _ => false,
    }
}

fn end_stream(mut stream: Stream, end: &str) -> Result<(), buckthornmast_http::exchange::Gone> {
    stream.event(end)?;
    stream.event("[DONE]")?;
    stream.finish()
}

/// Returns a hash of the first message, which conversations with one system prompt share.
fn prefix_of(request: &Request) -> u64 {
    let first = request
        .messages
        .first()
        .map_or("", |message| &message.content);
    xxhash_rust::xxh3::xxh3_64(first.as_bytes())
}

fn is_silent(error: &Error) -> bool {
    matches!(error.cause, Cause::Silent { .. })
}

fn cut_short(pick: &Pick) -> Error {
    malformed(pick, "the stream ended before the answer did".to_owned())
}

fn malformed(pick: &Pick, reason: String) -> Error {
    Error {
        step: "stream",
        target: pick.endpoint.target.clone(),
        cause: Cause::Malformed { reason },
    }
}

/// Returns the problem of a request for which there is no target.
fn no_target(refused: &Refused) -> Problem {
    Problem::new(503, "no target could answer", "dispatch")
        .run(Run::No)
        .retry_after(refused.retry_after)
        .detail(refused.to_string())
}

/// Returns the problem of a request that no target could answer.
fn unavailable(last: &Error, run: Run) -> Problem {
    Problem::new(503, "no target could answer", "dispatch")
        .run(run)
        .retry_after(Duration::from_secs(1))
        .detail(last.to_string())
}
