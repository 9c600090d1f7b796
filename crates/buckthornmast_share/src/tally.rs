//! Service of organisations as it was at one time, and what they are given from then on.
//!
//! The account decays and is keyed by names. A walk through thousands of waiting requests compares the same few services
//! many times, so it reads each of them once.

use std::collections::HashMap;

use buckthornmast_types::{id, time::Point};

use crate::account::{Account, Cost, Flow};

#[derive(Debug, Clone, Copy)]
struct Row {
    organisation: usize,
    priority: u32,
    service: f64,
}

/// Service of some flows and their organisations. Flows are known by the numbers that `Tally::index` returns.
struct Tally<'a> {
    account: Option<&'a Account>,
    now: Point,
    share_limit: f64,
    organisations: Vec<f64>,
    flows: Vec<Row>,
    organisation_numbers: HashMap<&'a Option<id::Organisation>, usize>,
    flow_numbers: HashMap<&'a Flow, usize>,
}

impl<'a> Tally<'a> {
    /// Starts from an account as it is now, or from none if nobody has been served.
    fn new(account: Option<&'a Account>, now: Point) -> Self {
        let share_limit = account.map(|account| account.share_limit(now).get());
        Self {
            account,
            now,
            share_limit: share_limit.unwrap_or(f64::INFINITY),
            organisations: Vec::new(),
            flows: Vec::new(),
            organisation_numbers: HashMap::new(),
            flow_numbers: HashMap::new(),
        }
    }

    /// Returns the number of a flow.
    fn index(&mut self, flow: &'a Flow) -> usize {
        if let Some(number) = self.flow_numbers.get(flow) {
            return *number;
        }
        let organisations = &mut self.organisations;
        let (account, now) = (self.account, self.now);
        let numbers = self.organisation_numbers.entry(&flow.organisation);
        let organisation = *numbers.or_insert_with(|| {
            let service = account.map(|account| account.service(&flow.organisation, now));
            organisations.push(service.unwrap_or_default().get());
            organisations.len() - 1
        });
        let service = account.map(|account| account.flow_service(flow, now));
        self.flows.push(Row {
            organisation,
            priority: flow.priority,
            service: service.unwrap_or_default().get(),
        });
        self.flow_numbers.insert(flow, self.flows.len() - 1);
        self.flows.len() - 1
    }

    /// Counts a request as served.
    fn add(&mut self, flow: usize, cost: Cost) {
        let row = &mut self.flows[flow];
        row.service += cost.get();
        self.organisations[row.organisation] += cost.get();
    }

    /// Returns the service of a flow's organisation.
    fn service(&self, flow: usize) -> f64 {
        self.organisations[self.flows[flow].organisation]
    }

    /// Returns whether a flow's organisation received more than its share.
    fn is_beyond_share(&self, flow: usize) -> bool {
        self.service(flow) > self.share_limit
    }

    /// Returns the share of its organisation's service that went to a flow.
    fn priority_share(&self, flow: usize) -> f64 {
        let total = self.service(flow);
        if total > 0.0 {
            self.flows[flow].service / total
        } else {
            0.0
        }
    }

    /// Returns the priority of a flow.
    fn priority(&self, flow: usize) -> u32 {
        self.flows[flow].priority
    }
}

/// Factor by which the service of an organisation in one group may exceed the share limit there. A group has fewer requests
/// than all groups together, so large ones weigh more.
const GROUP_MARGIN: f64 = 1.2;

/// Numbers of a lane's flow in the tallies of all groups together and of its own.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keys {
    group: usize,
    of_group: usize,
    of_all: usize,
}

/// Service over all groups, and in each of some groups.
pub(crate) struct Tallies<'a> {
    all: Tally<'a>,
    groups: Vec<Tally<'a>>,
}

impl<'a> Tallies<'a> {
    /// Starts from the accounts of all groups together and of some groups.
    pub(crate) fn new(
        all: &'a Account,
        groups: impl Iterator<Item = Option<&'a Account>>,
        now: Point,
    ) -> Self {
        Self {
            all: Tally::new(Some(all), now),
            groups: groups
                .map(|account| {
                    let mut tally = Tally::new(account, now);
                    tally.share_limit *= GROUP_MARGIN;
                    tally
                })
                .collect(),
        }
    }

    /// Returns the numbers of a flow in a group, which is known by its place among those of [`Self::new`].
    pub(crate) fn index(&mut self, group: usize, flow: &'a Flow) -> Keys {
        Keys {
            group,
            of_group: self.groups[group].index(flow),
            of_all: self.all.index(flow),
        }
    }

    /// Counts a request as served.
    pub(crate) fn add(&mut self, keys: Keys, cost: Cost) {
        self.all.add(keys.of_all, cost);
        self.groups[keys.group].add(keys.of_group, cost);
    }

    /// Returns the service that a flow's organisation received in its group.
    pub(crate) fn service(&self, keys: Keys) -> f64 {
        self.groups[keys.group].service(keys.of_group)
    }

    /// Returns whether a flow's organisation received more than its share, over all groups or in its own.
    pub(crate) fn is_beyond_share(&self, keys: Keys) -> bool {
        self.all.is_beyond_share(keys.of_all)
            || self.groups[keys.group].is_beyond_share(keys.of_group)
    }

    /// Returns the share of its organisation's service that went to a flow.
    pub(crate) fn priority_share(&self, keys: Keys) -> f64 {
        self.all.priority_share(keys.of_all)
    }

    /// Returns the priority of a flow.
    pub(crate) fn priority(&self, keys: Keys) -> u32 {
        self.all.priority(keys.of_all)
    }
}
