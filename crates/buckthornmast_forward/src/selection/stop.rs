//! Bounds that the deadline of a request, and a planned stop of this instance, set to its selection of a target.

use std::time::Duration;

use buckthornmast_types::time::{Clock, Point};

use crate::{
    context::Context, forwarder::Forwarder, mapping::Mapping, refusal::Refusal, selection::Chosen,
    state::Member, stats::TargetStats, supply::Supply,
};

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns until when a request may wait for a target: until its caller disconnects, or until its answer can't be expected
    /// before this instance stops. A stream that has begun can't be refused any more, so it is not given up before this
    /// instance ends.
    pub(super) fn wait_deadline(&self, context: &Context) -> Point {
        let deadline = context.next_event_deadline();
        if context.has_begun() {
            return deadline;
        }
        let state = self.state.borrow();
        let now = self.clock.now();
        let expected = state.route_times.expected_in_stop(&context.route, now);
        let stop = state.stop;
        stop.map_or(deadline, |stop| {
            deadline.min(stop.latest_dispatch(expected, context.deadline))
        })
    }

    /// Returns the refusal of a request that may not wait for a target any more.
    pub(super) fn late_refusal(&self, context: &Context, now: Point) -> Refusal {
        if now < context.next_event_deadline() && self.state.borrow().stop.is_some() {
            return Refusal::Stopping;
        }
        Refusal::Deadline
    }

    /// Returns whether a target is expected to answer before this instance stops, with the wait for a slot there. Always true
    /// for a stream that has begun.
    pub(super) fn ends_before_stop(&self, context: &Context, chosen: &Chosen) -> bool {
        let state = self.state.borrow();
        let Some(stop) = state.stop.filter(|_| !context.has_begun()) else {
            return true;
        };
        let Member {
            target,
            incarnation,
            ..
        } = &chosen.member;
        let stats = state.stats.get(target, *incarnation);
        let of_target = stats.map_or(Duration::ZERO, TargetStats::service_time);
        let now = self.clock.now();
        let of_route = state.route_times.expected_in_stop(&context.route, now);
        let expected = of_route.max(of_target) + chosen.basis.wait;
        now <= stop.latest_dispatch(expected, context.deadline)
    }
}
