//! Regions in which a request may be served.
//!
//! Routes and client accounts may name regions that their requests must not leave. An attempt needs
//! a [`Permit`] for the region of its upstream, and only [`Residency::permit`] makes one, so a path
//! that forgets the check does not compile. `docs/design/hard-load.md` tells what was weighed.

use crate::document;

/// The regions in which a request may be served, by its route and its client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    /// The allowed regions, or none where the request may be served everywhere.
    allowed: Option<Vec<document::Text>>,
}

/// Shows that a request may be sent to an upstream's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit(());

impl Residency {
    /// The residency of requests of a route on behalf of an account. Where both name regions, only
    /// those that both name are allowed, which may be none.
    pub fn new(route: &document::Route, account: Option<&document::Account>) -> Self {
        let by_route = &route.allowed_regions;
        let by_account = account.map_or(&[][..], |account| &account.allowed_regions);
        let allowed = match (by_route.is_empty(), by_account.is_empty()) {
            (true, true) => None,
            (true, false) => Some(by_account.to_vec()),
            (false, true) => Some(by_route.clone()),
            (false, false) => {
                let both = by_route.iter().filter(|region| by_account.contains(region));
                Some(both.cloned().collect())
            }
        };
        Self { allowed }
    }

    /// Whether the request may be served everywhere.
    pub fn is_unrestricted(&self) -> bool {
        self.allowed.is_none()
    }

    /// Permits an attempt in a region. `region` is looked up only where the request is bound to
    /// regions; an unknown region is never allowed then.
    pub fn permit<'r>(&self, region: impl FnOnce() -> Option<&'r str>) -> Option<Permit> {
        let Some(allowed) = &self.allowed else {
            return Some(Permit(()));
        };
        let region = region()?;
        allowed.iter().any(|it| **it == *region).then_some(Permit(()))
    }
}
