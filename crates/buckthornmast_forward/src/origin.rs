//! Version that began the stream of a request.

use std::time::Duration;

use buckthornmast_origin::{
    inquiry::{Finding, Question},
    origin::{Origin, only_version},
    record::{Key, Mark, Record, Service},
};
use buckthornmast_routes::document::Kind;
use buckthornmast_types::{id, time::Clock};

use crate::{
    context::Context,
    forwarder::Forwarder,
    mapping::Mapping,
    refusal::Refusal,
    state::{Member, State},
    supply::Supply,
};

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Finds the version that began a stream which its caller takes up again. What nobody knows is refused: a guess could
    /// join what two versions wrote.
    pub(crate) async fn find_origin(&self, context: &mut Context) -> Result<(), Refusal> {
        if context.head.last_event.is_none() || !is_resumable(context) {
            return Ok(());
        }
        let resumes = context.head.resumes.as_deref();
        let Some(mark) = self.find_begun(context, resumes).await else {
            log::info!(step = "origin", request:% = context.head.request, resumes:% = context.head.resumes.as_deref().unwrap_or(""); "the version that began the stream is not known; refusing to resume it");
            return Err(Refusal::UnknownOrigin);
        };
        context.origin = Origin::Begun(mark);
        Ok(())
    }

    /// Returns the version that began the stream of another request, which not all callers name.
    async fn find_begun(&self, context: &Context, request: Option<&str>) -> Option<Mark> {
        let key = request.map(Key::new);
        let own = key.and_then(|key| self.state.borrow().origins.get(key));
        if let Some(entry) = own {
            return entry.mark();
        }
        let mut finding = self.ask(&context.service, key).await;
        // Another service of the route may have begun it.
        let others = context.route.services.iter().map(|(other, _)| other);
        for other in others.filter(|other| **other != context.service) {
            let Finding::Only(sole) = finding else { break };
            finding = match self.ask(other, key).await {
                Finding::Only(other) => sole.and(other).map_or(Finding::Nowhere, Finding::Only),
                finding => finding,
            };
        }
        // Each instance of the core has told this one its targets before it answered.
        let state = self.state.borrow();
        let known = only_version(state.versions(&context.service));
        finding.version(longest_life(&state), known)
    }

    /// Asks the core which version began a stream that may be of a service.
    async fn ask(&self, service: &id::Service, key: Option<Key>) -> Finding {
        let question = Question {
            service: Service::new(service),
            key,
        };
        let finding = self.supply.find_origin(question).await;
        log::debug!(step = "origin", service:% = service, finding:? = finding; "the core has answered about a stream");
        finding
    }

    /// Records the version of the target that has sent the first event of a stream.
    pub(crate) fn record_origin(&self, context: &mut Context, member: &Member) {
        if !context.origin.is_open() {
            return;
        }
        context.origin.begin(member.mark);
        let Some(mark) = member.mark.filter(|_| is_resumable(context)) else {
            return;
        };
        let record = Record {
            key: Key::new(&context.head.request.0),
            mark,
        };
        let now = self.clock.now();
        self.state.borrow_mut().origins.record(record, now);
        self.supply.report_origin(record);
    }
}

/// Returns the longest life of a stream under the routes in force.
fn longest_life(state: &State) -> Duration {
    let Some(routes) = state.routes() else {
        return Duration::MAX;
    };
    let timeouts = routes.document.routes.iter().map(|route| route.timeout);
    timeouts.max().unwrap_or(Duration::MAX)
}

/// Returns whether the stream of a request may be resumed.
fn is_resumable(context: &Context) -> bool {
    matches!(
        context.route.kind,
        Kind::Stream {
            resumable: true,
            ..
        }
    )
}
