//! Controller leases of the failure domains and the open intents of their controllers.
//!
//! Expiry is not decided here: the leader of the log grants only leases that have expired on its own clock. The
//! state machine ensures that each grant replaces the one before it and that tokens only increase.

use std::collections::BTreeMap;

use buckthornmast_types::{id, order::Order, report::Position};
use serde::{Deserialize, Serialize};

/// Maximum number of failure domains with a lease; further ones get none.
pub const MAX_DOMAINS: usize = 256;
/// Maximum number of open intents of all failure domains; a command that would exceed it is refused.
pub const MAX_INTENTS: usize = 8192;
/// Maximum number of targets of a failure domain whose newest report position is stored; a command that would exceed it
/// is refused.
pub const MAX_POSITIONS: usize = 4096;
/// Maximum number of orders in one command; a command with more is refused.
pub const MAX_ORDERS: usize = 256;

/// Grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Failure domain.
    pub domain: id::Domain,
    /// New holder.
    pub holder: id::Instance,
    /// Token that the grant replaces; `None` for the first grant of the domain.
    pub previous: Option<id::Token>,
}

/// Releases a lease, or hands it over to another candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// Failure domain.
    pub domain: id::Domain,
    /// Token of the lease that is released.
    pub token: id::Token,
    /// New holder, if the current one names one.
    pub to: Option<id::Instance>,
}

/// Records orders before they are sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intend {
    /// Failure domain.
    pub domain: id::Domain,
    /// Token of the controller.
    pub token: id::Token,
    /// Orders; at most [`MAX_ORDERS`].
    pub orders: Vec<Order>,
}

/// Closes intents whose orders are confirmed or can no longer be executed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resolve {
    /// Failure domain.
    pub domain: id::Domain,
    /// Token of the controller.
    pub token: id::Token,
    /// Orders whose intents are closed; at most [`MAX_ORDERS`].
    pub orders: Vec<id::Order>,
    /// Position of the newest report of each target that the controller has acted on.
    #[serde(rename = "marks")]
    pub positions: Vec<(id::Target, Position)>,
}

/// Answer to a grant or a handover.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// The lease was granted, or released if there is no new holder.
    Granted {
        /// New token.
        token: id::Token,
        /// Whether the domain never had a lease before.
        is_first: bool,
        /// Open intents of the domain.
        intents: Vec<Order>,
        /// Position of the newest report of each target that earlier holders have acted on.
        #[serde(rename = "marks")]
        positions: Vec<(id::Target, Position)>,
    },
    /// Another grant came first.
    Conflict {
        /// Current lease.
        lease: Option<Lease>,
    },
    /// The limit on domains is reached.
    Full,
}

/// Answer to an intent or its resolution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordAnswer {
    /// The command is recorded.
    Recorded,
    /// The token is not the domain's current one.
    Fenced {
        /// Current token, if the domain has one.
        token: Option<id::Token>,
    },
    /// An order carries another token than the command.
    Mismatch,
    /// The command has too many orders, or would exceed a limit on intents or positions.
    Full,
}

/// Lease of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Holder; `None` if the lease was released.
    pub holder: Option<id::Instance>,
    /// Token: index of the log entry that granted the lease.
    pub token: id::Token,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DomainState {
    lease: Lease,
    intents: BTreeMap<id::Order, Order>,
    #[serde(rename = "marks")]
    positions: BTreeMap<id::Target, Position>,
}

/// Leases and intents of all failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    domains: BTreeMap<id::Domain, DomainState>,
    // Number of open intents of all domains.
    intents: usize,
}

impl Leases {
    /// Returns the lease of a domain.
    pub fn lease(&self, domain: &id::Domain) -> Option<&Lease> {
        self.domains.get(domain).map(|state| &state.lease)
    }

    /// Returns the leases of all domains.
    pub fn leases(&self) -> impl Iterator<Item = (&id::Domain, &Lease)> {
        self.domains
            .iter()
            .map(|(domain, state)| (domain, &state.lease))
    }

    /// Returns the open intents of a domain.
    pub fn intents(&self, domain: &id::Domain) -> impl Iterator<Item = &Order> {
        let state = self.domains.get(domain);
        state.into_iter().flat_map(|state| state.intents.values())
    }

    pub(crate) fn grant(&mut self, index: id::Index, grant: &Grant) -> GrantAnswer {
        let holder = Some(grant.holder.clone());
        self.replace(index, &grant.domain, grant.previous, holder)
    }

    pub(crate) fn handover(&mut self, index: id::Index, handover: &Handover) -> GrantAnswer {
        let previous = Some(handover.token);
        self.replace(index, &handover.domain, previous, handover.to.clone())
    }

    fn replace(
        &mut self,
        index: id::Index,
        domain: &id::Domain,
        previous: Option<id::Token>,
        holder: Option<id::Instance>,
    ) -> GrantAnswer {
        let current = self.lease(domain).cloned();
        if current.as_ref().map(|lease| lease.token) != previous {
            return GrantAnswer::Conflict { lease: current };
        }
        if current.is_none() && self.domains.len() >= MAX_DOMAINS {
            return GrantAnswer::Full;
        }
        let token = id::Token(index.0);
        let lease = Lease { holder, token };
        let state = self
            .domains
            .entry(domain.clone())
            .or_insert_with(|| DomainState {
                lease: lease.clone(),
                intents: BTreeMap::new(),
                positions: BTreeMap::new(),
            });
        state.lease = lease;
        GrantAnswer::Granted {
            token,
            is_first: current.is_none(),
            intents: state.intents.values().cloned().collect(),
            positions: state
                .positions
                .iter()
                .map(|(target, position)| (target.clone(), *position))
                .collect(),
        }
    }

    // A command of a controller that was replaced must change nothing, since its successor has already read the
    // intents.
    fn check_token(
        &mut self,
        domain: &id::Domain,
        token: id::Token,
    ) -> Result<&mut DomainState, RecordAnswer> {
        match self.domains.get_mut(domain) {
            Some(state) if state.lease.token == token && state.lease.holder.is_some() => Ok(state),
            Some(state) => Err(RecordAnswer::Fenced {
                token: Some(state.lease.token),
            }),
            None => Err(RecordAnswer::Fenced { token: None }),
        }
    }

    pub(crate) fn intend(&mut self, intend: &Intend) -> RecordAnswer {
        let free_intents = MAX_INTENTS.saturating_sub(self.intents);
        let state = match self.check_token(&intend.domain, intend.token) {
            Ok(state) => state,
            Err(refusal) => return refusal,
        };
        if intend.orders.len() > MAX_ORDERS || intend.orders.len() > free_intents {
            return RecordAnswer::Full;
        }
        if intend
            .orders
            .iter()
            .any(|order| order.token != intend.token)
        {
            return RecordAnswer::Mismatch;
        }
        let before = state.intents.len();
        for order in &intend.orders {
            state.intents.insert(order.id, order.clone());
        }
        let added = state.intents.len() - before;
        self.intents += added;
        RecordAnswer::Recorded
    }

    pub(crate) fn resolve(&mut self, resolve: &Resolve) -> RecordAnswer {
        let state = match self.check_token(&resolve.domain, resolve.token) {
            Ok(state) => state,
            Err(refusal) => return refusal,
        };
        let is_known = |(target, _): &(id::Target, Position)| state.positions.contains_key(target);
        let added = resolve
            .positions
            .iter()
            .filter(|position| !is_known(position))
            .count();
        if resolve.orders.len() > MAX_ORDERS || state.positions.len() + added > MAX_POSITIONS {
            return RecordAnswer::Full;
        }
        for (target, position) in &resolve.positions {
            let newest = state.positions.entry(target.clone()).or_default();
            *newest = (*newest).max(*position);
        }
        let before = state.intents.len();
        for order in &resolve.orders {
            state.intents.remove(order);
        }
        let removed = before - state.intents.len();
        self.intents = self.intents.saturating_sub(removed);
        RecordAnswer::Recorded
    }
}
