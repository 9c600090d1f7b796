//! Requests to targets that take requests at a limited rate only.
//!
//! Targets without a limit come first. A request that no such target can take asks the account of the leader for a grant,
//! and is sent when the grant says. The account is asked once for all targets that could run the request. Without the
//! account, the request may only use a slot of this instance.

use std::time::Duration;

use buckthornmast_limit::{
    account::{Answer, GRANT_LIFETIME, Request},
    statement::{Key, Report, Statement},
};
use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::time::{Clock, Point};
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::{
    context::{Context, Held, millis},
    exchange::{Failure, failure},
    forwarder::Forwarder,
    mapping::{self, Mapping},
    refusal::Refusal,
    selection::{Chosen, Inputs},
    state::Member,
    stats::Ended,
    supply::{Item, Supply},
};

/// Wait for the slot of another instance, for callers that are told when to come back.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(5);

/// Cause of a failed attempt at a target that has stated a limit since it was chosen.
pub(crate) const NO_GRANT: &str = "the target limits its rate, and the request has no grant";

fn key_of(member: &Member) -> Key {
    (member.target.clone(), member.incarnation)
}

/// Result of a request for a grant.
enum Granted {
    /// The request may be sent to this target now.
    Target(Chosen),
    /// A target has no limit any more, so targets are chosen again.
    Unlimited,
    /// Nothing is granted within the wait of the request. The limits are expected to have room after this time.
    Refused(Duration),
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns whether a target takes requests at a limited rate only.
    pub(crate) fn is_limited(&self, member: &Member) -> bool {
        self.state.borrow().is_limited(member)
    }

    /// Returns the time between two requests to a target with a limit.
    pub(crate) fn limit_interval(&self, member: &Member) -> Duration {
        let rate = self.state.borrow().limits.rate(&key_of(member));
        let rate = rate.map(|rate| rate.get()).filter(|rate| *rate > 0.0);
        let interval = rate.and_then(|rate| Duration::try_from_secs_f64(1.0 / rate).ok());
        interval.unwrap_or(MAX_SLOT_WAIT).min(MAX_SLOT_WAIT)
    }

    /// Returns the targets without a limit, and those with one that have not had the request yet.
    pub(crate) fn split_limited<'a>(
        &self,
        serving: &[&'a Member],
        context: &Context,
    ) -> (SmallVec<[&'a Member; 16]>, SmallVec<[&'a Member; 2]>) {
        let now = self.clock.now();
        let state = self.state.borrow();
        let (mut open, mut limited) = (SmallVec::new(), SmallVec::new());
        for member in serving {
            // The choice among the open targets refuses a request that only brittle targets without room could take.
            if !state.is_limited(member) || !state.has_brittle_room(member, now) {
                open.push(*member);
            } else if !context.tried.contains(&member.target) {
                limited.push(*member);
            }
        }
        (open, limited)
    }

    /// Returns whether only targets with a limit on their rate have the adapter of a request.
    pub(crate) fn needs_other_place(
        &self,
        context: &Context,
        serving: &[&Member],
        item: &Item,
    ) -> bool {
        let (open, limited) = self.split_limited(serving, context);
        item.adapter.is_some() && open.is_empty() && !limited.is_empty() && !context.has_begun()
    }

    /// Selects a target without a permit of the leader: one without a limit if there is one that accepts the request, and
    /// one with a grant otherwise. Returns `None` if the limit of a target has ended meanwhile.
    pub(crate) async fn select_without_permit(
        &self,
        context: &mut Context,
        serving: &[&Member],
        deadline: Point,
    ) -> Result<Option<Chosen>, Refusal> {
        let now = self.clock.now();
        let (open, limited) = self.split_limited(serving, context);
        let chosen = self.select_locally(context, &open, now);
        // The leader itself sends limited targets a generation now and then.
        let is_probe = chosen.is_ok() && context.head.generation.is_none();
        if limited.is_empty() || (chosen.is_ok() && !(is_probe && self.take_probe(&limited))) {
            return chosen.map(Some);
        }
        let max_wait = if is_probe {
            Duration::ZERO
        } else {
            deadline.since(now)
        };
        let granted = self.request_grant(context, &limited, max_wait, is_probe);
        match granted.await {
            Granted::Target(chosen) => Ok(Some(chosen)),
            Granted::Unlimited => Ok(None),
            Granted::Refused(limit_wait) => match chosen {
                Ok(chosen) => Ok(Some(chosen)),
                Err(Refusal::TargetsFull { wait }) => Err(Refusal::TargetsFull {
                    wait: wait.min(limit_wait),
                }),
                Err(_) => Err(Refusal::Limited { wait: limit_wait }),
            },
        }
    }

    /// Returns whether one of these targets should be offered a request that others could take.
    fn take_probe(&self, limited: &[&Member]) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut due = limited
            .iter()
            .map(|member| state.limits.take_probe(&key_of(member), now));
        due.any(|is_due| is_due)
    }

    /// Requests a grant for one of these targets, and waits until the request may be sent.
    async fn request_grant(
        &self,
        context: &mut Context,
        limited: &[&Member],
        max_wait: Duration,
        has_alternative: bool,
    ) -> Granted {
        let request = Request {
            candidates: limited.iter().map(|member| key_of(member)).collect(),
            max_wait,
            priority: context.priority,
            has_alternative,
        };
        let answer = self.supply.request_grant(request).await;
        let now = self.clock.now();
        let (member, held) = match answer {
            Some(Answer::Granted(key, grant)) => {
                sleep(grant.wait).await;
                let Some(member) = limited.iter().find(|member| key_of(member) == key) else {
                    log::warn!(step = "limit", request:% = context.head.request, target:% = key.0; "the leader granted a request to a target that it was not asked for");
                    return Granted::Refused(grant.wait);
                };
                let held = Held {
                    key,
                    grant: Some(grant),
                    expires_at: self.clock.now() + GRANT_LIFETIME,
                };
                (member, held)
            }
            Some(Answer::Unlimited(key)) => {
                self.state.borrow_mut().limits.forget(&key);
                return Granted::Unlimited;
            }
            Some(Answer::Refused(wait)) => return Granted::Refused(wait),
            None if has_alternative => return Granted::Refused(Duration::ZERO),
            None => match self.take_slot(limited, now) {
                Ok(held) => held,
                Err(wait) => return Granted::Refused(wait.min(MAX_SLOT_WAIT)),
            },
        };
        context.held = Some(held);
        Granted::Target(Chosen {
            member: (*member).clone(),
            rank: None,
            basis: Inputs {
                permit_wait: self.clock.now().since(now),
                candidates: limited.len(),
                ..Inputs::default()
            },
        })
    }

    /// Takes a slot of this instance at one of these targets.
    fn take_slot<'a, 'b>(
        &self,
        limited: &'b [&'a Member],
        now: Point,
    ) -> Result<(&'b &'a Member, Held), Duration> {
        let mut state = self.state.borrow_mut();
        let mut least = MAX_SLOT_WAIT;
        for member in limited {
            let key = key_of(member);
            match state.limits.take_slot(&key, now) {
                Ok(()) => {
                    let held = Held {
                        key,
                        grant: None,
                        expires_at: now + GRANT_LIFETIME,
                    };
                    return Ok((member, held));
                }
                Err(wait) => least = least.min(wait),
            }
        }
        Err(least)
    }

    /// Returns an error if the target has a limit and the request has no grant for it.
    pub(crate) fn check_limit(
        &self,
        context: &Context,
        member: &Member,
    ) -> Result<(), (Failure, Ended)> {
        let now = self.clock.now();
        if !self.is_limited(member) || context.may_send_to(&member.target, member.incarnation, now)
        {
            return Ok(());
        }
        Err((failure(Dispatch::NotSent, NO_GRANT), Ended::Abandoned))
    }

    /// Logs a request that is about to be sent to a target with a limit.
    pub(crate) fn log_limited(&self, context: &Context, member: &Member) {
        let Some(limit) = self.state.borrow().limits.rate(&key_of(member)) else {
            return;
        };
        metrics::counter!("buckthornmast_limited_dispatches_total").increment(1);
        let grant = context.held.as_ref().and_then(|held| held.grant);
        log::info!(
            step = "limit",
            request:% = context.head.request,
            target:% = member.target,
            limit:% = limit,
            earlier_attempts = context.history.attempts(),
            has_begun = context.has_begun(),
            has_grant = grant.is_some(),
            grant_wait_ms = grant.map_or(0, |grant| millis(grant.wait));
            "sending a request to a target that limits its rate"
        );
    }

    /// Records what a target states about its limit, and reports what the account has to know. An answer that isn't shown to
    /// be for the request (`is_assigned`) may be old: it may begin a limit or lower it, but neither end nor raise it.
    pub(crate) fn record_limit(
        &self,
        context: &Context,
        member: &Member,
        answer: &mapping::Answer,
        sent: Point,
        is_assigned: bool,
    ) {
        if answer.is_misdirected {
            // Another target at the address may have answered.
            return;
        }
        let now = self.clock.now();
        let key = key_of(member);
        let statement = answer.limit;
        if !is_assigned && !self.may_warn(&key, statement) {
            return;
        }
        let held = context.held.as_ref();
        let held = held.filter(|held| held.key == key && is_assigned);
        let grant = held.and_then(|held| held.grant);
        let differs = self
            .state
            .borrow_mut()
            .record_limit(member, statement, sent, now);
        if differs || grant.is_some() {
            self.supply.report_limit(Report {
                key,
                statement,
                age: Duration::ZERO,
                grant,
            });
        }
    }

    /// Returns whether a statement that may be old is no weaker than what is known.
    fn may_warn(&self, key: &Key, statement: Statement) -> bool {
        let known = self.state.borrow().limits.rate(key);
        match statement {
            Statement::Unlimited => false,
            Statement::Unreadable => true,
            Statement::Limited(rate) => known.is_none_or(|known| rate < known),
        }
    }
}
