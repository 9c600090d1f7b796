//! Client side of the calls to one peer.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::Value;

use buckthornmast_types::id;
use buckthornmast_wire::{
    key::Key,
    sealed::{self, Nonce, Sealed},
};

use crate::{
    config::{Limits, Peer},
    error::Step,
    exchange::{ExchangeError, exchange},
    message::{Answer, Kind, Refusal, Request},
    pool::{Connection, Pool},
    stats,
};

/// Transfer rate below which a connection counts as unresponsive while a body is sent.
const MIN_BYTES_PER_SECOND: usize = 4 << 20;

/// Maximum number of refused sessions that a call replaces; one is normal after a restart of the peer.
const MAX_SESSION_REFUSALS: u32 = 4;

/// Error of a call to the peer of a [`Link`].
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) step: Step,
    pub(crate) may_have_run: bool,
    pub(crate) detail: String,
}

/// Session that the peer opened for this client.
struct Session {
    id: u64,
    next_sequence: AtomicU64,
}

/// Client for one peer, with its session and its connections.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    me: id::Instance,
    key: Key,
    limits: Limits,
    pool: Pool,
    /// Connections for notices, so that these don't wait behind long calls.
    notice_pool: Pool,
    session: Mutex<Option<Arc<Session>>>,
    /// Locked while a session is being opened, so that concurrent calls open only one.
    opening_lock: tokio::sync::Mutex<()>,
}

/// Serialises a request without a payload of the handler's types.
fn encode_plain(request: &Request<(), ()>) -> Result<String, ExchangeError> {
    serde_json::to_string(request).map_err(|error| ExchangeError::Answer {
        detail: error.to_string(),
    })
}

fn failure(step: Step, may_have_run: bool, detail: impl ToString) -> Failure {
    Failure {
        step,
        may_have_run,
        detail: detail.to_string(),
    }
}

fn step_of(error: &ExchangeError) -> Step {
    match error {
        ExchangeError::Connect { .. } => Step::Connect,
        ExchangeError::Timeout { .. } | ExchangeError::Transport { .. } => Step::Exchange,
        ExchangeError::Unauthenticated { .. } => Step::Session,
        ExchangeError::Answer { .. } => Step::Answer,
    }
}

fn refusal_failure(refusal: Refusal, may_have_run: bool) -> Failure {
    let step = match refusal {
        Refusal::Panicked | Refusal::TooLarge => Step::Handle,
        Refusal::Forgotten | Refusal::Replayed => Step::Answer,
        _ => Step::Admit,
    };
    failure(step, may_have_run, refusal)
}

impl Link {
    pub(crate) fn new(me: id::Instance, key: Key, peer: Peer, limits: Limits) -> Self {
        Self {
            pool: Pool::new(peer.address, &limits),
            notice_pool: Pool::new(peer.address, &limits),
            peer,
            me,
            key,
            limits,
            session: Mutex::default(),
            opening_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Returns how long to wait for an answer over a connection; each of the first four replacements within a call
    /// doubles the limit, so that calls also succeed over a slow but working network.
    fn exchange_timeout(&self, bytes: usize, attempt: u32) -> Duration {
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND as f64);
        self.limits.exchange_timeout * 2_u32.pow(attempt.min(4)) + transfer
    }

    fn pool_for(&self, kind: Kind) -> &Pool {
        match kind {
            Kind::Notices => &self.notice_pool,
            _ => &self.pool,
        }
    }

    fn current_session(&self) -> Option<Arc<Session>> {
        let session = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        session.clone()
    }

    fn replace_session(&self, old: Option<u64>, new: Option<Arc<Session>>) {
        let mut session = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        if session.as_ref().map(|session| session.id) == old {
            *session = new;
        }
    }

    async fn exchange_on<R: DeserializeOwned>(
        &self,
        connection: &Connection,
        kind: Kind,
        frame: &Sealed,
        attempt: u32,
    ) -> Result<Answer<R>, ExchangeError> {
        let (peer, message) = (self.peer.counter_label, kind.as_str());
        let bytes = frame.body.len();
        stats::count_message("sent", peer, message, bytes);
        let limit = self.exchange_timeout(bytes, attempt);
        let result = exchange(connection, &self.key, &self.peer.instance, frame, limit).await;
        match result {
            Ok((answer, bytes)) => {
                stats::count_message("received", peer, message, bytes);
                Ok(answer)
            }
            Err(error) => {
                if matches!(error, ExchangeError::Timeout { .. }) {
                    stats::count("buckthornmast_peer_silent_connections_total", peer, 1);
                    log::debug!(step = "exchange", peer:% = self.peer.instance; "the peer did not answer in time, closing the connection");
                }
                Err(error)
            }
        }
    }

    /// Exchanges a frame over a connection of the pool, which is closed if the exchange fails.
    ///
    /// Returns whether an earlier copy of the frame may have been received, and sets `sent` once a connection is
    /// available.
    async fn exchange<R: DeserializeOwned>(
        &self,
        pool: &Pool,
        kind: Kind,
        frame: &Sealed,
        attempt: u32,
        sent: &AtomicBool,
    ) -> (bool, Result<Answer<R>, ExchangeError>) {
        let pooled = match pool.acquire().await {
            Ok(pooled) => pooled,
            Err(error) => return (sent.load(Ordering::SeqCst), Err(error)),
        };
        let is_repeat = sent.swap(true, Ordering::SeqCst);
        let answer = self
            .exchange_on(&pooled.connection, kind, frame, attempt)
            .await;
        if answer.is_ok() {
            pool.release(pooled);
        }
        (is_repeat, answer)
    }

    /// Returns the current session or opens a new one.
    async fn session(&self, pool: &Pool, attempt: u32) -> Result<Arc<Session>, ExchangeError> {
        if let Some(session) = self.current_session() {
            return Ok(session);
        }
        let _opening = self.opening_lock.lock().await;
        if let Some(session) = self.current_session() {
            return Ok(session);
        }
        let body = encode_plain(&Request::Open)?;
        let frame = sealed::seal_request(&self.key, &self.me, Nonce::random(), body);
        let sent = AtomicBool::new(false);
        let (_, answer) = self
            .exchange::<Value>(pool, Kind::Open, &frame, attempt, &sent)
            .await;
        match answer? {
            Answer::Session(id) => {
                let next_sequence = AtomicU64::new(0);
                let session = Arc::new(Session { id, next_sequence });
                self.replace_session(None, Some(session.clone()));
                Ok(session)
            }
            answer => Err(ExchangeError::Answer {
                detail: format!("the peer opened no session but answered {answer:?}"),
            }),
        }
    }

    fn seal(&self, session: &Session, body: String) -> Sealed {
        let nonce = Nonce {
            session: session.id,
            sequence: session.next_sequence.fetch_add(1, Ordering::Relaxed),
        };
        sealed::seal_request(&self.key, &self.me, nonce, body)
    }

    /// Sends a body until it is answered; the peer handles it at most once.
    ///
    /// Sets `sent` as soon as the peer may have received the body, and clears it if the peer refuses to run it.
    /// Replaces unresponsive connections until the caller drops the future at its deadline. Fails on every other
    /// error, except that a refused session is replaced and one broken connection is retried.
    pub(crate) async fn deliver<R: DeserializeOwned>(
        &self,
        kind: Kind,
        body: &str,
        sent: &AtomicBool,
    ) -> Result<(Answer<R>, Nonce), Failure> {
        let pool = self.pool_for(kind);
        let mut attempt = 0;
        let mut refusals = 0;
        loop {
            let session = match self.session(pool, attempt).await {
                Ok(session) => session,
                Err(ExchangeError::Timeout { .. }) => {
                    attempt += 1;
                    continue;
                }
                Err(error) => {
                    let step = match step_of(&error) {
                        Step::Connect => Step::Connect,
                        _ => Step::Session,
                    };
                    return Err(failure(step, false, error));
                }
            };
            let frame = self.seal(&session, body.to_owned());
            match self.deliver_frame(kind, &frame, sent).await? {
                // The first copy was refused, so the peer never handled the body.
                Answer::Refused(Refusal::Session) if refusals < MAX_SESSION_REFUSALS => {
                    self.replace_session(Some(session.id), None);
                    refusals += 1;
                }
                answer => return Ok((answer, frame.nonce)),
            }
        }
    }

    /// Sends copies of a frame until one of them is answered.
    async fn deliver_frame<R: DeserializeOwned>(
        &self,
        kind: Kind,
        frame: &Sealed,
        sent: &AtomicBool,
    ) -> Result<Answer<R>, Failure> {
        let pool = self.pool_for(kind);
        let mut attempt = 0;
        let mut retries = 0;
        loop {
            let (is_repeat, answer) = self.exchange(pool, kind, frame, attempt, sent).await;
            match answer {
                Ok(Answer::Refused(Refusal::Session)) if is_repeat => {
                    self.replace_session(Some(frame.nonce.session), None);
                    return Err(refusal_failure(Refusal::Session, true));
                }
                Ok(answer) => {
                    if matches!(&answer, Answer::Refused(refusal) if refusal.is_never_run()) {
                        sent.store(false, Ordering::SeqCst);
                    }
                    return Ok(answer);
                }
                Err(ExchangeError::Timeout { .. }) => attempt += 1,
                // The peer may have closed an idle connection, so one retry is allowed.
                Err(ExchangeError::Transport { .. }) if retries == 0 => retries += 1,
                Err(error) => {
                    if !is_repeat && matches!(error, ExchangeError::Connect { .. }) {
                        sent.store(false, Ordering::SeqCst);
                    }
                    let may_have_run = sent.load(Ordering::SeqCst);
                    return Err(failure(step_of(&error), may_have_run, error));
                }
            }
        }
    }

    /// Calls the peer and waits for the response; the caller drops the future at its deadline.
    pub(crate) async fn call<R: DeserializeOwned>(
        &self,
        body: &str,
        sent: &AtomicBool,
    ) -> Result<R, Failure> {
        let (mut answer, nonce) = self.deliver(Kind::Call, body, sent).await?;
        loop {
            match answer {
                Answer::Done(response) => return Ok(response),
                // An earlier copy has arrived, so the response is polled for.
                Answer::Running | Answer::Refused(Refusal::Replayed) => {}
                Answer::Refused(refusal) => {
                    let is_never_run = refusal.is_never_run();
                    return Err(refusal_failure(refusal, !is_never_run));
                }
                Answer::Session(_) | Answer::Taken => {
                    return Err(failure(
                        Step::Answer,
                        true,
                        "unexpected kind of answer to a call",
                    ));
                }
            }
            answer = self.poll(nonce).await?;
        }
    }

    /// Polls once for the answer to a call.
    async fn poll<R: DeserializeOwned>(&self, call: Nonce) -> Result<Answer<R>, Failure> {
        let session = match self.current_session() {
            Some(session) if session.id == call.session => session,
            _ => return Err(failure(Step::Exchange, true, "the session has ended")),
        };
        let sequence = call.sequence;
        let body = encode_plain(&Request::Poll { sequence });
        let body = body.map_err(|error| failure(Step::Encode, true, error))?;
        let frame = self.seal(&session, body);
        let sent = AtomicBool::new(false);
        match self.deliver_frame(Kind::Poll, &frame, &sent).await {
            // An earlier copy of the poll has arrived; the next poll has another nonce.
            Ok(Answer::Refused(Refusal::Replayed)) => Ok(Answer::Running),
            Ok(Answer::Refused(Refusal::Session)) => {
                self.replace_session(Some(call.session), None);
                Err(refusal_failure(Refusal::Session, true))
            }
            Ok(answer) => Ok(answer),
            Err(error) => Err(Failure {
                may_have_run: true,
                ..error
            }),
        }
    }

    /// Closes connections beyond the idle timeout and pings the other idle ones.
    pub(crate) fn ping_idle(self: &Arc<Self>) {
        for kind in [Kind::Call, Kind::Notices] {
            for connection in self.pool_for(kind).take_due_for_ping(&self.limits) {
                if let Some(session) = self.current_session() {
                    tokio::spawn(self.clone().ping(kind, connection, session));
                }
            }
        }
    }

    /// Pings an idle connection and returns it to its pool if the peer answers.
    async fn ping(self: Arc<Self>, kind: Kind, connection: Connection, session: Arc<Session>) {
        let Ok(body) = encode_plain(&Request::Ping) else {
            return;
        };
        let frame = self.seal(&session, body);
        match self
            .exchange_on::<Value>(&connection, Kind::Ping, &frame, 0)
            .await
        {
            Ok(Answer::Taken) => self.pool_for(kind).release_pinged(connection),
            Ok(Answer::Refused(Refusal::Session)) => {
                self.replace_session(Some(session.id), None);
            }
            _ => {}
        }
    }
}

/// Serialises the body of a call.
pub(crate) fn encode_call<R: Serialize>(request: R, timeout: Duration) -> Result<String, String> {
    let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    let request = Request::<R, ()>::Call {
        timeout_ms,
        request,
    };
    serde_json::to_string(&request).map_err(|error| error.to_string())
}
