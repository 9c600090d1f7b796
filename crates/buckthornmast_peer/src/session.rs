//! Server side of sessions and of the calls in them.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use tokio::sync::watch;

use buckthornmast_types::id;
use buckthornmast_wire::{sealed::Nonce, window::Window};

use crate::{config::Limits, message::Refusal};

/// Sessions kept per peer.
///
/// A client uses one at a time; the others allow for a restart and for recorded requests that ask
/// for a session, which only push out sessions that were not used for longer.
const MAX_SESSIONS: usize = 4;

/// Encoded answer of a call, once the handler has returned.
pub(crate) type Outcome = Option<Arc<str>>;

type CallId = (id::Instance, Nonce);

/// Sessions that the server issued and calls that it runs or has run.
#[derive(Default)]
pub(crate) struct Registry {
    /// Sessions per peer, least recently used first.
    sessions: HashMap<id::Instance, Vec<(u64, Window)>>,
    calls: HashMap<CallId, watch::Receiver<Outcome>>,
    /// Finished calls, oldest first, with the size of their answers.
    finished: VecDeque<(CallId, usize)>,
    finished_bytes: usize,
    waiting: usize,
}

impl Registry {
    /// Issues a session.
    pub(crate) fn open(&mut self, from: &id::Instance) -> u64 {
        let session = rand::random();
        let sessions = self.sessions.entry(from.clone()).or_default();
        if sessions.len() >= MAX_SESSIONS {
            sessions.remove(0);
        }
        // A new session ranks last until it is used, so that recorded requests for sessions push
        // out each other and not the session in use.
        sessions.insert(0, (session, Window::default()));
        session
    }

    /// Uses up a nonce.
    pub(crate) fn admit(&mut self, from: &id::Instance, nonce: Nonce) -> Result<(), Refusal> {
        let sessions = self.sessions.get_mut(from).ok_or(Refusal::Session)?;
        let found = sessions.iter().position(|(id, _)| *id == nonce.session);
        let found = found.ok_or(Refusal::Session)?;
        if !sessions[found].1.accept(nonce.sequence) {
            return Err(Refusal::Replayed);
        }
        if found + 1 < sessions.len() {
            let used = sessions.remove(found);
            sessions.push(used);
        }
        Ok(())
    }

    /// Registers a call that waits for a handler.
    pub(crate) fn begin(
        &mut self,
        call: CallId,
        limits: &Limits,
    ) -> Result<watch::Sender<Outcome>, Refusal> {
        if self.waiting >= limits.calls + limits.waiting {
            return Err(Refusal::Busy);
        }
        let (sender, receiver) = watch::channel(None);
        self.waiting += 1;
        self.calls.insert(call, receiver);
        Ok(sender)
    }

    /// Keeps the answer of a call and forgets the oldest answers beyond the bounds.
    pub(crate) fn finish(&mut self, call: CallId, bytes: usize, limits: &Limits) {
        self.waiting -= 1;
        self.finished_bytes += bytes;
        self.finished.push_back((call, bytes));
        while self.finished.len() > limits.kept || self.finished_bytes > limits.kept_bytes {
            let Some((call, bytes)) = self.finished.pop_front() else {
                break;
            };
            self.finished_bytes -= bytes;
            self.calls.remove(&call);
        }
    }

    /// Returns where the outcome of a call appears.
    pub(crate) fn outcome(&self, call: &CallId) -> Option<watch::Receiver<Outcome>> {
        self.calls.get(call).cloned()
    }
}
