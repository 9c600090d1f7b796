//! Entry instances as ways.

use std::{fmt, net::SocketAddr};

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Secret that permits the use of a way. Each start of an instance has a new one, which only the core and the instances that
/// it names the way to are told.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key(pub [u64; 2]);

impl Key {
    /// Returns whether a key is the same, in a time that doesn't depend on the difference.
    pub fn is_same(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        pairs
            .map(|(own, other)| own.ct_eq(other))
            .fold(1, |all, same| all & same.unwrap_u8())
            == 1
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Entry instance that passes on connections to targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Way {
    /// Instance.
    pub instance: id::Instance,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Address on which it accepts tunnels.
    pub address: SocketAddr,
    /// Key that it demands.
    pub key: Key,
}
