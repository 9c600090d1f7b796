//! Selection of the target that a request is sent to, or of the reason why it is refused.
//!
//! Designed for bursts and retries that fill the targets of a model. A generation first requests a prefill permit from
//! the leader, which knows the requests of all instances. Without a permit, and for all other requests, this instance
//! decides locally: a request that can be on time is sent to the least loaded target. One that will be late takes only
//! slots that no other request needs, and beyond a bounded queue it is refused at once, with the time after which a
//! retry is useful.

mod explain;
mod stop;

use std::{rc::Rc, time::Duration};

use buckthornmast_limit::{account::GRANT_LIFETIME, statement::Grant};
use buckthornmast_share::prelude::{Cost, Flow};
use buckthornmast_types::{
    id,
    prompt::Prefix,
    time::{Clock, Point},
};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    admission::{self, Verdict},
    choice::{self, Query},
    context::{Context, Held, millis},
    forwarder::Forwarder,
    mapping::{Generation, Mapping},
    refusal::Refusal,
    state::Member,
    supply::{Availability, Item, Permit, PermitRequest, Supply},
    wait_limit,
};

/// Maximum wait for a target of a service that has none at the moment, and for a copy beyond the time at which it is
/// expected to be ready.
const MAX_TARGET_WAIT: Duration = Duration::from_millis(1000);

/// Maximum wait for another place of an adapter that only targets with a limit on their rate have.
const MAX_PLACE_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a stream that has begun looks for a place, while its targets are full.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of beginnings of a prompt that are told apart.
const MAX_PREFIXES: usize = 8;

/// Longest such interval, while all targets limit their rate.
const MAX_LIMITED_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Target that was selected for a request.
#[derive(Debug)]
pub struct Chosen {
    /// Target.
    pub member: Member,
    /// Rank among the requests of the target, if it isn't the default.
    pub rank: Option<u8>,
    /// What the selection was based on.
    pub basis: Inputs,
}

/// What a selection was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Inputs {
    /// Estimated number of requests at the target.
    pub load: f64,
    /// Age of the load that the target reported last.
    pub load_age: Option<Duration>,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Time until the permit was granted, if there was one.
    pub permit_wait: Duration,
    /// Number of targets that were considered.
    pub candidates: usize,
}

/// Result of a request for a prefill permit.
enum PermitResult {
    /// The leader granted a permit for this target.
    Granted(id::Target, Option<Grant>),
    /// There is no permit; this instance chooses the target.
    Unavailable,
}

/// Returns the hash of a request's id, which is the same on every instance.
pub(crate) fn request_hash(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Returns the beginnings of the prompt that other requests may share, from the shortest to the longest.
pub fn prefixes(generation: &Generation) -> SmallVec<[Prefix; 4]> {
    let adapter = generation.adapter.as_ref().map_or("", |id| id.as_str());
    let mut hash = xxh3_64(generation.model.as_str().as_bytes());
    hash = xxh3_64_with_seed(adapter.as_bytes(), hash);
    let parts = generation.shared_parts().iter().take(MAX_PREFIXES);
    let prefixes = parts.map(|part| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        Prefix {
            hash,
            tokens: part.tokens,
        }
    });
    prefixes.collect()
}

/// Returns the hash of the model, the adapter and the first part of the prompt, if other requests may share that part.
fn prefix_hash(generation: &Generation) -> Option<u64> {
    prefixes(generation).first().map(|prefix| prefix.hash)
}

/// Returns what the choice of a target for a request depends on.
fn choice_query(context: &Context) -> Query<'_> {
    let generation = context.head.generation.as_ref();
    let shared = generation.filter(|_| context.route.affinity);
    Query {
        prefix: shared.and_then(prefix_hash),
        tried: &context.tried,
        tie_breaker: request_hash(&context.head.request.0),
    }
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the time within which a target must begin its answer before another one is tried, if another one may be
    /// tried.
    pub(crate) fn first_event_limit(&self, context: &Context) -> Option<Duration> {
        let members = self.state.borrow().members(&context.service);
        let serving = self.serving(&members, context, self.clock.now());
        let has_other = serving.len() > context.tried.len() + 1;
        (context.may_try_again() && has_other).then(|| wait_limit::for_first_event(&context.route))
    }

    /// Selects a target, and waits for one if an answer is still possible in time.
    pub async fn select_target(&self, context: &mut Context) -> Result<Chosen, Refusal> {
        let chosen = self.find_target(context).await?;
        if self.ends_before_stop(context, &chosen) {
            self.charge_share(context);
            return Ok(chosen);
        }
        log::info!(step = "stop", request:% = context.head.request, target:% = chosen.member.target, wait_ms = millis(chosen.basis.wait); "the target is not expected to answer before this instance stops");
        Err(Refusal::Stopping)
    }

    /// Counts a generation that is sent for its organisation.
    fn charge_share(&self, context: &Context) {
        let generation = context.head.generation.as_ref();
        let organisation = context.organisation.as_ref();
        if let Some((generation, organisation)) = generation.zip(organisation) {
            let flow = Flow {
                organisation: Some(organisation.clone()),
                priority: context.priority,
            };
            let cost = Cost::of_tokens(generation.prompt_tokens, generation.answer_tokens);
            let now = self.clock.now();
            self.state.borrow_mut().shares.charge(&flow, cost, now);
        }
    }

    async fn find_target(&self, context: &mut Context) -> Result<Chosen, Refusal> {
        self.check_quarantine(context)?;
        let item = context.item();
        if let Some(item) = item.as_ref().filter(|_| context.tried.is_empty()) {
            self.supply.record_demand(item);
        }
        let started = self.clock.now();
        context.held = None;
        let mut is_copy_requested = false;
        let mut permit: Option<PermitResult> = None;
        loop {
            // The parts of the prompt may have been quarantined while the request waited.
            self.check_quarantine(context)?;
            let now = self.clock.now();
            context.waited = now.since(started);
            let deadline = self.wait_deadline(context);
            // A stream that has begun may go on for as long as its caller stays connected, if it needn't wait.
            let may_wait = now < deadline;
            if !may_wait && (!context.has_begun() || now >= context.deadline) {
                return Err(self.late_refusal(context, now));
            }
            let members = self.state.borrow().members(&context.service);
            let serving = self.serving(&members, context, now);
            if serving
                .iter()
                .any(|member| !context.tried.contains(&member.target))
            {
                if let Some(item) = item.as_ref().filter(|_| !is_copy_requested)
                    && self.needs_other_place(context, &serving, item)
                {
                    is_copy_requested = true;
                    // Whether or not there is one, targets are chosen again.
                    let wait = MAX_PLACE_WAIT.min(deadline.since(now));
                    let _ = timeout(wait, self.supply.request_copy(item.clone())).await;
                    continue;
                }
                match &permit {
                    // The members may have changed while the request waited for the permit.
                    None => {
                        permit = Some(
                            self.request_permit(context, &serving, item.as_ref())
                                .await?,
                        );
                        continue;
                    }
                    Some(PermitResult::Granted(target, grant)) => {
                        let chosen = self.granted_target(context, &serving, target, *grant);
                        if let Some(chosen) = chosen {
                            return Ok(chosen);
                        }
                    }
                    Some(PermitResult::Unavailable) => {}
                }
                match self
                    .select_without_permit(context, &serving, deadline)
                    .await
                {
                    // The target with a limit is like any other now.
                    Ok(None) => continue,
                    Ok(Some(chosen)) => return Ok(chosen),
                    // The caller of a stream that has begun can't be told to come back.
                    Err(Refusal::TargetsFull { .. }) if context.has_begun() && may_wait => {
                        sleep(FULL_POLL_INTERVAL.min(deadline.since(now))).await;
                        continue;
                    }
                    Err(Refusal::Limited { wait }) if context.has_begun() && may_wait => {
                        let wait = wait.clamp(FULL_POLL_INTERVAL, MAX_LIMITED_POLL_INTERVAL);
                        sleep(wait.min(deadline.since(now))).await;
                        continue;
                    }
                    Err(refusal) => return Err(refusal),
                }
            }
            if !may_wait {
                return Err(self.late_refusal(context, now));
            }
            if let Some(remaining) = self.shortest_pause(context, &context.tried) {
                // A wait for the end of the pause is only useful if the answer can still be on time.
                if !context.is_on_time(now + remaining) || now + remaining >= deadline {
                    return Err(Refusal::Paused { remaining });
                }
                let changed = Rc::clone(&self.state.borrow().changed);
                // Another target may become available before the end of the pause.
                let _ = timeout(remaining, changed.notified()).await;
                continue;
            }
            if !serving.is_empty() {
                return Err(Refusal::NoTarget);
            }
            if !members
                .iter()
                .any(|member| context.origin.permits(member.mark))
                && !members.is_empty()
            {
                return Err(Refusal::VersionGone);
            }
            let left = deadline.since(now);
            let wait = match &item {
                Some(item) if !is_copy_requested => {
                    is_copy_requested = true;
                    match timeout(left, self.supply.request_copy(item.clone())).await {
                        Ok(Availability::Ready(_)) => continue,
                        Ok(Availability::Later(later)) if later > left => {
                            return Err(Refusal::Loading { remaining: later });
                        }
                        Ok(Availability::Later(later)) => later + MAX_TARGET_WAIT,
                        Ok(Availability::No) => return Err(Refusal::CannotLoad),
                        Err(_) => return Err(self.late_refusal(context, self.clock.now())),
                    }
                }
                Some(_) if context.waited < MAX_TARGET_WAIT => MAX_TARGET_WAIT,
                Some(_) => return Err(Refusal::CannotLoad),
                None if context.waited < MAX_TARGET_WAIT => MAX_TARGET_WAIT,
                None => return Err(Refusal::NoTarget),
            };
            self.wait_for_target(wait.min(left), context).await;
        }
    }

    /// Returns the targets that can run a request now: they have its model and adapter, and accept requests.
    pub(crate) fn serving<'a>(
        &self,
        members: &'a [Member],
        context: &Context,
        now: Point,
    ) -> SmallVec<[&'a Member; 16]> {
        let generation = context.head.generation.as_ref();
        let state = self.state.borrow();
        let serving = members
            .iter()
            .filter(|member| member.serves(generation) && state.accepts(member, now))
            .filter(|member| context.origin.permits(member.mark));
        serving.collect()
    }

    /// Returns the time until the first of the paused targets that could run a request accepts requests again, if there
    /// is one. The targets in `ignored` are left out.
    pub(crate) fn shortest_pause(
        &self,
        context: &Context,
        ignored: &[id::Target],
    ) -> Option<Duration> {
        let now = self.clock.now();
        let generation = context.head.generation.as_ref();
        let state = self.state.borrow();
        let members = state.members(&context.service);
        let serving = members
            .iter()
            .filter(|member| member.serves(generation) && !ignored.contains(&member.target))
            .filter(|member| context.origin.permits(member.mark));
        let pauses = serving.filter_map(|member| {
            state
                .advisories
                .pause(&member.target, member.incarnation, now)
        });
        pauses.min()
    }

    /// Requests a prefill permit for a generation and waits for the answer.
    async fn request_permit(
        &self,
        context: &Context,
        serving: &[&Member],
        item: Option<&Item>,
    ) -> Result<PermitResult, Refusal> {
        let now = self.clock.now();
        let generation = context.head.generation.as_ref();
        let Some((generation, item)) = generation.zip(item) else {
            return Ok(PermitResult::Unavailable);
        };
        if !context.tried.is_empty() {
            // A slow target is abandoned only if another one accepts the request by this instance's own rules. A
            // refused permit would now end a request that the first target could still have answered.
            return Ok(PermitResult::Unavailable);
        }
        let avoid = self.avoided_targets(context, serving, now);
        if avoid.len() >= serving.len() {
            return Ok(PermitResult::Unavailable);
        }
        let avoid = self.with_other_versions(context, avoid);
        let shared = Some(generation).filter(|_| context.route.affinity);
        let request = PermitRequest {
            item: item.clone(),
            tokens: generation.prompt_tokens,
            prefix: shared.and_then(prefix_hash),
            objective: (context.received + context.route.objective).since(now),
            max_wait: self.wait_deadline(context).since(now),
            avoid,
            priority: context.priority,
            organisation: context.organisation.clone(),
            answer_tokens: generation.answer_tokens,
            prefixes: shared.map_or_else(SmallVec::new, prefixes),
        };
        let wait_limit = request.max_wait;
        match timeout(wait_limit, self.supply.request_permit(request)).await {
            Ok(Permit::Granted(target)) => Ok(PermitResult::Granted(target, None)),
            Ok(Permit::Limited(target, grant)) => Ok(PermitResult::Granted(target, Some(grant))),
            Ok(Permit::Refuse(wait)) => {
                log::info!(
                    step = "turn",
                    request:% = context.head.request,
                    model:% = item,
                    wait_ms = millis(wait),
                    objective_ms = millis(context.route.objective),
                    candidates = serving.len();
                    "the leader refused a permit: no target has room in time"
                );
                let state = self.state.borrow();
                if serving.iter().all(|member| state.is_limited(member)) {
                    return Err(Refusal::Limited { wait });
                }
                Err(Refusal::TargetsFull { wait })
            }
            Ok(Permit::Unknown) => Ok(PermitResult::Unavailable),
            Err(_) => Err(self.late_refusal(context, self.clock.now())),
        }
    }

    /// Adds the targets of other versions than the one that began the stream, of which the leader knows nothing.
    fn with_other_versions(
        &self,
        context: &Context,
        mut avoid: SmallVec<[id::Target; 2]>,
    ) -> SmallVec<[id::Target; 2]> {
        let members = self.state.borrow().members(&context.service);
        let generation = context.head.generation.as_ref();
        let others = members
            .iter()
            .filter(|member| member.serves(generation) && !context.origin.permits(member.mark));
        avoid.extend(others.map(|member| member.target.clone()));
        avoid
    }

    /// Returns the targets that a request has been dispatched to already, that fail, or that are brittle and have just refused
    /// requests.
    fn avoided_targets(
        &self,
        context: &Context,
        serving: &[&Member],
        now: Point,
    ) -> SmallVec<[id::Target; 2]> {
        let mut avoid = context.tried.clone();
        let state = self.state.borrow();
        for member in serving {
            let stats = state.stats.get(&member.target, member.incarnation);
            let is_unhealthy = stats.is_some_and(|stats| stats.is_unhealthy(now));
            let is_held = !state.brittle_wait(member, now).is_zero();
            if (is_unhealthy || is_held) && !avoid.contains(&member.target) {
                avoid.push(member.target.clone());
            }
        }
        avoid
    }

    /// Returns the target that the permit names, if it still serves the request and has no limit that the permit doesn't
    /// account for.
    fn granted_target(
        &self,
        context: &mut Context,
        serving: &[&Member],
        target: &id::Target,
        grant: Option<Grant>,
    ) -> Option<Chosen> {
        let member = serving.iter().find(|member| member.target == *target)?;
        let state = self.state.borrow();
        if !state.brittle_wait(member, self.clock.now()).is_zero() {
            return None;
        }
        if grant.is_none() && state.is_limited(member) {
            return None;
        }
        context.held = grant.map(|grant| Held {
            key: (member.target.clone(), member.incarnation),
            grant: Some(grant),
            expires_at: self.clock.now() + GRANT_LIFETIME,
        });
        let stats = state.stats.get(&member.target, member.incarnation);
        let now = self.clock.now();
        Some(Chosen {
            basis: Inputs {
                load: stats.map_or(0.0, |stats| stats.load(now)),
                load_age: stats.and_then(|stats| stats.load_age(now)),
                wait: Duration::ZERO,
                permit_wait: context.waited,
                candidates: serving.len(),
            },
            member: (*member).clone(),
            rank: None,
        })
    }

    /// Waits until a target serves the model or adapter, or until the wait limit is reached.
    async fn wait_for_target(&self, wait: Duration, context: &Context) {
        let changed = Rc::clone(&self.state.borrow().changed);
        let generation = context.head.generation.as_ref();
        let served = async {
            loop {
                let notified = changed.notified();
                let members = self.state.borrow().members(&context.service);
                if members
                    .iter()
                    .any(|member| member.serves(generation) && context.origin.permits(member.mark))
                {
                    return;
                }
                notified.await;
            }
        };
        // The calling function checks whether it is served.
        let _ = timeout(wait, served).await;
    }

    /// Returns whether another target would accept the request now. An unresponsive target is abandoned only if another
    /// one can continue the request.
    pub(crate) fn can_move(&self, context: &Context, target: &id::Target) -> bool {
        let now = self.clock.now();
        let has_budget = {
            let mut state = self.state.borrow_mut();
            state.has_attempt(&context.service, now)
        };
        let members = self.state.borrow().members(&context.service);
        let serving = self.serving(&members, context, now);
        // A grant may be refused.
        let (mut serving, _) = self.split_limited(&serving, context);
        serving.retain(|member| member.target != *target);
        // A request that may not wait any more is not given to another target either.
        let may_select = context.has_begun() || now < self.wait_deadline(context);
        if !has_budget || !may_select {
            return false;
        }
        let chosen = self.select_locally(context, &serving, now);
        chosen.is_ok_and(|Chosen { basis, .. }| {
            // A silent target is better than a queue that outlasts the caller's wait.
            let is_in_time = basis.wait.is_zero() || context.is_on_time(now + basis.wait);
            !context.has_begun() || is_in_time
        })
    }

    /// Returns targets as the choice sees them.
    fn candidates(&self, serving: &[&Member]) -> SmallVec<[choice::Candidate; 16]> {
        let candidates = serving.iter().map(|member| member.candidate(&self.domain));
        candidates.collect()
    }

    /// Chooses among the targets that serve the request, or refuses the request if they are full.
    pub(crate) fn select_locally(
        &self,
        context: &Context,
        serving: &[&Member],
        now: Point,
    ) -> Result<Chosen, Refusal> {
        let state = self.state.borrow();
        let is_untried = |member: &&&Member| !context.tried.contains(&member.target);
        let (serving, without_room): (SmallVec<[&Member; 16]>, SmallVec<[&Member; 16]>) = serving
            .iter()
            .copied()
            .partition(|member| state.has_brittle_room(member, now));
        let candidates = self.candidates(&serving);
        let generation = context.head.generation.as_ref();
        let Some(pick) = choice::pick(&candidates, choice_query(context), &state.stats, now) else {
            let without_room = without_room.iter().filter(is_untried);
            let waits = without_room.map(|member| {
                let candidate = member.candidate(&self.domain);
                let wait = choice::expected_wait(&candidate, &state.stats, now);
                wait.max(state.brittle_wait(member, now))
            });
            return Err(waits
                .min()
                .map_or(Refusal::NoTarget, |wait| Refusal::TargetsFull { wait }));
        };
        let candidate = &candidates[pick.index];
        let stats = state.stats.get(&candidate.target, candidate.incarnation);
        let load = stats.map_or(0.0, |stats| stats.load(now));
        let verdict = admission::decide(&admission::Query {
            load,
            slots: candidate.slots,
            // Nothing but its continuation is of use to the caller of a stream that has begun.
            is_late: !context.has_begun() && !context.is_on_time(now + pick.wait),
            is_beyond_share: generation.is_some()
                && context.organisation.is_some()
                && !context.has_begun()
                && state.shares.is_beyond_share(&context.organisation, now),
            is_plain: generation.is_none(),
        });
        let rank = match verdict {
            Verdict::Refuse => return Err(Refusal::TargetsFull { wait: pick.wait }),
            Verdict::Send { rank } => rank,
        };
        Ok(Chosen {
            basis: Inputs {
                load,
                load_age: stats.and_then(|stats| stats.load_age(now)),
                wait: pick.wait,
                permit_wait: Duration::ZERO,
                candidates: candidates.len(),
            },
            member: serving[pick.index].clone(),
            rank: rank.filter(|_| generation.is_some()),
        })
    }
}
