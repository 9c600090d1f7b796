//! Calls to one peer.

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
    lane::{Lane, Lanes},
    message::{Answer, Ask, Kind, Refusal},
    stats,
};

/// What a connection must deliver per second not to count as silent while a body is sent.
const MIN_BYTES_PER_SECOND: usize = 4 << 20;

/// Sessions that a call tries; one refusal is normal after a restart of the peer.
const MAX_SESSION_REFUSALS: u32 = 4;

/// Failure of a call, without the peer.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) step: Step,
    pub(crate) sent: bool,
    pub(crate) detail: String,
}

/// Session that the peer issued to this client.
struct Session {
    id: u64,
    next: AtomicU64,
}

/// Client side of one peer.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    me: id::Instance,
    key: Key,
    limits: Limits,
    lanes: Lanes,
    /// Connections for notices, so that these don't wait behind long calls.
    notice_lanes: Lanes,
    session: Mutex<Option<Arc<Session>>>,
    /// Held while a session is asked for, so that callers ask once.
    opening: tokio::sync::Mutex<()>,
}

/// Serializes a request that has no payload of the handler's types.
fn encode_plain(ask: &Ask<(), ()>) -> Result<String, ExchangeError> {
    serde_json::to_string(ask).map_err(|error| ExchangeError::Answer {
        detail: error.to_string(),
    })
}

fn failure(step: Step, sent: bool, detail: impl ToString) -> Failure {
    Failure {
        step,
        sent,
        detail: detail.to_string(),
    }
}

fn step_of(error: &ExchangeError) -> Step {
    match error {
        ExchangeError::Connect { .. } => Step::Connect,
        ExchangeError::Silent { .. } | ExchangeError::Transport { .. } => Step::Exchange,
        ExchangeError::Unauthenticated { .. } => Step::Session,
        ExchangeError::Answer { .. } => Step::Answer,
    }
}

fn refused(refusal: Refusal, sent: bool) -> Failure {
    let step = match refusal {
        Refusal::Panicked | Refusal::TooLarge => Step::Handle,
        Refusal::Forgotten | Refusal::Replayed => Step::Answer,
        _ => Step::Admit,
    };
    failure(step, sent, refusal)
}

impl Link {
    pub(crate) fn new(me: id::Instance, key: Key, peer: Peer, limits: Limits) -> Self {
        Self {
            lanes: Lanes::new(peer.address, &limits),
            notice_lanes: Lanes::new(peer.address, &limits),
            peer,
            me,
            key,
            limits,
            session: Mutex::default(),
            opening: tokio::sync::Mutex::default(),
        }
    }

    /// Returns how long a connection may be silent; each replacement within a call doubles it, so
    /// that a slow but working network is not given up forever.
    fn silence(&self, bytes: usize, attempt: u32) -> Duration {
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND as f64);
        self.limits.silence * 2_u32.pow(attempt.min(4)) + transfer
    }

    fn lanes_for(&self, kind: Kind) -> &Lanes {
        match kind {
            Kind::Notices => &self.notice_lanes,
            _ => &self.lanes,
        }
    }

    fn current(&self) -> Option<Arc<Session>> {
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
        lane: &Lane,
        kind: Kind,
        frame: &Sealed,
        attempt: u32,
    ) -> Result<Answer<R>, ExchangeError> {
        let (peer, message) = (self.peer.kind, kind.as_str());
        let bytes = frame.body.len();
        stats::count_message("sent", peer, message, bytes);
        let limit = self.silence(bytes, attempt);
        let result = exchange(lane, &self.key, &self.peer.instance, frame, limit).await;
        match result {
            Ok((answer, bytes)) => {
                stats::count_message("received", peer, message, bytes);
                Ok(answer)
            }
            Err(error) => {
                if matches!(error, ExchangeError::Silent { .. }) {
                    stats::count("buckthornmast_peer_silent_connections_total", peer, 1);
                    log::debug!(step = "exchange", peer:% = self.peer.instance; "replace a silent connection");
                }
                Err(error)
            }
        }
    }

    /// Exchanges a frame over some connection, which is closed if it fails.
    ///
    /// Returns whether an earlier copy may have been received, and sets `sent` once a connection is
    /// at hand.
    async fn exchange<R: DeserializeOwned>(
        &self,
        lanes: &Lanes,
        kind: Kind,
        frame: &Sealed,
        attempt: u32,
        sent: &AtomicBool,
    ) -> (bool, Result<Answer<R>, ExchangeError>) {
        let busy = match lanes.take().await {
            Ok(busy) => busy,
            Err(error) => return (sent.load(Ordering::SeqCst), Err(error)),
        };
        let repeated = sent.swap(true, Ordering::SeqCst);
        let answer = self.exchange_on(&busy.lane, kind, frame, attempt).await;
        if answer.is_ok() {
            lanes.put(busy);
        }
        (repeated, answer)
    }

    /// Returns the current session or asks for a new one.
    async fn session(&self, lanes: &Lanes, attempt: u32) -> Result<Arc<Session>, ExchangeError> {
        if let Some(session) = self.current() {
            return Ok(session);
        }
        let _opening = self.opening.lock().await;
        if let Some(session) = self.current() {
            return Ok(session);
        }
        let body = encode_plain(&Ask::Open)?;
        let frame = sealed::seal_request(&self.key, &self.me, Nonce::random(), body);
        let sent = AtomicBool::new(false);
        let (_, answer) = self
            .exchange::<Value>(lanes, Kind::Open, &frame, attempt, &sent)
            .await;
        match answer? {
            Answer::Session(id) => {
                let next = AtomicU64::new(0);
                let session = Arc::new(Session { id, next });
                self.replace_session(None, Some(session.clone()));
                Ok(session)
            }
            answer => Err(ExchangeError::Answer {
                detail: format!("the peer issued no session: {answer:?}"),
            }),
        }
    }

    fn seal(&self, session: &Session, body: String) -> Sealed {
        let nonce = Nonce {
            session: session.id,
            sequence: session.next.fetch_add(1, Ordering::Relaxed),
        };
        sealed::seal_request(&self.key, &self.me, nonce, body)
    }

    /// Delivers a body until it is answered; the peer takes it at most once.
    ///
    /// Sets `sent` as soon as the peer may have received it. Fails with a connection that can't be
    /// established, and otherwise goes on until the caller drops the future at its deadline.
    pub(crate) async fn deliver<R: DeserializeOwned>(
        &self,
        kind: Kind,
        body: &str,
        sent: &AtomicBool,
    ) -> Result<(Answer<R>, Nonce), Failure> {
        let lanes = self.lanes_for(kind);
        let mut attempt = 0;
        let mut refusals = 0;
        loop {
            let session = match self.session(lanes, attempt).await {
                Ok(session) => session,
                Err(ExchangeError::Silent { .. }) => {
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
                // The first copy was refused, so the peer never took it.
                Answer::Refused(Refusal::Session) if refusals < MAX_SESSION_REFUSALS => {
                    self.replace_session(Some(session.id), None);
                    refusals += 1;
                }
                answer => return Ok((answer, frame.nonce)),
            }
        }
    }

    /// Sends copies of a frame until one is answered.
    async fn deliver_frame<R: DeserializeOwned>(
        &self,
        kind: Kind,
        frame: &Sealed,
        sent: &AtomicBool,
    ) -> Result<Answer<R>, Failure> {
        let lanes = self.lanes_for(kind);
        let mut attempt = 0;
        let mut broken = 0;
        loop {
            let (repeated, answer) = self.exchange(lanes, kind, frame, attempt, sent).await;
            match answer {
                Ok(Answer::Refused(Refusal::Session)) if repeated => {
                    self.replace_session(Some(frame.nonce.session), None);
                    return Err(refused(Refusal::Session, true));
                }
                Ok(answer) => {
                    if matches!(&answer, Answer::Refused(refusal) if refusal.is_unsent()) {
                        sent.store(false, Ordering::SeqCst);
                    }
                    return Ok(answer);
                }
                Err(ExchangeError::Silent { .. }) => attempt += 1,
                // The peer may have closed an idle connection, so a new one is tried once.
                Err(ExchangeError::Transport { .. }) if broken == 0 => broken += 1,
                Err(error) => {
                    if !repeated && matches!(error, ExchangeError::Connect { .. }) {
                        sent.store(false, Ordering::SeqCst);
                    }
                    let sent = sent.load(Ordering::SeqCst);
                    return Err(failure(step_of(&error), sent, error));
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
                // A copy arrived before, so the response is asked for.
                Answer::Running | Answer::Refused(Refusal::Replayed) => {}
                Answer::Refused(refusal) => {
                    let unsent = refusal.is_unsent();
                    return Err(refused(refusal, !unsent));
                }
                Answer::Session(_) | Answer::Taken => {
                    return Err(failure(Step::Answer, true, "the answer fits no call"));
                }
            }
            answer = self.poll(nonce).await?;
        }
    }

    /// Asks once for the answer of a call.
    async fn poll<R: DeserializeOwned>(&self, call: Nonce) -> Result<Answer<R>, Failure> {
        let session = match self.current() {
            Some(session) if session.id == call.session => session,
            _ => return Err(failure(Step::Exchange, true, "the session has ended")),
        };
        let sequence = call.sequence;
        let body = encode_plain(&Ask::Poll { sequence });
        let body = body.map_err(|error| failure(Step::Encode, true, error))?;
        let frame = self.seal(&session, body);
        let sent = AtomicBool::new(false);
        match self.deliver_frame(Kind::Poll, &frame, &sent).await {
            // The poll was replayed, not the call; the next poll has another nonce.
            Ok(Answer::Refused(Refusal::Replayed)) => Ok(Answer::Running),
            Ok(Answer::Refused(Refusal::Session)) => {
                self.replace_session(Some(call.session), None);
                Err(refused(Refusal::Session, true))
            }
            Ok(answer) => Ok(answer),
            Err(error) => Err(Failure {
                sent: true,
                ..error
            }),
        }
    }

    /// Closes connections that are not needed and pings the other idle ones.
    pub(crate) fn ping_idle(self: &Arc<Self>) {
        for kind in [Kind::Call, Kind::Notices] {
            for lane in self.lanes_for(kind).take_due(&self.limits) {
                if let Some(session) = self.current() {
                    tokio::spawn(self.clone().ping(kind, lane, session));
                }
            }
        }
    }

    /// Pings an idle connection and returns it to its kind if it answers.
    async fn ping(self: Arc<Self>, kind: Kind, lane: Lane, session: Arc<Session>) {
        let Ok(body) = encode_plain(&Ask::Ping) else {
            return;
        };
        let frame = self.seal(&session, body);
        match self
            .exchange_on::<Value>(&lane, Kind::Ping, &frame, 0)
            .await
        {
            Ok(Answer::Taken) => self.lanes_for(kind).put_pinged(lane),
            Ok(Answer::Refused(Refusal::Session)) => {
                self.replace_session(Some(session.id), None);
            }
            _ => {}
        }
    }
}

/// Serializes the body of a call.
pub(crate) fn encode_call<R: Serialize>(request: R, timeout: Duration) -> Result<String, String> {
    let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    let ask = Ask::<R, ()>::Call { millis, request };
    serde_json::to_string(&ask).map_err(|error| error.to_string())
}
