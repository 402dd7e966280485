//! Orders, the intents they carry out, and the engine's state as it reports it.

use std::collections;

use crate::{digest, name};

/// Number that an order carries: the revision of the committed log whose intent it carries out.
///
/// Revisions only grow, so a late order of an earlier giver carries a smaller number than what the
/// engine has since seen, and an engine that checks refuses it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Fence(pub u64);

/// What an engine does with an order that carries an old number; settings say which.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out, so the agent has to be the fence.
    Ignored,
}

/// One version of a model or of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct WeightsId {
    /// The model.
    pub model: name::ModelName,
    /// The adapter, where the weights are an adapter's.
    pub adapter: Option<name::AdapterName>,
    /// Hash of the manifest.
    pub version: digest::Digest,
}

/// Part that an engine plays among those of its model, in the engine's own words.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, serde::Serialize, serde::Deserialize,
)]
pub struct Role(String);

impl Role {
    /// Takes the engine's word for a role.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The engine's word for it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// What the committed log wants of one instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Intent {
    /// Revision that brought it.
    pub fence: Fence,
    /// Weights that shall serve; none leaves the present ones.
    pub active: Option<WeightsId>,
    /// Weights that shall be loaded besides, such as adapters.
    pub loaded: collections::BTreeSet<WeightsId>,
    /// Role of the engine; none leaves the present one.
    pub role: Option<Role>,
}

impl Intent {
    /// Whether these weights shall be loaded.
    pub fn wants(&self, weights: &WeightsId) -> bool {
        self.active.as_ref() == Some(weights) || self.loaded.contains(weights)
    }
}

/// What an order asks for.
///
/// All orders of one intent work towards the same end, so repeating one or swapping two of the
/// same number does no harm.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads weights beside those that serve.
    Load(WeightsId),
    /// Drops weights that serve nothing.
    Unload(WeightsId),
    /// Lets new calls begin on these weights.
    Activate(WeightsId),
    /// Changes the role.
    ChangeRole(Role),
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Number that the engine may check.
    pub fence: Fence,
    /// Number of the order in the giver's life, to match replies.
    pub sequence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// State of an engine as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Weights that are whole in the engine.
    pub loaded: collections::BTreeSet<WeightsId>,
    /// Whether a load is under way.
    pub loading: bool,
    /// Weights on which new calls begin.
    pub active: Option<WeightsId>,
    /// Role of the engine.
    pub role: Role,
    /// Highest number it has seen, if it checks them.
    pub highest_fence: Option<Fence>,
}
