//! What a stand-in for an engine takes from its staged chunks, and when.

use std::{collections, mem};

use bytes::Bytes;
use sha2::Digest as _;
use tokio::sync::watch;

use super::{Engine, LAYERS, State};
use crate::fleet::origin;

/// What becomes of a staged chunk that is spoilt.
pub(super) const SPOILT: Bytes = Bytes::from_static(b"spoilt");

type Hash = [u8; 32];

/// What an engine took from its staged chunks.
#[derive(Debug, Default)]
pub(super) struct Loads {
    /// Hashes of the chunks of each layer that it holds, as they were staged when it took them.
    held: collections::BTreeMap<u64, Vec<Hash>>,
    /// Hashes of all chunks that it held after each load.
    history: Vec<Vec<Hash>>,
    /// A chunk that becomes corrupt as the engine accepts the next order for all layers.
    rots_at_order: Option<u32>,
    /// Whether it keeps reads of staged chunks waiting from its next order on.
    holds_reads_at_order: bool,
    /// Whether reads of staged chunks wait.
    reads_held: watch::Sender<bool>,
}

impl Loads {
    /// Hashes of the chunks of all layers that it holds.
    pub(super) fn held_chunks(&self) -> Vec<Hash> {
        self.held.values().flatten().copied().collect()
    }
}

impl State {
    /// Takes layers from what is staged. Those that it holds of the same version stay as they are.
    pub(super) fn load(&mut self, version: u64, layers: (u64, u64)) {
        if layers == (0, LAYERS)
            && let Some(chunk) = self.loads.rots_at_order.take()
        {
            self.staged.insert(chunk, SPOILT);
        }
        if self.version != version {
            self.loads.held.clear();
        }
        self.loads.held.retain(|layer, _| (layers.0..layers.1).contains(layer));
        let per_layer = origin::CHUNKS / LAYERS as u32;
        for layer in layers.0..layers.1 {
            let chunks = layer as u32 * per_layer..(layer as u32 + 1) * per_layer;
            let hashes = self.staged.range(chunks).map(|(_, bytes)| hash(bytes)).collect();
            self.loads.held.entry(layer).or_insert(hashes);
        }
        (self.version, self.layers) = (version, layers);
        self.loads.history.push(self.loads.held_chunks());
        if mem::take(&mut self.loads.holds_reads_at_order) {
            self.loads.reads_held.send_replace(true);
        }
    }
}

impl Engine {
    /// Spoils a staged chunk as the engine accepts the next order for all layers.
    pub fn rot_at_next_order(&self, chunk: u32) {
        self.state().loads.rots_at_order = Some(chunk);
    }

    /// Keeps reads of staged chunks waiting from the next order on.
    pub fn hold_reads_from_next_order(&self) {
        self.state().loads.holds_reads_at_order = true;
    }

    /// Answers reads of staged chunks again.
    pub fn release_reads(&self) {
        self.state().loads.reads_held.send_replace(false);
    }

    pub(super) async fn reads_released(&self) {
        let mut held = self.state().loads.reads_held.subscribe();
        // The sender lives as long as the engine.
        let _ = held.wait_for(|held| !held).await;
    }

    /// Hashes of the chunks that are staged.
    pub fn staged_hashes(&self) -> Vec<[u8; 32]> {
        self.state().staged.values().map(hash).collect()
    }

    /// Hashes of the chunks at each load.
    pub fn loaded(&self) -> Vec<Vec<[u8; 32]>> {
        self.state().loads.history.clone()
    }
}

fn hash(bytes: &Bytes) -> Hash {
    sha2::Sha256::digest(bytes).into()
}
