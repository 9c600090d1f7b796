//! Command line of the stand-in.

#![allow(
    missing_docs,
    reason = "the macro adds items of its own, and each flag is described in place"
)]

use std::{net::SocketAddr, time::Duration};

use buckthornmast_types::{
    id::{Domain, Kind, Service, Target},
    size::Bytes,
};
use humantime::Duration as Span;

xflags::xflags! {
    /// Stand-in model engine or plain service.
    cmd standin {
        /// Name of the target.
        required --name target: Target
        /// Failure domain.
        required --domain domain: Domain
        /// Kind as the platform's settings declare it.
        required --kind kind: Kind
        /// Service that the target belongs to.
        required --service service: Service
        /// Address to listen on; port 0 takes a free one.
        required --listen address: SocketAddr
        /// Instance to report to; may be given several times, the first two that answer get reports.
        repeated --report-to address: SocketAddr
        /// Runs a plain service instead of a model engine.
        optional --plain
        /// Time that a call of the plain service takes; 5ms by default.
        optional --call-time span: Span
        /// Accelerator memory for artifacts; 80GiB by default.
        optional --memory size: Bytes
        /// Number of accelerators; 1 by default.
        optional --accelerators count: u32
        /// Concurrent requests in a full batch; 32 by default.
        optional --slots count: u32
        /// Gap between two tokens in an empty batch; 20ms by default.
        optional --token-gap span: Span
        /// Time to process one message of a prompt that is not cached; 20ms by default.
        optional --prompt-time span: Span
        /// Memory of the prefix cache; 4GiB by default.
        optional --cache-memory size: Bytes
        /// Size of the KV cache of one message; 64MiB by default.
        optional --message-memory size: Bytes
        /// Time from a change of the prefix cache until its event is published.
        optional --cache-event-delay span: Span
        /// Share of cache events that are lost, from 0 to 1; at 1 none is published.
        optional --lose-cache-events share: f64
        /// Bytes that the weight store delivers per second; 20GiB by default.
        optional --load-rate size: Bytes
        /// Carries out orders with old fencing tokens.
        optional --ignore-fencing
        /// Bearer token that orders and work must carry; not checked by default.
        optional --access-token token: String
        /// Share of orders that are lost, from 0 to 1; their connections are closed without an answer.
        optional --lose-orders share: f64
        /// Delay of each order before it is carried out; the answer comes first.
        optional --delay-orders span: Span
        /// Age of the load in the reports.
        optional --load-lag span: Span
        /// Seed of the losses; 1 by default.
        optional --seed seed: u64
    }
}

/// Returns the duration of a flag, or the default if the flag is not set.
pub fn duration_or(flag: Option<Span>, default: Duration) -> Duration {
    flag.map_or(default, Into::into)
}
