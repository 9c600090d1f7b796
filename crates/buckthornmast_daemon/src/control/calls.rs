//! Implements [`port::Log`] over the proposer, and [`port::Journals`] over calls to the other candidates.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use buckthornmast_controller::{
    journal::{Incarnation, Journal, coverage},
    port::{self, Intents, LogError},
};
use buckthornmast_ledger::entry::ClosedOrder;
use buckthornmast_state::{
    leases::{Intend, RecordAnswer, Resolve},
    machine::{Answer, Command},
};
use buckthornmast_types::{id, order::Order};

use crate::{
    leader::Leader,
    message::{JournalReply, JournalRequest, LeaseReply, LeaseRequest, Notice, Request, Response},
    peers::Peers,
    propose::{ProposeError, Proposer},
};

/// Time limit for the log to commit intents, their resolution or the handover of a lease.
pub(super) const LOG_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for a lease message; less than half of the lease duration, so that a lost one can be repeated.
const LEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time limit for the journal of another candidate to answer.
const JOURNAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls to the log and to the other candidates, shared by the implementations of the ports.
pub(super) struct Calls {
    pub(super) me: id::Instance,
    pub(super) domain: id::Domain,
    pub(super) others: Vec<id::Instance>,
    pub(super) proposer: Proposer,
    pub(super) leader: Option<Arc<Leader>>,
    pub(super) peers: Peers,
    pub(super) journal: Arc<Mutex<Journal>>,
}

impl Calls {
    fn local_journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn commit(&self, command: &Command) -> Result<(), LogError> {
        match self.proposer.propose(command, LOG_TIMEOUT) {
            Ok(Answer::Recorded(RecordAnswer::Recorded)) => Ok(()),
            Ok(Answer::Recorded(RecordAnswer::Fenced { .. })) => Err(LogError::Superseded),
            Ok(_) => Err(LogError::NotRecorded),
            Err(ProposeError::NotProposed) => Err(LogError::NotRecorded),
            Err(ProposeError::Unknown) => Err(LogError::Unknown),
        }
    }

    /// Calls the leader of the log, which may be this instance.
    pub(super) fn call_leader(&self, request: &LeaseRequest) -> Option<LeaseReply> {
        let mut voter = self.proposer.voters().into_iter().next()?;
        // A voter that does not lead returns the leader, which is called next.
        for _ in 0..2 {
            let reply = if voter == self.me {
                self.leader.as_ref()?.answer(&self.me, request)
            } else {
                match self
                    .peers
                    .call(&voter, Request::Lease(request.clone()), LEASE_TIMEOUT)
                {
                    Ok(Response::Lease(reply)) => reply,
                    _ => {
                        self.proposer.forget_leader();
                        return None;
                    }
                }
            };
            match reply {
                LeaseReply::NotNow { hint: Some(hint) } if hint != voter => {
                    self.proposer.set_leader(Some(hint.clone()));
                    voter = hint;
                }
                LeaseReply::NotNow { .. } => {
                    self.proposer.forget_leader();
                    return None;
                }
                reply => return Some(reply),
            }
        }
        None
    }

    pub(super) fn call_journal(
        &self,
        of: &id::Instance,
        request: JournalRequest,
    ) -> Option<JournalReply> {
        match self
            .peers
            .call(of, Request::Journal(request), JOURNAL_TIMEOUT)
        {
            Ok(Response::Journal(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// Replicated log, reached through the proposer.
pub(super) struct Log(pub(super) Arc<Calls>);

impl port::Log for Log {
    fn intend(&self, token: id::Token, orders: &[Order]) -> Result<(), LogError> {
        let domain = self.0.domain.clone();
        self.0.commit(&Command::Intend(Intend {
            domain,
            token,
            orders: orders.to_vec(),
        }))
    }

    fn resolve(&self, token: id::Token, closed: &[ClosedOrder]) -> Result<(), LogError> {
        let domain = self.0.domain.clone();
        let orders = closed.iter().map(|closed| closed.order.id).collect();
        let positions = closed
            .iter()
            .map(|closed| (closed.order.target.clone(), closed.position));
        let positions = positions.collect();
        self.0.commit(&Command::Resolve(Resolve {
            domain,
            token,
            orders,
            positions,
        }))
    }
}

/// Journals of the other candidates and of this one.
pub(super) struct Journals {
    calls: Arc<Calls>,
    /// Incarnations of the other journals, fetched by the previous `declare_clean` and declared clean by the next.
    incarnations: Mutex<Vec<(id::Instance, Incarnation)>>,
}

impl Journals {
    pub(super) fn new(calls: Arc<Calls>) -> Self {
        Self {
            calls,
            incarnations: Mutex::default(),
        }
    }
}

impl port::Journals for Journals {
    fn is_single_candidate(&self) -> bool {
        self.calls.others.is_empty()
    }

    fn record(&self, token: id::Token, orders: &[Order]) -> bool {
        let calls = &self.calls;
        let record = |other: &id::Instance| {
            let request = JournalRequest::Record {
                token,
                orders: orders.to_vec(),
            };
            matches!(
                calls.call_journal(other, request),
                Some(JournalReply::Done(true))
            )
        };
        calls.others.iter().all(record) && calls.local_journal().record(token, orders)
    }

    fn read(&self, token: id::Token) -> Intents {
        let calls = &self.calls;
        let mut contents = vec![Some(calls.local_journal().read(token))];
        for other in &calls.others {
            contents.push(
                match calls.call_journal(other, JournalRequest::Read { token }) {
                    Some(JournalReply::Page(contents)) => Some(contents),
                    _ => None,
                },
            );
        }
        let coverage = coverage(&contents);
        let intents = contents
            .into_iter()
            .flatten()
            .flat_map(|contents| contents.intents)
            .collect();
        Intents { intents, coverage }
    }

    fn forget(&self, orders: &[id::Order]) {
        self.calls.local_journal().forget(orders);
        for other in &self.calls.others {
            self.calls
                .peers
                .notify(other, Notice::Forget(orders.to_vec()));
        }
    }

    fn declare_clean(&self) {
        let calls = &self.calls;
        let mut incarnations = self
            .incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (other, incarnation) in incarnations.drain(..) {
            calls.call_journal(&other, JournalRequest::DeclareClean { incarnation });
        }
        let local = calls.local_journal().incarnation();
        calls.local_journal().declare_clean(local);
        for other in &calls.others {
            if let Some(JournalReply::Incarnation(incarnation)) =
                calls.call_journal(other, JournalRequest::Incarnation)
            {
                incarnations.push((other.clone(), incarnation));
            }
        }
    }
}
