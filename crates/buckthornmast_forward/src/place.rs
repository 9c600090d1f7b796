//! Place of a request: which target takes it, or why none does.
//!
//! The load that is answered here: bursts and retries that fill the targets of a model. A generation asks for its turn
//! first, which whoever knows the requests of all instances gives. Without that, and for all other requests, this
//! instance decides alone: a request that can be on time is sent to the least loaded target. One that will be late takes only slots that no other request wants, and beyond a
//! bounded queue it is refused at once, with the time after which it is worth coming back.

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

/// Wait for a target of a service that has none at the moment.
const NO_TARGET_WAIT: Duration = Duration::from_millis(1000);

/// Target that a request goes to.
#[derive(Debug)]
pub struct Chosen {
    /// Target.
    pub member: Member,
    /// Rank among the target's requests.
    pub rank: Option<u8>,
    /// What the choice was based on.
    pub basis: Basis,
}

/// What a choice was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Basis {
    /// Requests that were expected to be at the target.
    pub load: f64,
    /// Age of the load that the target had reported.
    pub load_age: Option<Duration>,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Time that passed until the turn was given, if there was one.
    pub turn: Duration,
    /// Targets to choose from.
    pub candidates: usize,
}

/// Where a request goes after it has asked for its turn.
enum Given {
    /// To the target whose turn it was given.
    Target(id::Target),
    /// To the target that this instance chooses alone.
    Alone,
}

/// Returns a number that is spread evenly over requests and the same on every instance.
pub(crate) fn draw_of(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Returns the hash of what a request shares with others: its model and all parts of the prompt but its own.
fn prefix_of(generation: &Generation) -> Option<u64> {
    let (_, shared) = generation.parts.split_last()?;
    let adapter = generation.adapter.as_ref().map_or("", |id| id.as_str());
    let mut hash = xxh3_64(generation.model.as_str().as_bytes());
    hash = xxh3_64_with_seed(adapter.as_bytes(), hash);
    let first = shared.first()?;
    Some(xxh3_64_with_seed(&first.id.to_le_bytes(), hash))
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns how long a target may take to begin its answer before another one is tried.
    pub(crate) fn first_patience(&self, work: &Work) -> Option<Duration> {
        let attempts = work.history.attempts() + 1 - work.not_run.min(work.history.attempts());
        let may_repeat = work.route.kind.is_repeatable() && attempts < work.route.attempts;
        let others = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let others = others.iter().filter(|member| member.serves(generation));
        let is_left = others.count() > work.tried.len() + 1;
        (may_repeat && is_left).then(|| patience::for_first(&work.route))
    }

    /// Finds a target, waiting for one if that can still bring an answer in time.
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
                    // What is known may have changed while the request waited.
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

    /// Returns until when a request may wait for a target: its caller leaves, or this instance ends.
    fn until(&self, work: &Work) -> Point {
        let until = work.first_until();
        let end = self.state.borrow().end;
        end.map_or(until, |end| until.min(end))
    }

    /// Waits for the turn of a generation.
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
            // A target was given up on because this instance found another one that takes the request.
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

    /// Returns the targets that have had a request, or fail.
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

    /// Returns the target whose turn was given, if it still serves the request.
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

    /// Waits until a target serves a want, for a time at the most.
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
        // Whether it is served by then is looked at by the caller.
        let _ = timeout(wait, served).await;
    }

    /// Returns whether another target would take a request now. A target's silence alone is no reason to give up on it
    /// while nobody else can go on.
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

    /// Chooses among targets that have what the request needs, or refuses it if they are full.
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
