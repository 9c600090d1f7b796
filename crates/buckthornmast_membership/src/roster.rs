//! The peer list with the short ids that stand for names in datagrams.

use std::collections::HashMap;

use buckthornmast_types::id;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    config::{CollisionSnafu, MAX_DOMAIN_LEN, Member, MissingSnafu, SizeSnafu, StartError},
    message::Short,
};

/// Failure domain of the list.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) name: id::Domain,
    pub(crate) short: Short,
    /// Hash of the members' names in their order.
    pub(crate) list: Short,
    /// Members by their index in the list, in the order of their names.
    pub(crate) members: Vec<usize>,
}

/// Peer list in the order of names.
#[derive(Debug)]
pub(crate) struct Roster {
    pub(crate) members: Vec<Member>,
    pub(crate) shorts: Vec<Short>,
    /// Zone of each member and its position there.
    pub(crate) places: Vec<(usize, usize)>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) me: usize,
    by_short: HashMap<Short, usize>,
}

fn shorten(hash: u64) -> Short {
    let [a, b, c, d, ..] = hash.to_le_bytes();
    [a, b, c, d]
}

fn short(name: &str) -> Short {
    shorten(xxh3_64(name.as_bytes()))
}

impl Roster {
    pub(crate) fn new(me: &id::Instance, mut members: Vec<Member>) -> Result<Self, StartError> {
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        let found = members.iter().position(|member| member.instance == *me);
        let Some(found) = found else {
            return MissingSnafu { me: me.clone() }.fail();
        };
        let mut by_short = HashMap::new();
        let mut shorts = Vec::new();
        for (index, member) in members.iter().enumerate() {
            let short = short(member.instance.as_str());
            if let Some(other) = by_short.insert(short, index) {
                let (one, other) = (&member.instance, &members[other].instance);
                return CollisionSnafu {
                    one: one.as_str(),
                    other: other.as_str(),
                }
                .fail();
            }
            shorts.push(short);
        }
        let zones = zones(&members)?;
        let mut places = vec![(0, 0); members.len()];
        for (zone, entry) in zones.iter().enumerate() {
            for (position, member) in entry.members.iter().enumerate() {
                places[*member] = (zone, position);
            }
        }
        Ok(Self {
            members,
            shorts,
            places,
            zones,
            me: found,
            by_short,
        })
    }

    pub(crate) fn find(&self, short: Short) -> Option<usize> {
        self.by_short.get(&short).copied()
    }

    pub(crate) fn find_zone(&self, short: Short) -> Option<usize> {
        self.zones.iter().position(|zone| zone.short == short)
    }

    pub(crate) fn zone_of(&self, member: usize) -> usize {
        self.places[member].0
    }

    pub(crate) fn own_zone(&self) -> usize {
        self.zone_of(self.me)
    }

    /// Returns the weight of a member as the sender to another failure domain.
    pub(crate) fn weight(&self, member: usize, zone: usize) -> (u64, usize) {
        let mut hash = Xxh3::new();
        hash.update(&self.shorts[member]);
        hash.update(&self.zones[zone].short);
        (hash.digest(), member)
    }
}

fn zones(members: &[Member]) -> Result<Vec<Zone>, StartError> {
    let mut zones: Vec<Zone> = Vec::new();
    for (index, member) in members.iter().enumerate() {
        match zones.iter_mut().find(|zone| zone.name == member.domain) {
            Some(zone) => zone.members.push(index),
            None => zones.push(Zone {
                name: member.domain.clone(),
                short: short(member.domain.as_str()),
                list: Short::default(),
                members: vec![index],
            }),
        }
    }
    zones.sort_by(|a, b| a.name.cmp(&b.name));
    for index in 0..zones.len() {
        let zone = &zones[index];
        if let Some(other) = zones[..index]
            .iter()
            .find(|other| other.short == zone.short)
        {
            let (one, other) = (zone.name.as_str(), other.name.as_str());
            return CollisionSnafu { one, other }.fail();
        }
        if zone.members.len() > MAX_DOMAIN_LEN {
            let domain = zone.name.clone();
            return SizeSnafu { domain }.fail();
        }
        let mut hash = Xxh3::new();
        for member in &zone.members {
            // Labels contain no line breaks, so the joined names are unambiguous.
            hash.update(members[*member].instance.as_str().as_bytes());
            hash.update(b"\n");
        }
        zones[index].list = shorten(hash.digest());
    }
    Ok(zones)
}
