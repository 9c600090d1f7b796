//! Charges requests to the quota of their organisation.
//!
//! A request is charged when its body has been read, before it asks for a target. Credit is returned if the request ends
//! without having been run: it is refused, its caller leaves while it waits, or its target states that it has not run it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use buckthornmast_quota::{
    account::Terms,
    purse::{Charge, Lack, Purse},
};
use buckthornmast_routes::document::{Quota, Unit};
use buckthornmast_routing::attempt::{Decision, Dispatch};
use buckthornmast_types::{id, time::Clock};
use tokio::{sync::Notify, time::timeout};

use crate::{
    access::boot_time,
    context::{Context, millis},
    forwarder::Forwarder,
    mapping::Mapping,
    refusal::Refusal,
    supply::Supply,
};

/// Longest wait for credit in total: an answer of the leader that is lost, and another one.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(600);

/// Credit of this instance, and the requests that wait for it.
#[derive(Debug, Clone, Default)]
pub struct Credit {
    /// Credit.
    pub purse: Rc<RefCell<Purse>>,
    /// Notified when credit has come, or the leader has changed.
    pub changed: Rc<Notify>,
}

impl Credit {
    /// Returns no credit.
    pub fn new(terms: Terms) -> Self {
        Self {
            purse: Rc::new(RefCell::new(Purse::new(terms, boot_time()))),
            changed: Rc::default(),
        }
    }
}

/// Charge of a request. It is given back when it is dropped, unless a target may have run the request.
#[derive(Debug)]
pub struct Charged {
    charge: Charge,
    purse: Rc<RefCell<Purse>>,
    is_spent: bool,
}

impl Drop for Charged {
    fn drop(&mut self) {
        if !self.is_spent {
            metrics::counter!("buckthornmast_quota_returned_total", "organisation" => self.charge.organisation.to_string())
                .increment(self.charge.amount);
            let mut purse = self.purse.borrow_mut();
            purse.give_back(&self.charge, boot_time());
        }
    }
}

impl Context {
    /// Sets whether a target may have run the request, or may be running it.
    pub(crate) fn set_spent(&mut self, is_spent: bool) {
        if let Some(charged) = &mut self.charge {
            charged.is_spent = is_spent;
        }
    }
}

fn cost(quota: &Quota, stated_tokens: Option<u64>) -> u64 {
    match quota.unit {
        Unit::Requests => 1,
        Unit::Tokens { plain } => stated_tokens.unwrap_or(plain).max(1),
    }
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Charges a request to the quota of its organisation. If there is no credit here, it waits for an answer of the leader.
    pub(crate) async fn charge(&self, context: &mut Context) -> Result<(), Refusal> {
        let Some(organisation) = context.organisation.clone() else {
            return Ok(());
        };
        let Some(quota) = self.state.borrow().quota(&organisation) else {
            return Ok(());
        };
        let cost = cost(&quota, self.mapping.stated_tokens(&context.parts));
        let credit = self.state.borrow().credit.clone();
        let started = self.clock.now();
        let wait_until = (started + MAX_CREDIT_WAIT).min(context.next_event_deadline());
        let lack = loop {
            let notified = credit.changed.notified();
            let charge = credit
                .purse
                .borrow_mut()
                .charge(&organisation, &quota, cost, boot_time());
            self.claim_credit(&credit);
            let wait = match charge {
                Ok(charge) => {
                    metrics::counter!("buckthornmast_quota_used_total", "organisation" => organisation.to_string())
                        .increment(cost);
                    context.charge = Some(Charged {
                        charge,
                        purse: credit.purse,
                        is_spent: false,
                    });
                    return Ok(());
                }
                Err(Lack::Pending(wait) | Lack::Soon(wait)) => wait,
                Err(lack) => break lack,
            };
            let left = wait_until.since(self.clock.now());
            if left.is_zero() {
                break match charge {
                    Err(Lack::Soon(wait)) => Lack::Exhausted(wait),
                    _ => Lack::NoLender(MAX_CREDIT_WAIT),
                };
            }
            // The charge is tried again in either case.
            let _ = timeout(wait.min(left), notified).await;
        };
        context.waited += self.clock.now().since(started);
        let refusal = match lack {
            Lack::Exhausted(wait) | Lack::Soon(wait) => Refusal::OverQuota { wait },
            Lack::NoLender(wait) | Lack::Pending(wait) => Refusal::NoCredit { wait },
        };
        self.log_lack(context, &organisation, cost, refusal, &credit);
        Err(refusal)
    }

    /// Sends the claim for credit that is due, if one is.
    fn claim_credit(&self, credit: &Credit) {
        let claim = credit.purse.borrow_mut().claim(boot_time());
        if let Some(claim) = claim {
            self.supply.claim_credit(claim);
        }
    }

    /// Charges a further run of a request that a target may have run already.
    pub(crate) fn charge_run(&self, context: &Context, dispatch: Dispatch, decision: &Decision) {
        let is_charged = matches!(dispatch, Dispatch::NotSent | Dispatch::Refused);
        let goes_on = matches!(decision, Decision::Retry | Decision::Resume { .. });
        if let Some(charged) = context.charge.as_ref().filter(|_| goes_on && !is_charged) {
            let mut purse = charged.purse.borrow_mut();
            purse.charge_again(&charged.charge, boot_time());
        }
    }

    fn log_lack(
        &self,
        context: &Context,
        organisation: &id::Organisation,
        cost: u64,
        refusal: Refusal,
        credit: &Credit,
    ) {
        let label = match refusal {
            Refusal::OverQuota { .. } => "quota",
            _ => "leader",
        };
        metrics::counter!("buckthornmast_quota_refused_total", "organisation" => organisation.to_string(), "cause" => label)
            .increment(cost);
        let purse = credit.purse.borrow();
        log::info!(
            step = "quota",
            request:% = context.head.request,
            organisation:% = organisation,
            version = context.version.0,
            cost = cost,
            credit = purse.balance(organisation),
            lease_ms = purse.lease_age(organisation, boot_time()).map_or(0, millis),
            retry_ms = millis(refusal.retry_after());
            "request refused: {}", refusal.as_str()
        );
    }
}
