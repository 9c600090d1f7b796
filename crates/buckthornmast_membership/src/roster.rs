//! Peer list with the short ids that replace names in datagrams.

use std::collections::HashMap;

use buckthornmast_types::id;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    config::{CollisionSnafu, MAX_DOMAIN_MEMBERS, Member, MissingSnafu, SizeSnafu, StartError},
    message::ShortId,
};

/// Failure domain of the peer list.
#[derive(Debug)]
pub(crate) struct Domain {
    pub(crate) name: id::Domain,
    pub(crate) short_id: ShortId,
    /// Hash of the members' names in their order.
    pub(crate) list_hash: ShortId,
    /// Indices of the members in the peer list, ordered by name.
    pub(crate) members: Vec<usize>,
}

/// Peer list, ordered by name.
#[derive(Debug)]
pub(crate) struct Roster {
    pub(crate) members: Vec<Member>,
    pub(crate) short_ids: Vec<ShortId>,
    /// Failure domain of each member and its position there.
    pub(crate) positions: Vec<(usize, usize)>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) me: usize,
    by_short_id: HashMap<ShortId, usize>,
}

fn truncate_hash(hash: u64) -> ShortId {
    let [a, b, c, d, ..] = hash.to_le_bytes();
    [a, b, c, d]
}

fn short_id(name: &str) -> ShortId {
    truncate_hash(xxh3_64(name.as_bytes()))
}

impl Roster {
    pub(crate) fn new(me: &id::Instance, mut members: Vec<Member>) -> Result<Self, StartError> {
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        let own_index = members.iter().position(|member| member.instance == *me);
        let Some(own_index) = own_index else {
            return MissingSnafu { me: me.clone() }.fail();
        };
        let mut by_short_id = HashMap::new();
        let mut short_ids = Vec::new();
        for (index, member) in members.iter().enumerate() {
            let short_id = short_id(member.instance.as_str());
            if let Some(other) = by_short_id.insert(short_id, index) {
                let (one, other) = (&member.instance, &members[other].instance);
                return CollisionSnafu {
                    one: one.as_str(),
                    other: other.as_str(),
                }
                .fail();
            }
            short_ids.push(short_id);
        }
        let domains = domains(&members)?;
        let mut positions = vec![(0, 0); members.len()];
        for (domain, entry) in domains.iter().enumerate() {
            for (position, member) in entry.members.iter().enumerate() {
                positions[*member] = (domain, position);
            }
        }
        Ok(Self {
            members,
            short_ids,
            positions,
            domains,
            me: own_index,
            by_short_id,
        })
    }

    pub(crate) fn find(&self, short_id: ShortId) -> Option<usize> {
        self.by_short_id.get(&short_id).copied()
    }

    pub(crate) fn find_domain(&self, short_id: ShortId) -> Option<usize> {
        self.domains
            .iter()
            .position(|domain| domain.short_id == short_id)
    }

    pub(crate) fn domain_of(&self, member: usize) -> usize {
        self.positions[member].0
    }

    pub(crate) fn own_domain(&self) -> usize {
        self.domain_of(self.me)
    }

    /// Returns the rendezvous weight of a member as the sender to another failure domain; the highest ranks first.
    pub(crate) fn weight(&self, member: usize, domain: usize) -> (u64, usize) {
        let mut hash = Xxh3::new();
        hash.update(&self.short_ids[member]);
        hash.update(&self.domains[domain].short_id);
        (hash.digest(), member)
    }
}

fn domains(members: &[Member]) -> Result<Vec<Domain>, StartError> {
    let mut domains: Vec<Domain> = Vec::new();
    for (index, member) in members.iter().enumerate() {
        match domains
            .iter_mut()
            .find(|domain| domain.name == member.domain)
        {
            Some(domain) => domain.members.push(index),
            None => domains.push(Domain {
                name: member.domain.clone(),
                short_id: short_id(member.domain.as_str()),
                list_hash: ShortId::default(),
                members: vec![index],
            }),
        }
    }
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    for index in 0..domains.len() {
        let domain = &domains[index];
        if let Some(other) = domains[..index]
            .iter()
            .find(|other| other.short_id == domain.short_id)
        {
            let (one, other) = (domain.name.as_str(), other.name.as_str());
            return CollisionSnafu { one, other }.fail();
        }
        if domain.members.len() > MAX_DOMAIN_MEMBERS {
            let domain = domain.name.clone();
            return SizeSnafu { domain }.fail();
        }
        let mut hash = Xxh3::new();
        for member in &domain.members {
            // Labels contain no line breaks, so the joined names are unambiguous.
            hash.update(members[*member].instance.as_str().as_bytes());
            hash.update(b"\n");
        }
        domains[index].list_hash = truncate_hash(hash.digest());
    }
    Ok(domains)
}
