//! Regions that routes and accounts allow.

use googletest::prelude::*;
use ragwortdeal_core::{
    dispatch::residency::Residency,
    document::{Account, RetryPolicy, Route},
};

fn route(regions: &[&str]) -> Route {
    Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/a/".into(),
        retry_policy: RetryPolicy::Resume,
        streams: true,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: None,
        priority: 0,
        targets: Vec::new(),
        attempts_max: 2,
        public: false,
        affinity: false,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    }
}

fn account_in(regions: &[&str]) -> Account {
    Account {
        name: "account".into(),
        keys: Vec::new(),
        priority: None,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    }
}

fn is_permitted(residency: &Residency, region: Option<&str>) -> bool {
    residency.permit(|| region).is_some()
}

macro_rules! residencies {
    ($($(#[$guards:meta])* $case:ident: $route:expr, $account:expr, $region:expr => $permitted:expr;)*) => {$(
        $(#[$guards])*
        #[googletest::test]
        fn $case() {
            let account: Option<&[&str]> = $account;
            let account = account.map(|regions| account_in(regions));
            let residency = Residency::new(&route($route), account.as_ref());
            expect_that!(is_permitted(&residency, $region), eq($permitted));
        }
    )*};
}

residencies! {
    a_request_without_regions_goes_anywhere: &[], None, Some("north") => true;
    a_request_without_regions_goes_to_an_unknown_region: &[], Some(&[]), None => true;
    /// Guards against bodies that leave the regions of their route.
    a_route_binds: &["north"], None, Some("south") => false;
    a_route_allows_its_region: &["north", "south"], Some(&[]), Some("south") => true;
    /// Guards against bodies that leave the regions of their account.
    an_account_binds: &[], Some(&["north"]), Some("south") => false;
    an_account_allows_its_region: &[], Some(&["north"]), Some("north") => true;
    /// Guards against an account's regions that replace those of the route.
    both_bind_where_both_are_set: &["north", "south"], Some(&["south", "east"]), Some("east") => false;
    what_both_allow_is_allowed: &["north", "south"], Some(&["south", "east"]), Some("south") => true;
    /// Guards against an empty intersection that is taken for no restriction.
    regions_without_any_in_common_allow_none: &["north"], Some(&["south"]), Some("north") => false;
    /// Guards against upstreams of a zone that the settings do not name.
    an_unknown_region_is_not_allowed: &["north"], None, None => false;
}
