//! Grants controller leases while this instance leads the replicated log.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_consensus::{
    driver::ProposeError,
    status::{Role, Status},
};
use buckthornmast_lease::{
    DURATION,
    grantor::{Grantor, Renewal, Verdict},
};
use buckthornmast_state::{
    leases::{Grant, GrantAnswer, Lease},
    machine::{Answer, Command},
};
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::{
    claims::Gauge,
    message::{LeaseReply, LeaseRequest},
    peers::Replica,
};

/// Interval between two polls of the replica.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls between two updates of the claims gauge, which make one second.
const GAUGE_ROUNDS: u32 = 50;

/// Time limit for a grant to be committed; beyond it, the candidate has to request the lease again.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Leadership as of the last poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Another instance leads, or there is no leader.
    Follow,
    /// This instance was elected, and entries up to `last` have yet to be applied.
    Elected { term: id::Term, last: id::Index },
    /// This instance grants leases.
    Lead { term: id::Term },
}

struct Inner {
    grantor: Grantor,
    phase: Phase,
}

/// Grantor of controller leases, with the replica whose leadership and grants it follows.
pub struct Leader {
    me: id::Instance,
    replica: Arc<Replica>,
    clock: System,
    inner: Mutex<Inner>,
}

/// Handle of the thread that polls the replica.
pub struct Watch {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Stops the thread and joins it.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread that polls the replica.
pub fn watch(leader: Arc<Leader>) -> std::io::Result<Watch> {
    let (stop, stopped): (Sender<()>, Receiver<()>) = flume::bounded(1);
    let run = move || {
        let (mut gauge, mut round) = (Gauge::default(), 0_u32);
        while stopped.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            leader.follow_replica();
            if round.is_multiple_of(GAUGE_ROUNDS) {
                gauge.update(&leader.replica.read(|state| state.claims().usage()));
            }
            round = round.wrapping_add(1);
        }
    };
    let thread = thread::Builder::new()
        .name("leader".to_owned())
        .spawn(run)?;
    Ok(Watch {
        stop: Some(stop),
        thread: Some(thread),
    })
}

impl Leader {
    /// Returns a grantor that does not lead.
    pub fn new(me: id::Instance, replica: Arc<Replica>, clock: System) -> Self {
        let inner = Inner {
            grantor: Grantor::new(DURATION),
            phase: Phase::Follow,
        };
        Self {
            me,
            replica,
            clock,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leases(&self) -> Vec<(id::Domain, Lease)> {
        self.replica.read(|state| {
            let leases = state.leases().leases();
            leases
                .map(|(domain, lease)| (domain.clone(), lease.clone()))
                .collect()
        })
    }

    /// Updates the grantor with the role of the replica and with the applied grants.
    fn follow_replica(&self) {
        let status = self.replica.status();
        let mut inner = self.lock();
        match next_phase(inner.phase, &status) {
            Phase::Lead { term } if inner.phase != (Phase::Lead { term }) => {
                log::info!(step = "lead", term = term.0; "this instance leads the log and grants controller leases");
                inner.grantor.lead(self.clock.now(), []);
                inner.phase = Phase::Lead { term };
            }
            Phase::Follow if inner.phase != Phase::Follow => {
                inner.grantor.follow();
                inner.phase = Phase::Follow;
            }
            phase => inner.phase = phase,
        }
        if matches!(inner.phase, Phase::Lead { .. }) {
            self.apply_leases(&mut inner.grantor);
        }
    }

    /// Applies grants and handovers of the replicated state that the grantor does not know yet.
    fn apply_leases(&self, grantor: &mut Grantor) {
        for (domain, lease) in self.leases() {
            if grantor.token(&domain) >= Some(lease.token) {
                continue;
            }
            let is_released = lease.holder.is_none();
            // The grantor requires a holder; a lease without one is released immediately.
            let holder = lease.holder.unwrap_or_else(|| self.me.clone());
            grantor.granted(self.clock.now(), domain.clone(), holder, lease.token);
            if is_released {
                grantor.released(&domain, lease.token);
            }
        }
    }

    /// Answers a candidate or holder; may block until a commit.
    pub fn answer(&self, from: &id::Instance, request: &LeaseRequest) -> LeaseReply {
        match request {
            LeaseRequest::Grant { domain } => self.grant(from, domain),
            LeaseRequest::Renew { domain, token } => self.renew(from, domain, *token),
        }
    }

    fn not_now(&self) -> LeaseReply {
        LeaseReply::NotNow {
            hint: self.replica.status().leader,
        }
    }

    fn renew(&self, from: &id::Instance, domain: &id::Domain, token: id::Token) -> LeaseReply {
        let lease = self.replica.status().leader_lease;
        let mut inner = self.lock();
        match inner
            .grantor
            .renew(self.clock.now(), lease, domain, from, token)
        {
            Renewal::Renewed => LeaseReply::Renewed,
            Renewal::Refused => LeaseReply::Superseded,
            Renewal::Unable => {
                drop(inner);
                self.not_now()
            }
        }
    }

    fn grant(&self, from: &id::Instance, domain: &id::Domain) -> LeaseReply {
        let verdict = self.lock().grantor.request(self.clock.now(), domain, from);
        let previous = match verdict {
            Verdict::Propose { previous } => previous,
            Verdict::Held { .. } => return LeaseReply::Held,
            Verdict::NotLeader => return self.not_now(),
        };
        let command = Command::Grant(Grant {
            domain: domain.clone(),
            holder: from.clone(),
            previous,
        });
        match self.replica.propose(command, GRANT_TIMEOUT) {
            Ok(Answer::Granted(granted)) => self.apply_grant(from, domain, granted),
            // The replicated state will show the outcome; until then the lease is not granted to any candidate.
            Err(ProposeError::Unknown) => self.not_now(),
            Ok(_) | Err(_) => {
                self.lock().grantor.withdrawn(domain);
                self.not_now()
            }
        }
    }

    fn apply_grant(
        &self,
        from: &id::Instance,
        domain: &id::Domain,
        granted: GrantAnswer,
    ) -> LeaseReply {
        let mut inner = self.lock();
        match &granted {
            GrantAnswer::Granted { token, .. } => {
                inner
                    .grantor
                    .granted(self.clock.now(), domain.clone(), from.clone(), *token);
                LeaseReply::Granted(granted)
            }
            GrantAnswer::Conflict { .. } | GrantAnswer::Full => {
                inner.grantor.withdrawn(domain);
                self.apply_leases(&mut inner.grantor);
                LeaseReply::Held
            }
        }
    }
}

/// Returns the phase that follows from the state of the replica.
///
/// A new leader grants only after an entry of its own term has been applied, so that no grant of an earlier term can
/// still take effect. At that time all leases count as just renewed. The last index of the replica at the first poll
/// is at or after that entry.
fn next_phase(phase: Phase, status: &Status) -> Phase {
    if status.role != Role::Leader {
        return Phase::Follow;
    }
    let term = status.term;
    match phase {
        Phase::Lead { term: phase_term } if phase_term == term => phase,
        Phase::Elected {
            term: phase_term,
            last,
        } if phase_term == term && status.applied >= last => Phase::Lead { term },
        Phase::Elected {
            term: phase_term, ..
        } if phase_term == term => phase,
        _ => Phase::Elected {
            term,
            last: status.last,
        },
    }
}
