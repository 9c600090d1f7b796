//! Orders and state queries to targets over HTTP.
//!
//! Each call has a name, which targets may repeat in their answers. Those that don't get each order on a connection of its
//! own, so that a second copy of an earlier answer is not taken for the answer to the order.

use std::{
    cell::{Cell, RefCell},
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_forward::{
    mapping::Mapping,
    memory::{Held, Memory},
    pool::{self, Connection, Pool},
};
use buckthornmast_supply::{
    exchange::{self, Named},
    order::{Order, Outcome, Report},
};
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
    // Connections whose last answer named its call. They take orders and queries.
    pool: RefCell<Pool>,
    // Other connections. They take queries only: a copy of an earlier report shows an earlier number of orders, so the
    // target refuses what is planned on it.
    query_pool: RefCell<Pool>,
    memory: Memory,
    // Names the calls of this instance since its start, so that no other process uses the same names.
    salt: u64,
    next_call: Cell<u64>,
}

/// Call of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Order,
    Query,
}

impl<P: Platform> Orders<P> {
    /// Creates a client without open connections.
    pub fn new(platform: P, clock: System) -> Self {
        Self {
            platform,
            clock,
            pool: RefCell::default(),
            query_pool: RefCell::default(),
            memory: Memory::new(RESPONSES_BYTES),
            salt: RandomState::new().hash_one(clock.now()),
            next_call: Cell::new(0),
        }
    }

    /// Sends an order and returns its outcome.
    pub async fn send(&self, order: &Order, address: SocketAddr, fence: &Fence) -> Outcome {
        let request = self.platform.encode_order(order, fence);
        let exchange = self.exchange(
            Call::Order,
            &order.target,
            order.incarnation,
            address,
            request,
        );
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
        let exchange = self.exchange(Call::Query, target, incarnation, address, request);
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

    /// Takes an idle connection for a call, if there is one that shows which answer belongs to it.
    fn take(
        &self,
        call: Call,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let pooled = self.pool.borrow_mut().take(target, incarnation, now);
        match call {
            Call::Order => pooled,
            Call::Query => {
                pooled.or_else(|| self.query_pool.borrow_mut().take(target, incarnation, now))
            }
        }
    }

    async fn exchange(
        &self,
        call: Call,
        target: &id::Target,
        incarnation: id::Incarnation,
        address: SocketAddr,
        mut request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Failure> {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let name = format!("{:016x}", self.salt.wrapping_add(number));
        self.platform.name_call(request.headers_mut(), &name);
        let request = request.map(Full::new);
        let pooled = self.take(call, target, incarnation);
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
        let named = match answer.request.as_deref() {
            None => Named::Nothing,
            Some(answered) if answered == name => Named::Call,
            Some(_) => Named::Other,
        };
        log::debug!(
            step = "exchange",
            target:% = target,
            born = incarnation.0,
            call:% = name,
            status = head.status.as_u16(),
            is_kept = connection.is_used,
            named:? = named;
            "the target answers an order or a query"
        );
        let is_answer = match call {
            Call::Order => exchange::is_answer(named, connection.is_used),
            Call::Query => named != Named::Other,
        };
        if !is_answer {
            metrics::counter!("buckthornmast_unassigned_order_answers_total").increment(1);
            return Err(Failure::unanswered(format!(
                "the answer with status {} is not shown to be the answer to this call",
                head.status
            )));
        }
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
        let pool = if exchange::needs_new_connection(named) {
            &self.query_pool
        } else {
            &self.pool
        };
        pool.borrow_mut()
            .put(target, incarnation, connection, None, now);
        Ok(Response::from_parts(head, held.into_bytes()))
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        let now = self.clock.now();
        self.pool.borrow_mut().prune(now);
        self.query_pool.borrow_mut().prune(now);
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
