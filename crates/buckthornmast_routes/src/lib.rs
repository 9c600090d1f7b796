//! Routes from hosts and paths to services.
//!
//! Whoever owns the routes writes them as one [`document::Document`] with a version. The voters replicate
//! the text in a [`register::Register`]; every instance that forwards requests builds a [`table::Table`] of it.

pub mod document;
pub mod register;
pub mod table;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        document::{Document, Fault, Kind, Route, Service},
        register::{Answer, Command, Register, Revision},
        table::Table,
    };
}
