//! Judgement of a target's answer by its head, and what the target states about itself with it.

use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::time::{Clock, Point};
use http::response;

use super::{Failure, failure};
use crate::{
    context::Context,
    forwarder::Forwarder,
    mapping::{Answer, Mapping},
    state::Member,
    stats::Ended,
    supply::Supply,
    verdict::{Doubt, Facts, Id, Verdict, judge},
};

/// How a request was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sent {
    /// When it was sent.
    pub at: Point,
    /// Whether its connection had carried another exchange before.
    pub is_kept: bool,
}

fn failed(verdict: Verdict) -> Option<(Failure, Ended)> {
    let (dispatch, cause, ended) = match verdict {
        Verdict::Answer => return None,
        Verdict::Refused => (
            Dispatch::Refused,
            "the target refused the request",
            Ended::Refused,
        ),
        Verdict::Misdirected => (
            Dispatch::Refused,
            "the target is not the one that the request is for, or lacks its model or adapter",
            Ended::Abandoned,
        ),
        Verdict::Foreign => (
            Dispatch::Sent,
            "the answer does not carry the target's mark or was transformed by an intermediary",
            Ended::Failed,
        ),
        Verdict::Switched => (
            Dispatch::Sent,
            "the target switched to another protocol",
            Ended::Failed,
        ),
        Verdict::Unassigned(doubt) => {
            let cause = match doubt {
                Doubt::Missing => "the answer does not name one request",
                Doubt::Other => "the answer belongs to another request",
                Doubt::Repeat => "the answer may be an earlier refusal of the request",
                Doubt::Contradiction => "the status of the answer contradicts its refusal",
            };
            (Dispatch::Sent, cause, Ended::Failed)
        }
    };
    Some((failure(dispatch, cause), ended))
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns whether a target has refused this request before.
    pub(super) fn is_repeat(&self, context: &Context, member: &Member) -> bool {
        let request = &context.head.request.0;
        let state = self.state.borrow();
        state
            .refused
            .contains(&member.target, member.incarnation, request)
    }

    /// Judges an answer by its head and records what the target states with it. Returns an error unless it is the answer to
    /// the request and may be forwarded.
    pub(super) fn judge(
        &self,
        context: &Context,
        member: &Member,
        head: &response::Parts,
        answer: &Answer,
        sent: Sent,
    ) -> Result<(), (Failure, Ended)> {
        let request = &context.head.request.0;
        let facts = Facts {
            id: match answer.request.as_deref() {
                None => Id::Missing,
                Some(answered) if *answered == **request => Id::Same,
                Some(_) => Id::Other,
            },
            status: head.status,
            is_refusal: answer.is_refusal,
            is_misdirected: answer.is_misdirected,
            is_stamped: answer.is_stamped,
            is_transformed: answer.is_transformed,
            is_kept: sent.is_kept,
            is_repeat: self.is_repeat(context, member),
        };
        let verdict = judge(&facts);
        if let Verdict::Unassigned(doubt) = verdict {
            metrics::counter!("buckthornmast_unassigned_answers_total", "id" => doubt.as_str())
                .increment(1);
            log::warn!(step = "receive", request:% = request, target:% = member.target, born = member.incarnation.0, status = head.status.as_u16(), id = doubt.as_str(), is_refusal = answer.is_refusal, is_kept = sent.is_kept; "an answer of the target is not shown to be for the request; it is unknown whether the request has run");
        }
        self.record_answer(context, member, answer, sent.at, verdict);
        failed(verdict).map_or(Ok(()), Err)
    }

    /// Records what a target states about itself with an answer. One that isn't shown to be for this request is as much the
    /// target's own, but may be old.
    fn record_answer(
        &self,
        context: &Context,
        member: &Member,
        answer: &Answer,
        sent: Point,
        verdict: Verdict,
    ) {
        let now = self.clock.now();
        self.record_limit(context, member, answer, sent, verdict.is_assigned());
        let mut state = self.state.borrow_mut();
        if verdict.is_assigned()
            && let Some(load) = answer.load
        {
            state
                .stats
                .record_load(&member.target, member.incarnation, load, now);
        }
        if verdict.is_assigned() && !answer.is_misdirected {
            let is_refused = verdict == Verdict::Refused;
            state.record_brittle(member, answer.brittle, is_refused, sent, now);
        }
        if matches!(verdict, Verdict::Refused | Verdict::Misdirected) {
            let request = &context.head.request.0;
            state
                .refused
                .record(&member.target, member.incarnation, request);
        }
        let is_newly_leaving = state.record_answer(member, answer, now);
        drop(state);
        if is_newly_leaving && context.head.generation.is_some() {
            // The leader queries the target, and loads its models elsewhere.
            self.supply.report_down(&member.target, member.incarnation);
        }
    }
}
