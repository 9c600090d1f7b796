//! Controller leases of the failure domains and the open intents of their controllers.
//!
//! Expiry is not decided here: the leader of the log grants only what has run out on its own clock. The
//! machine makes sure that one grant follows on another and that tokens only grow.

use std::collections::BTreeMap;

use buckthornmast_types::{id, order::Order, report::Mark};
use serde::{Deserialize, Serialize};

/// Failure domains.
pub const MAX_DOMAINS: usize = 256;
/// Open intents of all failure domains.
pub const MAX_INTENTS: usize = 8192;
/// Targets of a failure domain whose newest report is remembered.
pub const MAX_MARKS: usize = 4096;
/// Orders of one command.
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

/// Gives a lease up, or on to another candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// Failure domain.
    pub domain: id::Domain,
    /// Token of the lease that is given up.
    pub token: id::Token,
    /// New holder, if the holder names one.
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

/// Closes intents whose orders are confirmed or can't be executed any more.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resolve {
    /// Failure domain.
    pub domain: id::Domain,
    /// Token of the controller.
    pub token: id::Token,
    /// Orders; at most [`MAX_ORDERS`].
    pub orders: Vec<id::Order>,
    /// Newest report of each target that the controller has acted on.
    pub marks: Vec<(id::Target, Mark)>,
}

/// Answer to a grant or a handover.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Granted {
    /// Granted, or given up if there is no holder.
    Granted {
        /// New token.
        token: id::Token,
        /// Whether the domain never had a lease before.
        is_first: bool,
        /// Open intents of the domain.
        intents: Vec<Order>,
        /// Newest report of each target that earlier controllers have acted on.
        marks: Vec<(id::Target, Mark)>,
    },
    /// Another grant came first.
    Conflict {
        /// Current lease.
        lease: Option<Lease>,
    },
    /// No room for another domain.
    Full,
}

/// Answer to an intent or its resolution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Recorded {
    /// Recorded.
    Recorded,
    /// The token is not the domain's current one.
    Fenced {
        /// Current token, if the domain has one.
        token: Option<id::Token>,
    },
    /// An order carries another token than the command.
    Mismatch,
    /// Too many orders, or no room.
    Full,
}

/// Lease of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Holder; `None` if it was given up.
    pub holder: Option<id::Instance>,
    /// Token: index of the granting entry.
    pub token: id::Token,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    lease: Lease,
    intents: BTreeMap<id::Order, Order>,
    marks: BTreeMap<id::Target, Mark>,
}

/// Leases and intents of all failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    domains: BTreeMap<id::Domain, Held>,
    intents: usize,
}

impl Leases {
    /// Returns the lease of a domain.
    pub fn lease(&self, domain: &id::Domain) -> Option<&Lease> {
        self.domains.get(domain).map(|held| &held.lease)
    }

    /// Returns the leases of all domains.
    pub fn leases(&self) -> impl Iterator<Item = (&id::Domain, &Lease)> {
        self.domains
            .iter()
            .map(|(domain, held)| (domain, &held.lease))
    }

    /// Returns the open intents of a domain.
    pub fn intents(&self, domain: &id::Domain) -> impl Iterator<Item = &Order> {
        let held = self.domains.get(domain);
        held.into_iter().flat_map(|held| held.intents.values())
    }

    pub(crate) fn grant(&mut self, index: id::Index, grant: &Grant) -> Granted {
        let holder = Some(grant.holder.clone());
        self.replace(index, &grant.domain, grant.previous, holder)
    }

    pub(crate) fn handover(&mut self, index: id::Index, handover: &Handover) -> Granted {
        let previous = Some(handover.token);
        self.replace(index, &handover.domain, previous, handover.to.clone())
    }

    fn replace(
        &mut self,
        index: id::Index,
        domain: &id::Domain,
        previous: Option<id::Token>,
        holder: Option<id::Instance>,
    ) -> Granted {
        let current = self.lease(domain).cloned();
        if current.as_ref().map(|lease| lease.token) != previous {
            return Granted::Conflict { lease: current };
        }
        if current.is_none() && self.domains.len() >= MAX_DOMAINS {
            return Granted::Full;
        }
        let token = id::Token(index.0);
        let lease = Lease { holder, token };
        let held = self.domains.entry(domain.clone()).or_insert_with(|| Held {
            lease: lease.clone(),
            intents: BTreeMap::new(),
            marks: BTreeMap::new(),
        });
        held.lease = lease;
        Granted::Granted {
            token,
            is_first: current.is_none(),
            intents: held.intents.values().cloned().collect(),
            marks: held
                .marks
                .iter()
                .map(|(target, mark)| (target.clone(), *mark))
                .collect(),
        }
    }

    // A command of a controller that was replaced must change nothing: its successor has already read the
    // intents.
    fn current(&mut self, domain: &id::Domain, token: id::Token) -> Result<&mut Held, Recorded> {
        match self.domains.get_mut(domain) {
            Some(held) if held.lease.token == token && held.lease.holder.is_some() => Ok(held),
            Some(held) => Err(Recorded::Fenced {
                token: Some(held.lease.token),
            }),
            None => Err(Recorded::Fenced { token: None }),
        }
    }

    pub(crate) fn intend(&mut self, intend: &Intend) -> Recorded {
        let room = MAX_INTENTS.saturating_sub(self.intents);
        let held = match self.current(&intend.domain, intend.token) {
            Ok(held) => held,
            Err(refusal) => return refusal,
        };
        if intend.orders.len() > MAX_ORDERS || intend.orders.len() > room {
            return Recorded::Full;
        }
        if intend
            .orders
            .iter()
            .any(|order| order.token != intend.token)
        {
            return Recorded::Mismatch;
        }
        let before = held.intents.len();
        for order in &intend.orders {
            held.intents.insert(order.id, order.clone());
        }
        let added = held.intents.len() - before;
        self.intents += added;
        Recorded::Recorded
    }

    pub(crate) fn resolve(&mut self, resolve: &Resolve) -> Recorded {
        let held = match self.current(&resolve.domain, resolve.token) {
            Ok(held) => held,
            Err(refusal) => return refusal,
        };
        let is_known = |(target, _): &(id::Target, Mark)| held.marks.contains_key(target);
        let added = resolve.marks.iter().filter(|mark| !is_known(mark)).count();
        if resolve.orders.len() > MAX_ORDERS || held.marks.len() + added > MAX_MARKS {
            return Recorded::Full;
        }
        for (target, mark) in &resolve.marks {
            let newest = held.marks.entry(target.clone()).or_default();
            *newest = (*newest).max(*mark);
        }
        let before = held.intents.len();
        for order in &resolve.orders {
            held.intents.remove(order);
        }
        let removed = before - held.intents.len();
        self.intents = self.intents.saturating_sub(removed);
        Recorded::Recorded
    }
}
