//! Handles calls and notices from other instances.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_controller::journal::Journal;
use buckthornmast_types::id;

use crate::{
    confirm::Confirmed,
    control::Control,
    current::Current,
    demand::Demand,
    leader::Leader,
    message::{JournalReply, JournalRequest, Notice, Refusal, Request, Response, millis},
    peers::{Peers, Replica, refuse},
    summary,
    targets::Targets,
};

/// Components that serve the peer port.
pub struct Receiver {
    /// Settings in force.
    pub current: Current,
    /// Local replica.
    pub replica: Option<Arc<Replica>>,
    /// Grantor of leases, if there is a replica.
    pub leader: Option<Arc<Leader>>,
    /// Client to the other instances.
    pub peers: Peers,
    /// Reports of targets.
    pub targets: Targets,
    /// Demand of all instances.
    pub demand: Demand,
    /// Journal of this candidate.
    pub journal: Arc<Mutex<Journal>>,
    /// Controller of this candidate.
    pub control: Control,
    /// Confirmation of the settings.
    pub confirmed: Confirmed,
    /// Summary of this instance.
    pub own_summary: summary::Source,
}

impl Receiver {
    fn local_journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a call.
    pub fn call(&self, from: &id::Instance, request: Request) -> Response {
        match &request {
            Request::Propose {
                command,
                timeout_ms,
            } => {
                let Some(replica) = &self.replica else {
                    return refuse(&request);
                };
                let timeout = Duration::from_millis(*timeout_ms);
                let answer = replica.propose(command.clone(), timeout);
                Response::Proposed(answer.map_err(Refusal::from))
            }
            Request::Follow { revision } => {
                Response::Followed(self.current.get().tree.changes_since(*revision))
            }
            Request::History { scope } => {
                let history = self.replica.as_ref().map(|replica| {
                    replica.read(|state| state.write_history().history(scope).cloned().collect())
                });
                Response::History(history)
            }
            Request::Lease(lease) => match &self.leader {
                Some(leader) => Response::Lease(leader.answer(from, lease)),
                None => refuse(&request),
            },
            Request::Journal(journal) => Response::Journal(self.answer_journal(journal)),
            Request::Confirmed => Response::Confirmed {
                age_ms: millis(self.confirmed.age()),
            },
            Request::Summary => Response::Summary(Box::new((self.own_summary)())),
        }
    }

    fn answer_journal(&self, request: &JournalRequest) -> JournalReply {
        match request {
            JournalRequest::Record { token, orders } => {
                JournalReply::Done(self.local_journal().record(*token, orders))
            }
            JournalRequest::Read { token } => JournalReply::Page(self.local_journal().read(*token)),
            JournalRequest::Incarnation => {
                JournalReply::Incarnation(self.local_journal().incarnation())
            }
            JournalRequest::DeclareClean { incarnation } => {
                self.local_journal().declare_clean(*incarnation);
                JournalReply::Done(true)
            }
            JournalRequest::Promise { token } => JournalReply::Done(self.control.promise(*token)),
        }
    }

    /// Handles a notice without blocking.
    pub fn notify(&self, from: &id::Instance, notice: Notice) {
        match notice {
            Notice::Consensus(message) => {
                if let Some(replica) = &self.replica {
                    replica.deliver(from.clone(), message);
                }
            }
            Notice::Reports(reports) => {
                let missing = self.targets.accept_relayed(reports);
                if !missing.is_empty() {
                    self.peers.notify(from, Notice::ReportRequest(missing));
                }
            }
            Notice::ReportRequest(targets) => self.targets.request_full(targets),
            Notice::Demand(update) => {
                if self.demand.accept(from, update) {
                    self.peers.notify(from, Notice::DemandRequest);
                }
            }
            Notice::DemandRequest => self.demand.record_requester(from),
            Notice::Forget(orders) => self.local_journal().forget(&orders),
            Notice::Cache(relayed) => self.targets.cache().accept_relayed(from, &relayed),
        }
    }
}
