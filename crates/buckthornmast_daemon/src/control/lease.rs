//! Implements [`port::LeaseTransport`]: sends the messages of the controller lease.

use std::sync::Arc;

use buckthornmast_controller::port::{self, Grant, LeaseAnswer};
use buckthornmast_lease::holder::Effect;
use buckthornmast_state::{
    leases::{GrantAnswer, Handover},
    machine::Command,
};
use flume::Sender;

use crate::{
    control::{
        calls::{Calls, LOG_TIMEOUT},
        pool::Job,
    },
    message::{JournalReply, JournalRequest, LeaseReply, LeaseRequest},
};

/// Sender of lease messages.
pub(super) struct Lease {
    pub(super) jobs: Sender<Job>,
    pub(super) calls: Arc<Calls>,
}

/// Executes one effect of the lease and returns the answer, if there is one.
fn execute(calls: &Calls, effect: Effect) -> Option<LeaseAnswer> {
    let domain = calls.domain.clone();
    match effect {
        Effect::RequestLease { number } => match calls.call_leader(&LeaseRequest::Grant { domain })
        {
            Some(LeaseReply::Granted(GrantAnswer::Granted {
                token,
                is_first,
                intents,
                positions,
            })) => {
                let grant = Grant {
                    token,
                    is_first,
                    intents,
                    positions,
                };
                Some(LeaseAnswer::Granted { number, grant })
            }
            Some(_) => Some(LeaseAnswer::NotGranted { number }),
            None => None,
        },
        Effect::Renew { token, number } => {
            match calls.call_leader(&LeaseRequest::Renew { domain, token })? {
                LeaseReply::Renewed => Some(LeaseAnswer::Renewed { number }),
                LeaseReply::Superseded => Some(LeaseAnswer::Refused { token }),
                _ => None,
            }
        }
        Effect::RequestPromise { to, token, number } => {
            match calls.call_journal(&to, JournalRequest::Promise { token })? {
                JournalReply::Done(true) => Some(LeaseAnswer::Promised { from: to, number }),
                _ => None,
            }
        }
        Effect::Handover { token } => {
            let command = Command::Handover(Handover {
                domain,
                token,
                to: None,
            });
            let _ = calls.proposer.propose(&command, LOG_TIMEOUT);
            Some(LeaseAnswer::HandedOver)
        }
    }
}

impl port::LeaseTransport for Lease {
    fn post(&self, effect: Effect, answer: Sender<LeaseAnswer>) {
        let calls = Arc::clone(&self.calls);
        let job = Box::new(move || {
            if let Some(reply) = execute(&calls, effect) {
                let _ = answer.send(reply);
            }
        });
        let _ = self.jobs.send(job);
    }
}
