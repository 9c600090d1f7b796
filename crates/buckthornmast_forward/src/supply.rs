//! Boundary to whoever decides which target holds which model.

use std::{fmt, future::Future, time::Duration};

use buckthornmast_types::id;

/// Model or adapter that no target holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Want {
    /// Service whose targets may load it.
    pub service: id::Service,
    /// Model.
    pub model: id::Model,
    /// Adapter of the model.
    pub adapter: Option<id::Adapter>,
}

impl fmt::Display for Want {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

/// Answer to a want.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// A target holds it now.
    Ready(id::Target),
    /// A target will hold it after about this time.
    Later(Duration),
    /// There is no place for it, or nobody who could decide can be reached.
    No,
}

/// Source of models and adapters.
pub trait Supply: 'static {
    /// Asks for a model or an adapter.
    fn want(&self, want: Want) -> impl Future<Output = Wanted>;
    /// Notes a request for a model or an adapter, whether or not it can be served.
    fn note(&self, want: &Want);
    /// Notes that a request was answered, and the time that it took at its target.
    fn ended(&self, want: &Want, took: Duration);
}
