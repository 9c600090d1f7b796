//! Which instances are named to an entry instance as its ways.
//!
//! Designed for hundreds of entry instances, whose whole list would be too large to send to each of them whenever one
//! starts. Each gets a few ways of its own failure domain, where bytes are cheap, and a few of other domains, since all
//! instances of a domain may be cut off together. The choice is a rendezvous hash: it spreads the load of a cut over
//! all instances, and all instances of the core make the same choice without communicating.

use buckthornmast_types::id;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::way::Way;

/// Number of ways of the same failure domain.
pub const NEAR_WAYS: usize = 3;

/// Number of ways of other failure domains. With half of all instances cut off, one in 2^9 instances has no way.
pub const FAR_WAYS: usize = 6;

/// Ways of one instance, the nearer ones first.
pub type Chosen<'a> = SmallVec<[&'a Way; NEAR_WAYS + FAR_WAYS]>;

fn weight(way: &Way, receiver: &id::Instance) -> u64 {
    let seed = xxh3_64_with_seed(receiver.as_str().as_bytes(), 0);
    xxh3_64_with_seed(way.instance.as_str().as_bytes(), seed)
}

/// Returns the ways that are named to an instance of a failure domain.
pub fn ways_of<'a>(
    receiver: &id::Instance,
    domain: &id::Domain,
    all: impl IntoIterator<Item = &'a Way>,
) -> Chosen<'a> {
    let mut near: Vec<(u64, &Way)> = Vec::new();
    let mut far: Vec<(u64, &Way)> = Vec::new();
    for way in all.into_iter().filter(|way| way.instance != *receiver) {
        let side = if way.domain == *domain {
            &mut near
        } else {
            &mut far
        };
        side.push((weight(way, receiver), way));
    }
    for side in [&mut near, &mut far] {
        side.sort_by_key(|(weight, way)| (std::cmp::Reverse(*weight), way.instance.clone()));
    }
    let near = near.into_iter().take(NEAR_WAYS);
    let far = far.into_iter().take(FAR_WAYS);
    near.chain(far).map(|(_, way)| way).collect()
}
