//! Lookup tables of a document: routes by host and longest prefix, accounts by key.

use std::{collections, sync};

use super::{Account, Document, Engine, Route, Service, Text};
use crate::dispatch::priority;

/// A document with its indices. It is immutable; the next document gets another table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    document: sync::Arc<Document>,
    by_host: collections::HashMap<Text, Vec<usize>>,
    by_key: collections::HashMap<Text, usize>,
    services: collections::HashMap<Text, usize>,
    levels: collections::HashMap<Text, priority::Levels>,
}

/// Identity of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller<'t> {
    /// The account that holds the key.
    Account(&'t Account),
    /// The document has no accounts, or the route is public.
    Anonymous,
    /// No account holds the key.
    Unknown,
}

impl Table {
    /// Builds the indices.
    pub fn new(document: sync::Arc<Document>) -> Self {
        let mut by_host: collections::HashMap<Text, Vec<usize>> = collections::HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let host = Text::from(route.host.to_ascii_lowercase());
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&index| usize::MAX - document.routes[index].prefix.len());
        }
        let mut by_key = collections::HashMap::new();
        for (index, account) in document.accounts.iter().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = document.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let of_engines = document.services.iter().filter(|service| service.engine.is_some());
        let levels = of_engines.filter_map(|service| {
            Some((service.name.clone(), priority::Levels::new(&document, &service.name)?))
        });
        let levels = levels.collect();
        Self { document, by_host, by_key, services, levels }
    }

    /// The document.
    pub fn document(&self) -> &sync::Arc<Document> {
        &self.document
    }

    /// The route with the longest prefix of the path among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&*host.to_ascii_lowercase())?,
        };
        let mut routes = routes.iter().map(|&index| &self.document.routes[index]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Identifies the caller by the key in its request.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        let account = key.and_then(|key| self.by_key.get(key));
        match account {
            Some(&index) => Caller::Account(&self.document.accounts[index]),
            None if route.public || self.document.accounts.is_empty() => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&index| &self.document.services[index])
    }

    /// Levels of the requests to a service of engines, or `None` if they are not ordered.
    pub fn levels(&self, service: &str) -> Option<&priority::Levels> {
        self.levels.get(service)
    }

    /// Parameters of a service's engines.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.service(service)?.engine.as_ref()
    }
}

/// Selects a service of a route. `draw` distributes requests by the weights.
pub fn pick_target(route: &Route, draw: u64) -> Option<&Text> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut left = draw.checked_rem(total)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}
