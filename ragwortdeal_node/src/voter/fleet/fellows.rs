//! Hears from the other voters what was told to them alone.
//!
//! An upstream that leaves tells one voter, and the time of a naming is lost with a restart. What one
//! voter knows of both must not be lost with it, so each voter follows the others as entries do.

use std::sync::{self, atomic};

use super::hub;
use crate::{
    fleet::voter_links,
    settings::{self, common},
};

/// Follows the other voters for as long as the process runs.
pub(super) async fn follow(
    settings: sync::Arc<settings::fleet::Settings>,
    identity: common::Identity,
    seeds: voter_links::Seeds,
    hub: sync::Arc<hub::Hub>,
) {
    // Documents come by the log, so none is asked for.
    let held_version = sync::Arc::new(atomic::AtomicU64::new(u64::MAX));
    let (_voters, mut told) =
        voter_links::start(settings, identity, voter_links::VOTER_ROLE, held_version, seeds);
    while let Some(told) = told.recv().await {
        if let voter_links::Event::Notice(voter, notice) = told {
            hub.told_by_voter(voter, notice);
        }
    }
}
