//! Requests in flight, as the load statistics and the pool of connections see them.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use buckthornmast_routes::document::Route;
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};

use crate::{
    forwarder::Forwarder,
    pool::Connection,
    state::{Member, State},
    stats::Ended,
    supply::Usage,
};

/// Request in flight, counted in the load statistics of its target until it ends or is dropped.
#[derive(Debug)]
pub struct InFlight {
    state: Rc<RefCell<State>>,
    clock: System,
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    route: Arc<Route>,
    started: Point,
    first_event_time: Option<Duration>,
    is_ended: bool,
}

impl InFlight {
    /// Records a dispatch to a target.
    pub(super) fn start<M, S>(
        forwarder: &Forwarder<M, S>,
        member: &Member,
        route: Arc<Route>,
    ) -> Self {
        let now = forwarder.clock.now();
        let mut state = forwarder.state.borrow_mut();
        state
            .stats
            .record_dispatch(&member.target, member.incarnation);
        state.route_times.begin(&route.name, now);
        Self {
            state: Rc::clone(&forwarder.state),
            clock: forwarder.clock,
            target: member.target.clone(),
            incarnation: member.incarnation,
            route,
            started: now,
            first_event_time: None,
            is_ended: false,
        }
    }

    /// Records the arrival of the first event, or of the whole answer.
    pub fn record_first_event(&mut self) {
        let now = self.clock.now();
        self.first_event_time.get_or_insert(now.since(self.started));
    }

    /// Records the end of the exchange and puts its connection into the pool. Returns the time and events that it took.
    /// `events` is the number of events after the first one.
    pub fn complete(
        mut self,
        connection: Connection,
        idle: Option<Duration>,
        events: u32,
    ) -> Usage {
        let now = self.clock.now();
        let total_time = now.since(self.started);
        let first_event_time = self.first_event_time.unwrap_or(total_time);
        self.end(Ended::Answered {
            first_event_time,
            total_time,
        });
        let mut state = self.state.borrow_mut();
        state
            .pool
            .put(&self.target, self.incarnation, connection, idle, now);
        Usage {
            total_time,
            events,
            event_time: total_time.saturating_sub(first_event_time),
        }
    }

    /// Records how the exchange ended, unless that was recorded before.
    pub fn end(&mut self, ended: Ended) {
        if !std::mem::replace(&mut self.is_ended, true) {
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            state.route_times.end(&self.route.name, self.started);
            if let Ended::Answered { total_time, .. } = ended {
                state.route_times.record(&self.route.name, total_time);
            }
            state
                .stats
                .record_end(&self.target, self.incarnation, ended, now);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(Ended::Abandoned);
    }
}
