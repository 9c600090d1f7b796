//! Generation of an answer by model engines.
//!
//! A generation changes nothing outside of the engine and may be run twice, so a failed dispatch is
//! repeated at another target while deadline and retry budget allow it. A partial answer is resumed after
//! its last token by a target with the same artifact, or ended with an error.

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
    outcome::Execution,
    time::{Clock, Point},
};

use crate::{
    assembly::Answer,
    catalog::Model,
    chat::{Metadata, Request},
    deadline::Deadline,
    gateway::{
        CatalogSource, Gateway, Parts, can_result_from_deadline, deadline_problem, local_problem,
        respond,
    },
    observe::{End, Observer, Sample},
    router::{
        DispatchOutcome, Need, Pick, Rejection, Retry, RouteRequest, Router, TriedTargets,
        dispatch_progress,
    },
};

/// Way in which tokens reach the caller.
enum Sink {
    /// All in one response at the end.
    Buffered(Exchange),
    /// Streamed; the response has not started.
    Pending(Exchange),
    /// Streamed; the response has started.
    Streaming(Stream),
}

/// Reason why a generation ended without an answer.
enum Failure {
    /// The problem must be sent to the caller.
    Problem(Problem),
    /// The caller has disconnected.
    Disconnected,
}

/// How one dispatch ended.
enum DispatchResult {
    Finished(Finish),
    Failed(Error),
    /// The generation ends with this dispatch.
    Aborted(Failure),
    /// The generation ends before a byte was sent, so there is nothing to cancel.
    NotSent(Failure),
}

/// Generation in progress.
struct Generation<'a, P: Parts, C> {
    gateway: &'a Gateway<P, C>,
    request: &'a Request,
    model: &'a Model,
    metadata: Metadata,
    deadline: Deadline,
    started: Point,
    /// Time from the start to the first token.
    first_token: Option<Duration>,
    answer: Answer,
    /// `None` once the response has been sent, or could not be started.
    sink: Option<Sink>,
    /// Targets that have failed; cleared by a dispatch that adds tokens.
    tried: TriedTargets,
    /// Target that was chosen last.
    target: Option<id::Target>,
    /// Artifact that generated the first tokens. Another version would continue with a different text.
    first_artifact: Option<Artifact>,
    /// Attempt to cancel at its engine once the caller has its answer.
    to_cancel: Option<(Endpoint, id::Attempt)>,
}

/// Handles a chat request until its answer is sent and its sample is recorded.
pub(crate) fn run<P: Parts, C: CatalogSource>(
    gateway: &Gateway<P, C>,
    exchange: Exchange,
    request: &Request,
    model: &Model,
    deadline: Deadline,
) {
    let started = gateway.clock.now();
    let id = id::Request::generate();
    let metadata = Metadata {
        request: id,
        model: request.model.clone(),
        created: buckthornmast_types::time::unix_millis() / 1000,
        prompt_words: request.words(),
    };
    let sink = if request.is_streamed {
        Sink::Pending(exchange)
    } else {
        Sink::Buffered(exchange)
    };
    let mut generation = Generation {
        gateway,
        request,
        model,
        metadata,
        deadline,
        started,
        first_token: None,
        answer: Answer::new(id),
        sink: Some(sink),
        tried: TriedTargets::new(),
        target: None,
        first_artifact: None,
        to_cancel: None,
    };
    let end = match generation.generate() {
        Ok(finish) => generation.finish(finish),
        Err(failure) => generation.fail(failure),
    };
    // A cancel to a frozen engine times out only after a second, so the caller is answered first.
    if let Some((endpoint, attempt)) = generation.to_cancel.take() {
        gateway.targets.cancel(&endpoint, id, attempt);
    }
    generation.observe(end);
}

impl<P: Parts, C: CatalogSource> Generation<'_, P, C> {
    fn remaining(&self) -> Option<Duration> {
        self.deadline.remaining(self.gateway.clock.now())
    }

    fn generate(&mut self) -> Result<Finish, Failure> {
        let admission = RouteRequest {
            team: Some(&self.model.team),
            name: &self.request.model,
            priority: self.model.priority,
            tokens: self.request.max_tokens,
            deadline: self.deadline.0,
        };
        let mut permit = self.gateway.router.admit(&admission).map_err(|rejection| {
            let problem = Problem::new(503, "over capacity", "admit").detail(rejection.to_string());
            Failure::Problem(problem.retry_after(rejection.retry_after))
        })?;
        let mut history = History::default();
        let mut last_error: Option<Error> = None;
        loop {
            // The caller may have disconnected while its request waited for admission.
            if self.is_disconnected() {
                return Err(Failure::Disconnected);
            }
            let Some(remaining) = self.remaining() else {
                return Err(Failure::Problem(deadline_problem(history.execution())));
            };
            let Some(pick) = self.pick() else {
                if let Some(error) = &last_error {
                    return Err(Failure::Problem(unavailable_problem(
                        error,
                        history.execution(),
                    )));
                }
                // The last target with the model has become unavailable since the request was admitted.
                let router = &self.gateway.router;
                let waited = router.wait_for_copy(permit, &admission, &self.need());
                permit =
                    waited.map_err(|rejection| Failure::Problem(no_target_problem(&rejection)))?;
                continue;
            };
            let error = match self.dispatch(&pick, remaining, &history) {
                DispatchResult::Finished(finish) => return Ok(finish),
                DispatchResult::Aborted(failure) | DispatchResult::NotSent(failure) => {
                    return Err(failure);
                }
                DispatchResult::Failed(error) => error,
            };
            history.add(dispatch_progress(&error, self.answer.tokens().len()));
            self.log_failure(&error, &history);
            if let Cause::LocalResource { .. } = error.cause {
                return Err(Failure::Problem(local_problem(&error, history.execution())));
            }
            self.tried.push(pick.endpoint.target.clone());
            let retry = Retry {
                history: &history,
                is_repeatable: true,
                deadline: self.deadline.0,
            };
            if let Decision::End { execution, .. } = self.gateway.router.decide(&retry) {
                return Err(Failure::Problem(unavailable_problem(&error, execution)));
            }
            last_error = Some(error);
        }
    }

    fn log_failure(&self, error: &Error, history: &History) {
        log::info!(
            step = error.step, peer = error.target.as_str(),
            request = self.metadata.request.to_string().as_str();
            "dispatch {} failed after {} tokens: {error}",
            history.attempts(), self.answer.tokens().len(),
        );
    }

    fn need(&self) -> Need<'_> {
        Need::Artifact {
            artifact: self.first_artifact.as_ref().unwrap_or(&self.model.artifact),
            is_exact: self.first_artifact.is_some(),
            first_message_hash: first_message_hash(self.request),
        }
    }

    fn pick(&mut self) -> Option<Pick> {
        let pick = self.gateway.router.pick(&self.need(), &self.tried)?;
        self.target = Some(pick.endpoint.target.clone());
        Some(pick)
    }

    /// Dispatches once and reports the result to the router.
    fn dispatch(&mut self, pick: &Pick, remaining: Duration, history: &History) -> DispatchResult {
        let dispatched = self.gateway.clock.now();
        let tokens_before = self.answer.tokens().len();
        let work = self.build_work(pick, remaining);
        let mut first_token_at = None;
        let result = self.receive(pick, &work, history, &mut first_token_at);
        let is_sent = !matches!(result, DispatchResult::NotSent(_));
        let result = match result {
            DispatchResult::NotSent(failure) => DispatchResult::Aborted(failure),
            result => result,
        };
        let now = self.gateway.clock.now();
        let outcome = match &result {
            DispatchResult::Finished(_) => DispatchOutcome::Answered {
                first: first_token_at.unwrap_or(now).since(dispatched),
                total: now.since(dispatched),
            },
            DispatchResult::Failed(error) => DispatchOutcome::Failed { error },
            DispatchResult::Aborted(_) | DispatchResult::NotSent(_) => DispatchOutcome::Abandoned,
        };
        self.gateway.router.finish_dispatch(pick, &outcome);
        if self.answer.tokens().len() > tokens_before {
            self.first_artifact.get_or_insert(work.artifact.clone());
            // After progress, targets that failed earlier may be tried again.
            self.tried.clear();
        }
        if is_sent && matches!(result, DispatchResult::Aborted(_)) {
            self.to_cancel = Some((pick.endpoint.clone(), work.attempt));
        }
        result
    }

    fn build_work(&mut self, pick: &Pick, remaining: Duration) -> Work {
        let attempt = self.answer.next_attempt();
        let artifact = pick
            .artifact
            .clone()
            .unwrap_or_else(|| self.model.artifact.clone());
        Work {
            request: self.metadata.request,
            attempt,
            prefix: Some(affinity::prefix_of(
                first_message_hash(self.request),
                &artifact,
            )),
            artifact,
            messages: self.request.messages.clone(),
            max_tokens: self.request.max_tokens,
            priority: self.model.priority,
            resume: self.answer.tokens().to_vec(),
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Dispatches once, forwards the tokens and stores the time of the first one in `first_token_at`.
    /// The history is that of the earlier dispatches.
    fn receive(
        &mut self,
        pick: &Pick,
        work: &Work,
        history: &History,
        first_token_at: &mut Option<Point>,
    ) -> DispatchResult {
        let gateway = self.gateway;
        let earlier_execution = history.execution();
        let Some(remaining) = self.remaining() else {
            return DispatchResult::NotSent(Failure::Problem(deadline_problem(earlier_execution)));
        };
        // A target sends its response head at once, even if the request has to wait for the batch.
        let bound = gateway.limits.bounds.max_token_gap.min(remaining);
        let stream = gateway.targets.generate(&pick.endpoint, work, bound);
        let mut stream = match stream {
            Ok(stream) => stream,
            Err(error) => return self.classify_error(error, earlier_execution),
        };
        loop {
            // Before the first token, no failed write reveals a caller that has disconnected.
            if self.is_disconnected() {
                return DispatchResult::Aborted(Failure::Disconnected);
            }
            let Some(remaining) = self.remaining() else {
                return DispatchResult::Aborted(Failure::Problem(deadline_problem(
                    Execution::Unknown,
                )));
            };
            let is_first = first_token_at.is_none();
            // The first token has to wait for the batch and the prompt, as long as the target sends reports.
            let gap = if is_first {
                LIVENESS_CHECK_INTERVAL
            } else {
                gateway.limits.bounds.max_token_gap
            };
            let chunk = match stream.next(gap.min(remaining)) {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return DispatchResult::Failed(truncated(pick)),
                Err(error) if is_first && is_timeout(&error) && gateway.router.is_alive(pick) => {
                    continue;
                }
                Err(error)
                    if !is_first
                        && is_timeout(&error)
                        && gateway.router.is_alive(pick)
                        && !self.can_move(pick, work, history, &error) =>
                {
                    log::info!(
                        step = error.step, peer = error.target.as_str(),
                        request = self.metadata.request.to_string().as_str();
                        "target is silent after {} tokens, and no other one can go on; waiting for it",
                        self.answer.tokens().len(),
                    );
                    continue;
                }
                Err(error) => return self.classify_error(error, earlier_execution),
            };
            first_token_at.get_or_insert_with(|| gateway.clock.now());
            match self.accept_chunk(chunk) {
                Ok(Some(finish)) => return DispatchResult::Finished(finish),
                Ok(None) => {}
                Err(ChunkError::Disconnected) => {
                    return DispatchResult::Aborted(Failure::Disconnected);
                }
                Err(ChunkError::Malformed(reason)) => {
                    return DispatchResult::Failed(malformed(pick, reason));
                }
            }
        }
    }

    /// Returns whether another target could go on if this dispatch ended with this error. A silent target is left only
    /// then.
    fn can_move(&self, pick: &Pick, work: &Work, history: &History, error: &Error) -> bool {
        let mut history = *history;
        let tokens = self.answer.tokens().len();
        history.add(dispatch_progress(error, tokens));
        let has_progressed = tokens > work.resume.len();
        let mut tried = if has_progressed {
            TriedTargets::new()
        } else {
            self.tried.clone()
        };
        tried.push(pick.endpoint.target.clone());
        let need = Need::Artifact {
            artifact: self.first_artifact.as_ref().unwrap_or(&work.artifact),
            is_exact: has_progressed || self.first_artifact.is_some(),
            first_message_hash: first_message_hash(self.request),
        };
        let retry = Retry {
            history: &history,
            is_repeatable: true,
            deadline: self.deadline.0,
        };
        self.gateway.router.can_move(&need, &tried, &retry)
    }

    /// Returns the result of a dispatch that ended with this error. Waits are bounded by the deadline, so an error
    /// after it is not counted as a failure of the target, which could otherwise be ejected.
    fn classify_error(&self, error: Error, earlier_execution: Execution) -> DispatchResult {
        if self.remaining().is_some() || !can_result_from_deadline(&error) {
            return DispatchResult::Failed(error);
        }
        match error.execution() {
            Execution::No => {
                DispatchResult::NotSent(Failure::Problem(deadline_problem(earlier_execution)))
            }
            Execution::Unknown => {
                DispatchResult::Aborted(Failure::Problem(deadline_problem(Execution::Unknown)))
            }
        }
    }

    /// Returns whether the caller has closed its connection.
    fn is_disconnected(&self) -> bool {
        match &self.sink {
            Some(Sink::Buffered(exchange) | Sink::Pending(exchange)) => exchange.is_disconnected(),
            Some(Sink::Streaming(stream)) => stream.is_disconnected(),
            None => true,
        }
    }

    /// Accepts a chunk and forwards the tokens that it adds to the answer.
    fn accept_chunk(
        &mut self,
        chunk: buckthornmast_target::work::Chunk,
    ) -> Result<Option<Finish>, ChunkError> {
        let position = self.answer.tokens().len();
        let tokens = match self.answer.accept(chunk) {
            Ok(tokens) => tokens,
            Err(error) => return Err(ChunkError::Malformed(error.to_string())),
        };
        for (offset, token) in tokens.iter().enumerate() {
            if position + offset == 0 {
                self.first_token = Some(self.gateway.clock.now().since(self.started));
            }
            if !send_token(
                &mut self.sink,
                &self.metadata,
                token,
                position + offset == 0,
            ) {
                return Err(ChunkError::Disconnected);
            }
        }
        Ok(self.answer.finish())
    }

    fn finish(&mut self, finish: Finish) -> End {
        let sent = match self.sink.take() {
            Some(Sink::Buffered(exchange)) => {
                let body = self.metadata.completion(self.answer.tokens(), finish);
                exchange.respond(Response::json(200, body))
            }
            Some(Sink::Pending(exchange)) => {
                // The answer has no tokens.
                exchange
                    .stream(200, &STREAM_HEADERS)
                    .and_then(|stream| end_stream(stream, &self.metadata.end_event(finish)))
            }
            Some(Sink::Streaming(stream)) => end_stream(stream, &self.metadata.end_event(finish)),
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
        let problem = problem.request(self.metadata.request);
        let end = if problem.step == "admit" {
            End::Refused
        } else {
            End::Failed
        };
        match self.sink.take() {
            Some(Sink::Buffered(exchange) | Sink::Pending(exchange)) => respond(exchange, problem),
            Some(Sink::Streaming(mut stream)) => {
                // The stream is dropped without its regular end, so that it can't be mistaken for a complete answer.
                let event = format!("{{\"error\":{}}}", problem.to_json());
                if let Err(error) = stream.event(&event) {
                    log::debug!(step = "stream"; "sending the error event to the caller failed: {error}");
                }
            }
            None => {}
        }
        end
    }

    fn observe(&self, end: End) {
        let total = self.gateway.clock.now().since(self.started);
        let is_in_time = total <= self.model.deadline
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
            is_in_time: end == End::Answered && is_in_time,
            first_token: self.first_token,
            total,
            tokens: u32::try_from(self.answer.tokens().len()).unwrap_or(u32::MAX),
        });
    }
}

/// Reason why a chunk could not be forwarded.
enum ChunkError {
    Disconnected,
    Malformed(String),
}

/// Time between two checks whether a target that has sent no token is still alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

const STREAM_HEADERS: [(&str, &str); 2] = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
];

/// Sends one token and returns whether the caller is still connected.
fn send_token(sink: &mut Option<Sink>, metadata: &Metadata, token: &str, is_first: bool) -> bool {
    if let Some(Sink::Pending(exchange)) = sink.take_if(|sink| matches!(sink, Sink::Pending(_))) {
        match exchange.stream(200, &STREAM_HEADERS) {
            Ok(stream) => *sink = Some(Sink::Streaming(stream)),
            Err(_) => return false,
        }
    }
    match sink {
        Some(Sink::Streaming(stream)) => {
            stream.event(&metadata.token_event(token, is_first)).is_ok()
        }
        Some(Sink::Buffered(exchange)) => !exchange.is_disconnected(),
        _ => false,
    }
}

fn end_stream(
    mut stream: Stream,
    end: &str,
) -> Result<(), buckthornmast_http::exchange::DisconnectError> {
    stream.event(end)?;
    stream.event("[DONE]")?;
    stream.finish()
}

/// Returns a hash of the first message, which conversations with one system prompt share.
fn first_message_hash(request: &Request) -> u64 {
    let first = request
        .messages
        .first()
        .map_or("", |message| &message.content);
    xxhash_rust::xxh3::xxh3_64(first.as_bytes())
}

fn is_timeout(error: &Error) -> bool {
    matches!(error.cause, Cause::TimedOut { .. })
}

fn truncated(pick: &Pick) -> Error {
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
fn no_target_problem(rejection: &Rejection) -> Problem {
    Problem::new(503, "no target could answer", "dispatch")
        .execution(Execution::No)
        .retry_after(rejection.retry_after)
        .detail(rejection.to_string())
}

/// Returns the problem of a request that no target could answer.
fn unavailable_problem(last: &Error, execution: Execution) -> Problem {
    Problem::new(503, "no target could answer", "dispatch")
        .execution(execution)
        .retry_after(Duration::from_secs(1))
        .detail(last.to_string())
}
