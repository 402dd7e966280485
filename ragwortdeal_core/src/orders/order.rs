//! Orders, the intents that they implement, and the state that an engine reports.

use std::collections;

use crate::{digest, name};

/// Fencing token of an order: the revision of the committed log whose intent it implements.
///
/// Revisions only increase, so a late order of an earlier issuer has a lower fence than the engine
/// has seen since, and an engine that checks fences refuses it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Fence(pub u64);

/// How an engine treats an order with an old fence, according to the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It executes the order, so the agent itself has to prevent late orders.
    Ignored,
}

/// One version of a model or of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct WeightsId {
    /// The model.
    pub model: name::ModelName,
    /// The adapter, if these are the weights of one.
    pub adapter: Option<name::AdapterName>,
    /// Hash of the manifest.
    pub version: digest::Digest,
}

/// Role of an engine among the engines of its model, as named by the engine.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, serde::Serialize, serde::Deserialize,
)]
pub struct Role(String);

impl Role {
    /// Creates a role from the engine's name for it.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The engine's name for it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The desired state of one instance by the committed log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Intent {
    /// Revision that set it.
    pub fence: Fence,
    /// Weights that should serve; none keeps the current ones.
    pub active: Option<WeightsId>,
    /// Further weights that should be loaded, such as adapters.
    pub loaded: collections::BTreeSet<WeightsId>,
    /// Role of the engine; none keeps the current one.
    pub role: Option<Role>,
}

impl Intent {
    /// Whether these weights should be loaded.
    pub fn wants(&self, weights: &WeightsId) -> bool {
        self.active.as_ref() == Some(weights) || self.loaded.contains(weights)
    }
}

/// What an order asks for.
///
/// All orders of an intent lead to the same state, so repeating or reordering those of one fence is
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads weights without serving them.
    Load(WeightsId),
    /// Unloads weights that do not serve.
    Unload(WeightsId),
    /// Serves new calls with these weights.
    Activate(WeightsId),
    /// Changes the role.
    ChangeRole(Role),
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Fencing token that the engine may check.
    pub fence: Fence,
    /// Sequence number within the issuer's incarnation, to match replies.
    pub sequence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Weights that are completely loaded.
    pub loaded: collections::BTreeSet<WeightsId>,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Weights on which new calls begin.
    pub active: Option<WeightsId>,
    /// Role of the engine.
    pub role: Role,
    /// Highest fence that it has seen, if it checks fences.
    pub highest_fence: Option<Fence>,
}
