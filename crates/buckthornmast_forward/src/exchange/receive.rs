//! Reading of a target's answer, up to its first event or to its end.

use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::id;
use bytes::Bytes;
use http::{header, response};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smallvec::SmallVec;

use super::{Failure, failure, lost_at_start};
use crate::{
    context::Context,
    continuation::{End, Form},
    events::{Ending, Splitter},
    memory::{Memory, Pieces},
    stats::Ended,
};

/// Body of an answer that was received.
pub(super) enum Received {
    /// The body is whole.
    Whole(SmallVec<[Bytes; 1]>),
    /// There was no memory to hold more.
    Part(SmallVec<[Bytes; 1]>),
}

/// Reads a body, as far as there is memory to hold it.
pub(super) async fn collect(
    body: &mut Incoming,
    memory: &Memory,
) -> Result<Received, (Failure, Ended)> {
    let mut held = Pieces::new(memory);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!(step = "receive"; "reading the answer of a target failed: {error}");
            lost_at_start("the answer could not be read")
        })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let rest = held.push(bytes);
        if !rest.is_empty() {
            let mut first = held.into_pieces();
            first.push(rest);
            return Ok(Received::Part(first));
        }
    }
    Ok(Received::Whole(held.into_pieces()))
}

/// Returns what the head of an answer announces on the route of its request.
pub(super) fn form(
    context: &Context,
    head: &response::Parts,
    after: Option<u64>,
) -> Result<Form, (Failure, Ended)> {
    if !context.route.kind.is_stream() || !head.status.is_success() {
        return Ok(Form::Whole);
    }
    let is_continuation = after.is_some() || context.has_begun();
    let form = Form::of(head.status, &head.headers, is_continuation);
    if form == Form::Unfit {
        let cause = "the target answered a resumption with something else than events";
        return Err((failure(Dispatch::Sent, cause), Ended::Failed));
    }
    Ok(form)
}

/// Returns whether an answer has an end of its own, rather than that of its connection.
pub(super) fn has_end(head: &response::Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads up to the first whole event, or comments before it. Returns `None` if the stream has ended without an event after
/// the last one that the caller has, and another target has stated so before.
pub(super) async fn read_first_events(
    context: &Context,
    target: &id::Target,
    body: &mut Incoming,
    splitter: &mut Splitter,
    has_end: bool,
) -> Result<Option<Bytes>, (Failure, Ended)> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!(step = "receive", target:% = target; "reading the stream of a target failed: {error}");
            lost_at_start("the stream failed before its first event")
        })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let events = splitter.push(bytes);
        if events.is_some() {
            return Ok(events);
        }
        if let Some(fault) = splitter.fault() {
            return Err((failure(Dispatch::Sent, fault.as_str()), Ended::Failed));
        }
    }
    match (splitter.ending(), splitter.last()) {
        (Ending::Broken, _) => Err(lost_at_start("the stream ended without a whole next event")),
        (Ending::Nothing, Some(last)) if has_end => {
            let target = target.clone();
            confirm_end(context, End { last, target }).map(|()| None)
        }
        _ => Err(lost_at_start("the stream ended before its first event")),
    }
}

/// Records that a target has ended a stream without an event after the last one that the caller has. Fails unless another
/// target has stated so before.
fn confirm_end(context: &Context, end: End) -> Result<(), (Failure, Ended)> {
    let earlier = context.end.replace(Some(end.clone()));
    if earlier.is_some_and(|earlier| end.is_confirmed_by(&earlier)) {
        return Ok(());
    }
    let cause = "the target has no further event, and no other target has confirmed that";
    // The target may be right, so this doesn't concern its health.
    Err((failure(Dispatch::Sent, cause), Ended::Abandoned))
}
