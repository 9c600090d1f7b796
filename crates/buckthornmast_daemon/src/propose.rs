//! Way of commands to the leader of the replicated log.
//!
//! Every instance can propose. A voter that leads takes the command itself; everybody else sends it to
//! the leader it knows of, or asks the voters in turn. A command that is safe to send twice is sent
//! again when its fate is unknown; any other is reported as unknown.

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

/// Pause after all voters were asked in vain; an election takes a few of these.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one voter, so that one that does not answer leaves time for the others.
const ASK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a command has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// The command was not committed and never will be.
    #[snafu(display("no leader of the replicated log took the command"))]
    NotProposed,
    /// The command may have been committed or may still be.
    #[snafu(display("it is not known whether the command was committed"))]
    Unknown,
}

/// Proposer of commands.
#[derive(Clone)]
pub struct Proposer {
    me: id::Instance,
    voters: Arc<[id::Instance]>,
    replica: Option<Arc<Replica>>,
    peers: Peers,
    leader: Arc<Mutex<Option<id::Instance>>>,
    turn: Arc<AtomicUsize>,
    clock: System,
}

/// Returns whether the state machine answers a repeated command like the first one.
fn is_repeatable(command: &Command) -> bool {
    // A repeated claim is answered as held by another try, so its owner would not dispatch.
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
        let (leader, turn) = (Arc::default(), Arc::default());
        Self {
            me,
            voters: voters.into(),
            replica,
            peers,
            leader,
            turn,
            clock,
        }
    }

    /// Returns the leader of the log, as far as this instance knows.
    pub fn leader(&self) -> Option<id::Instance> {
        let own = self
            .replica
            .as_ref()
            .and_then(|replica| replica.status().leader);
        own.or_else(|| {
            self.leader
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        })
    }

    /// Notes the leader that another instance named.
    pub fn set_leader(&self, leader: Option<id::Instance>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }

    /// Forgets the leader, because it did not answer or does not lead.
    pub fn forget_leader(&self) {
        self.set_leader(None);
    }

    /// Returns the voters, the supposed leader first.
    pub fn voters(&self) -> Vec<id::Instance> {
        let leader = self.leader();
        let mut voters: Vec<_> = self.voters.to_vec();
        if leader.is_none() && !voters.is_empty() {
            // Different voters are asked first, so that one that is down delays only some calls.
            let turn = self.turn.fetch_add(1, Ordering::Relaxed) % voters.len();
            voters.rotate_left(turn);
        }
        voters.sort_by_key(|voter| Some(voter) != leader.as_ref());
        voters
    }

    /// Returns the history of a scope from the local replica.
    pub fn history(&self, scope: &Scope) -> Option<Vec<Entry>> {
        let replica = self.replica.as_ref()?;
        Some(replica.read(|state| state.book().history(scope).cloned().collect()))
    }

    /// Proposes a command and waits for its answer.
    pub fn propose(&self, command: &Command, timeout: Duration) -> Result<Answer, ProposeError> {
        let deadline = self.clock.now() + timeout;
        let mut is_unknown = false;
        while self.clock.now() < deadline {
            for voter in self.voters() {
                match self.ask(&voter, command, deadline) {
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
            thread::sleep(PAUSE.min(deadline.since(self.clock.now())));
        }
        Err(if is_unknown {
            ProposeError::Unknown
        } else {
            ProposeError::NotProposed
        })
    }

    fn ask(
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
        let timeout_ms = millis(left.min(ASK_TIMEOUT));
        let request = Request::Propose {
            command: command.clone(),
            timeout_ms,
        };
        match self.peers.call(voter, request, left.min(ASK_TIMEOUT)) {
            Ok(Response::Proposed(result)) => result,
            Ok(_) => Err(Refusal::Unknown),
            Err(error) => {
                log::debug!(step = "propose", peer = voter.as_str(); "{error}");
                Err(if error.sent {
                    Refusal::Unknown
                } else {
                    Refusal::NotAppended
                })
            }
        }
    }
}
