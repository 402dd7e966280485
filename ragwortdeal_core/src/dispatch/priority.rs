//! Levels of urgency of the requests to one service, derived from a document.

use crate::document;

/// Largest number of levels, as engines order their queues by one digit. Pairs beyond it share the
/// last level.
pub const LEVELS_MAX: usize = 10;

/// Urgency of a request among those to the same service. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(u8);

impl Level {
    /// The level of this number, or the last one if there are fewer.
    pub fn new(number: usize) -> Self {
        Self(number.min(LEVELS_MAX - 1) as u8)
    }

    /// Its number, below [`LEVELS_MAX`].
    pub fn number(self) -> usize {
        usize::from(self.0)
    }
}

/// What a request is ordered by where its service has several levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class<'c> {
    /// Level of the request.
    pub level: Level,
    /// The account that calls, if any. Anonymous callers count as one account.
    pub account: Option<&'c document::Text>,
}

/// Levels of the requests to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    /// Priorities of accounts in ascending order. Accounts without one have the last.
    accounts: Vec<u8>,
    /// Priorities of the routes to the service in ascending order.
    routes: Vec<u8>,
}

impl Levels {
    /// Derives the levels, or `None` if all routes to the service have the same priority. Requests
    /// are not ordered then.
    pub fn new(document: &document::Document, service: &str) -> Option<Self> {
        let leads_here = |route: &&document::Route| {
            route.targets.iter().any(|it| it.weight > 0 && *it.service == *service)
        };
        let routes = document.routes.iter().filter(leads_here).map(|route| route.priority);
        let routes = sorted(routes);
        let accounts = sorted(document.accounts.iter().filter_map(|account| account.priority));
        (routes.len() > 1).then_some(Self { accounts, routes })
    }

    /// The level of a request. An account's priority takes precedence over a route's.
    pub fn level(&self, account: Option<&document::Account>, route: &document::Route) -> Level {
        let least_urgent = self.accounts.len().saturating_sub(1);
        let priority = account.and_then(|account| account.priority);
        let account = priority.map_or(least_urgent, |priority| rank(&self.accounts, priority));
        Level::new(account * self.routes.len() + rank(&self.routes, route.priority))
    }
}

fn sorted(priorities: impl Iterator<Item = u8>) -> Vec<u8> {
    let mut priorities: Vec<_> = priorities.collect();
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}

fn rank(sorted: &[u8], priority: u8) -> usize {
    sorted.partition_point(|it| *it < priority)
}
