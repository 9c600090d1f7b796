//! Request path of one entry instance: the daemon's rules, or a simple rule without admission.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use buckthornmast_routing::{
    admission::{self, AdmissionRequest, Gate, Next, Priority, Refusal, Verdict},
    attempt::{Decision, Dispatch, History, Reason},
    budget,
    dispatcher::{self, Completion, Dispatcher, Resource},
    estimate::Estimate,
    table::Slot,
};
use buckthornmast_types::{
    artifact::Artifact,
    id,
    outcome::Execution,
    report::{self, Phase},
    time::Point,
};
use rand::rngs::SmallRng;

use crate::{
    controller::{MAX_REPORT_AGE_SECONDS, Report},
    deployment::{Deployment, Spec, label},
    engine::{Engine, Request},
    routing::{Candidate, Rule},
};

/// Interval in seconds between capacity updates, as in the daemon.
pub const REFRESH_SECONDS: f64 = 0.2;
/// Capacity updates per check for slow targets, as in the daemon.
const REFRESHES_PER_SLOW_CHECK: u64 = 5;
/// Maximum number of targets that a request is sent to under a simple rule.
const MAX_ATTEMPTS: u32 = 2;

/// Chosen target and the artifact that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Target.
    pub target: usize,
    /// Artifact.
    pub item: usize,
}

/// Calls that leave a queue, each with whether it is admitted; the others have expired.
pub type Dequeued = Vec<(usize, bool)>;

/// Admission, routing and retry decisions of one entry instance.
pub trait Path {
    /// Declares an artifact; from now on it also answers requests for the one that it replaces.
    fn declare(&mut self, spec: &Spec, replaces: Option<usize>);

    /// Processes a report.
    fn observe(&mut self, target: usize, report: &Report, now: f64);

    /// Updates capacities and expires waiting calls.
    fn refresh(&mut self, now: f64) -> Dequeued;

    /// Offers a call for admission.
    fn offer(&mut self, call: usize, item: usize, request: &Request, now: f64) -> Verdict;

    /// Records that a call was admitted.
    fn record_admission(&mut self);

    /// Chooses a target that is not in `tried`. With `is_exact` no other version of the artifact may answer,
    /// which an answer that has begun requires.
    fn pick(
        &mut self,
        item: usize,
        is_exact: bool,
        tried: &[usize],
        now: f64,
        random: &mut SmallRng,
    ) -> Option<Pick>;

    /// Records how the dispatch to a picked target ended.
    fn record_end(&mut self, pick: &Pick, completion: Completion, now: f64);

    /// Decides what comes after a failed attempt.
    fn decide(&mut self, history: &History, deadline: f64, now: f64) -> Decision;

    /// Releases an admitted call that was in progress for `seconds`.
    fn release(&mut self, item: usize, seconds: f64, now: f64) -> Dequeued;

    /// Returns when a second dispatch is due if the first token has not arrived by then.
    fn hedge_at(&self, _sent: f64, _deadline: f64) -> Option<f64> {
        None
    }

    /// Takes a second dispatch from its budget, and returns whether there was one.
    fn take_hedge(&mut self, _now: f64) -> bool {
        false
    }
}

/// Simple rule on reported load: no admission, no limits, no ejection.
#[derive(Debug)]
pub struct Simple<'a, R> {
    rule: &'a R,
    /// Whether requests sent since a report are added to the reported load.
    counts_sent: bool,
    reports: Vec<Report>,
    sent: Vec<u32>,
    replaced: Vec<Option<usize>>,
}

impl<'a, R: Rule> Simple<'a, R> {
    /// Returns a path without reports.
    pub fn new(rule: &'a R, counts_sent: bool, deployment: &Deployment) -> Self {
        Self {
            rule,
            counts_sent,
            reports: vec![Report::default(); deployment.engines],
            sent: vec![0; deployment.engines],
            replaced: Vec::new(),
        }
    }

    fn candidates(&self, now: f64, item: usize) -> Vec<Candidate> {
        let replacement = self.replaced[item];
        let can_answer = |copy: &crate::engine::Copy| {
            copy.phase == Phase::Ready && (copy.item == item || Some(copy.item) == replacement)
        };
        let fresh = self.reports.iter().enumerate().filter(|(_, report)| {
            now - report.at < MAX_REPORT_AGE_SECONDS && report.copies.iter().any(can_answer)
        });
        let candidate = |(target, report): (usize, &Report)| Candidate {
            target,
            reported: report.load.running + report.load.waiting,
            sent: if self.counts_sent {
                self.sent[target]
            } else {
                0
            },
            slots: report.load.slots,
        };
        fresh.map(candidate).collect()
    }
}

impl<R: Rule> Path for Simple<'_, R> {
    fn declare(&mut self, _spec: &Spec, replaces: Option<usize>) {
        if let Some(old) = replaces {
            self.replaced[old] = Some(self.replaced.len());
        }
        self.replaced.push(None);
    }

    fn observe(&mut self, target: usize, report: &Report, _now: f64) {
        self.reports[target] = report.clone();
        self.sent[target] = 0;
    }

    fn refresh(&mut self, _now: f64) -> Dequeued {
        Dequeued::new()
    }

    fn offer(&mut self, _call: usize, _item: usize, _request: &Request, _now: f64) -> Verdict {
        Verdict::Run
    }

    fn record_admission(&mut self) {}

    fn pick(
        &mut self,
        item: usize,
        _is_exact: bool,
        tried: &[usize],
        now: f64,
        random: &mut SmallRng,
    ) -> Option<Pick> {
        let mut candidates = self.candidates(now, item);
        for tried in tried {
            if let Some(at) = candidates
                .iter()
                .position(|candidate| candidate.target == *tried)
            {
                candidates.swap_remove(at);
            }
        }
        if candidates.is_empty() {
            return None;
        }
        let target = candidates[self.rule.choose(&candidates, random)].target;
        self.sent[target] += 1;
        Some(Pick { target, item })
    }

    fn record_end(&mut self, pick: &Pick, completion: Completion, _now: f64) {
        // A request that was refused at once does not load the target.
        if matches!(completion, Completion::Refused | Completion::Unreachable) {
            self.sent[pick.target] = self.sent[pick.target].saturating_sub(1);
        }
    }

    fn decide(&mut self, history: &History, _deadline: f64, _now: f64) -> Decision {
        let (execution, reason) = (history.execution(), Reason::Attempts);
        match execution == Execution::No && history.attempts() < MAX_ATTEMPTS {
            true => Decision::Retry,
            false => Decision::End { execution, reason },
        }
    }

    fn release(&mut self, _item: usize, _seconds: f64, _now: f64) -> Dequeued {
        Dequeued::new()
    }
}

/// Hedging: a second dispatch of a request whose first token is late.
#[derive(Debug, Clone, Copy)]
pub struct Hedge {
    /// Maximum number of second dispatches per request.
    pub share: f64,
    /// Multiple of the estimated upper bound of first-token times after which a second dispatch is due.
    pub factor: f64,
}

/// Request path with the daemon's rules.
#[derive(Debug)]
pub struct Daemon {
    dispatcher: Dispatcher,
    gate: Gate<usize>,
    /// Artifact that answers requests for an artifact: itself or the one that replaces it.
    answering: Vec<usize>,
    artifacts: Vec<Artifact>,
    /// Names under which admission queues the requests for each artifact.
    names: Vec<id::Model>,
    teams: Vec<id::Team>,
    /// Index of the team of each artifact.
    team_of: Vec<usize>,
    items: HashMap<Artifact, usize>,
    targets: Vec<id::Target>,
    domains: usize,
    sequences: Vec<u64>,
    refreshes: u64,
    hedge: Option<(Hedge, budget::Retry, Estimate)>,
}

fn point(time: f64) -> Point {
    Point::ZERO + Duration::from_secs_f64(time.max(0.0))
}

impl Daemon {
    /// Returns the path of an entry instance that has received no reports.
    pub fn new(
        config: dispatcher::Config,
        hedge: Option<Hedge>,
        deployment: &Deployment,
        instance: usize,
    ) -> Self {
        let domain = label(&format!("d{}", instance % deployment.domains));
        let hedge = hedge.map(|hedge| {
            let budget = budget::Config {
                retries_per_request: hedge.share,
                ..budget::Config::default()
            };
            let first_token = Estimate::new(config.assumed_latency);
            (hedge, budget::Retry::new(budget, Point::ZERO), first_token)
        });
        let teams = deployment.teams().into_iter().map(|team| team.id);
        let targets = (0..deployment.engines).map(|engine| label(&format!("e{engine:03}")));
        Self {
            dispatcher: Dispatcher::new(config, domain, Point::ZERO),
            gate: Gate::new(admission::Config::default()),
            answering: Vec::new(),
            artifacts: Vec::new(),
            names: Vec::new(),
            teams: teams.collect(),
            team_of: Vec::new(),
            items: HashMap::new(),
            targets: targets.collect(),
            domains: deployment.domains,
            sequences: vec![0; deployment.engines],
            refreshes: 0,
            hedge,
        }
    }

    fn slot(&self, target: usize) -> Option<Slot> {
        self.dispatcher.table.slot(&self.targets[target])
    }

    fn dequeue(&mut self, item: usize, now: Point, dequeued: &mut Dequeued) {
        while let Some(next) = self.gate.next(&self.names[item], now) {
            dequeued.push(match next {
                Next::Run(call) => (call, true),
                Next::Expired(call) => (call, false),
            });
        }
    }
}

impl Path for Daemon {
    fn declare(&mut self, spec: &Spec, replaces: Option<usize>) {
        let item = self.artifacts.len();
        if let Some(old) = replaces {
            self.answering[old] = item;
        }
        self.answering.push(item);
        self.artifacts.push(spec.artifact.clone());
        self.names.push(label(&format!("i{item}")));
        self.team_of.push(spec.team);
        self.items.insert(spec.artifact.clone(), item);
    }

    fn observe(&mut self, target: usize, report: &Report, now: f64) {
        self.sequences[target] += 1;
        let copies = report.copies.iter().map(|copy| report::Copy {
            artifact: self.artifacts[copy.item].clone(),
            phase: copy.phase,
            bytes: copy.bytes,
        });
        let full = report::Report {
            target: self.targets[target].clone(),
            domain: label(&format!("d{}", target % self.domains)),
            kind: label("engine"),
            service: label("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: id::Incarnation(report.incarnation),
            sequence: self.sequences[target],
            is_leaving: false,
            accelerators: 1,
            memory: buckthornmast_types::size::Bytes::ZERO,
            copies: copies.collect(),
            token: id::Token(0),
            load: report.load,
        };
        let age = Duration::from_secs_f64((now - report.at).max(0.0));
        self.dispatcher.observe(full, age, point(now));
    }

    fn refresh(&mut self, now: f64) -> Dequeued {
        let now = point(now);
        if self.refreshes.is_multiple_of(REFRESHES_PER_SLOW_CHECK) {
            self.dispatcher.table.eject_slow(now);
        }
        self.refreshes += 1;
        let mut dequeued = Dequeued::new();
        for item in 0..self.names.len() {
            let artifact = &self.artifacts[self.answering[item]];
            let capacity = self.dispatcher.capacity(artifact, now);
            self.gate.set_capacity(&self.names[item], capacity);
            self.dequeue(item, now, &mut dequeued);
        }
        let expired = self.gate.expire(now);
        dequeued.extend(expired.into_iter().map(|call| (call, false)));
        dequeued
    }

    fn offer(&mut self, call: usize, item: usize, request: &Request, now: f64) -> Verdict {
        let Some(name) = self.names.get(item) else {
            return Verdict::Refused {
                reason: Refusal::Capacity,
                retry_after: Duration::from_secs(1),
            };
        };
        let request = AdmissionRequest {
            key: call,
            team: self.teams[self.team_of[item]].clone(),
            priority: match request.is_urgent {
                true => Priority::Interactive,
                false => Priority::Batch,
            },
            deadline: point(request.deadline),
        };
        self.gate.offer(name, request, point(now))
    }

    fn record_admission(&mut self) {
        self.dispatcher.record_request();
        if let Some((_, budget, _)) = &mut self.hedge {
            budget.record_request();
        }
    }

    fn pick(
        &mut self,
        item: usize,
        is_exact: bool,
        tried: &[usize],
        now: f64,
        random: &mut SmallRng,
    ) -> Option<Pick> {
        let tried: Vec<Slot> = tried
            .iter()
            .filter_map(|target| self.slot(*target))
            .collect();
        let query = Resource::Artifact {
            artifact: &self.artifacts[self.answering[item]],
            exact: is_exact,
            first_message: None,
        };
        let pick = self.dispatcher.pick(query, &tried, point(now), random)?;
        let target = &self.dispatcher.table.report(pick.slot)?.target;
        let target = self.targets.iter().position(|id| id == target)?;
        let item = *self.items.get(pick.artifact.as_ref()?)?;
        Some(Pick { target, item })
    }

    fn record_end(&mut self, pick: &Pick, completion: Completion, now: f64) {
        let Some(slot) = self.slot(pick.target) else {
            return;
        };
        if let (Completion::Answered(first), Some((_, _, first_token))) =
            (completion, &mut self.hedge)
        {
            first_token.add(first);
        }
        let artifact = Some(self.artifacts[pick.item].clone());
        let pick = dispatcher::Pick { slot, artifact };
        self.dispatcher.complete(&pick, completion, point(now));
    }

    fn decide(&mut self, history: &History, deadline: f64, now: f64) -> Decision {
        self.dispatcher
            .decide(history, true, point(deadline), point(now))
    }

    fn release(&mut self, item: usize, seconds: f64, now: f64) -> Dequeued {
        let in_progress = Duration::from_secs_f64(seconds.max(0.0));
        self.gate.finished(&self.names[item], Some(in_progress));
        let mut dequeued = Dequeued::new();
        self.dequeue(item, point(now), &mut dequeued);
        dequeued
    }

    fn hedge_at(&self, sent: f64, deadline: f64) -> Option<f64> {
        let (hedge, _, first_token) = self.hedge.as_ref()?;
        let at = budget::hedge_at(point(sent), first_token, true, point(deadline))?;
        let after = at.since(point(sent)).as_secs_f64() * hedge.factor;
        Some(sent + after)
    }

    fn take_hedge(&mut self, now: f64) -> bool {
        let hedge = self.hedge.as_mut();
        hedge.is_some_and(|(_, budget, _)| budget.take_hedge(true, point(now)))
    }
}

/// Returns the progress of an attempt that the crash of its engine ended, from the time of its first token and the
/// number of tokens sent.
pub fn progress_at_crash(first_token_at: f64, tokens: f64, now: f64) -> Dispatch {
    match now >= first_token_at {
        true => Dispatch::Streaming {
            next: tokens.max(0.0) as u64,
        },
        false => Dispatch::Sent,
    }
}

/// Returns how an engine refuses a request for an artifact or its replacement, or `None` if it accepts it.
pub fn refusal(
    engine: &Engine,
    item: usize,
    replacement: Option<usize>,
) -> Option<(Completion, Dispatch)> {
    if !engine.is_up() {
        return Some((Completion::Unreachable, Dispatch::NotSent));
    }
    let is_ready = engine.is_ready(item) || replacement.is_some_and(|new| engine.is_ready(new));
    (!is_ready || !engine.has_room()).then_some((Completion::Refused, Dispatch::Refused))
}
