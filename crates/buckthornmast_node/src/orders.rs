//! Orders and state queries to targets over HTTP.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use buckthornmast_forward::{
    mapping::Mapping,
    memory::{Held, Memory},
    pool::{self, Pool},
};
use buckthornmast_supply::order::{Order, Outcome, Report};
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use crate::platform::{Fence, Platform};

/// Time limit for the response to an order or a query. The response to an order only says that it was accepted.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest response body in bytes. A larger one counts as a failed exchange.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Memory for the response bodies of all exchanges in progress, in bytes. A new leader queries all targets at once.
const RESPONSES_BYTES: usize = 16 << 20;

/// Client for orders and queries to targets.
#[derive(Debug)]
pub struct Orders<P> {
    platform: P,
    clock: System,
    pool: RefCell<Pool>,
    memory: Memory,
}

impl<P: Platform> Orders<P> {
    /// Creates a client without open connections.
    pub fn new(platform: P, clock: System) -> Self {
        Self {
            platform,
            clock,
            pool: RefCell::default(),
            memory: Memory::new(RESPONSES_BYTES),
        }
    }

    /// Sends an order and returns its outcome.
    pub async fn send(&self, order: &Order, address: SocketAddr, fence: &Fence) -> Outcome {
        let request = self.platform.encode_order(order, fence);
        let exchange = self.exchange(&order.target, order.incarnation, address, request);
        let (outcome, detail) = match timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => (
                self.platform.decode_outcome(&answer),
                answer.status().to_string(),
            ),
            Ok(Err(Failure { is_sent, cause })) => {
                // An order that was not sent can't take effect later. It counts as a conflict, after which the state of
                // the target is queried again.
                let outcome = if is_sent {
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
            born = order.incarnation.0,
            action:? = order.action,
            expected = order.expected,
            term = fence.term.0,
            outcome:? = outcome;
            "sending an order ended with: {detail}"
        );
        metrics::counter!("buckthornmast_orders_total", "outcome" => format!("{outcome:?}"))
            .increment(1);
        outcome
    }

    /// Queries the state of a target. Returns `None` if there is no valid response.
    pub async fn query(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        address: SocketAddr,
    ) -> Option<Report> {
        let request = self.platform.encode_query(target);
        let exchange = self.exchange(target, incarnation, address, request);
        let report = match timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => self.platform.decode_report(&answer),
            Ok(Err(Failure { cause, .. })) => Err(cause),
            Err(_) => Err("no answer in time".to_owned()),
        };
        match report {
            Ok(report) => {
                let adapters: usize = report
                    .resident
                    .iter()
                    .map(|entry| entry.adapters.len())
                    .sum();
                log::info!(
                    step = "ask",
                    target:% = target,
                    born = incarnation.0,
                    reported_born = report.incarnation.map_or(0, |incarnation| incarnation.0),
                    accepted = report.accepted,
                    is_busy = report.is_busy,
                    models = report.resident.len(),
                    adapters = adapters;
                    "target reported its state"
                );
                Some(report)
            }
            Err(cause) => {
                log::warn!(step = "ask", target:% = target, born = incarnation.0; "querying the state of the target failed: {cause}");
                None
            }
        }
    }

    async fn exchange(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Failure> {
        let request = request.map(Full::new);
        let pooled = self
            .pool
            .borrow_mut()
            .take(target, incarnation, self.clock.now());
        let mut connection = match pooled {
            Some(connection) => connection,
            None => pool::connect(address).await.map_err(Failure::unsent)?,
        };
        if connection.sender.ready().await.is_err() {
            connection = pool::connect(address).await.map_err(Failure::unsent)?;
        }
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|error| Failure {
            is_sent: error.message().is_none(),
            cause: error.error().to_string(),
        })?;
        let (head, mut body) = response.into_parts();
        let answer = self.platform.headers().decode_answer(&head);
        log::debug!(
            step = "exchange",
            target:% = target,
            born = incarnation.0,
            status = head.status.as_u16(),
            is_kept = connection.is_used,
            id = answer.request.as_deref().unwrap_or("");
            "the target answers an order or a query"
        );
        let mut held = Held::new(&self.memory);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Failure::unanswered(error.to_string()))?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if held.len() + bytes.len() > MAX_RESPONSE_BYTES || !held.push(&bytes) {
                return Err(Failure::unanswered("the answer is too large".to_owned()));
            }
        }
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .put(target, incarnation, connection, None, now);
        Ok(Response::from_parts(head, held.into_bytes()))
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.borrow_mut().prune(self.clock.now());
    }
}

/// Failed exchange with a target.
struct Failure {
    // Whether the target may have received the request.
    is_sent: bool,
    cause: String,
}

impl Failure {
    fn unanswered(cause: String) -> Self {
        Self {
            is_sent: true,
            cause,
        }
    }

    fn unsent(error: pool::Error) -> Self {
        Self {
            is_sent: false,
            cause: error.to_string(),
        }
    }
}
