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

/// Service of some flows and their organisations. Flows are known by the numbers that [`Tally::index`] returns.
pub(crate) struct Tally<'a> {
    account: &'a Account,
    now: Point,
    share_limit: f64,
    organisations: Vec<f64>,
    flows: Vec<Row>,
    organisation_numbers: HashMap<&'a Option<id::Organisation>, usize>,
    flow_numbers: HashMap<&'a Flow, usize>,
}

impl<'a> Tally<'a> {
    /// Starts from an account as it is now.
    pub(crate) fn new(account: &'a Account, now: Point) -> Self {
        Self {
            account,
            now,
            share_limit: account.share_limit(now).get(),
            organisations: Vec::new(),
            flows: Vec::new(),
            organisation_numbers: HashMap::new(),
            flow_numbers: HashMap::new(),
        }
    }

    /// Returns the number of a flow.
    pub(crate) fn index(&mut self, flow: &'a Flow) -> usize {
        if let Some(number) = self.flow_numbers.get(flow) {
            return *number;
        }
        let organisations = &mut self.organisations;
        let (account, now) = (self.account, self.now);
        let numbers = self.organisation_numbers.entry(&flow.organisation);
        let organisation = *numbers.or_insert_with(|| {
            organisations.push(account.service(&flow.organisation, now).get());
            organisations.len() - 1
        });
        self.flows.push(Row {
            organisation,
            priority: flow.priority,
            service: account.flow_service(flow, now).get(),
        });
        self.flow_numbers.insert(flow, self.flows.len() - 1);
        self.flows.len() - 1
    }

    /// Counts a request as served.
    pub(crate) fn add(&mut self, flow: usize, cost: Cost) {
        let row = &mut self.flows[flow];
        row.service += cost.get();
        self.organisations[row.organisation] += cost.get();
    }

    /// Returns the service of a flow's organisation.
    pub(crate) fn service(&self, flow: usize) -> f64 {
        self.organisations[self.flows[flow].organisation]
    }

    /// Returns whether a flow's organisation received more than its share.
    pub(crate) fn is_beyond_share(&self, flow: usize) -> bool {
        self.service(flow) > self.share_limit
    }

    /// Returns the share of its organisation's service that went to a flow.
    pub(crate) fn priority_share(&self, flow: usize) -> f64 {
        let total = self.service(flow);
        if total > 0.0 {
            self.flows[flow].service / total
        } else {
            0.0
        }
    }

    /// Returns the priority of a flow.
    pub(crate) fn priority(&self, flow: usize) -> u32 {
        self.flows[flow].priority
    }
}
