//! Orders and questions to targets over HTTP.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use buckthornmast_forward::pool::{self, Pool};
use buckthornmast_supply::order::{Order, Outcome, Report};
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::platform::{Fence, Platform};

/// Time for the answer to an order. It only says that the order was accepted.
const ANSWER: Duration = Duration::from_millis(800);

/// Largest answer in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Sender of orders.
#[derive(Debug)]
pub struct Orders<P> {
    platform: P,
    clock: System,
    pool: RefCell<Pool>,
}

impl<P: Platform> Orders<P> {
    /// Sends nothing yet.
    pub fn new(platform: P, clock: System) -> Self {
        Self {
            platform,
            clock,
            pool: RefCell::default(),
        }
    }

    /// Gives an order.
    pub async fn give(&self, order: &Order, address: SocketAddr, fence: &Fence) -> Outcome {
        let request = self.platform.order(order, fence);
        let exchange = self.exchange(&order.target, order.born, address, request);
        let (outcome, detail) = match timeout(ANSWER, exchange).await {
            Ok(Ok(answer)) => (self.platform.outcome(&answer), answer.status().to_string()),
            Ok(Err(Failure { sent, cause })) => {
                let outcome = if sent {
                    Outcome::Unknown
                } else {
                    Outcome::Conflict
                };
                (outcome, cause)
            }
            Err(_) => (Outcome::Unknown, "no answer in time".to_owned()),
        };
        log::info!(
            step = "order",
            target:% = order.target,
            action:? = order.action,
            expected = order.expected,
            term = fence.term.0,
            outcome:? = outcome;
            "order given: {detail}"
        );
        metrics::counter!("buckthornmast_orders_total", "outcome" => format!("{outcome:?}"))
            .increment(1);
        outcome
    }

    /// Asks a target for its state.
    pub async fn ask(
        &self,
        target: &id::Target,
        born: id::Incarnation,
        address: SocketAddr,
    ) -> Option<Report> {
        let request = self.platform.ask(target);
        let exchange = self.exchange(target, born, address, request);
        let report = match timeout(ANSWER, exchange).await {
            Ok(Ok(answer)) => self.platform.report(&answer),
            Ok(Err(Failure { cause, .. })) => Err(cause),
            Err(_) => Err("no answer in time".to_owned()),
        };
        match report {
            Ok(report) => {
                log::info!(step = "ask", target:% = target, accepted = report.accepted; "target told its state");
                Some(report)
            }
            Err(cause) => {
                log::warn!(step = "ask", target:% = target; "state of a target is unknown: {cause}");
                None
            }
        }
    }

    async fn exchange(
        &self,
        target: &id::Target,
        born: id::Incarnation,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Failure> {
        let request = request.map(Full::new);
        let kept = self.pool.borrow_mut().take(target, born, self.clock.now());
        let mut connection = match kept {
            Some(connection) => connection,
            None => pool::connect(address).await.map_err(Failure::unsent)?,
        };
        if connection.sender.ready().await.is_err() {
            connection = pool::connect(address).await.map_err(Failure::unsent)?;
        }
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|error| Failure {
            sent: error.message().is_none(),
            cause: error.error().to_string(),
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        let body = body.map_err(|error| Failure {
            sent: true,
            cause: error.to_string(),
        })?;
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .put(target, born, connection, None, now);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.borrow_mut().prune(self.clock.now());
    }
}

struct Failure {
    sent: bool,
    cause: String,
}

impl Failure {
    fn unsent(error: pool::Error) -> Self {
        Self {
            sent: false,
            cause: error.to_string(),
        }
    }
}
