//! Server side of sessions and of their calls.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use tokio::sync::watch;

use buckthornmast_types::id;
use buckthornmast_wire::{sealed::Nonce, window::Window};

use crate::{config::Limits, message::Refusal};

/// Maximum number of sessions kept per peer.
///
/// A client uses one at a time. The others allow for a restart and for replayed requests that open a
/// session, which evict only sessions that have been unused for longer than the one in use.
const MAX_SESSIONS_PER_PEER: usize = 4;

/// Encoded answer to a call, once the handler has returned.
pub(crate) type Outcome = Option<Arc<str>>;

type CallId = (id::Instance, Nonce);

/// Sessions issued by the server, and its waiting, running and finished calls.
#[derive(Default)]
pub(crate) struct Registry {
    /// Sessions per peer, least recently used first.
    sessions: HashMap<id::Instance, Vec<(u64, Window)>>,
    calls: HashMap<CallId, watch::Receiver<Outcome>>,
    /// Finished calls, oldest first, with the size of their answers.
    finished: VecDeque<(CallId, usize)>,
    finished_bytes: usize,
    /// Calls that wait for a handler or run.
    unfinished: usize,
}

impl Registry {
    /// Opens a session and returns its id.
    pub(crate) fn open(&mut self, from: &id::Instance) -> u64 {
        let session = rand::random();
        let sessions = self.sessions.entry(from.clone()).or_default();
        if sessions.len() >= MAX_SESSIONS_PER_PEER {
            sessions.remove(0);
        }
        // A new session counts as least recently used until it is used, so that replayed requests that open
        // sessions evict each other and not the session in use.
        sessions.insert(0, (session, Window::default()));
        session
    }

    /// Accepts a nonce of a known session once.
    pub(crate) fn admit(&mut self, from: &id::Instance, nonce: Nonce) -> Result<(), Refusal> {
        let sessions = self.sessions.get_mut(from).ok_or(Refusal::Session)?;
        let index = sessions.iter().position(|(id, _)| *id == nonce.session);
        let index = index.ok_or(Refusal::Session)?;
        if !sessions[index].1.accept(nonce.sequence) {
            return Err(Refusal::Replayed);
        }
        if index + 1 < sessions.len() {
            let used = sessions.remove(index);
            sessions.push(used);
        }
        Ok(())
    }

    /// Registers a call that waits for a handler, unless too many calls are unfinished.
    pub(crate) fn begin(
        &mut self,
        call: CallId,
        limits: &Limits,
    ) -> Result<watch::Sender<Outcome>, Refusal> {
        if self.unfinished >= limits.max_running_calls + limits.max_waiting_calls {
            return Err(Refusal::Busy);
        }
        let (sender, receiver) = watch::channel(None);
        self.unfinished += 1;
        self.calls.insert(call, receiver);
        Ok(sender)
    }

    /// Keeps the answer to a call and evicts the oldest answers beyond the limits.
    pub(crate) fn finish(&mut self, call: CallId, bytes: usize, limits: &Limits) {
        self.unfinished -= 1;
        self.finished_bytes += bytes;
        self.finished.push_back((call, bytes));
        while self.finished.len() > limits.max_kept_answers
            || self.finished_bytes > limits.max_kept_bytes
        {
            let Some((call, bytes)) = self.finished.pop_front() else {
                break;
            };
            self.finished_bytes -= bytes;
            self.calls.remove(&call);
        }
    }

    /// Returns a channel that receives the outcome of a call, unless it was evicted.
    pub(crate) fn outcome(&self, call: &CallId) -> Option<watch::Receiver<Outcome>> {
        self.calls.get(call).cloned()
    }
}
