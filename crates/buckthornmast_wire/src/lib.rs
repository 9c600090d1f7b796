//! Authenticated frames between instances.
//!
//! RPC frames are JSON objects `{from, nonce, body, mac}` in which `body` is the exact text that was signed. UDP
//! datagrams are postcard followed by a MAC. Both use HMAC-SHA-256 with the cluster key and compare MACs in constant
//! time. Frames are authenticated, not encrypted.
//!
//! Freshness does not depend on wall clocks. The receiver of requests issues sessions, and each request names a session
//! and a sequence number that a [`window::Window`] accepts once. An answer repeats the nonce of its request, so an old
//! answer does not match a new request.

pub mod datagram;
pub mod key;
pub mod sealed;
pub mod window;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        datagram,
        key::Key,
        sealed::{self, Nonce, Sealed},
        window::Window,
    };
}
