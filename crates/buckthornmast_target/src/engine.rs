//! Traits that stand between the rest of the system and a target.

use std::{net::SocketAddr, time::Duration};

use buckthornmast_types::{id, order};

use crate::{
    error::Error,
    work::{Chunk, Work},
};

/// Where a target is reached and how it is spoken to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Target.
    pub target: id::Target,
    /// Address.
    pub address: SocketAddr,
    /// Token to show, if the target checks who gives it an order.
    pub token: Option<String>,
}

/// Chunks of an answer in the order of their arrival.
pub trait Tokens {
    /// Returns the next chunk, or `None` after the proper end of the answer.
    ///
    /// Waits for `gap` at the most and then returns [`Cause::Silent`](crate::error::Cause::Silent).
    fn next(&mut self, gap: Duration) -> Result<Option<Chunk>, Error>;
}

/// Model engine.
pub trait Engine {
    /// Stream of an answer.
    type Tokens: Tokens;

    /// Gives an order; no byte of it leaves after `not_after` from now.
    fn order(
        &self,
        at: &Endpoint,
        order: &order::Order,
        not_after: Duration,
    ) -> Result<order::Reply, Error>;

    /// Starts to generate; waits for the first byte of the answer within `bound`.
    fn generate(&self, at: &Endpoint, work: &Work, bound: Duration) -> Result<Self::Tokens, Error>;

    /// Ends the work of an attempt; a failure is ignored, since the target notices the closed
    /// connection as well.
    fn cancel(&self, at: &Endpoint, request: id::Request, attempt: id::Attempt);
}

/// Call to forward to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path below the service, with the query.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers to return.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Plain service.
pub trait Plain {
    /// Forwards a call and waits for the whole answer within `bound`.
    fn forward(&self, at: &Endpoint, call: &Call, bound: Duration) -> Result<Answer, Error>;
}
