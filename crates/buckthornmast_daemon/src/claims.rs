//! Store of idempotency claims on the replicated state.
//!
//! Outcomes and releases are recorded in the background: the answer to the caller does not wait for
//! them, and they are tried until they are committed. A claim whose proposal has no answer is
//! released, since this instance never dispatches it.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::claim::{self, Denied, Grant};
use buckthornmast_state::{
    claims::{Answer, Claim, Complete, Fingerprint, Id, Outcome, Release},
    machine,
};
use buckthornmast_types::id;
use flume::{Receiver, Sender};

use crate::propose::{ProposeError, Proposer};

/// Outcomes and releases that wait to be recorded.
const MAX_WAITING: usize = 65_536;

/// Threads that record; each waits for one commit, and the log commits many at once.
const RECORDERS: usize = 8;

/// Time for one try to record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries to record before a claim is left as it is; it then answers `unknown` until its key expires.
const RECORD_TRIES: u32 = 60;

/// Store of claims.
pub struct Claims {
    me: id::Instance,
    proposer: Proposer,
    waiting: Sender<machine::Command>,
}

/// Threads that record outcomes and releases.
pub struct Recorders {
    threads: Vec<JoinHandle<()>>,
}

impl Recorders {
    /// Waits until everything that waits has been recorded; the [`Claims`] must be dropped before.
    pub fn stop(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the store.
pub fn start(me: id::Instance, proposer: Proposer) -> std::io::Result<(Claims, Recorders)> {
    let (waiting, commands) = flume::bounded(MAX_WAITING);
    let threads = (0..RECORDERS)
        .map(|_| {
            let (proposer, commands) = (proposer.clone(), commands.clone());
            thread::Builder::new()
                .name("claims".to_owned())
                .spawn(move || record(&proposer, &commands))
        })
        .collect::<std::io::Result<_>>()?;
    Ok((
        Claims {
            me,
            proposer,
            waiting,
        },
        Recorders { threads },
    ))
}

fn record(proposer: &Proposer, commands: &Receiver<machine::Command>) {
    for command in commands {
        let mut tries = 0;
        while let Err(error) = proposer.propose(&command, RECORD_TIMEOUT) {
            tries += 1;
            if tries >= RECORD_TRIES || commands.is_disconnected() && tries >= 2 {
                log::error!(step = "claim"; "outcome or release not recorded: {error}");
                break;
            }
        }
    }
}

fn id_of(claim: &claim::Claim) -> Id {
    Id {
        key: claim.key,
        service: claim.service.clone(),
    }
}

impl Claims {
    fn record_later(&self, command: machine::Command) {
        if self.waiting.try_send(command).is_err() {
            log::error!(step = "claim"; "too many outcomes wait to be recorded, one is dropped");
        }
    }

    fn release_try(&self, claim: &claim::Claim) {
        let release = Release {
            id: id_of(claim),
            request: claim.request,
        };
        self.record_later(machine::Command::Release(release));
    }
}

impl claim::Claims for Claims {
    fn claim(&self, claim: &claim::Claim, bound: Duration) -> Result<Grant, Denied> {
        let command = machine::Command::Claim(Claim {
            id: id_of(claim),
            owner: self.me.clone(),
            request: claim.request,
            fingerprint: Fingerprint(claim.fingerprint.into()),
        });
        let unavailable = |reason: &str| Denied::Unavailable {
            reason: reason.to_owned(),
        };
        match self.proposer.propose(&command, bound) {
            Ok(machine::Answer::Claim(answer)) => match answer {
                Answer::Granted { attempt } => Ok(Grant { attempt }),
                Answer::Claimed { .. } | Answer::Released => Err(Denied::Held),
                Answer::Done(outcome) => Err(Denied::Done {
                    outcome: outcome_from(outcome),
                }),
                Answer::Mismatch => Err(Denied::Mismatch),
                Answer::BadKey => Err(Denied::Expired),
                Answer::Full => Err(unavailable("no room for claims")),
            },
            Ok(_) => Err(unavailable("the log answered another command")),
            Err(error @ ProposeError::NotProposed) => Err(unavailable(&error.to_string())),
            Err(error @ ProposeError::Unknown) => {
                self.release_try(claim);
                Err(unavailable(&error.to_string()))
            }
        }
    }

    fn complete(&self, claim: &claim::Claim, _grant: Grant, outcome: claim::Outcome) {
        let outcome = Outcome {
            status: outcome.status,
            kind: outcome.content_type,
            body: outcome.body,
        };
        let complete = Complete {
            id: id_of(claim),
            request: claim.request,
            outcome,
        };
        self.record_later(machine::Command::Complete(complete));
    }

    fn release(&self, claim: &claim::Claim, _grant: Grant) {
        self.release_try(claim);
    }
}

fn outcome_from(outcome: Outcome) -> claim::Outcome {
    claim::Outcome {
        status: outcome.status,
        content_type: outcome.kind,
        body: outcome.body,
    }
}
