//! Placement of models, adapters and versions on targets.
//!
//! A controller builds a [`view::View`], lets the policy of each team decide on it
//! ([`named::TeamPolicy::decide`]), passes the proposed moves of all teams to [`arbiter::arbitrate`] and turns
//! the granted moves into orders. Everything here is a pure function of the view and of the state that
//! each policy keeps between decisions.
//!
//! Controllers of several failure domains coordinate without messages: each plans on the view of all
//! domains, and sends orders only for moves to the targets that it controls
//! ([`view::Target::is_controlled`]).

pub mod arbiter;
pub mod declared;
pub mod draft;
pub mod greedy;
pub mod mandatory;
pub mod marginal;
pub mod named;
pub mod plan;
pub mod policy;
pub mod view;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        arbiter::arbitrate,
        named::NamedPolicy,
        plan::{Action, Move, Moves, Reason},
        policy::Policy,
        view::{self, View},
    };
}
