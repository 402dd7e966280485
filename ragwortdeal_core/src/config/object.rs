//! The objects of the configuration: labels, versions of weights, placements and routes.

use std::{collections, fmt};

use crate::{digest, labels, name};

/// Key of an object of the configuration.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum ObjectKey {
    /// Labels of an instance.
    Instance(name::InstanceName),
    /// Labels of a model.
    Model(name::ModelName),
    /// Labels of a plain service.
    Service(name::ServiceName),
    /// Labels of an account.
    Account(name::AccountName),
    /// A version of weights, identified by the digest of its manifest.
    Version(digest::Digest),
    /// A placement, which determines the instances that serve a version.
    Placement(name::SelectorName),
    /// A route, which determines the upstreams that an account's calls may reach.
    Route(name::SelectorName),
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectKey::Instance(name) => write!(f, "instance/{name}"),
            ObjectKey::Model(name) => write!(f, "model/{name}"),
            ObjectKey::Service(name) => write!(f, "service/{name}"),
            ObjectKey::Account(name) => write!(f, "account/{name}"),
            ObjectKey::Version(digest) => write!(f, "version/{digest}"),
            ObjectKey::Placement(name) => write!(f, "placement/{name}"),
            ObjectKey::Route(name) => write!(f, "route/{name}"),
        }
    }
}

/// A version of a model's weights, optionally with an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// Model that callers request.
    pub model: name::ModelName,
    /// Adapter that is part of this version.
    pub adapter: Option<name::AdapterName>,
    /// Total size of all chunks.
    pub size_bytes: u64,
}

/// Which version the selected instances are to serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Placement {
    /// Selects instances by their labels.
    pub instances: labels::Selector,
    /// The version, which must be registered before a placement may refer to it.
    pub version: digest::Digest,
}

/// Which accounts reach which upstreams for which models and services.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Selects accounts by their labels and by the implicit label `name`.
    pub accounts: labels::Selector,
    /// Selects models and services by their labels and by the implicit label `name`.
    pub targets: labels::Selector,
    /// Selects upstream instances by their labels and by the implicit label `name`.
    pub upstreams: labels::Selector,
}

/// One object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Object {
    /// Labels of an instance, a model, a service or an account.
    Labels(labels::Labels),
    /// A version of weights.
    Version(Version),
    /// A selector over instances for a version.
    Placement(Placement),
    /// A selector over callers and upstreams.
    Route(Route),
}

impl Object {
    /// Whether an object of this kind may be stored under that key.
    pub fn matches_key(&self, key: &ObjectKey) -> bool {
        match key {
            ObjectKey::Instance(_)
            | ObjectKey::Model(_)
            | ObjectKey::Service(_)
            | ObjectKey::Account(_) => matches!(self, Object::Labels(_)),
            ObjectKey::Version(_) => matches!(self, Object::Version(_)),
            ObjectKey::Placement(_) => matches!(self, Object::Placement(_)),
            ObjectKey::Route(_) => matches!(self, Object::Route(_)),
        }
    }
}

/// An object with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Stored {
    /// The object itself.
    pub object: Object,
    /// Revision that last changed it.
    pub revision: super::Revision,
}

/// All objects by key, ordered so that every process iterates over them in the same order.
pub type Objects = collections::BTreeMap<ObjectKey, Stored>;

/// Adds the implicit label `name`, by which a selector can select a single object.
pub fn with_name(labels: Option<&labels::Labels>, name: &str) -> labels::Labels {
    let mut all = labels.cloned().unwrap_or_default();
    let key = name::LabelKey::new("name");
    if let (Ok(key), Ok(value)) = (key, name::LabelValue::new(name)) {
        all.insert(key, value);
    }
    all
}

/// The labels stored under a key, if any are set.
pub fn labels_of<'o>(objects: &'o Objects, key: &ObjectKey) -> Option<&'o labels::Labels> {
    match &objects.get(key)?.object {
        Object::Labels(labels) => Some(labels),
        _ => None,
    }
}
