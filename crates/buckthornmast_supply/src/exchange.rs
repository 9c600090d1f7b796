//! Which answers count as answers to an order.
//!
//! A target may write an answer twice, and the second copy arrives where the answer to the next call on that connection
//! is expected. Its status then says nothing about that call. An answer that names the call shows what it belongs to. One
//! that names nothing does so only on a connection that has carried no call before.

/// What an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    /// The call.
    Call,
    /// Another call.
    Other,
    /// Nothing.
    Nothing,
}

/// Returns whether an answer is shown to be the answer to the call.
pub fn is_answer(named: Named, is_kept: bool) -> bool {
    match named {
        Named::Call => true,
        Named::Other => false,
        Named::Nothing => !is_kept,
    }
}

/// Returns whether a target that named this in its last answer needs a new connection for an order.
pub fn needs_new_connection(named: Named) -> bool {
    named != Named::Call
}
