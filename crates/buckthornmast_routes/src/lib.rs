//! Routes from hosts and paths to services.
//!
//! The operator publishes the routes as one [`document::Document`] with a version. The voters replicate its text in a
//! [`register::Register`]. Every instance that forwards requests builds a [`table::Table`] from it.

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
