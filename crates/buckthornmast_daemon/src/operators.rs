//! HTTP port of the operators.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc, thread, time::Duration};

use buckthornmast_config::{declaration, fault::Fault};
use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_membership::view::State;
use buckthornmast_state::{
    machine::{Answer, Command},
    settings::{self, Change, Scope, Write},
};
use buckthornmast_types::{
    id,
    outcome::Execution,
    time::{Clock, System},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    access::{self, Bearer},
    confirm::STALE_AFTER,
    current::{Current, Snapshot, values_of},
    follow::Views,
    message::{Request, Response as Answered, millis},
    peers::Peers,
    policy,
    propose::{ProposeError, Proposer},
    reports,
    summary::{self, Gathered},
    targets::Targets,
};

/// Largest body of a write in bytes; a larger one is answered with 413.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for a write to be committed; beyond it, the answer is 503 and states whether the write may have been run.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum wait for settings to be in force on this instance: those that a write is based on, before it is checked, and
/// those that it wrote, before it is answered.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for a voter to return a history, after which the next one is queried.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(2);

/// Components that serve the port.
pub struct Operators {
    /// This instance.
    pub me: id::Instance,
    /// All other instances.
    pub others: Vec<id::Instance>,
    /// Digest of the platform operators' token.
    pub platform: String,
    /// Settings in force.
    pub current: Current,
    /// Proposer of commands to the replicated log.
    pub proposer: Proposer,
    /// Client to the other instances.
    pub peers: Peers,
    /// Reports of targets.
    pub targets: Targets,
    /// Current membership view.
    pub views: Views,
    /// Summary of this instance.
    pub own_summary: summary::Source,
    /// Clock.
    pub clock: System,
}

/// Body of a write to the settings.
#[derive(Deserialize)]
struct Body {
    id: id::Write,
    base: id::Revision,
    changes: Vec<Change>,
}

type Result<T> = std::result::Result<T, Problem>;

fn respond(exchange: Exchange, result: Result<Response>) {
    let response = result.unwrap_or_else(Response::from);
    if let Err(error) = exchange.respond(response) {
        log::debug!(step = "respond"; "answering an operator failed: {error}");
    }
}

fn ok(value: &Value) -> Result<Response> {
    Ok(Response::json(200, value.to_string()))
}

fn forbidden(scope: &Scope) -> Problem {
    Problem::new(403, "outside of the token's subtree", "access").detail(scope.to_string())
}

impl Operators {
    /// Serves one exchange.
    pub fn serve(&self, mut exchange: Exchange) {
        let result = self.answer(&mut exchange);
        respond(exchange, result);
    }

    fn answer(&self, exchange: &mut Exchange) -> Result<Response> {
        let snapshot = self.current.get();
        let header = exchange.header("authorization");
        let bearer = access::identify(header, &self.platform, &snapshot.declarations);
        let bearer = bearer.ok_or_else(|| Problem::new(401, "no valid bearer token", "access"))?;
        let path = exchange.path().to_owned();
        let (resource, rest) = match path.strip_prefix("/v1/").map(|path| path.split_once('/')) {
            Some(Some((resource, rest))) => (resource.to_owned(), rest),
            Some(None) => (path.trim_start_matches("/v1/").to_owned(), ""),
            None => (String::new(), ""),
        };
        match (exchange.method(), resource.as_str()) {
            ("PUT", "settings") => self.write(exchange, &bearer, rest),
            ("GET", "settings") => read(&snapshot, &bearer, rest),
            ("GET", "history") => self.history(&bearer, rest),
            ("GET", "status") => self.status(&snapshot),
            ("GET", "reports") => {
                let gather = || self.gather();
                reports::answer(&snapshot, &bearer, rest, &(self.views)(), gather)
            }
            _ => Err(Problem::new(404, "no such path", "route")),
        }
    }

    fn write(&self, exchange: &mut Exchange, bearer: &Bearer, scope: &str) -> Result<Response> {
        let scope = parse_scope(scope)?;
        if !bearer.can_access(&scope) {
            return Err(forbidden(&scope));
        }
        let text = exchange.take_text(MAX_BODY_BYTES)?;
        let body: Body = serde_json::from_str(&text)
            .map_err(|error| Problem::new(400, "bad write", "parse").detail(error.to_string()))?;
        let faults = self.check(&scope, &body)?;
        if !faults.is_empty() {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let body = json!({ "outcome": "refused", "faults": faults });
            return Ok(Response::json(422, body.to_string()));
        }
        let Body { id, base, changes } = body;
        let command = Command::Write(Write {
            scope,
            id,
            base,
            changes,
        });
        match self.proposer.propose(&command, WRITE_TIMEOUT) {
            Ok(Answer::Write(answer)) => {
                if let settings::Answer::Accepted { all, .. } = answer {
                    // The next write through this instance is checked against this one.
                    self.wait_until(|snapshot| snapshot.revision >= all);
                }
                Ok(write_response(answer))
            }
            Ok(_) => Err(Problem::new(500, "internal error", "log").execution(Execution::Unknown)),
            Err(error) => {
                let execution = match error {
                    ProposeError::NotProposed => Execution::No,
                    ProposeError::Unknown => Execution::Unknown,
                };
                let problem = Problem::new(503, "the write has no answer", "log");
                let problem = problem.detail(error.to_string()).execution(execution);
                Err(problem.retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Returns the faults that the scope would have after a write.
    ///
    /// A write on an older base is not checked, since the log refuses it. A write on a newer base than this
    /// instance has cannot be checked here, and accepting it unchecked could put faults into force.
    fn check(&self, scope: &Scope, body: &Body) -> Result<Vec<Fault>> {
        let snapshot = self.wait_until(|s| s.tree.scope_revision(scope) >= body.base);
        match snapshot.tree.scope_revision(scope).cmp(&body.base) {
            Ordering::Equal => {}
            Ordering::Greater => return Ok(Vec::new()),
            Ordering::Less => {
                let problem = Problem::new(503, "settings not up to date here", "settings");
                return Err(problem.retry_after(Duration::from_secs(1)));
            }
        }
        let subtree = snapshot.tree.scopes().get(scope);
        let mut values = subtree
            .map(|subtree| subtree.values.clone())
            .unwrap_or_default();
        for change in &body.changes {
            match &change.value {
                Some(value) => values.insert(change.path.clone(), value.clone()),
                None => values.remove(&change.path),
            };
        }
        let mut faults = policy::check(scope, &values);
        let others: BTreeMap<_, _> = values_of(&snapshot.tree);
        faults.extend(declaration::check_scope(scope, &values, &others));
        Ok(faults)
    }

    /// Returns the settings in force once they meet a condition, or after [`CATCH_UP_TIMEOUT`].
    fn wait_until(&self, is_met: impl Fn(&Snapshot) -> bool) -> Arc<Snapshot> {
        let deadline = self.clock.now() + CATCH_UP_TIMEOUT;
        loop {
            let snapshot = self.current.get();
            if is_met(&snapshot) || self.clock.now() >= deadline {
                return snapshot;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn history(&self, bearer: &Bearer, scope: &str) -> Result<Response> {
        let scope = parse_scope(scope)?;
        if !bearer.can_access(&scope) {
            return Err(forbidden(&scope));
        }
        for voter in self.proposer.voters() {
            let request = Request::History {
                scope: scope.clone(),
            };
            let answer = if voter == self.me {
                self.proposer.history(&scope)
            } else {
                match self.peers.call(&voter, request, HISTORY_TIMEOUT) {
                    Ok(Answered::History(history)) => history,
                    _ => None,
                }
            };
            if let Some(history) = answer {
                return ok(&json!({ "scope": scope.to_string(), "history": history }));
            }
        }
        Err(Problem::new(503, "no voter answered", "history").retry_after(Duration::from_secs(1)))
    }

    fn gather(&self) -> Gathered {
        let local = (self.me.clone(), (self.own_summary)());
        summary::gather(&self.peers, &self.others, local)
    }

    fn status(&self, snapshot: &Snapshot) -> Result<Response> {
        let gathered = self.gather();
        let view = (self.views)();
        let highest = view.peers.iter().map(|peer| peer.progress.revision).max();
        let highest = highest.unwrap_or_default().max(snapshot.revision);
        let instances = view.peers.iter().map(|peer| {
            let found = gathered
                .summaries
                .iter()
                .find(|(name, _)| *name == peer.instance);
            let state = if peer.instance == self.me {
                State::Alive
            } else {
                peer.state
            };
            let revision = found.map_or(peer.progress.revision, |(_, summary)| summary.revision);
            json!({
                "instance": peer.instance,
                "domain": peer.domain,
                "state": format!("{state:?}").to_lowercase(),
                "revision": revision,
                "reached": revision >= highest && state == State::Alive,
                "stale": found.map(|(_, summary)| summary.confirmed_ms > millis(STALE_AFTER)),
                "ready": found.is_some_and(|(_, summary)| summary.ready),
                "replica": found.and_then(|(_, summary)| summary.replica.clone()),
                "controller": found.and_then(|(_, summary)| summary.controller),
            })
        });
        ok(&json!({
            "instance": self.me,
            "revision": highest,
            "leader": self.proposer.leader(),
            "instances": instances.collect::<Vec<_>>(),
            "targets": self.target_rows(snapshot),
        }))
    }

    fn target_rows(&self, snapshot: &Snapshot) -> Vec<Value> {
        let now = self.clock.now();
        let drained = &snapshot.declarations.platform.drained;
        let rows = self.targets.all().into_iter().map(|observed| {
            let report = &observed.report;
            json!({
                "target": report.target,
                "domain": report.domain,
                "service": report.service,
                "kind": report.kind,
                "age_ms": millis(now.since(observed.sent)),
                "leaving": report.is_leaving,
                "drained": drained.contains(&report.target),
                "running": report.load.running,
                "copies": report.copies,
            })
        });
        rows.collect()
    }
}

fn parse_scope(text: &str) -> Result<Scope> {
    text.parse().map_err(|error: id::LabelError| {
        Problem::new(400, "bad scope", "parse").detail(error.to_string())
    })
}

fn write_response(answer: settings::Answer) -> Response {
    match answer {
        settings::Answer::Accepted { revision, all } => {
            let body = json!({ "outcome": "accepted", "revision": revision, "all": all });
            Response::json(200, body.to_string())
        }
        settings::Answer::Conflict { revision } => {
            let body = json!({ "outcome": "conflict", "revision": revision });
            Response::json(409, body.to_string())
        }
        settings::Answer::Refused(refusal) => {
            let body = json!({ "outcome": "refused", "faults": [format!("{refusal:?}")] });
            Response::json(422, body.to_string())
        }
    }
}

/// Returns the values below a path, or all values that the bearer can read.
fn read(snapshot: &Snapshot, bearer: &Bearer, path: &str) -> Result<Response> {
    let (scope, below) = split_scope(path);
    let requested = scope.map(parse_scope).transpose()?;
    if let Some(scope) = requested.as_ref().filter(|scope| !bearer.can_access(scope)) {
        return Err(forbidden(scope));
    }
    let mut scopes = serde_json::Map::new();
    for (scope, subtree) in snapshot.tree.scopes() {
        if !bearer.can_access(scope)
            || requested
                .as_ref()
                .is_some_and(|requested| requested != scope)
        {
            continue;
        }
        let values: BTreeMap<_, _> = subtree
            .values
            .iter()
            .filter(|(path, _)| path.starts_with(below))
            .collect();
        let entry = json!({ "revision": subtree.revision, "values": values });
        scopes.insert(scope.to_string(), entry);
    }
    ok(&json!({ "revision": snapshot.revision, "scopes": scopes }))
}

/// Splits `team/NAME/path` or `platform/path`.
fn split_scope(path: &str) -> (Option<&str>, &str) {
    let end = if path.starts_with("team/") {
        path.match_indices('/').nth(1).map(|(at, _)| at)
    } else {
        path.find('/')
    };
    match end {
        _ if path.is_empty() => (None, ""),
        Some(end) => (Some(&path[..end]), &path[end + 1..]),
        None => (Some(path), ""),
    }
}
