//! Counters, labelled with the kind of the peer and of the message.

use metrics::counter;

/// Counts a message of `bytes` of signed JSON.
pub(crate) fn count_message(
    direction: &'static str,
    peer: &'static str,
    message: &'static str,
    bytes: usize,
) {
    counter!("buckthornmast_peer_messages_total", "direction" => direction, "peer" => peer, "message" => message)
        .increment(1);
    counter!("buckthornmast_peer_bytes_total", "direction" => direction, "peer" => peer, "message" => message)
        .increment(bytes as u64);
}

/// Counts bytes on the sockets of the server, including the overhead of HTTP and JSON-RPC.
pub(crate) fn count_socket(direction: &'static str, bytes: usize) {
    counter!("buckthornmast_peer_socket_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}

/// Adds events to a counter, whose name ends in `_total`.
pub(crate) fn count(name: &'static str, peer: &'static str, events: u64) {
    counter!(name, "peer" => peer).increment(events);
}
