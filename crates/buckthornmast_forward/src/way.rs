//! Connections to targets, directly or through another instance.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::{id, time::Clock};
use buckthornmast_way::{
    prelude::*,
    wire::{Hello, Wish},
};
use tokio::net::TcpStream;

use crate::{
    context::Context,
    exchange::{Failure, failure},
    forwarder::Forwarder,
    mapping::{Answer, Mapping},
    pool::{self, CONNECT_TIMEOUT, Connection},
    state::Member,
    stats::Ended,
    supply::Supply,
    tunnel,
};

/// Maximum time to establish a direct connection if there is a way around: several round trips between failure domains and
/// the processor time of a busy instance.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Returns the path to a target. Without ways, there is none but the direct one.
    pub(crate) fn path(&self, member: &Member) -> Path {
        let state = self.state.borrow();
        if state.ways.is_empty() {
            return Path::Direct;
        }
        let key = (member.target.clone(), member.incarnation);
        state.reach.path(&key, self.clock.now())
    }

    /// Opens a connection for a request. If that fails, no byte of the request has been sent.
    pub(crate) async fn connect(
        &self,
        context: &Context,
        member: &Member,
        path: Path,
    ) -> Result<Connection, (Failure, Ended)> {
        if path == Path::Direct
            && let Some(connection) = self.try_directly(context, member).await
        {
            return Ok(connection);
        }
        let around = if path == Path::Down {
            None
        } else {
            self.open_around(&member.target, member.incarnation).await
        };
        let unreachable = || {
            let failure = failure(Dispatch::NotSent, "the target can't be reached");
            (failure, Ended::Unreachable)
        };
        let Some((stream, way)) = around else {
            let may_be_reached = matches!(
                path,
                Path::Around {
                    may_be_reached: true,
                    ..
                }
            );
            let direct = if may_be_reached {
                self.try_directly(context, member).await
            } else {
                None
            };
            return direct.ok_or_else(unreachable);
        };
        log::debug!(step = "connect", request:% = context.head.request, target:% = member.target, way:% = way.instance; "the target is reached through another instance");
        metrics::counter!("buckthornmast_around_connections_total").increment(1);
        let peer = way.address;
        let connection = pool::start(stream, peer, Some(Rc::new(way))).await;
        connection.map_err(|error| {
            log::info!(step = "connect", request:% = context.head.request, target:% = member.target; "setting up a connection through another instance failed: {error}");
            unreachable()
        })
    }

    /// Opens a direct connection for a request, if that is possible.
    async fn try_directly(&self, context: &Context, member: &Member) -> Option<Connection> {
        let (target, incarnation) = (&member.target, member.incarnation);
        let result = self
            .connect_directly(target, incarnation, member.address)
            .await;
        result
            .inspect_err(|error| {
                log::info!(step = "connect", request:% = context.head.request, target:% = target, born = incarnation.0; "opening a connection to the target failed: {error}");
                if error.is_refused() && context.head.generation.is_some() {
                    self.supply.report_down(target, incarnation);
                }
            })
            .ok()
    }

    /// Opens a direct connection, and records whether that was possible.
    pub(crate) async fn connect_directly(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        address: SocketAddr,
    ) -> Result<Connection, pool::Error> {
        let (source, limit) = {
            let state = self.state.borrow();
            let limit = if state.ways.is_empty() {
                CONNECT_TIMEOUT
            } else {
                DIRECT_TIMEOUT
            };
            (state.source, limit)
        };
        let connection = match pool::open(address, source, limit).await {
            Ok(stream) => pool::start(stream, address, None).await,
            Err(error) => Err(error),
        };
        let now = self.clock.now();
        let key = (target.clone(), incarnation);
        let mut state = self.state.borrow_mut();
        let was_cut_off = state.reach.is_cut_off();
        match &connection {
            Ok(_) => {
                if state.reach.record_connection(&key, now) {
                    log::info!(step = "reach", target:% = target, born = incarnation.0; "the target is in reach again");
                }
            }
            Err(error) if !error.is_local() => {
                if state.reach.record_failure(&key, now) {
                    log::info!(step = "reach", target:% = target, born = incarnation.0; "the target is out of reach: {error}");
                }
            }
            Err(_) => {}
        }
        let is_cut_off = state.reach.is_cut_off();
        if was_cut_off != is_cut_off {
            log::warn!(step = "reach", is_cut_off = is_cut_off; "whether this instance is cut off from the targets has changed");
        }
        connection
    }

    /// Opens a tunnel to a target through the first way that leads there.
    async fn open_around(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> Option<(TcpStream, Way)> {
        let now = self.clock.now();
        let ways = self.state.borrow_mut().ways.next(&self.domain, now);
        let mut has_unreached = false;
        for way in ways {
            let wish = Wish::Open {
                target: target.clone(),
                incarnation,
            };
            let result = tunnel::open(&way, self.hello(&way, wish)).await;
            let mut state = self.state.borrow_mut();
            let fault = match result {
                Ok(stream) => {
                    state.ways.record_success(&way);
                    return Some((stream, way));
                }
                Err(fault) => fault,
            };
            state.ways.record_fault(&way, fault, self.clock.now());
            drop(state);
            log::info!(step = "around", target:% = target, born = incarnation.0, way:% = way.instance, fault:? = fault; "the way does not lead to the target");
            match fault {
                Fault::Unwanted => return None,
                Fault::Unreached => has_unreached = true,
                Fault::Lost | Fault::Full => {}
            }
        }
        if has_unreached {
            let key = (target.clone(), incarnation);
            let now = self.clock.now();
            self.state.borrow_mut().reach.record_down(&key, now);
        }
        None
    }

    fn hello(&self, way: &Way, wish: Wish) -> Hello {
        Hello {
            key: way.key,
            from: self.instance.clone(),
            wish,
        }
    }

    /// Returns whether a target can be connected to through a way.
    pub(crate) async fn is_reached_around(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> bool {
        self.open_around(target, incarnation).await.is_some()
    }

    /// Records what an answer shows about the path to its target, and tells the way what the target states to it.
    pub(crate) fn record_path(&self, member: &Member, connection: &Connection, answer: &Answer) {
        let Some(way) = &connection.way else {
            let now = self.clock.now();
            self.state.borrow_mut().reach.record_answer(now);
            return;
        };
        if !answer.is_leaving && answer.pause.is_none() {
            return;
        }
        let wish = Wish::Note {
            target: member.target.clone(),
            incarnation: member.incarnation,
            is_leaving: answer.is_leaving,
            pause: answer.pause,
        };
        let hello = self.hello(way, wish);
        let way = Rc::clone(way);
        // It ends by itself after the time limit of a tunnel.
        tokio::task::spawn_local(async move {
            if let Err(fault) = tunnel::open(&way, hello).await {
                log::warn!(step = "around", way:% = way.instance, fault:? = fault; "telling the way what a target states failed");
            }
        });
    }

    /// Tries to connect directly to targets that are out of reach, if it is time to.
    pub fn probe(self: &Rc<Self>) {
        let now = self.clock.now();
        let due = self.state.borrow_mut().reach.due_probes(now);
        for (target, incarnation) in due {
            let address = {
                let state = self.state.borrow();
                let entry = state.registry().get(&target);
                entry
                    .filter(|entry| entry.announcement.incarnation == incarnation)
                    .map(|entry| entry.announcement.address)
            };
            let Some(address) = address else {
                continue;
            };
            let forwarder = Rc::clone(self);
            // It ends by itself after the time limit of a connection.
            tokio::task::spawn_local(async move {
                if let Ok(connection) = forwarder
                    .connect_directly(&target, incarnation, address)
                    .await
                {
                    let now = forwarder.clock.now();
                    let mut state = forwarder.state.borrow_mut();
                    state.pool.put(&target, incarnation, connection, None, now);
                }
            });
        }
    }
}
