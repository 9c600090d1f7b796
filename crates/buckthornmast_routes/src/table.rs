//! Matching of requests against the routes of a document.

use std::{collections::HashMap, sync::Arc};

use buckthornmast_types::id;

use crate::document::{Document, Route};

/// Routes by host, the longest prefix first.
#[derive(Debug, Default)]
pub struct Table {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Builds the table of a document.
    pub fn new(document: &Document) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix that the path begins with. The host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Picks a service in proportion to the weights. `draw` must be uniformly distributed over all values.
pub fn pick_service(route: &Route, draw: u64) -> Option<&id::Service> {
    let total: u64 = route
        .services
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    let mut remaining = draw.checked_rem(total)?;
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if remaining < weight {
            return Some(service);
        }
        remaining -= weight;
    }
    None
}
