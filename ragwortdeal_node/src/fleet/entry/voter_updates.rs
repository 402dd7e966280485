//! Applies what voters send: documents, namings of weights, upstreams.

use std::sync::{self, atomic};

use ragwortdeal_core::document::{self, store, table};
use tokio::sync::mpsc;

use super::Entry;
use crate::fleet::{compression, notice, voter_links};

/// Applies events of the links to voters for as long as the process runs.
pub(super) async fn apply(
    entry: sync::Arc<Entry>,
    voters: voter_links::Voters,
    mut events: mpsc::Receiver<voter_links::Event>,
) {
    while let Some(event) = events.recv().await {
        let now_ms = entry.clock.now_ms();
        let (voter, notice) = match event {
            voter_links::Event::Notice(voter, notice) => (voter, notice),
            voter_links::Event::Up(voter) => {
                let (named, leaving) = entry.upstreams().state_for_voter(now_ms);
                voters.send_to(voter, &notice::Notice::Namings(named));
                voters.send_to(voter, &notice::Notice::Upstreams(leaving));
                let rates = entry.upstreams().named_rates();
                voters.send_to(voter, &notice::Notice::NamedRates(rates));
                let ended = entry.isolation.state_for_voter(now_ms);
                ended.iter().for_each(|notice| voters.send_to(voter, notice));
                continue;
            }
            voter_links::Event::Down(voter) => {
                entry.isolation.record_voter_lost(voter, voters.any_up(), now_ms);
                continue;
            }
        };
        match notice {
            notice::Notice::Documents(documents) => {
                entry.upstreams().record_entries_recorded(documents.entries);
                entry.install_document(&documents);
            }
            notice::Notice::Namings(named) => {
                entry.upstreams().record_namings(voter, &named, now_ms);
            }
            notice::Notice::NamedRates(rates) => {
                entry.upstreams().record_named_rates(rates, now_ms);
            }
            notice::Notice::Upstreams(announcements) => {
                announcements.into_iter().for_each(|announcement| {
                    entry.upstreams().record_announcement(announcement, now_ms);
                });
                entry.upstreams().record_upstreams_listed(now_ms);
            }
            notice::Notice::UpstreamLeft { instance, age } => {
                entry.upstreams().record_departure(&instance, age, now_ms);
            }
            notice::Notice::EngineStatus(status) => {
                entry.upstreams().record_engine_status(status, entry.clock.now_ms());
            }
            notice::Notice::EngineStatuses(statuses) => {
                statuses.into_iter().for_each(|status| {
                    entry.upstreams().record_engine_status(status, entry.clock.now_ms());
                });
            }
            notice::Notice::EntryCount(count) => entry.upstreams().record_entry_count(voter, count),
            notice::Notice::Entries(entries) => {
                entry.upstreams().record_entries(voter, entries, now_ms);
            }
            notice::Notice::EntryChanges { joined, left } => {
                entry.upstreams().record_entry_changes(voter, joined, left, now_ms);
            }
            notice::Notice::ChargedParts(parts) => entry.isolation.watch(parts),
            notice::Notice::Verdicts(told) => {
                entry.isolation.merge(&voter.to_string(), told, now_ms);
            }
            notice::Notice::Copies(told) => entry.isolation.record_copies(voter, told, now_ms),
            notice::Notice::Evacuations(told) => {
                entry.upstreams().record_evacuations(voter, &told, now_ms);
            }
            notice::Notice::AwaitedUpstreams(_)
            | notice::Notice::EngineEnded(_)
            | notice::Notice::PartsProved(_)
            | notice::Notice::Subscribe { .. }
            | notice::Notice::Voters(_)
            | notice::Notice::Agents(_)
            | notice::Notice::Agent(_)
            | notice::Notice::AgentLeft(_)
            | notice::Notice::AgentChanges { .. } => (),
        }
    }
}

impl Entry {
    /// Puts a newer document in force. An older one is ignored whoever sends it: an accepted change
    /// must never be reverted.
    fn install_document(&self, documents: &store::Store) {
        let Some(sealed) = &documents.document else {
            return;
        };
        if sealed.version <= self.held_version.load(atomic::Ordering::Relaxed) {
            return;
        }
        match self.parse_document(sealed) {
            Ok(document) => {
                log::info!(
                    "entry: document version={} in force, routes={} accounts={}",
                    document.version,
                    document.routes.len(),
                    document.accounts.len()
                );
                self.held_version.store(document.version, atomic::Ordering::Relaxed);
                self.upstreams().retain(&document, self.clock.now_ms());
                self.inbound.allow_heads(document.limits.head_max_bytes);
                self.inbound.check_bodies(document.limits.body_max_bytes);
                let table = table::Table::new(sync::Arc::new(document));
                self.table.store(Some(sync::Arc::new(table)));
            }
            Err(error) => {
                log::error!("entry: document version={} cannot be parsed: {error}", sealed.version);
            }
        }
    }

    fn parse_document(&self, sealed: &store::StoredDocument) -> Result<document::Document, String> {
        let bytes = compression::decompress(&sealed.body).map_err(|error| error.to_string())?;
        self.dialect.document(&bytes).map_err(|error| error.to_string())
    }
}
