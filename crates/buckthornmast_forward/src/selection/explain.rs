//! Explanation of a selection, by the functions that select the targets of requests.

use std::{
    cell::{OnceCell, RefCell},
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use buckthornmast_fleet::registry;
use buckthornmast_origin::origin::Origin;
use buckthornmast_quarantine::guard;
use buckthornmast_routes::document::{Document, Route, Service};
use buckthornmast_routing::attempt::History;
use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use bytes::Bytes;
use smallvec::{SmallVec, smallvec};

use super::{MAX_TARGET_WAIT, choice_query};
use crate::{
    choice::{self, Ranking},
    context::{Context, millis},
    explain::{Candidate, Cause, Excluded, Explanation, Fault, MAX_ROWS, Outcome, Query, Reason},
    forwarder::Forwarder,
    mapping::{Generation, Head, Mapping, PromptPart, RequestId},
    refusal::Refusal,
    state::{Member, Routes, State},
    supply::Supply,
};

/// Targets that could run a request.
struct Targets<'a> {
    serving: SmallVec<[&'a Member; 16]>,
    // Those without and with a limit on their rate.
    open: SmallVec<[&'a Member; 16]>,
    limited: SmallVec<[&'a Member; 2]>,
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Explains where a request would be sent now, and changes nothing. Keys and quotas aren't checked.
    pub fn explain(&self, query: &Query) -> Result<Explanation, Fault> {
        let routes = self.state.borrow().routes();
        let Some(routes) = routes else {
            return Ok(Explanation {
                instance: self.instance.clone(),
                domain: self.domain.clone(),
                service: query.service.clone(),
                route: None,
                objective_ms: None,
                priority: query.priority,
                asks_leader: false,
                candidates: Vec::new(),
                excluded: Vec::new(),
                omitted: 0,
                outcome: Refusal::NoRoutes.into(),
            });
        };
        let context = self.described(query, &routes)?;
        Ok(self.explain_context(&context))
    }

    /// Explains where a request that has arrived would be sent now, and changes nothing.
    pub fn explain_context(&self, context: &Context) -> Explanation {
        let now = self.clock.now();
        let members = self.state.borrow().members(&context.service);
        let serving = self.serving(&members, context, now);
        let (open, limited) = self.split_limited(&serving, context);
        let targets = Targets {
            serving,
            open,
            limited,
        };
        let avoided = self.avoided_targets(context, &targets.serving, now);
        let asks_leader = context.head.generation.is_some()
            && context.tried.is_empty()
            && avoided.len() < targets.serving.len();
        let mut candidates = self.explain_candidates(context, &targets, &avoided, now);
        let mut excluded = self.explain_excluded(context, &members, &candidates, now);
        let total = candidates.len() + excluded.len();
        // The chosen target may be the place of a prefix far down the list.
        let chosen = candidates.iter().position(|candidate| candidate.is_chosen);
        if let Some(position) = chosen.filter(|position| *position >= MAX_ROWS) {
            candidates.swap(position, MAX_ROWS - 1);
        }
        candidates.truncate(MAX_ROWS);
        excluded.truncate(MAX_ROWS);
        Explanation {
            instance: self.instance.clone(),
            domain: self.domain.clone(),
            service: context.service.clone(),
            route: Some(context.route.name.clone()),
            objective_ms: Some(millis(context.route.objective)),
            priority: Some(context.priority),
            asks_leader,
            omitted: total - candidates.len() - excluded.len(),
            outcome: self.explain_outcome(context, &targets, now),
            candidates,
            excluded,
        }
    }

    fn explain_candidates(
        &self,
        context: &Context,
        targets: &Targets<'_>,
        avoided: &[id::Target],
        now: Point,
    ) -> Vec<Candidate> {
        let candidates = self.candidates(&targets.open);
        let state = self.state.borrow();
        let ranking = choice::rank(&candidates, choice_query(context), &state.stats, now);
        let Some(Ranking { scored, chosen }) = ranking else {
            return Vec::new();
        };
        let rows = scored.iter().map(|scored| {
            let member = targets.open[scored.index];
            let stats = state.stats.get(&member.target, member.incarnation);
            let known = state.registry().get(&member.target);
            let wait = choice::expected_wait(&candidates[scored.index], &state.stats, now);
            Candidate {
                target: member.target.clone(),
                domain: member.domain.clone(),
                is_chosen: scored.index == chosen.index,
                is_avoided: avoided.contains(&member.target),
                score: scored.score(),
                completion: scored.completion,
                failure_cost: scored.failure_cost,
                distance: scored.distance,
                noise: scored.noise,
                requests: scored.requests,
                own_requests: stats.map_or(0, |stats| stats.own_requests()),
                slots: scored.slots,
                slowdown: scored.slowdown,
                failure_rate: scored.failure_rate,
                wait_ms: millis(wait),
                load_age_ms: stats.and_then(|stats| stats.load_age(now)).map(millis),
                heard_age_ms: known.map(|known| millis(now.since(known.last_heard))),
            }
        });
        rows.collect()
    }

    fn explain_excluded(
        &self,
        context: &Context,
        members: &[Member],
        candidates: &[Candidate],
        now: Point,
    ) -> Vec<Excluded> {
        let state = self.state.borrow();
        let members: HashMap<&id::Target, &Member> = members
            .iter()
            .map(|member| (&member.target, member))
            .collect();
        let candidates: HashSet<&id::Target> = candidates
            .iter()
            .map(|candidate| &candidate.target)
            .collect();
        let entries = state.registry().entries().filter(|entry| {
            let announcement = &entry.announcement;
            announcement.service == context.service && !candidates.contains(&announcement.target)
        });
        let mut excluded: Vec<Excluded> = entries
            .map(|entry| Excluded {
                target: entry.announcement.target.clone(),
                domain: entry.announcement.domain.clone(),
                reason: match members.get(&entry.announcement.target) {
                    Some(member) => exclusion(&state, member, context, now),
                    None => absence(&state, entry),
                },
            })
            .collect();
        excluded.sort_by(|one, other| one.target.cmp(&other.target));
        excluded
    }

    /// Returns what would become of the request without a permit, in the order of the steps that requests take.
    fn explain_outcome(&self, context: &Context, targets: &Targets<'_>, now: Point) -> Outcome {
        if self.exceeds_targets(context) {
            return Refusal::PromptTooLarge.into();
        }
        // A check uses up the permission of a trial, so a copy is checked.
        let mut guard = self.state.borrow().guard.clone();
        if let guard::Verdict::Refuse { remaining } = guard.check(&context.shared_parts, now) {
            return Refusal::Quarantined { remaining }.into();
        }
        let deadline = self.wait_deadline(context);
        let left = deadline.since(now);
        if now >= deadline {
            return self.late_refusal(context, now).into();
        }
        if !targets.serving.is_empty() {
            return match self.select_locally(context, &targets.open, now) {
                Ok(chosen) if self.ends_before_stop(context, &chosen) => Outcome::Target {
                    target: chosen.member.target.clone(),
                    wait_ms: millis(chosen.basis.wait),
                    rank: chosen.rank,
                },
                Ok(_) => Refusal::Stopping.into(),
                Err(_) if !targets.limited.is_empty() => wait(Cause::Grant, left),
                Err(refusal) => refusal.into(),
            };
        }
        if let Some(remaining) = self.shortest_pause(context, &context.tried) {
            if !context.is_on_time(now + remaining) || now + remaining >= deadline {
                return Refusal::Paused { remaining }.into();
            }
            return wait(Cause::Pause, remaining);
        }
        match context.item() {
            Some(_) => wait(Cause::Copy, left),
            None => wait(Cause::Target, MAX_TARGET_WAIT.min(left)),
        }
    }

    /// Returns the request that a query describes, as if it had just arrived.
    fn described(&self, query: &Query, routes: &Routes) -> Result<Context, Fault> {
        let document = &routes.document;
        let (route, service) = find_route(document, query)?;
        let of_organisation = find_priority(document, query)?;
        let mut route = route.clone();
        route.objective = query.objective.unwrap_or(route.objective);
        let model = query.model.clone().filter(|_| service.pool.is_some());
        let generation = model.map(|model| generation_of(query, model));
        let (parts, ()) = http::Request::new(()).into_parts();
        let received = self.clock.now();
        Ok(Context {
            shared_parts: generation
                .as_ref()
                .map_or_else(Default::default, |generation| {
                    generation.quarantine_parts(&query.service)
                }),
            head: Head {
                request: RequestId(query.request.as_str().into()),
                deadline: None,
                last_event: None,
                resumes: None,
                generation,
            },
            parts,
            body: Bytes::new(),
            version: document.version,
            service: query.service.clone(),
            is_checked: !document.organisations.is_empty(),
            key: None,
            organisation: query.organisation.clone(),
            priority: query.priority.or(of_organisation).unwrap_or(route.priority),
            charge: None,
            received,
            deadline: received + route.timeout,
            route: Arc::new(route),
            history: History::default(),
            not_run: 0,
            identity: OnceCell::new(),
            origin: Origin::default(),
            is_trial: false,
            held: None,
            tried: SmallVec::new(),
            silent: SmallVec::new(),
            waited: Duration::ZERO,
            last_event_at: None,
            end: RefCell::default(),
        })
    }
}

/// Returns the route and the service that a query names.
fn find_route<'a>(
    document: &'a Document,
    query: &Query,
) -> Result<(&'a Route, &'a Service), Fault> {
    let mut to_service = document.routes.iter().filter(|route| {
        let mut services = route.services.iter();
        services.any(|(service, _)| *service == query.service)
    });
    let route = to_service.find(|route| {
        let name = query.route.as_ref();
        name.is_none_or(|name| route.name == *name)
    });
    let found = route.zip(document.services.get(&query.service));
    found.ok_or_else(|| Fault::NoRoute {
        service: query.service.clone(),
    })
}

/// Returns the priority of the organisation that a query names, if it has one.
fn find_priority(document: &Document, query: &Query) -> Result<Option<u32>, Fault> {
    let Some(name) = &query.organisation else {
        return Ok(None);
    };
    let mut organisations = document.organisations.iter();
    let known = organisations.find(|known| known.name == *name);
    let known = known.ok_or_else(|| Fault::UnknownOrganisation {
        organisation: name.clone(),
    })?;
    Ok(known.priority)
}

fn wait(cause: Cause, at_most: Duration) -> Outcome {
    Outcome::Wait {
        cause,
        at_most_ms: millis(at_most),
    }
}

fn generation_of(query: &Query, model: id::Model) -> Generation {
    let part = |id| PromptPart {
        id,
        tokens: query.tokens,
    };
    Generation {
        model,
        adapter: query.adapter.clone(),
        prompt_tokens: query.tokens,
        answer_tokens: 0,
        // The last part belongs to the request itself.
        parts: query
            .prefix
            .map_or_else(SmallVec::new, |prefix| smallvec![part(prefix), part(0)]),
    }
}

/// Returns why a target that accepts new requests isn't a candidate for this one.
fn exclusion(state: &State, member: &Member, context: &Context, now: Point) -> Reason {
    let generation = context.head.generation.as_ref();
    let (target, incarnation) = (&member.target, member.incarnation);
    if let Some(generation) = generation.filter(|_| !member.serves(generation)) {
        return if member.has_model(&generation.model) {
            Reason::LacksAdapter
        } else {
            Reason::LacksModel
        };
    }
    if !context.origin.permits(member.mark) {
        return Reason::OtherVersion;
    }
    if let Some(remaining) = state.advisories.pause(target, incarnation, now) {
        let remaining_ms = millis(remaining);
        return Reason::Paused { remaining_ms };
    }
    if !state.accepts(member, now) {
        return Reason::Leaving;
    }
    if context.tried.contains(target) {
        return Reason::Tried;
    }
    if state.is_limited(member) {
        return Reason::Limited;
    }
    Reason::Ejected
}

/// Returns why a known target accepts no new requests.
fn absence(state: &State, entry: &registry::Entry) -> Reason {
    let announcement = &entry.announcement;
    let (target, incarnation) = (&announcement.target, announcement.incarnation);
    if entry.is_withdrawn {
        Reason::Withdrawn
    } else if !entry.is_ready() {
        Reason::NotReady
    } else if state.advisories.is_leaving(target, incarnation) {
        Reason::Leaving
    } else {
        Reason::Replaced
    }
}
