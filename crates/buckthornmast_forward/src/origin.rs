//! Version that began the stream of a request.

use buckthornmast_origin::{
    inquiry::Finding,
    origin::{Origin, only_version},
    record::{Key, Mark, Record},
};
use buckthornmast_routes::document::Kind;
use buckthornmast_types::{id, time::Clock};

use crate::{
    context::Context, forwarder::Forwarder, mapping::Mapping, refusal::Refusal, state::Member,
    supply::Supply,
};

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Finds the version that began a stream which its caller takes up again. What nobody knows is refused: a guess could
    /// join what two versions wrote.
    pub(crate) async fn find_origin(&self, context: &mut Context) -> Result<(), Refusal> {
        if context.head.last_event.is_none() || !is_resumable(context) {
            return Ok(());
        }
        let found = match context.head.resumes.as_deref() {
            // The caller can't say where the stream began.
            None => {
                let state = self.state.borrow();
                let versions = state.versions(&context.service);
                only_version(versions.filter(Option::is_some))
            }
            Some(resumes) => self.find_begun(&context.service, resumes).await,
        };
        let Some(mark) = found else {
            log::info!(step = "origin", request:% = context.head.request, resumes:% = context.head.resumes.as_deref().unwrap_or(""); "the version that began the stream is not known; refusing to resume it");
            return Err(Refusal::UnknownOrigin);
        };
        context.origin = Origin::Begun(mark);
        Ok(())
    }

    /// Returns the version that began the stream of another request.
    async fn find_begun(&self, service: &id::Service, request: &str) -> Option<Mark> {
        let key = Key::new(service, request);
        let own = self.state.borrow().origins.get(key);
        if own.is_some() {
            return own;
        }
        match self.supply.find_origin(key).await {
            Finding::Known(mark) => Some(mark),
            // Each instance of the core has told this one its targets before it answered.
            Finding::Nowhere => only_version(self.state.borrow().versions(service)),
            Finding::Unknown => None,
        }
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
            key: Key::new(&context.service, &context.head.request.0),
            mark,
        };
        let now = self.clock.now();
        self.state.borrow_mut().origins.record(record, now);
        self.supply.report_origin(record);
    }
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
