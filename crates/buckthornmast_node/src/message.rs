//! Messages between instances.
//!
//! Whoever opens a connection to an instance of the core introduces itself, and is sent everything the instance
//! knows and then what changes.

use std::time::Duration;

use buckthornmast_consensus::message::Message;
use buckthornmast_discovery::roster::{Card, Told};
use buckthornmast_fleet::{announcement::Held, registry::Update};
use buckthornmast_routes::register::{Command, Text};
use buckthornmast_supply::{
    demand::{Item, Row},
    turns::{Ask, Turn},
};
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// To an instance of the core, from whoever opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Up {
    /// Introduces an entry instance.
    Entry(id::Instance),
    /// Introduces an instance of the core.
    Core(Card),
    /// Message of the replicated log.
    Log(Box<Message<Command>>),
    /// An update about a target has arrived.
    Noted {
        /// Target.
        target: id::Target,
        /// Start that the update was about.
        born: id::Incarnation,
    },
    /// Requests since the last report.
    Demand(Vec<Row>),
    /// Asks the leader for a model or an adapter.
    Want {
        /// Number of the question.
        number: u64,
        /// What is wanted.
        item: Item,
    },
    /// Asks the leader for a turn at a target.
    Turn {
        /// Number of the question.
        number: u64,
        /// What is asked.
        ask: Ask,
    },
    /// Nothing listens at the address of a target with models.
    Down {
        /// Target.
        target: id::Target,
        /// Start.
        born: id::Incarnation,
    },
    /// Whoever asked for a turn does not wait any more.
    Leave {
        /// Number of the question.
        number: u64,
    },
}

/// Target with what requests may use on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Target.
    pub target: id::Target,
    /// Start.
    pub born: id::Incarnation,
    /// Models and adapters.
    pub held: Vec<Held>,
}

/// Sign of life of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alive {
    /// Target.
    pub target: id::Target,
    /// Start.
    pub born: id::Incarnation,
    /// How long ago it was heard of.
    pub age: Duration,
}

/// Answer to a want.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Granted {
    /// A target has it.
    Ready(id::Target),
    /// A target will have it after about this time.
    Later(Duration),
    /// There is no place for it.
    No,
}

/// From an instance of the core, to whoever opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Down {
    /// Instances of the core.
    Roster(Vec<Told>),
    /// Number of entry instances.
    Entries(u32),
    /// Routes in force.
    Routes(Text),
    /// What targets have announced.
    Targets(Vec<Update>),
    /// Targets that this instance heard of itself.
    Alive(Vec<Alive>),
    /// What requests may use, from the leader.
    Placed(Vec<Placement>),
    /// Target that the leader is about to order, for the other instances of the core.
    Ordered(id::Target),
    /// Whether this instance leads, and in which term.
    Leads(Option<id::Term>),
    /// Answers a want.
    Granted {
        /// Number of the question.
        number: u64,
        /// Answer.
        granted: Granted,
    },
    /// Answers the question for a turn; more than once if it has to wait.
    Turn {
        /// Number of the question.
        number: u64,
        /// Answer.
        turn: Turn,
    },
}
