//! Interface between the rest of the system and a target.

use std::{net::SocketAddr, time::Duration};

use buckthornmast_types::{id, order};

use crate::{
    error::Error,
    work::{Chunk, Work},
};

/// Address and credentials of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Target.
    pub target: id::Target,
    /// Address for orders and requests.
    pub address: SocketAddr,
    /// Bearer token, if the target authenticates the sender of an order.
    pub token: Option<String>,
}

/// Stream of the chunks of an answer, in the order of their arrival.
pub trait Tokens {
    /// Returns the next chunk, or `None` after the end of the answer.
    ///
    /// Waits for at most `gap` and then returns [`Cause::TimedOut`](crate::error::Cause::TimedOut).
    fn next(&mut self, gap: Duration) -> Result<Option<Chunk>, Error>;
}

/// Calls to a model engine.
pub trait Engine {
    /// Stream of the chunks of an answer.
    type Tokens: Tokens;

    /// Sends an order; no byte of it is sent later than `not_after` from now.
    fn order(
        &self,
        endpoint: &Endpoint,
        order: &order::Order,
        not_after: Duration,
    ) -> Result<order::Reply, Error>;

    /// Starts generation; waits for at most `bound` for the answer to begin.
    fn generate(
        &self,
        endpoint: &Endpoint,
        work: &Work,
        bound: Duration,
    ) -> Result<Self::Tokens, Error>;

    /// Cancels the work of an attempt; a failure is ignored, since the target also detects the closed
    /// connection.
    fn cancel(&self, endpoint: &Endpoint, request: id::Request, attempt: id::Attempt);
}

/// Call to forward to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path below the service, with the query.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to return.
    pub headers: Vec<(String, String)>,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Calls to a plain service.
pub trait Plain {
    /// Forwards a call and waits for the complete answer for at most `bound`.
    fn forward(&self, endpoint: &Endpoint, call: &Call, bound: Duration) -> Result<Answer, Error>;
}
