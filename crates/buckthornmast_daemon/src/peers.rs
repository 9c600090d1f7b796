//! Calls and notices between this instance and the others.
//!
//! The handler depends on the components of the instance, which in turn depend on the client. The receiver is
//! therefore set once the instance is assembled; calls that arrive before are refused and notices are dropped.

use std::sync::{Arc, OnceLock};

use buckthornmast_consensus::{driver, message::Message};
use buckthornmast_peer::{Client, handler};
use buckthornmast_state::machine::{Command, State};
use buckthornmast_types::id;

use crate::{
    message::{JournalReply, LeaseReply, Notice, Refusal, Request, Response},
    receive::Receiver,
};

/// Local replica of the log.
pub type Replica = driver::Handle<State>;

/// Client to all other instances.
pub type Peers = Client<Handler>;

/// Handler that forwards messages to the assembled instance.
#[derive(Default)]
pub struct Handler {
    receiver: OnceLock<Arc<Receiver>>,
}

impl Handler {
    /// Sets the receiver; a second one is ignored.
    pub fn set(&self, receiver: Arc<Receiver>) {
        let _ = self.receiver.set(receiver);
    }
}

impl handler::Handler for Handler {
    type Request = Request;
    type Response = Response;
    type Notice = Notice;

    fn call(&self, from: &id::Instance, request: Request) -> Response {
        match self.receiver.get() {
            Some(receiver) => receiver.call(from, request),
            None => refuse(&request),
        }
    }

    fn notify(&self, from: &id::Instance, notice: Notice) {
        if let Some(receiver) = self.receiver.get() {
            receiver.notify(from, notice);
        }
    }
}

/// Returns the refusal of a call that this instance cannot serve.
pub fn refuse(request: &Request) -> Response {
    match request {
        Request::Propose { .. } => Response::Proposed(Err(Refusal::NotLeader { hint: None })),
        Request::Follow { .. } => Response::Followed(None),
        Request::History { .. } => Response::History(None),
        Request::Lease(_) => Response::Lease(LeaseReply::NotNow { hint: None }),
        Request::Journal(_) => Response::Journal(JournalReply::Done(false)),
        Request::Confirmed => Response::Confirmed { age_ms: u64::MAX },
        Request::Summary => Response::Summary(Box::default()),
    }
}

/// Transport of consensus messages over notices.
pub struct Transport {
    peers: Peers,
}

impl Transport {
    /// Returns a transport over a client.
    pub fn new(peers: Peers) -> Self {
        Self { peers }
    }
}

impl driver::Transport for Transport {
    type Command = Command;

    fn send(&self, to: &id::Instance, message: Message<Command>) {
        self.peers.notify(to, Notice::Consensus(message));
    }
}
