//! Store of idempotency claims on the replicated state.
//!
//! Outcomes and releases are recorded in the background and tried until they are committed. The answer to
//! the caller waits a moment for its outcome, so that a resend right after it finds the outcome. A claim whose proposal has no answer is
//! released, since this instance never dispatches it.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::claim::{self, Denied, Grant};
use buckthornmast_state::{
    claims::{Answer, Claim, Complete, Fingerprint, Id, Outcome, Release, Usage},
    machine,
};
use buckthornmast_types::id;
use flume::{Receiver, Sender};
use metrics::gauge;

use crate::propose::{ProposeError, Proposer};

/// Outcomes and releases that wait to be recorded.
const MAX_WAITING: usize = 65_536;

/// Threads that record; each waits for one commit, and the log commits many at once.
const RECORDERS: usize = 8;

/// Time that an answer waits for its outcome to be committed.
const OUTCOME_WAIT: Duration = Duration::from_millis(500);

/// Time for one try to record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries to record before a claim is left as it is; it then answers `unknown` until its key expires.
const RECORD_TRIES: u32 = 60;

/// Fill in hundredths from which operators are warned.
const WARN_PERCENT: u8 = 80;

/// Fill in hundredths below which the warning is armed again, so that it is not repeated around the limit.
const CALM_PERCENT: u8 = 75;

/// Shows operators how full the claims of a replica are.
#[derive(Debug, Default)]
pub struct Gauge {
    is_warned: bool,
}

impl Gauge {
    /// Sets the metrics and returns whether it warned.
    pub fn note(&mut self, usage: &Usage) -> bool {
        gauge!("buckthornmast_claims").set(usage.claims as f64);
        gauge!("buckthornmast_claims_open").set(usage.open as f64);
        gauge!("buckthornmast_claims_body_bytes").set(usage.body_bytes as f64);
        gauge!("buckthornmast_claims_fill_ratio").set(f64::from(usage.percent) / 100.0);
        if usage.percent < CALM_PERCENT {
            self.is_warned = false;
        }
        let warns = usage.percent >= WARN_PERCENT && !self.is_warned;
        if warns {
            self.is_warned = true;
            log::warn!(
                step = "claim", claims = usage.claims, open = usage.open, percent = usage.percent;
                "claims are {} % full; at 100 % orders are refused as not run", usage.percent
            );
        }
        warns
    }
}

/// Command to record, and who waits for it.
struct Job {
    command: machine::Command,
    done: Option<Sender<()>>,
}

/// Store of claims.
pub struct Claims {
    me: id::Instance,
    proposer: Proposer,
    waiting: Sender<Job>,
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

fn record(proposer: &Proposer, jobs: &Receiver<Job>) {
    for Job { command, done } in jobs {
        let mut tries = 0;
        while let Err(error) = proposer.propose(&command, RECORD_TIMEOUT) {
            tries += 1;
            if tries >= RECORD_TRIES || jobs.is_disconnected() && tries >= 2 {
                log::error!(step = "claim"; "outcome or release not recorded: {error}");
                break;
            }
        }
        if let Some(done) = done {
            let _ = done.try_send(());
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
    fn record_later(&self, command: machine::Command, done: Option<Sender<()>>) {
        if self.waiting.try_send(Job { command, done }).is_err() {
            log::error!(step = "claim"; "too many outcomes wait to be recorded, one is dropped");
        }
    }

    fn release_try(&self, claim: &claim::Claim) {
        let release = Release {
            id: id_of(claim),
            request: claim.request,
        };
        self.record_later(machine::Command::Release(release), None);
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
                Answer::Full => Err(Denied::Full),
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
        let (done, recorded) = flume::bounded(1);
        self.record_later(machine::Command::Complete(complete), Some(done));
        // Without a quorum the caller still gets its answer; a resend then finds the claim held.
        let _ = recorded.recv_timeout(OUTCOME_WAIT);
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
