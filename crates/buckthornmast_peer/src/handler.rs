//! Messages and the code that answers them.

use serde::{Serialize, de::DeserializeOwned};

use buckthornmast_types::id;

/// Receiver of calls and notices.
pub trait Handler: Send + Sync + 'static {
    /// Question of a call.
    type Request: Serialize + DeserializeOwned + Send + 'static;
    /// Answer of a call.
    type Response: Serialize + DeserializeOwned + Send + 'static;
    /// Message without an answer.
    type Notice: Serialize + DeserializeOwned + Send + 'static;

    /// Answers a call; may block, as it runs off the runtime's core threads.
    fn call(&self, from: &id::Instance, request: Self::Request) -> Self::Response;

    /// Takes a notice; must not block.
    fn notify(&self, from: &id::Instance, notice: Self::Notice);
}
