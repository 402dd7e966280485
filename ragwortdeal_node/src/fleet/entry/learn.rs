//! Takes what voters tell: documents, weights, upstreams.

use std::sync::{self, atomic};

use ragwortdeal_core::document::{self, store, table};
use tokio::sync::mpsc;

use super::Entry;
use crate::fleet::{compression, notice, voter_links};

/// Follows the voters for as long as the process runs.
pub(super) async fn follow(
    entry: sync::Arc<Entry>,
    voters: voter_links::Voters,
    mut told: mpsc::Receiver<voter_links::Event>,
) {
    while let Some(told) = told.recv().await {
        let now_ms = entry.clock.now_ms();
        let (voter, notice) = match told {
            voter_links::Event::Notice(voter, notice) => (voter, notice),
            voter_links::Event::Up(voter) => {
                let (named, leaving) = entry.fleet().told_to_voters(now_ms);
                voters.send_to(voter, &notice::Notice::Namings(named));
                voters.send_to(voter, &notice::Notice::Upstreams(leaving));
                continue;
            }
            voter_links::Event::Down(_) => continue,
        };
        match notice {
            notice::Notice::Documents(documents) => entry.documents(&documents),
            notice::Notice::Namings(named) => entry.fleet().named(voter, &named, now_ms),
            notice::Notice::Upstreams(said) => {
                said.into_iter().for_each(|said| entry.fleet().announced(said, now_ms));
            }
            notice::Notice::UpstreamLeft { instance, age } => {
                entry.fleet().left(&instance, age, now_ms);
            }
            notice::Notice::EngineStatus(serves) => entry.fleet().serves(serves),
            notice::Notice::EngineStatuses(words) => {
                words.into_iter().for_each(|serves| entry.fleet().serves(serves));
            }
            notice::Notice::EntryCount(count) => entry.fleet().entries(voter, count),
            notice::Notice::Subscribe { .. }
            | notice::Notice::Voters(_)
            | notice::Notice::Agents(_)
            | notice::Notice::Agent(_)
            | notice::Notice::AgentLeft(_) => (),
        }
    }
}

impl Entry {
    /// Puts a newer document in force. An older one is passed over, whoever sends it: an accepted
    /// change must never be taken back.
    fn documents(&self, documents: &store::Store) {
        let Some(sealed) = &documents.document else {
            return;
        };
        if sealed.version <= self.held_version.load(atomic::Ordering::Relaxed) {
            return;
        }
        match self.read(sealed) {
            Ok(document) => {
                log::info!(
                    "entry: document version={} in force, routes={} accounts={}",
                    document.version,
                    document.routes.len(),
                    document.accounts.len()
                );
                self.held_version.store(document.version, atomic::Ordering::Relaxed);
                self.fleet().retain(&document);
                let table = table::Table::new(sync::Arc::new(document));
                self.table.store(Some(sync::Arc::new(table)));
            }
            Err(error) => {
                log::error!("entry: document version={} cannot be read: {error}", sealed.version);
            }
        }
    }

    fn read(&self, sealed: &store::StoredDocument) -> Result<document::Document, String> {
        let bytes = compression::decompress(&sealed.body).map_err(|error| error.to_string())?;
        self.spoken.document(&bytes).map_err(|error| error.to_string())
    }
}
