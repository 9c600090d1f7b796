//! Which instance of the core passes on what it learned from another one.
//!
//! Designed for hundreds of entry instances and thousands of targets. An instance of the core sends what a target tells it
//! to all others itself. If each receiver passed it on to everyone again, each entry instance would get every update as
//! many times as the core has instances. So each instance has one relay, which all instances of the core agree on without
//! communicating, and gets an update twice: from the instance that the target told, and from its relay. A connection that
//! is opened again brings the full state, so a relay only has to bridge connections that are about to break.
//!
//! Updates about targets that leave are not relayed but passed on by everyone, since they must arrive even if the instance
//! that was told is lost.

use buckthornmast_types::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(member: &id::Instance, receiver: &id::Instance) -> u64 {
    let seed = xxh3_64_with_seed(receiver.as_str().as_bytes(), 0);
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}

/// Returns whether an instance of the core is the relay of a receiver, among the known instances of the core. A receiver is
/// not its own relay.
pub fn is_relay<'a>(
    own: &id::Instance,
    members: impl IntoIterator<Item = &'a id::Instance>,
    receiver: &id::Instance,
) -> bool {
    let own_weight = (weight(own, receiver), own);
    own != receiver
        && members
            .into_iter()
            .filter(|member| *member != receiver)
            .all(|member| (weight(member, receiver), member) <= own_weight)
}
