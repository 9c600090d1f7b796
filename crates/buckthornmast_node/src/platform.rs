//! Interface to the calls of a platform.

use buckthornmast_fleet::announcement::Announcement;
use buckthornmast_forward::mapping::Mapping;
use buckthornmast_routes::document::Document;
use buckthornmast_supply::order::{Order, Outcome, Report};
use buckthornmast_types::id;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};

/// Decoded call of a target or an operator.
#[derive(Debug, Clone)]
pub enum Call {
    /// A target announces itself.
    Announce(Box<Announcement>),
    /// A target withdraws its announcement.
    Withdraw(id::Target),
    /// An operator publishes routes. The body of the call is stored unchanged.
    Publish(Box<Document>),
    /// An operator reads the routes in force.
    Read,
    /// The call can't be decoded or breaks a rule.
    Malformed(String),
    /// The platform has no such call.
    Unknown,
}

/// Fencing of orders: the identity under which they are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// Instance that sends the order.
    pub holder: id::Instance,
    /// Term in which it leads. It is the fencing token of its orders: targets refuse those of older terms.
    pub term: id::Term,
}

/// Translation of one platform's calls. An implementation only encodes and decodes; it makes no decisions.
pub trait Platform: Clone + 'static {
    /// Translation of headers.
    type Headers: Mapping;

    /// Returns the translation of headers.
    fn headers(&self) -> Self::Headers;
    /// Decodes a call.
    fn decode_call(&self, method: &Method, path: &str, body: &[u8]) -> Call;
    /// Decodes routes that have already been accepted.
    fn decode_document(&self, body: &[u8]) -> Result<Document, String>;
    /// Encodes an order.
    fn encode_order(&self, order: &Order, fence: &Fence) -> Request<Bytes>;
    /// Decodes the response to an order.
    fn decode_outcome(&self, answer: &Response<Bytes>) -> Outcome;
    /// Encodes a query for a target's state.
    fn encode_query(&self, target: &id::Target) -> Request<Bytes>;
    /// Adds the name of a call to its headers. The headers of the answer name it as the request that is answered.
    fn name_call(&self, headers: &mut HeaderMap, name: &str);
    /// Decodes the response to a query for a target's state.
    fn decode_report(&self, answer: &Response<Bytes>) -> Result<Report, String>;
}
