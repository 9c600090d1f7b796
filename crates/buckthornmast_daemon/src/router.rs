//! Routing on the newest reports of targets.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use buckthornmast_gateway::router::{self, Ask, Need, Pick, Refused, Report, Retry, Tried};
use buckthornmast_target::engine::Endpoint;
use buckthornmast_types::{
    artifact::Artifact,
    id, report,
    time::{Clock, System},
};

use crate::{current::Current, demand::Demand, targets::Targets};

/// Age of a report beyond which a target gets no new work; with the relay period it keeps the promise
/// that a leaving target gets none after 3 s.
const FRESH: Duration = Duration::from_millis(2500);

/// Router.
pub struct Router {
    targets: Targets,
    current: Current,
    demand: Demand,
    clock: System,
    token: String,
    domain: id::Domain,
    in_flight: Arc<Mutex<BTreeMap<id::Target, u32>>>,
}

impl Router {
    /// Returns a router.
    pub fn new(
        domain: id::Domain,
        token: String,
        targets: Targets,
        current: Current,
        demand: Demand,
        clock: System,
    ) -> Self {
        Self {
            targets,
            current,
            demand,
            clock,
            token,
            domain,
            in_flight: Arc::default(),
        }
    }
}

/// Returns the artifact on a target that meets a need.
fn match_artifact(report: &report::Report, wanted: &Artifact, exact: bool) -> Option<Artifact> {
    let is_usable =
        |artifact: &Artifact| report.is_ready(artifact) && report.is_ready(&artifact.base());
    if is_usable(wanted) {
        return Some(wanted.clone());
    }
    let same_name = |artifact: &&Artifact| {
        let adapter = |a: &Artifact| a.adapter.as_ref().map(|pin| pin.adapter.clone());
        artifact.model == wanted.model && adapter(artifact) == adapter(wanted)
    };
    if exact {
        return None;
    }
    let copies = report.copies.iter().map(|copy| &copy.artifact);
    copies
        .filter(same_name)
        .find(|artifact| is_usable(artifact))
        .cloned()
}

impl router::Router for Router {
    type Permit = ();

    fn admit(&self, ask: &Ask<'_>) -> Result<(), Refused> {
        if ask.team.is_some() {
            self.demand.count(ask.name, 0);
        }
        Ok(())
    }

    fn pick(&self, need: &Need<'_>, tried: &Tried) -> Option<Pick> {
        let now = self.clock.now();
        let snapshot = self.current.get();
        let platform = &snapshot.declarations.platform;
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut best: Option<((bool, bool, u32), Pick)> = None;
        for seen in self.targets.all() {
            let report = &seen.report;
            let is_open = !report.leaving
                && now.since(seen.sent) < FRESH
                && !platform.drained.contains(&report.target)
                && !tried.contains(&report.target);
            if !is_open {
                continue;
            }
            let artifact = match need {
                Need::Artifact {
                    artifact, exact, ..
                } => match match_artifact(report, artifact, *exact) {
                    Some(found) => Some(found),
                    None => continue,
                },
                Need::Service { service, .. } if report.service == **service => None,
                Need::Service { .. } => continue,
            };
            let is_older = match (need, &artifact) {
                (Need::Artifact { artifact, .. }, Some(found)) => *artifact != found,
                _ => false,
            };
            let own = in_flight.get(&report.target).copied().unwrap_or(0);
            let rank = (
                is_older,
                report.domain != self.domain,
                own.max(report.load.running),
            );
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let kind = platform.kinds.get(&report.kind);
                let token = kind
                    .is_none_or(|kind| kind.access)
                    .then(|| self.token.clone());
                let endpoint = Endpoint {
                    target: report.target.clone(),
                    address: report.address,
                    token,
                };
                best = Some((rank, Pick { endpoint, artifact }));
            }
        }
        let (_, pick) = best?;
        *in_flight.entry(pick.endpoint.target.clone()).or_default() += 1;
        Some(pick)
    }

    fn done(&self, pick: &Pick, _report: &Report<'_>) {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_flight.get_mut(&pick.endpoint.target) {
            *count = count.saturating_sub(1);
        }
    }

    fn may_retry(&self, retry: &Retry<'_>) -> bool {
        let is_safe =
            retry.repeatable || retry.error.run() == buckthornmast_types::outcome::Run::No;
        is_safe && retry.dispatches < 4
    }
}
