//! Leader side of the lease: volatile expiry of every domain's lease.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::prelude::*;

/// Answer to a candidate that requests the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Propose a grant to the candidate, valid only while the last token of the domain is this one.
    Propose {
        /// Token that must be the newest one of the domain in the state machine.
        previous: Option<id::Token>,
    },
    /// Another candidate holds the lease or is about to be granted it.
    Held {
        /// Time after which another request may succeed.
        retry_after: Duration,
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
    /// This instance can't decide, because it isn't the leader, its leader lease has expired, or a grant to
    /// this holder is pending.
    Unable,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lease {
    holder: id::Instance,
    token: id::Token,
    renewed_at: Point,
    is_released: bool,
}

/// Leases of all domains at the leader of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grantor {
    duration: Duration,
    is_leader: bool,
    leases: BTreeMap<id::Domain, Lease>,
    /// Candidates whose grant is proposed, but neither applied nor withdrawn yet.
    pending: BTreeMap<id::Domain, id::Instance>,
}

impl Grantor {
    /// Returns the grantor of an instance that is not the leader.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            is_leader: false,
            leases: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Starts to lead with the leases of the replicated state, all of which count as just renewed.
    ///
    /// An earlier leader may have renewed any of them just now. The caller waits until an entry of its
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

    /// Stops leading.
    pub fn follow(&mut self) {
        self.is_leader = false;
        self.pending.clear();
    }

    /// Decides on a candidate's request for the lease.
    ///
    /// After [`Verdict::Propose`] no other candidate is granted or renewed the lease of this domain until
    /// [`Grantor::granted`] or [`Grantor::withdrawn`] follows.
    pub fn request(
        &mut self,
        now: Point,
        domain: &id::Domain,
        candidate: &id::Instance,
    ) -> Verdict {
        if !self.is_leader {
            return Verdict::NotLeader;
        }
        if self.pending.contains_key(domain) {
            let retry_after = self.duration;
            return Verdict::Held { retry_after };
        }
        let lease = self.leases.get(domain);
        if let Some(lease) = lease
            && lease.holder != *candidate
            && !lease.is_released
        {
            let age = now.since(lease.renewed_at);
            if age < self.duration {
                let retry_after = self.duration - age;
                return Verdict::Held { retry_after };
            }
        }
        let previous = lease.map(|lease| lease.token);
        self.pending.insert(domain.clone(), candidate.clone());
        Verdict::Propose { previous }
    }

    /// Processes a grant that the replicated state machine has applied.
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
            renewed_at: now,
            is_released: false,
        };
        self.leases.insert(domain, lease);
    }

    /// Returns the newest token of a domain.
    pub fn token(&self, domain: &id::Domain) -> Option<id::Token> {
        self.leases.get(domain).map(|lease| lease.token)
    }

    /// Discards a proposed grant that was not appended or that the state machine refused.
    ///
    /// A proposal whose outcome is unknown stays pending, because it may still take effect.
    pub fn withdrawn(&mut self, domain: &id::Domain) {
        self.pending.remove(domain);
    }

    /// Processes a handover that the replicated state machine has applied. The next request is granted at once.
    pub fn released(&mut self, domain: &id::Domain, token: id::Token) {
        if let Some(lease) = self.leases.get_mut(domain)
            && lease.token == token
        {
            lease.is_released = true;
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
                    && !lease.is_released
                    && !is_pending =>
            {
                lease.renewed_at = now;
                Renewal::Renewed
            }
            _ => Renewal::Refused,
        }
    }
}
