//! Routes commands to the leader of the replicated log.
//!
//! Every instance can propose. The leading voter appends the command itself; any other instance sends it to
//! the leader that it knows of, or tries the voters one after another. A command that is safe to repeat is sent
//! again when its outcome is unknown; for any other command the outcome is reported as unknown.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use buckthornmast_state::{
    machine::{Answer, Command},
    settings::{Entry, Scope},
};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use snafu::Snafu;

use crate::{
    message::{Refusal, Request, Response, millis},
    peers::{Peers, Replica},
};

/// Pause after all voters have been tried without success; an election takes a few of these.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum wait for one voter, so that an unresponsive one leaves time for the others.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reason why a command has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// The command was not committed and never will be.
    #[snafu(display("no leader of the replicated log took the command"))]
    NotProposed,
    /// The command may have been committed, or may be committed later.
    #[snafu(display("it is not known whether the command was committed"))]
    Unknown,
}

/// Proposer of commands, which finds the leader of the log.
#[derive(Clone)]
pub struct Proposer {
    me: id::Instance,
    voters: Arc<[id::Instance]>,
    replica: Option<Arc<Replica>>,
    peers: Peers,
    leader: Arc<Mutex<Option<id::Instance>>>,
    next_voter: Arc<AtomicUsize>,
    clock: System,
}

/// Returns whether the state machine answers a repeated command like the first one.
fn is_repeatable(command: &Command) -> bool {
    // A repeated claim is answered as held by another attempt, so its owner would not dispatch the request.
    !matches!(
        command,
        Command::Claim(_) | Command::Grant(_) | Command::Handover(_)
    )
}

impl Proposer {
    /// Returns a proposer.
    pub fn new(
        me: id::Instance,
        voters: Vec<id::Instance>,
        replica: Option<Arc<Replica>>,
        peers: Peers,
        clock: System,
    ) -> Self {
        let (leader, next_voter) = (Arc::default(), Arc::default());
        Self {
            me,
            voters: voters.into(),
            replica,
            peers,
            leader,
            next_voter,
            clock,
        }
    }

    /// Returns the leader of the log, if this instance knows it.
    pub fn leader(&self) -> Option<id::Instance> {
        let local = self
            .replica
            .as_ref()
            .and_then(|replica| replica.status().leader);
        local.or_else(|| {
            self.leader
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        })
    }

    /// Records the leader that another instance returned.
    pub fn set_leader(&self, leader: Option<id::Instance>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }

    /// Forgets the leader after it did not answer or turned out not to lead.
    pub fn forget_leader(&self) {
        self.set_leader(None);
    }

    /// Returns the voters, with the presumed leader first.
    pub fn voters(&self) -> Vec<id::Instance> {
        let leader = self.leader();
        let mut voters: Vec<_> = self.voters.to_vec();
        if leader.is_none() && !voters.is_empty() {
            // Rotates the first voter, so that a voter that is down delays only some calls.
            let first = self.next_voter.fetch_add(1, Ordering::Relaxed) % voters.len();
            voters.rotate_left(first);
        }
        voters.sort_by_key(|voter| Some(voter) != leader.as_ref());
        voters
    }

    /// Returns the history of a scope from the local replica, if there is one.
    pub fn history(&self, scope: &Scope) -> Option<Vec<Entry>> {
        let replica = self.replica.as_ref()?;
        Some(replica.read(|state| state.write_history().history(scope).cloned().collect()))
    }

    /// Proposes a command and waits for its answer.
    pub fn propose(&self, command: &Command, timeout: Duration) -> Result<Answer, ProposeError> {
        let deadline = self.clock.now() + timeout;
        let mut is_unknown = false;
        while self.clock.now() < deadline {
            for voter in self.voters() {
                match self.propose_to(&voter, command, deadline) {
                    Ok(answer) => return Ok(answer),
                    Err(Refusal::NotLeader { hint }) => self.set_leader(hint),
                    Err(Refusal::NotAppended) => self.set_leader(None),
                    Err(Refusal::Unknown) if is_repeatable(command) => is_unknown = true,
                    Err(Refusal::Unknown) => return Err(ProposeError::Unknown),
                }
                if self.clock.now() >= deadline {
                    break;
                }
            }
            thread::sleep(RETRY_PAUSE.min(deadline.since(self.clock.now())));
        }
        Err(if is_unknown {
            ProposeError::Unknown
        } else {
            ProposeError::NotProposed
        })
    }

    fn propose_to(
        &self,
        voter: &id::Instance,
        command: &Command,
        deadline: Point,
    ) -> Result<Answer, Refusal> {
        let left = deadline.since(self.clock.now());
        if *voter == self.me {
            let Some(replica) = &self.replica else {
                return Err(Refusal::NotAppended);
            };
            return replica
                .propose(command.clone(), left)
                .map_err(Refusal::from);
        }
        let timeout_ms = millis(left.min(VOTER_TIMEOUT));
        let request = Request::Propose {
            command: command.clone(),
            timeout_ms,
        };
        match self.peers.call(voter, request, left.min(VOTER_TIMEOUT)) {
            Ok(Response::Proposed(result)) => result,
            Ok(_) => Err(Refusal::Unknown),
            Err(error) => {
                log::debug!(step = "propose", peer = voter.as_str(); "proposing to a voter failed: {error}");
                Err(if error.may_have_run {
                    Refusal::Unknown
                } else {
                    Refusal::NotAppended
                })
            }
        }
    }
}
