//! Leader side of the lease: volatile expiry of every domain's lease.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::prelude::*;

/// Answer to a candidate that asks for the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Propose a grant to the candidate, valid only while the last token of the domain is this one.
    Propose {
        /// Token that the state machine has to find in force.
        after: Option<id::Token>,
    },
    /// Another candidate holds the lease or is about to be granted it.
    Held {
        /// Time after which asking again may help.
        wait: Duration,
    },
    /// This instance is not the leader.
    NotLeader,
}

/// Answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Renewal {
    /// The lease is renewed.
    Renewed,
    /// The lease was granted to another candidate, or is about to be.
    Refused,
    /// This instance cannot tell, because it is not the leader or its leader lease has run out.
    Unable,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lease {
    holder: id::Instance,
    token: id::Token,
    renewed: Point,
    released: bool,
}

/// Leases of all domains as the leader of the log sees them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grantor {
    duration: Duration,
    is_leader: bool,
    leases: BTreeMap<id::Domain, Lease>,
    pending: BTreeMap<id::Domain, id::Instance>,
}

impl Grantor {
    /// Returns the grantor of an instance that does not lead.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            is_leader: false,
            leases: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Begins to lead with the leases of the replicated state, all of which count as fresh.
    ///
    /// An earlier leader may have renewed any of them just now. This is called once an entry of the
    /// own term has been applied, so that no grant of an earlier term can still take effect.
    pub fn lead(
        &mut self,
        now: Point,
        leases: impl IntoIterator<Item = (id::Domain, id::Instance, id::Token)>,
    ) {
        self.is_leader = true;
        self.pending.clear();
        self.leases.clear();
        for (domain, holder, token) in leases {
            self.granted(now, domain, holder, token);
        }
    }

    /// Ends leading.
    pub fn follow(&mut self) {
        self.is_leader = false;
        self.pending.clear();
    }

    /// Decides on a candidate that asks for the lease.
    ///
    /// After [`Verdict::Propose`] nobody else is granted or renewed the lease of this domain until
    /// [`Grantor::granted`] or [`Grantor::withdrawn`] follows.
    pub fn ask(&mut self, now: Point, domain: &id::Domain, candidate: &id::Instance) -> Verdict {
        if !self.is_leader {
            return Verdict::NotLeader;
        }
        if self.pending.contains_key(domain) {
            let wait = self.duration;
            return Verdict::Held { wait };
        }
        let lease = self.leases.get(domain);
        if let Some(lease) = lease
            && lease.holder != *candidate
            && !lease.released
        {
            let age = now.since(lease.renewed);
            if age < self.duration {
                let wait = self.duration - age;
                return Verdict::Held { wait };
            }
        }
        let after = lease.map(|lease| lease.token);
        self.pending.insert(domain.clone(), candidate.clone());
        Verdict::Propose { after }
    }

    /// Notes a grant that the replicated state applied.
    pub fn granted(
        &mut self,
        now: Point,
        domain: id::Domain,
        holder: id::Instance,
        token: id::Token,
    ) {
        self.pending.remove(&domain);
        let lease = Lease {
            holder,
            token,
            renewed: now,
            released: false,
        };
        self.leases.insert(domain, lease);
    }

    /// Returns the newest token of a domain.
    pub fn token(&self, domain: &id::Domain) -> Option<id::Token> {
        self.leases.get(domain).map(|lease| lease.token)
    }

    /// Notes that a proposed grant was not appended or was refused by the state machine.
    ///
    /// A proposal whose fate is unknown stays pending, because it may still take effect.
    pub fn withdrawn(&mut self, domain: &id::Domain) {
        self.pending.remove(domain);
    }

    /// Notes a handover that the replicated state applied; the next candidate is granted at once.
    pub fn released(&mut self, domain: &id::Domain, token: id::Token) {
        if let Some(lease) = self.leases.get_mut(domain)
            && lease.token == token
        {
            lease.released = true;
        }
    }

    /// Answers a renewal.
    ///
    /// `leader_lease` is the time until which this instance is known to be the only leader.
    pub fn renew(
        &mut self,
        now: Point,
        leader_lease: Option<Point>,
        domain: &id::Domain,
        holder: &id::Instance,
        token: id::Token,
    ) -> Renewal {
        if !self.is_leader || leader_lease.is_none_or(|until| now >= until) {
            return Renewal::Unable;
        }
        let pending = self.pending.get(domain);
        if pending == Some(holder) {
            return Renewal::Unable;
        }
        let is_pending = pending.is_some();
        match self.leases.get_mut(domain) {
            Some(lease)
                if lease.holder == *holder
                    && lease.token == token
                    && !lease.released
                    && !is_pending =>
            {
                lease.renewed = now;
                Renewal::Renewed
            }
            _ => Renewal::Refused,
        }
    }
}
