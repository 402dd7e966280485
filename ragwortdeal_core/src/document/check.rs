//! Validation of documents. An invalid document is refused as a whole and changes nothing.

use std::collections;

use snafu::{Snafu, ensure};

use super::Document;

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// A route refers to a service that the document does not contain.
    #[snafu(display("route {route}: there is no service {service}"))]
    UnknownService {
        /// The route.
        route: String,
        /// The missing service.
        service: String,
    },
    /// Two routes have the same host and prefix, so it is ambiguous which one serves.
    #[snafu(display("route {route}: {host}{prefix} belongs to another route already"))]
    DuplicateRoute {
        /// The later route.
        route: String,
        /// Its host.
        host: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route's weights add up to 0.
    #[snafu(display("route {route}: its weights add up to 0"))]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("route {route}: its timeout is 0 ms"))]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("route {route}: the prefix {prefix:?} does not begin and end with a slash"))]
    UnboundedPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// Two services have the same name.
    #[snafu(display("service {service} is named twice"))]
    DuplicateService {
        /// The service.
        service: String,
    },
    /// Two accounts hold the same key.
    #[snafu(display("accounts {first} and {second} share a key"))]
    SharedKey {
        /// The account that is listed first.
        first: String,
        /// The other one.
        second: String,
    },
}

/// Returns the first error of a document.
pub fn check(document: &Document) -> Result<(), Invalid> {
    check_services(document)?;
    check_routes(document)?;
    check_keys(document)
}

fn check_services(document: &Document) -> Result<(), Invalid> {
    let mut names = collections::BTreeSet::new();
    for service in &document.services {
        ensure!(names.insert(&service.name), DuplicateServiceSnafu { service: &*service.name });
    }
    Ok(())
}

fn check_routes(document: &Document) -> Result<(), Invalid> {
    let services: collections::BTreeSet<&str> =
        document.services.iter().map(|service| &*service.name).collect();
    let mut prefixes = collections::BTreeSet::new();
    for route in &document.routes {
        let name = &*route.name;
        let prefix = &*route.prefix;
        let is_bounded = prefix.starts_with('/') && prefix.ends_with('/');
        ensure!(is_bounded, UnboundedPrefixSnafu { route: name, prefix });
        for target in &route.targets {
            let service = &*target.service;
            ensure!(services.contains(service), UnknownServiceSnafu { route: name, service });
        }
        let weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        ensure!(weight > 0, NoWeightSnafu { route: name });
        ensure!(route.timeout_ms > 0, NoTimeoutSnafu { route: name });
        let host = &*route.host;
        ensure!(prefixes.insert((host, prefix)), DuplicateRouteSnafu { route: name, host, prefix });
    }
    Ok(())
}

fn check_keys(document: &Document) -> Result<(), Invalid> {
    let mut holders = collections::BTreeMap::new();
    for account in &document.accounts {
        for key in &account.keys {
            let holder = holders.insert(&**key, &*account.name);
            let other = holder.filter(|holder| **holder != *account.name);
            if let Some(first) = other {
                return SharedKeySnafu { first, second: &*account.name }.fail();
            }
        }
    }
    Ok(())
}
