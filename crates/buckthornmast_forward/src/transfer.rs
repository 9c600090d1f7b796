//! Forwarding of an answer that is not held until it is whole, because there is no memory for it.
//!
//! The caller receives it as it arrives, so a failure after that can't be made up for at another target. It ends the
//! caller's connection before the end of the answer.

use std::rc::Rc;

use buckthornmast_types::time::Clock;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    body::{self, Body, Sender},
    context::{Context, End, Reporter},
    exchange::{Exchange, MAX_ANSWER_BYTES, PartialAnswer},
    forwarder::Forwarder,
    mapping::Mapping,
    stats::Ended,
    supply::Supply,
};

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the response whose body forwards an answer as it arrives.
    pub(crate) fn transfer(
        self: Rc<Self>,
        context: Context,
        answer: PartialAnswer,
        mut reporter: Reporter,
    ) -> Response<Body> {
        let PartialAnswer { head, first, rest } = answer;
        let status = head.status.as_u16();
        let (sender, parts) = body::channel(&self.state.borrow().memory);
        // The task ends with the answer, at the deadline, or when the body of the response is dropped.
        tokio::task::spawn_local(async move {
            match self.forward_parts(&context, first, rest, &sender).await {
                Ok(true) => {
                    if sender.end().await.is_ok() {
                        reporter.end(End::Answered, status, "");
                    }
                }
                // Dropping the reporter reports it.
                Ok(false) => {}
                // Without its end, the body closes the caller's connection.
                Err(cause) => reporter.end(End::Failed, status, cause),
            }
        });
        Response::from_parts(head, Body::Parts(parts))
    }

    /// Forwards the parts of an answer. Returns whether the caller stayed until its end.
    async fn forward_parts(
        &self,
        context: &Context,
        first: SmallVec<[Bytes; 1]>,
        mut rest: Exchange,
        sender: &Sender,
    ) -> Result<bool, &'static str> {
        let mut sent = 0;
        let mut first = first.into_iter();
        loop {
            let bytes = match first.next() {
                Some(bytes) => bytes,
                None => {
                    let part = tokio::select! {
                        biased;
                        () = sender.closed() => return Ok(false),
                        part = self.receive_part(context, &mut rest) => part?,
                    };
                    let Some(bytes) = part else {
                        break;
                    };
                    bytes
                }
            };
            sent += bytes.len();
            if sent > MAX_ANSWER_BYTES {
                rest.in_flight.end(Ended::Failed);
                return Err("the answer is too large");
            }
            let left = context.time_left(self.clock.now());
            match timeout(left, sender.send(bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Ok(false),
                Err(_) => return Err("the deadline has passed"),
            }
        }
        let Exchange {
            connection,
            idle,
            in_flight,
            ..
        } = rest;
        let usage = in_flight.complete(connection, idle, 0);
        self.report_usage(context, usage);
        Ok(true)
    }

    /// Returns the next bytes of an answer, or `None` at its end.
    async fn receive_part(
        &self,
        context: &Context,
        rest: &mut Exchange,
    ) -> Result<Option<Bytes>, &'static str> {
        loop {
            let left = context.time_left(self.clock.now());
            // A timeout of zero would still return bytes that have arrived.
            if left.is_zero() {
                return Err("the deadline has passed");
            }
            let frame = match timeout(left, rest.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => {
                    log::info!(step = "receive", request:% = context.head.request, target:% = rest.in_flight.target; "reading the rest of an answer failed: {error}");
                    rest.in_flight.end(Ended::Failed);
                    return Err("the answer could not be read");
                }
                Err(_) => return Err("the deadline has passed"),
            };
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }
}
