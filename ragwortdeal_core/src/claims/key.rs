//! Keys of operations, their ids, and the slots that partition them among groups of voters.

use std::fmt;

use crate::{digest, name};

/// Number of slots. It never changes: new groups take over whole slots and no key changes its slot.
pub const SLOTS: usize = 256;

/// An operation key with its scope, because two accounts may choose the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct ScopedKey {
    /// Account on whose behalf the operation runs.
    pub account: name::AccountName,
    /// Service to which the operation is addressed.
    pub service: name::ServiceName,
    /// Key chosen by the caller.
    pub key: name::OperationKey,
}

impl ScopedKey {
    /// The id of the operation, which every entry derives in the same way without coordination.
    pub fn id(&self) -> OperationId {
        // Names contain no NUL, so the joined text is unambiguous.
        let joined = format!("{}\0{}\0{}", self.account, self.service, self.key);
        OperationId(digest::Digest::of(joined.as_bytes()))
    }
}

/// Identifies an operation to callers that query an unknown outcome and to operators that settle
/// it.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct OperationId(digest::Digest);

impl OperationId {
    /// Parses an id from its text form.
    pub fn parse(text: &str) -> Result<Self, digest::DigestError> {
        text.parse().map(Self)
    }

    /// The slot of the operation.
    pub fn slot(&self) -> Slot {
        Slot(self.0.as_bytes()[0])
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

/// One of [`SLOTS`] partitions of all operations.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Slot(pub u8);

/// A group of voters that serves the claims of some slots.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct GroupNumber(pub u16);

/// Maps slots to groups; it is part of the committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlotMap {
    groups: Vec<GroupNumber>,
}

impl SlotMap {
    /// Spreads the slots evenly over the given number of groups; zero counts as one.
    pub fn even(groups: u16) -> Self {
        let group_of = |slot: usize| GroupNumber((slot % usize::from(groups.max(1))) as u16);
        Self { groups: (0..SLOTS).map(group_of).collect() }
    }

    /// The group that serves the slot.
    pub fn group(&self, slot: Slot) -> GroupNumber {
        self.groups.get(usize::from(slot.0)).copied().unwrap_or(GroupNumber(0))
    }

    /// Assigns the slot to another group, after that group has opened it.
    pub fn assign(&mut self, slot: Slot, group: GroupNumber) {
        if let Some(owner) = self.groups.get_mut(usize::from(slot.0)) {
            *owner = group;
        }
    }

    /// The slots of one group.
    pub fn slots(&self, group: GroupNumber) -> impl Iterator<Item = Slot> + '_ {
        (0..=u8::MAX).map(Slot).filter(move |&slot| self.group(slot) == group)
    }
}
