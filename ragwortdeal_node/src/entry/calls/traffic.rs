//! What one entry knows of its traffic: upstreams, routes, shares and budgets.

use std::{collections, sync};

use ragwortdeal_core::{
    admission, config, labels, name, retry,
    retry::budget,
    routing,
    routing::{choice, load, pool, upstream},
};
use ragwortdeal_wire::link as announced;
use tokio::sync::oneshot;

use super::super::{Entry, members};
use super::permit;
use crate::http;

/// Lease of the router's own copy of an upstream. The members' leases decide; what they drop is
/// dropped here at the next look.
const HELD_MS: u64 = u64::MAX;

/// An announcement's part that changes which calls an upstream may get.
#[derive(Clone, Debug, PartialEq)]
struct Offer {
    incarnation: u64,
    available: bool,
    serving: Option<String>,
    target: String,
    address: String,
}

/// Where a chosen upstream is, and what it serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) id: upstream::UpstreamId,
    pub(super) instance: name::InstanceName,
    pub(super) address: String,
    pub(super) version: Option<String>,
}

/// Routing, admission and retry budgets of one entry.
#[derive(Debug)]
pub(in super::super) struct Traffic {
    pub(super) router: routing::Router,
    pub(super) budgets: budget::Budgets,
    pub(super) admissions: collections::BTreeMap<config::object::ObjectKey, permit::Gate>,
    offers: collections::BTreeMap<name::InstanceName, Offer>,
    routes: collections::BTreeMap<RouteKey, pool::PoolId>,
    revision: config::Revision,
    draws: u64,
}

type RouteKey = (name::AccountName, config::object::ObjectKey);

/// What a decision is made by.
pub(in super::super) struct Wanted<'a> {
    pub(in super::super) account: &'a name::AccountName,
    pub(in super::super) target: &'a config::object::ObjectKey,
    pub(in super::super) excluded: &'a [name::InstanceName],
    pub(in super::super) prefix: Option<u64>,
}

impl Traffic {
    pub(in super::super) fn new(seed: u64) -> Self {
        Self {
            router: routing::Router::new(routing::Settings::default()),
            budgets: budget::Budgets::new(budget::Settings::default()),
            admissions: collections::BTreeMap::new(),
            offers: collections::BTreeMap::new(),
            routes: collections::BTreeMap::new(),
            revision: 0,
            draws: seed,
        }
    }

    /// A new value for a decision that needs chance. The router and the refusals mix it further.
    pub(super) fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.wrapping_mul(0xd134_2543_de82_ef95)
    }

    /// Brings the router up to date with the members and the configuration.
    pub(super) fn sync(
        &mut self,
        members: &members::Members,
        config: &config::replica::Replica,
        now_ms: u64,
    ) {
        // Kept from before the offers are cleared: an upstream whose lease ends just as the
        // configuration changes would otherwise stay in the router for good, and be chosen.
        let mut gone: collections::BTreeSet<_> = self.offers.keys().cloned().collect();
        if self.revision != config.revision() {
            self.revision = config.revision();
            self.routes.clear();
            self.offers.clear();
            self.router.forget_pools();
        }
        let available: collections::BTreeSet<_> =
            members.available(now_ms).map(|(instance, _)| instance).collect();
        for (instance, member) in members.all() {
            gone.remove(instance);
            let said = &*member.announcement;
            self.take_in(instance, said, available.contains(instance), config, now_ms);
        }
        for instance in gone {
            self.offers.remove(&instance);
            if let Some(id) = self.router.find(&instance) {
                self.budgets.forget(id);
            }
            self.router.forget(&instance);
        }
        self.router.refresh();
        self.update_capacities(now_ms);
    }

    /// Takes in what one upstream announced, so that a new or a leaving one does not wait for the
    /// next look at all of them.
    pub(super) fn noticed(
        &mut self,
        instance: &name::InstanceName,
        said: &announced::Announcement,
        config: &config::replica::Replica,
        now_ms: u64,
    ) {
        // After a change of configuration all of them are looked at anyway.
        if self.revision == config.revision() {
            self.take_in(instance, said, !said.leaving, config, now_ms);
        }
    }

    fn take_in(
        &mut self,
        instance: &name::InstanceName,
        said: &announced::Announcement,
        available: bool,
        config: &config::replica::Replica,
        now_ms: u64,
    ) {
        let offer = Offer {
            incarnation: said.incarnation,
            available,
            serving: said.serving.clone(),
            target: said.target.clone(),
            address: said.call_address.clone(),
        };
        if self.offers.get(instance) != Some(&offer) {
            self.router.announce(announcement(instance, said, config));
            if !available {
                self.router.leave(instance);
            }
            self.offers.insert(instance.clone(), offer);
        }
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let report = load::Report {
            running: count(said.running),
            waiting: count(said.queued),
            from_here: count(said.from_here),
            taken_at_ms: now_ms.saturating_sub(said.report_age_ms),
        };
        self.router.report(instance, report);
    }

    /// Chooses an upstream, or tells why there is none.
    pub(super) fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        config: &config::replica::Replica,
        now_ms: u64,
    ) -> Result<Place, http::Kind> {
        let pool = self.route(wanted.account, wanted.target, config)?;
        let excluded = wanted.excluded.iter().filter_map(|instance| self.router.find(instance));
        let excluded: Vec<_> = excluded.collect();
        let draw = self.draw();
        let call = choice::Call { prefix: wanted.prefix, excluded: &excluded, draw, now_ms };
        let choice = self.router.choose(pool, &call).ok_or(http::Kind::Unavailable)?;
        let place = self.place(choice.id).ok_or(http::Kind::Unavailable)?;
        self.router.begin(choice.id, wanted.prefix, now_ms);
        if wanted.excluded.is_empty() {
            self.budgets.first_attempt(choice.id);
        }
        Ok(place)
    }

    fn place(&self, id: upstream::UpstreamId) -> Option<Place> {
        let instance = self.router.upstream(id)?.announcement.instance.clone();
        let offer = self.offers.get(&instance)?;
        let (address, version) = (offer.address.clone(), offer.serving.clone());
        Some(Place { id, address, version, instance })
    }

    /// Asks the budgets for another attempt after a failure.
    pub(in super::super) fn may_retry(
        &mut self,
        failed_at: &name::InstanceName,
    ) -> Result<(), retry::GiveUp> {
        match self.router.find(failed_at) {
            Some(id) => self.budgets.spend(id),
            None => Ok(()),
        }
    }

    /// The pool of upstreams that an account's calls to a target may go to.
    ///
    /// Callers name targets as they like. Only those that an upstream serves are remembered, so
    /// that invented ones cost no memory.
    pub(super) fn route(
        &mut self,
        account: &name::AccountName,
        target: &config::object::ObjectKey,
        config: &config::replica::Replica,
    ) -> Result<pool::PoolId, http::Kind> {
        let current = self.revision == config.revision();
        let key = (account.clone(), target.clone());
        if let Some(&known) = self.routes.get(&key).filter(|_| current) {
            return Ok(known);
        }
        let reach = config::intent::reachable_upstreams(config.objects(), account, target);
        if reach.is_empty() {
            return Err(http::Kind::NoRoute);
        }
        if !self.is_served(target) {
            return Err(http::Kind::Unavailable);
        }
        let rule = rule(target, reach.selectors().to_vec()).ok_or(http::Kind::NoRoute)?;
        let pool = self.router.pool(&rule).ok_or(http::Kind::Unavailable)?;
        if current {
            self.routes.insert(key, pool);
        }
        Ok(pool)
    }

    fn is_served(&self, target: &config::object::ObjectKey) -> bool {
        let wanted = match target {
            config::object::ObjectKey::Model(model) => model.as_str(),
            config::object::ObjectKey::Service(service) => service.as_str(),
            _ => return false,
        };
        self.offers.values().any(|offer| offer.target == wanted)
    }

    /// The gate before a target's upstreams.
    pub(super) fn gate(
        &mut self,
        target: &config::object::ObjectKey,
        now_ms: u64,
    ) -> &mut permit::Gate {
        if !self.admissions.contains_key(target) {
            let capacity = self.capacity_slots(target, now_ms);
            self.admissions.insert(target.clone(), permit::Gate::new(capacity));
        }
        self.admissions.get_mut(target).expect("inserted above")
    }

    fn update_capacities(&mut self, now_ms: u64) {
        let targets: Vec<_> = self.admissions.keys().cloned().collect();
        for target in targets {
            let capacity = self.capacity_slots(&target, now_ms);
            self.gate(&target, now_ms).admission.set_capacity(capacity);
        }
    }

    /// Slots of all upstreams of a target, whichever account may reach them.
    fn capacity_slots(&mut self, target: &config::object::ObjectKey, now_ms: u64) -> u32 {
        let rule = rule(target, vec![labels::Selector::default()]);
        let pool = rule.and_then(|rule| self.router.pool(&rule));
        pool.map_or(0, |pool| self.router.capacity_slots(pool, now_ms))
    }
}

fn rule(
    target: &config::object::ObjectKey,
    selectors: Vec<labels::Selector>,
) -> Option<pool::Rule> {
    let target = match target {
        config::object::ObjectKey::Model(model) => {
            upstream::Target::Model { model: model.clone(), adapter: None }
        }
        config::object::ObjectKey::Service(service) => upstream::Target::Service(service.clone()),
        _ => return None,
    };
    Some(pool::Rule { target, version: None, selectors })
}

fn announcement(
    instance: &name::InstanceName,
    said: &announced::Announcement,
    config: &config::replica::Replica,
) -> upstream::Announcement {
    let key = config::object::ObjectKey::Instance(instance.clone());
    let known = config::object::labels_of(config.objects(), &key);
    let zone = name::ZoneName::new(&said.zone);
    upstream::Announcement {
        instance: instance.clone(),
        incarnation: said.incarnation,
        zone: zone.unwrap_or_else(|_| name::ZoneName::new("unknown").expect("a valid name")),
        labels: config::object::with_name(known, instance),
        served: served(said).into_iter().collect(),
        slots: u32::try_from(said.slots).unwrap_or(u32::MAX).max(1),
        lease_until_ms: HELD_MS,
    }
}

fn served(said: &announced::Announcement) -> Option<upstream::Served> {
    match said.kind {
        announced::AnnouncementKind::Engine => {
            let model = name::ModelName::new(&said.target).ok()?;
            let version = Some(said.serving.as_ref()?.parse().ok()?);
            Some(upstream::Served {
                target: upstream::Target::Model { model, adapter: None },
                version,
            })
        }
        announced::AnnouncementKind::Service => {
            let service = name::ServiceName::new(&said.target).ok()?;
            Some(upstream::Served { target: upstream::Target::Service(service), version: None })
        }
    }
}

/// Counts a call as in flight at an upstream until it is dropped, and tells how it went.
pub(in super::super) struct InFlight {
    entry: sync::Arc<Entry>,
    id: upstream::UpstreamId,
    outcome: routing::Outcome,
    permit: Option<permit::Permit>,
}

impl InFlight {
    pub(super) fn new(entry: sync::Arc<Entry>, id: upstream::UpstreamId) -> Self {
        Self { entry, id, outcome: routing::Outcome::Cancelled, permit: None }
    }

    /// Judges the upstream by how the call went.
    pub(in super::super) fn ended(&mut self, outcome: routing::Outcome) {
        self.outcome = outcome;
        if let (routing::Outcome::Answered, Some(permit)) = (outcome, self.permit.as_mut()) {
            permit.answered();
        }
    }

    /// Keeps the caller's place until the answer has ended.
    pub(in super::super) fn hold(&mut self, permit: permit::Permit) {
        self.permit = Some(permit);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let mut traffic = self.entry.traffic.lock().expect("no panic under lock");
        traffic.router.finish(self.id, self.outcome, now_ms);
    }
}

/// Told to a queued request: it runs, or it is refused.
pub(super) type Verdict = oneshot::Sender<Result<(), admission::refusal::Refusal>>;

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use ragwortdeal_core::config::{change, state};

    use super::*;
    use crate::entry::members::tests as member;

    fn set(state: &mut state::State, number: u64, key: &str, object: config::object::Object) {
        let decision = state.apply(&change::Change {
            id: name::ChangeId::new(&format!("c-{number}")).unwrap(),
            key: crate::border::key_from_wire(key).unwrap(),
            expected_revision: None,
            object: Some(object),
        });
        assert!(matches!(decision, change::Decision::Accepted { .. }), "{decision:?}");
    }

    fn follow(replica: &mut config::replica::Replica, state: &state::State) {
        replica.apply(&state.update_since(replica.revision()).unwrap()).unwrap();
    }

    /// An upstream's lease ends at the moment at which the configuration changes, as when a zone is
    /// cut off while an operator is at work. The upstream must not stay among those that are
    /// chosen: a caller would be sent to it again and again, for as long as the entry runs.
    #[googletest::test]
    fn an_upstream_whose_lease_ends_with_a_change_is_forgotten() {
        let all = labels::Selector::default;
        let route = config::object::Route { accounts: all(), targets: all(), upstreams: all() };
        let (mut state, mut replica) =
            (state::State::default(), config::replica::Replica::default());
        set(&mut state, 1, "route/all", config::object::Object::Route(route));
        follow(&mut replica, &state);

        let mut members = members::Members::new(member::LEASE_MS);
        let mut announcement = member::announcement(1, 1);
        announcement.kind = announced::AnnouncementKind::Service;
        members.announced(announcement, 0);
        assert!(members.renewed("engine-a", &member::renewal(1, member::LIFE, 0), member::LIFE, 1));
        let mut traffic = Traffic::new(1);
        traffic.sync(&members, &replica, 1);
        let account = name::AccountName::new("branches").unwrap();
        let target = crate::border::key_from_wire("service/match").unwrap();
        let wanted = Wanted { account: &account, target: &target, excluded: &[], prefix: None };
        expect_true!(traffic.choose(&wanted, &replica, 1).is_ok());

        set(&mut state, 2, "model/other", config::object::Object::Labels(labels::Labels::new()));
        follow(&mut replica, &state);
        let members = members::Members::new(member::LEASE_MS);
        traffic.sync(&members, &replica, 2);
        expect_true!(traffic.choose(&wanted, &replica, 2).is_err());
        let instance = name::InstanceName::new("engine-a").unwrap();
        expect_true!(traffic.router.find(&instance).is_none());
    }
}
