//! Answers calls and takes notices of other instances.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_controller::notebook::Notebook;
use buckthornmast_types::id;

use crate::{
    confirm::Confirmed,
    control::Control,
    current::Current,
    demand::Demand,
    leader::Leader,
    message::{JournalAsk, JournalReply, Notice, Refusal, Request, Response, millis},
    peers::{Peers, Replica, refuse},
    summary::Own,
    targets::Targets,
};

/// Parts behind the port of the peers.
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
    pub notebook: Arc<Mutex<Notebook>>,
    /// Controller of this candidate.
    pub control: Control,
    /// Confirmation of the settings.
    pub confirmed: Confirmed,
    /// Own summary.
    pub own: Own,
}

impl Receiver {
    fn notebook(&self) -> MutexGuard<'_, Notebook> {
        self.notebook.lock().unwrap_or_else(PoisonError::into_inner)
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
                    replica.read(|state| state.book().history(scope).cloned().collect())
                });
                Response::History(history)
            }
            Request::Lease(ask) => match &self.leader {
                Some(leader) => Response::Lease(leader.answer(from, ask)),
                None => refuse(&request),
            },
            Request::Journal(ask) => Response::Journal(self.journal(ask)),
            Request::Confirmed => Response::Confirmed {
                age_ms: millis(self.confirmed.age()),
            },
            Request::Summary => Response::Summary(Box::new((self.own)())),
        }
    }

    fn journal(&self, ask: &JournalAsk) -> JournalReply {
        match ask {
            JournalAsk::Record { token, orders } => {
                JournalReply::Done(self.notebook().record(*token, orders))
            }
            JournalAsk::Read { token } => JournalReply::Page(self.notebook().read(*token)),
            JournalAsk::Life => JournalReply::Life(self.notebook().life()),
            JournalAsk::DeclareClean { life } => {
                self.notebook().declare_clean(*life);
                JournalReply::Done(true)
            }
            JournalAsk::Promise { token } => JournalReply::Done(self.control.promise(*token)),
        }
    }

    /// Takes a notice without blocking.
    pub fn notify(&self, from: &id::Instance, notice: Notice) {
        match notice {
            Notice::Consensus(message) => {
                if let Some(replica) = &self.replica {
                    replica.deliver(from.clone(), message);
                }
            }
            Notice::Reports(reports) => {
                let wanted = self.targets.accept_relayed(reports);
                if !wanted.is_empty() {
                    self.peers.notify(from, Notice::Wanted(wanted));
                }
            }
            Notice::Wanted(targets) => self.targets.want(targets),
            Notice::Demand(news) => {
                if self.demand.accept(from, news) {
                    self.peers.notify(from, Notice::DemandWanted);
                }
            }
            Notice::DemandWanted => self.demand.want(from),
            Notice::Forget(orders) => self.notebook().forget(&orders),
            Notice::Cache(passed) => self.targets.cache().accept_passed(from, &passed),
        }
    }
}
