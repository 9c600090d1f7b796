//! Selection of the target that a request is sent to, or of the reason why it is refused.
//!
//! Designed for bursts and retries that fill the targets of a model. A generation first requests a prefill permit from
//! the leader, which knows the requests of all instances. Without a permit, and for all other requests, this instance
//! decides locally: a request that can be on time is sent to the least loaded target. One that will be late takes only
//! slots that no other request needs, and beyond a bounded queue it is refused at once, with the time after which a
//! retry is useful.

use std::{rc::Rc, time::Duration};

use buckthornmast_types::{
    id,
    time::{Clock, Point},
};
use smallvec::SmallVec;
use tokio::time::timeout;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    admission::{self, Verdict},
    caller::Forwarder,
    choice::{self, Ask},
    mapping::{Generation, Mapping},
    patience,
    refusal::Refusal,
    state::Member,
    supply::{Prompt, Supply, Turn, Want, Wanted},
    work::{Work, millis},
};

/// Maximum wait for a target of a service that has none at the moment.
const NO_TARGET_WAIT: Duration = Duration::from_millis(1000);

/// Target that was selected for a request.
#[derive(Debug)]
pub struct Chosen {
    /// Target.
    pub member: Member,
    /// Rank among the requests of the target, if it isn't the default.
    pub rank: Option<u8>,
    /// What the selection was based on.
    pub basis: Basis,
}

/// What a selection was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Basis {
    /// Estimated number of requests at the target.
    pub load: f64,
    /// Age of the load that the target reported last.
    pub load_age: Option<Duration>,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Time until the permit was granted, if there was one.
    pub turn: Duration,
    /// Number of targets that were considered.
    pub candidates: usize,
}

/// Result of a request for a prefill permit.
enum Given {
    /// The leader granted a permit for this target.
    Target(id::Target),
    /// There is no permit; this instance chooses the target.
    Alone,
}

/// Returns the hash of a request's id, which is the same on every instance.
pub(crate) fn draw_of(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Returns the hash of the model, the adapter and the first part of the prompt, if other requests may share that part.
fn prefix_of(generation: &Generation) -> Option<u64> {
    let (_, shared) = generation.parts.split_last()?;
    let adapter = generation.adapter.as_ref().map_or("", |id| id.as_str());
    let mut hash = xxh3_64(generation.model.as_str().as_bytes());
    hash = xxh3_64_with_seed(adapter.as_bytes(), hash);
    let first = shared.first()?;
    Some(xxh3_64_with_seed(&first.id.to_le_bytes(), hash))
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the time within which a target must begin its answer before another one is tried, if there is another one.
    pub(crate) fn first_patience(&self, work: &Work) -> Option<Duration> {
        let attempts = work.history.attempts() + 1 - work.not_run.min(work.history.attempts());
        let may_repeat = work.route.kind.is_repeatable() && attempts < work.route.attempts;
        let others = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let others = others.iter().filter(|member| member.serves(generation));
        let is_left = others.count() > work.tried.len() + 1;
        (may_repeat && is_left).then(|| patience::for_first(&work.route))
    }

    /// Selects a target, and waits for one if an answer is still possible in time.
    pub async fn place(&self, work: &mut Work) -> Result<Chosen, Refusal> {
        let want = work.want();
        if let Some(want) = want.as_ref().filter(|_| work.tried.is_empty()) {
            self.supply.note(want);
        }
        let started = self.clock.now();
        let mut asked = false;
        let mut turn: Option<Given> = None;
        loop {
            let now = self.clock.now();
            work.waited = now.since(started);
            let until = self.until(work);
            if now >= until {
                return Err(Refusal::Deadline);
            }
            let members = self.state.borrow().members(&work.service);
            let generation = work.head.generation.as_ref();
            let serving: SmallVec<[&Member; 16]> = members
                .iter()
                .filter(|member| member.serves(generation))
                .collect();
            if serving
                .iter()
                .any(|member| !work.tried.contains(&member.target))
            {
                match turn {
                    // The members may have changed while the request waited for the permit.
                    None => {
                        turn = Some(self.turn(work, &serving, want.as_ref()).await?);
                        continue;
                    }
                    Some(Given::Target(target)) => {
                        if let Some(chosen) = self.given(work, &serving, &target) {
                            return Ok(chosen);
                        }
                    }
                    Some(Given::Alone) => {}
                }
                return self.choose(work, &serving, now);
            }
            if !serving.is_empty() {
                return Err(Refusal::NoTarget);
            }
            let left = until.since(now);
            let wait = match &want {
                Some(want) if !asked => {
                    asked = true;
                    match timeout(left, self.supply.want(want.clone())).await {
                        Ok(Wanted::Ready(_)) => continue,
                        Ok(Wanted::Later(later)) if later > left => {
                            return Err(Refusal::Loading { left: later });
                        }
                        Ok(Wanted::Later(later)) => later + NO_TARGET_WAIT,
                        Ok(Wanted::No) => return Err(Refusal::NoPlace),
                        Err(_) => return Err(Refusal::Deadline),
                    }
                }
                Some(_) if work.waited < NO_TARGET_WAIT => NO_TARGET_WAIT,
                Some(_) => return Err(Refusal::NoPlace),
                None if work.waited < NO_TARGET_WAIT => NO_TARGET_WAIT,
                None => return Err(Refusal::NoTarget),
            };
            self.wait_for_change(wait.min(left), want.as_ref(), &work.service)
                .await;
        }
    }

    /// Returns until when a request may wait for a target: until its caller disconnects or this instance stops.
    fn until(&self, work: &Work) -> Point {
        let until = work.first_until();
        let end = self.state.borrow().end;
        end.map_or(until, |end| until.min(end))
    }

    /// Requests a prefill permit for a generation and waits for the answer.
    async fn turn(
        &self,
        work: &Work,
        serving: &[&Member],
        want: Option<&Want>,
    ) -> Result<Given, Refusal> {
        let now = self.clock.now();
        let generation = work.head.generation.as_ref();
        let Some((generation, want)) = generation.zip(want) else {
            return Ok(Given::Alone);
        };
        if !work.tried.is_empty() {
            // This instance abandoned a target only because it found another one that accepts the request.
            return Ok(Given::Alone);
        }
        let avoid = self.avoided(work, serving, now);
        if avoid.len() >= serving.len() {
            return Ok(Given::Alone);
        }
        let shared = Some(generation).filter(|_| work.route.affinity);
        let prompt = Prompt {
            want: want.clone(),
            tokens: generation.prompt_tokens,
            prefix: shared.and_then(prefix_of),
            objective: (work.received + work.route.objective).since(now),
            patience: self.until(work).since(now),
            avoid,
        };
        let patience = prompt.patience;
        match timeout(patience, self.supply.turn(prompt)).await {
            Ok(Turn::Go(target)) => Ok(Given::Target(target)),
            Ok(Turn::Refuse(wait)) => {
                log::info!(
                    step = "turn",
                    request:% = work.head.request,
                    model:% = want,
                    wait_ms = millis(wait),
                    objective_ms = millis(work.route.objective),
                    candidates = serving.len();
                    "no turn in time"
                );
                Err(Refusal::Crowded { wait })
            }
            Ok(Turn::Unknown) => Ok(Given::Alone),
            Err(_) => Err(Refusal::Deadline),
        }
    }

    /// Returns the targets that a request has been dispatched to already, or that fail.
    fn avoided(&self, work: &Work, serving: &[&Member], now: Point) -> SmallVec<[id::Target; 2]> {
        let mut avoid = work.tried.clone();
        let state = self.state.borrow();
        for member in serving {
            let lane = state.board.lane(&member.target, member.born);
            let is_bad = lane.is_some_and(|lane| lane.is_bad(now));
            if is_bad && !avoid.contains(&member.target) {
                avoid.push(member.target.clone());
            }
        }
        avoid
    }

    /// Returns the target that the permit names, if it still serves the request.
    fn given(&self, work: &Work, serving: &[&Member], target: &id::Target) -> Option<Chosen> {
        let member = serving.iter().find(|member| member.target == *target)?;
        let state = self.state.borrow();
        let lane = state.board.lane(&member.target, member.born);
        let now = self.clock.now();
        Some(Chosen {
            basis: Basis {
                load: lane.map_or(0.0, |lane| lane.load(now)),
                load_age: lane.and_then(|lane| lane.load_age(now)),
                wait: Duration::ZERO,
                turn: work.waited,
                candidates: serving.len(),
            },
            member: (*member).clone(),
            rank: None,
        })
    }

    /// Waits until a target serves the model or adapter, or until the wait limit is reached.
    async fn wait_for_change(&self, wait: Duration, want: Option<&Want>, service: &id::Service) {
        let changed = Rc::clone(&self.state.borrow().changed);
        let generation = want.map(|want| Generation {
            model: want.model.clone(),
            adapter: want.adapter.clone(),
            prompt_tokens: 0,
            answer_tokens: 0,
            parts: SmallVec::new(),
        });
        let served = async {
            loop {
                let notified = changed.notified();
                let members = self.state.borrow().members(service);
                if members
                    .iter()
                    .any(|member| member.serves(generation.as_ref()))
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
    pub(crate) fn may_move(&self, work: &Work, target: &id::Target) -> bool {
        let now = self.clock.now();
        let has_budget = {
            let mut state = self.state.borrow_mut();
            state.budget(&work.service, now).has(now)
        };
        let members = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let serving: SmallVec<[&Member; 16]> = members
            .iter()
            .filter(|member| member.serves(generation) && member.target != *target)
            .collect();
        has_budget && self.choose(work, &serving, now).is_ok()
    }

    /// Chooses among the targets that serve the request, or refuses the request if they are full.
    fn choose(&self, work: &Work, serving: &[&Member], now: Point) -> Result<Chosen, Refusal> {
        let candidates: SmallVec<[choice::Candidate; 16]> = serving
            .iter()
            .map(|member| member.candidate(&self.home))
            .collect();
        let generation = work.head.generation.as_ref();
        let prefix = generation
            .filter(|_| work.route.affinity)
            .and_then(prefix_of);
        let ask = Ask {
            prefix,
            tried: &work.tried,
            draw: draw_of(&work.head.request.0),
        };
        let state = self.state.borrow();
        let Some(pick) = choice::pick(&candidates, ask, &state.board, now) else {
            return Err(Refusal::NoTarget);
        };
        let candidate = &candidates[pick.index];
        let lane = state.board.lane(&candidate.target, candidate.born);
        let load = lane.map_or(0.0, |lane| lane.load(now));
        let verdict = admission::decide(&admission::Ask {
            load,
            slots: candidate.slots,
            is_late: !work.is_on_time(now + pick.wait),
            is_plain: generation.is_none(),
        });
        let rank = match verdict {
            Verdict::Refuse => return Err(Refusal::Crowded { wait: pick.wait }),
            Verdict::Send { rank } => rank,
        };
        Ok(Chosen {
            basis: Basis {
                load,
                load_age: lane.and_then(|lane| lane.load_age(now)),
                wait: pick.wait,
                turn: Duration::ZERO,
                candidates: candidates.len(),
            },
            member: serving[pick.index].clone(),
            rank: rank.filter(|_| generation.is_some()),
        })
    }
}
