//! Store of idempotency claims on the replicated state.
//!
//! Outcomes and releases are recorded in the background and retried until they are committed. The answer to
//! the caller waits briefly for its outcome to be committed, so that a resend right after it finds the outcome.
//! A claim whose proposal has no answer is released, since this instance never dispatches the request.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_gateway::claim::{self, Denial, Grant};
use buckthornmast_state::{
    claims::{Answer, Claim, Complete, Fingerprint, Id, Outcome, Release, Usage},
    machine,
};
use buckthornmast_types::id;
use flume::{Receiver, Sender};
use metrics::gauge;

use crate::propose::{ProposeError, Proposer};

/// Maximum number of outcomes and releases queued for recording. Further ones are dropped with an error in the log, and
/// their claims stay open.
const MAX_QUEUED_COMMANDS: usize = 65_536;

/// Recording threads; each waits for one commit, and the log commits many at once.
const RECORDER_THREADS: usize = 8;

/// Maximum time that an answer waits for its outcome to be committed.
const MAX_OUTCOME_WAIT: Duration = Duration::from_millis(500);

/// Time limit for one attempt to record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts to record before a claim is left open; it then answers `unknown` until its key expires.
const MAX_RECORD_ATTEMPTS: u32 = 60;

/// Fill level in percent from which operators are warned.
const WARN_PERCENT: u8 = 80;

/// Fill level in percent below which the warning is rearmed, so that it is not repeated around the limit.
const REARM_PERCENT: u8 = 75;

/// Publishes the fill level of a replica's claims to operators.
#[derive(Debug, Default)]
pub struct Gauge {
    is_warned: bool,
}

impl Gauge {
    /// Sets the metrics and returns whether a warning was logged.
    pub fn update(&mut self, usage: &Usage) -> bool {
        gauge!("buckthornmast_claims").set(usage.claims as f64);
        gauge!("buckthornmast_claims_open").set(usage.open as f64);
        gauge!("buckthornmast_claims_body_bytes").set(usage.body_bytes as f64);
        gauge!("buckthornmast_claims_fill_ratio").set(f64::from(usage.percent) / 100.0);
        if usage.percent < REARM_PERCENT {
            self.is_warned = false;
        }
        let warns = usage.percent >= WARN_PERCENT && !self.is_warned;
        if warns {
            self.is_warned = true;
            log::warn!(
                step = "claim", claims = usage.claims, open = usage.open, percent = usage.percent;
                "claims are {} % full; at 100 % requests with an idempotency key are refused as not run", usage.percent
            );
        }
        warns
    }
}

/// Command to record, and the channel of the caller that waits for it.
struct Job {
    command: machine::Command,
    done: Option<Sender<()>>,
}

/// Store of claims that commits them through the replicated log.
pub struct Claims {
    me: id::Instance,
    proposer: Proposer,
    queue: Sender<Job>,
}

/// Threads that record outcomes and releases.
pub struct Recorders {
    threads: Vec<JoinHandle<()>>,
}

impl Recorders {
    /// Waits until the queue has been recorded; the [`Claims`] must be dropped before.
    pub fn stop(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the store and the threads that record for it.
pub fn start(me: id::Instance, proposer: Proposer) -> std::io::Result<(Claims, Recorders)> {
    let (queue, commands) = flume::bounded(MAX_QUEUED_COMMANDS);
    let threads = (0..RECORDER_THREADS)
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
            queue,
        },
        Recorders { threads },
    ))
}

fn record(proposer: &Proposer, jobs: &Receiver<Job>) {
    for Job { command, done } in jobs {
        let mut attempts = 0;
        while let Err(error) = proposer.propose(&command, RECORD_TIMEOUT) {
            attempts += 1;
            if attempts >= MAX_RECORD_ATTEMPTS || jobs.is_disconnected() && attempts >= 2 {
                log::error!(step = "claim"; "recording the outcome or release of a claim in the log failed, the claim may stay open until its key expires: {error}");
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
        if self.queue.try_send(Job { command, done }).is_err() {
            log::error!(step = "claim"; "outcome or release of a claim not recorded in the log, the claim may stay open until its key expires: the queue of outcomes and releases is full");
        }
    }

    fn release_attempt(&self, claim: &claim::Claim) {
        let release = Release {
            id: id_of(claim),
            request: claim.request,
        };
        self.record_later(machine::Command::Release(release), None);
    }
}

impl claim::Claims for Claims {
    fn claim(&self, claim: &claim::Claim, bound: Duration) -> Result<Grant, Denial> {
        let command = machine::Command::Claim(Claim {
            id: id_of(claim),
            owner: self.me.clone(),
            request: claim.request,
            fingerprint: Fingerprint(claim.fingerprint.into()),
        });
        let unavailable = |reason: &str| Denial::Unavailable {
            reason: reason.to_owned(),
        };
        match self.proposer.propose(&command, bound) {
            Ok(machine::Answer::Claim(answer)) => match answer {
                Answer::Granted { attempt } => Ok(Grant { attempt }),
                Answer::Claimed { .. } | Answer::Released => Err(Denial::Held),
                Answer::Done(outcome) => Err(Denial::Done {
                    outcome: outcome_from(outcome),
                }),
                Answer::Mismatch => Err(Denial::Mismatch),
                Answer::BadKey => Err(Denial::Expired),
                Answer::Full => Err(Denial::Full),
            },
            Ok(_) => Err(unavailable("the log answered another command")),
            Err(error @ ProposeError::NotProposed) => Err(unavailable(&error.to_string())),
            Err(error @ ProposeError::Unknown) => {
                self.release_attempt(claim);
                Err(unavailable(&error.to_string()))
            }
        }
    }

    fn complete(&self, claim: &claim::Claim, _grant: Grant, outcome: claim::Outcome) {
        let outcome = Outcome {
            status: outcome.status,
            content_type: outcome.content_type,
            body: outcome.body,
        };
        let complete = Complete {
            id: id_of(claim),
            request: claim.request,
            outcome,
        };
        let (done, recorded) = flume::bounded(1);
        self.record_later(machine::Command::Complete(complete), Some(done));
        // Without a quorum the caller still gets its answer; a resend then finds the claim still open.
        let _ = recorded.recv_timeout(MAX_OUTCOME_WAIT);
    }

    fn release(&self, claim: &claim::Claim, _grant: Grant) {
        self.release_attempt(claim);
    }
}

fn outcome_from(outcome: Outcome) -> claim::Outcome {
    claim::Outcome {
        status: outcome.status,
        content_type: outcome.content_type,
        body: outcome.body,
    }
}
