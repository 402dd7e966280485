//! What the present configuration means for one instance and for one call.

use crate::{digest, labels, name};

use super::{Revision, object, replica};

/// The version that one instance is to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// Digest of the version's manifest.
    pub version: digest::Digest,
    /// The version's model, adapter and size.
    pub details: object::Version,
    /// Revision from which this was derived; orders to the engine carry it as fencing token.
    pub fence: Revision,
}

/// All placements by name.
pub fn placements(
    objects: &object::Objects,
) -> impl Iterator<Item = (&name::SelectorName, &object::Placement)> {
    objects.iter().filter_map(|(key, stored)| match (key, &stored.object) {
        (object::ObjectKey::Placement(name), object::Object::Placement(placement)) => {
            Some((name, placement))
        }
        _ => None,
    })
}

/// The version that the instance is to serve, or `None` if no placement selects it.
pub fn for_instance(config: &replica::Replica, instance: &name::InstanceName) -> Option<Intent> {
    let objects = config.objects();
    let key = object::ObjectKey::Instance(instance.clone());
    let labels = object::with_name(object::labels_of(objects, &key), instance);
    let (_, placement) = placements(objects).find(|(_, it)| it.instances.matches(&labels))?;
    let stored = objects.get(&object::ObjectKey::Version(placement.version))?;
    let object::Object::Version(details) = &stored.object else {
        return None;
    };
    let (version, fence) = (placement.version, config.revision());
    Some(Intent { version, details: details.clone(), fence })
}

/// The selectors over upstreams that apply to one account and one model or service. A call may go
/// to any upstream that at least one of them selects; without any selector it is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachableUpstreams {
    selectors: Vec<labels::Selector>,
}

impl ReachableUpstreams {
    /// Whether no route leads from the account to the target.
    pub fn is_empty(&self) -> bool {
        self.selectors.is_empty()
    }

    /// The selectors over upstreams, at least one of which has to match.
    pub fn selectors(&self) -> &[labels::Selector] {
        &self.selectors
    }

    /// Whether the account's calls to this target may go to that instance.
    pub fn allows(&self, objects: &object::Objects, instance: &name::InstanceName) -> bool {
        let key = object::ObjectKey::Instance(instance.clone());
        let labels = object::with_name(object::labels_of(objects, &key), instance);
        self.selectors.iter().any(|selector| selector.matches(&labels))
    }
}

/// Finds the routes of an account to a target, whose key is that of a model or a service.
pub fn reachable_upstreams(
    objects: &object::Objects,
    account: &name::AccountName,
    target: &object::ObjectKey,
) -> ReachableUpstreams {
    let account_key = object::ObjectKey::Account(account.clone());
    let account_labels = object::with_name(object::labels_of(objects, &account_key), account);
    let target_name = match target {
        object::ObjectKey::Model(name) => name.as_str(),
        object::ObjectKey::Service(name) => name.as_str(),
        _ => return ReachableUpstreams::default(),
    };
    let target_labels = object::with_name(object::labels_of(objects, target), target_name);
    let routes = objects.values().filter_map(|stored| match &stored.object {
        object::Object::Route(route) => Some(route),
        _ => None,
    });
    let selectors = routes
        .filter(|route| route.accounts.matches(&account_labels))
        .filter(|route| route.targets.matches(&target_labels))
        .map(|route| route.upstreams.clone())
        .collect();
    ReachableUpstreams { selectors }
}
