//! Parts of prompts that several requests share.

use serde::{Deserialize, Serialize};

/// Beginning of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of the model, the adapter and all parts of the prompt up to this one, the same on every instance.
    pub hash: u64,
    /// Length of the last of these parts in tokens.
    pub tokens: u32,
}
