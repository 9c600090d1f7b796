//! HTTP routes of the request path and the components behind them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_target::{
    engine::{Engine, Plain},
    error::{Cause, Error},
};
use buckthornmast_types::{id, outcome::Execution, time::Clock};

use crate::{
    catalog::Catalog,
    chat,
    claim::Claims,
    deadline::{Bounds, Deadline, TIMEOUT_HEADER},
    generate,
    observe::Observer,
    router::Router,
    service,
};

/// Components of the request path.
pub trait Parts: Send + Sync + 'static {
    /// Client of the target protocol.
    type Targets: Engine + Plain + Send + Sync;
    /// Admission and choice of targets.
    type Router: Router + Send + Sync;
    /// Store of claims.
    type Claims: Claims + Send + Sync;
    /// Receiver of samples.
    type Observer: Observer + Send + Sync;
    /// Clock for deadlines and latencies.
    type Clock: Clock;
}

/// Limits of the request path.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body of a request in bytes; a larger one is answered with 413.
    pub max_body_bytes: usize,
    /// Deadline of a call to a plain service for which the caller sets none.
    pub default_deadline: Duration,
    /// Bounds of deadlines and of waits for tokens.
    pub bounds: Bounds,
}

/// Source of the catalog in force.
pub trait CatalogSource: Send + Sync {
    /// Returns the catalog, or `None` before the first settings arrived.
    fn catalog(&self) -> Option<Arc<Catalog>>;
}

/// Request path.
pub struct Gateway<P: Parts, C> {
    /// Client of the target protocol.
    pub targets: P::Targets,
    /// Admission and choice of targets.
    pub router: Arc<P::Router>,
    /// Store of claims.
    pub claims: P::Claims,
    /// Receiver of samples.
    pub observer: P::Observer,
    /// Clock for deadlines and latencies.
    pub clock: P::Clock,
    /// Source of the catalog in force.
    pub catalog_source: C,
    /// Limits of requests.
    pub limits: Limits,
    /// Whether the load balancer may send callers to this instance.
    pub is_ready: Arc<AtomicBool>,
}

/// Answers an exchange. A failure, such as a disconnected caller, is only logged.
pub(crate) fn respond(exchange: Exchange, response: impl Into<Response>) {
    if let Err(error) = exchange.respond(response) {
        log::debug!(step = "respond"; "answering a caller failed: {error}");
    }
}

/// Returns the problem of a request with an invalid value.
pub(crate) fn bad_request(step: &str, detail: impl Into<String>) -> Problem {
    Problem::new(400, "bad request", step).detail(detail)
}

impl<P: Parts, C: CatalogSource> Gateway<P, C> {
    /// Serves one exchange.
    pub fn serve(&self, exchange: Exchange) {
        match (exchange.method(), exchange.path()) {
            ("GET", "/healthz") => respond(exchange, Response::new(200).body("ok\n")),
            ("GET", "/readyz") => respond(exchange, self.readiness()),
            ("GET", "/v1/models") => self.models(exchange),
            ("POST", "/v1/chat/completions") => self.chat(exchange),
            (_, path) if path.starts_with("/services/") => self.service(exchange),
            (_, "/healthz" | "/readyz" | "/v1/models") => method_not_allowed(exchange, "GET"),
            (_, "/v1/chat/completions") => method_not_allowed(exchange, "POST"),
            _ => respond(exchange, Problem::new(404, "no such path", "route")),
        }
    }

    fn readiness(&self) -> Response {
        if !self.is_ready.load(Ordering::Relaxed) {
            return Response::new(503).body("stopping or not started\n");
        }
        match self.catalog_source.catalog() {
            Some(_) => Response::new(200).body("ready\n"),
            None => Response::new(503).body("no settings in force yet\n"),
        }
    }

    /// Returns the catalog, or answers 503 if there is none yet.
    fn catalog(&self, exchange: Exchange) -> Option<(Arc<Catalog>, Exchange)> {
        match self.catalog_source.catalog() {
            Some(catalog) => Some((catalog, exchange)),
            None => {
                let problem = Problem::new(503, "no settings in force yet", "settings");
                respond(exchange, problem.retry_after(Duration::from_secs(1)));
                None
            }
        }
    }

    fn models(&self, exchange: Exchange) {
        let Some((catalog, exchange)) = self.catalog(exchange) else {
            return;
        };
        let names = catalog
            .models
            .iter()
            .map(|(name, model)| (name.as_str(), &model.team));
        respond(exchange, Response::json(200, chat::models(names)));
    }

    /// Reads the deadline header, or answers 400 if it is invalid.
    pub(crate) fn deadline(
        &self,
        exchange: Exchange,
        default: Duration,
    ) -> Option<(Deadline, Exchange)> {
        let header = exchange.header(TIMEOUT_HEADER);
        match Deadline::read(
            header,
            self.clock.now(),
            default,
            self.limits.bounds.max_deadline,
        ) {
            Ok(deadline) => Some((deadline, exchange)),
            Err(error) => {
                respond(exchange, bad_request("deadline", error.to_string()));
                None
            }
        }
    }

    fn chat(&self, mut exchange: Exchange) {
        let text = match exchange.take_text(self.limits.max_body_bytes) {
            Ok(text) => text,
            Err(error) => return respond(exchange, Problem::from(error)),
        };
        let request = match chat::parse(&text) {
            Ok(request) => request,
            Err(error) => return respond(exchange, bad_request("parse", error.to_string())),
        };
        let Some((catalog, exchange)) = self.catalog(exchange) else {
            return;
        };
        let Some(model) = catalog.models.get(&request.model) else {
            let name: String = request.model.chars().take(id::MAX_LABEL_LEN).collect();
            let problem = Problem::new(404, "no such model", "route");
            return respond(
                exchange,
                problem.detail(format!("{name:?} is not declared")),
            );
        };
        let Some((deadline, exchange)) = self.deadline(exchange, model.deadline) else {
            return;
        };
        generate::run(self, exchange, &request, model, deadline);
    }

    fn service(&self, exchange: Exchange) {
        // The request target is forwarded as it was sent, so the name is not percent-decoded either.
        let name = exchange.target().strip_prefix("/services/");
        let name = name.and_then(|rest| rest.split(['/', '?']).next());
        let name = name.unwrap_or_default().to_owned();
        let Some((catalog, exchange)) = self.catalog(exchange) else {
            return;
        };
        let Some(service) = catalog.services.get(&name) else {
            let name: String = name.chars().take(id::MAX_LABEL_LEN).collect();
            let problem = Problem::new(404, "no such service", "route");
            return respond(
                exchange,
                problem.detail(format!("{name:?} is not declared")),
            );
        };
        let Some((deadline, exchange)) = self.deadline(exchange, self.limits.default_deadline)
        else {
            return;
        };
        service::run(self, exchange, service, deadline);
    }
}

fn method_not_allowed(exchange: Exchange, allowed: &str) {
    let problem = Problem::new(405, "method not allowed", "route");
    respond(exchange, Response::from(problem).header("Allow", allowed));
}

/// Returns whether an error can result from a wait that the caller's deadline ended early. Such an
/// error is no evidence against the target.
pub(crate) fn can_result_from_deadline(error: &Error) -> bool {
    matches!(
        error.cause,
        Cause::NotSent { .. } | Cause::TimedOut { .. } | Cause::Disconnected { .. }
    )
}

/// Returns the problem of a request that this instance lacked the resources to dispatch. Another target
/// would need the same resources, so none is tried.
pub(crate) fn local_problem(error: &Error, execution: Execution) -> Problem {
    Problem::new(503, "instance out of resources", "dispatch")
        .execution(execution)
        .detail(error.to_string())
        .retry_after(Duration::from_secs(1))
}

/// Returns the problem of a request whose deadline passed.
pub(crate) fn deadline_problem(execution: Execution) -> Problem {
    Problem::new(504, "deadline passed", "deadline")
        .execution(execution)
        .retry_after(Duration::from_secs(1))
}
