//! Boundary to a platform's calls.

use buckthornmast_fleet::announcement::Announcement;
use buckthornmast_forward::mapping::Mapping;
use buckthornmast_routes::document::Document;
use buckthornmast_supply::order::{Order, Outcome, Report};
use buckthornmast_types::id;
use bytes::Bytes;
use http::{Method, Request, Response};

/// Call of a target or an operator, decoded.
#[derive(Debug, Clone)]
pub enum Call {
    /// A target announces itself.
    Announce(Box<Announcement>),
    /// A target withdraws.
    Withdraw(id::Target),
    /// An operator publishes routes. The body is kept as it is.
    Publish(Box<Document>),
    /// An operator reads the routes in force.
    Read,
    /// The call can't be decoded or breaks a rule.
    Malformed(String),
    /// There is no such call.
    Unknown,
}

/// Fencing of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// Instance that gives the order.
    pub holder: id::Instance,
    /// Term in which it leads; targets refuse orders of older terms.
    pub term: id::Term,
}

/// Translation of one platform's calls. It decides nothing.
pub trait Platform: Clone + 'static {
    /// Translation of headers.
    type Headers: Mapping;

    /// Returns the translation of headers.
    fn headers(&self) -> Self::Headers;
    /// Decodes a call.
    fn call(&self, method: &Method, path: &str, body: &[u8]) -> Call;
    /// Decodes routes that were accepted before.
    fn document(&self, body: &[u8]) -> Result<Document, String>;
    /// Encodes an order.
    fn order(&self, order: &Order, fence: &Fence) -> Request<Bytes>;
    /// Decodes the answer to an order.
    fn outcome(&self, answer: &Response<Bytes>) -> Outcome;
    /// Encodes the question for a target's state.
    fn ask(&self, target: &id::Target) -> Request<Bytes>;
    /// Decodes a target's state.
    fn report(&self, answer: &Response<Bytes>) -> Result<Report, String>;
}
