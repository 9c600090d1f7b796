//! Handler of calls and notices.

use serde::{Serialize, de::DeserializeOwned};

use buckthornmast_types::id;

/// Receiver of calls and notices.
pub trait Handler: Send + Sync + 'static {
    /// Request of a call.
    type Request: Serialize + DeserializeOwned + Send + 'static;
    /// Response to a call.
    type Response: Serialize + DeserializeOwned + Send + 'static;
    /// One-way message.
    type Notice: Serialize + DeserializeOwned + Send + 'static;

    /// Handles a call; may block, as it does not run on the runtime's worker threads.
    fn call(&self, from: &id::Instance, request: Self::Request) -> Self::Response;

    /// Handles a notice; must not block.
    fn notify(&self, from: &id::Instance, notice: Self::Notice);
}
