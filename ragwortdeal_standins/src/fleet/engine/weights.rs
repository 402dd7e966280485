//! Weights of a stand-in for an engine: its report, orders to load, staged chunks.

use bytes::Bytes;
use hyper::Response;

use super::{Body, Engine, LAYERS, plain};

impl Engine {
    pub(super) fn report(&self) -> Response<Body> {
        let state = self.state();
        let models = match state.version {
            0 => serde_json::json!([]),
            version => serde_json::json!([{"name": "model-a", "version": version, "adapters": []}]),
        };
        let report = serde_json::json!({
            "stage": "combined", "models": models, "busy": false, "sequence": state.orders,
            "waiting-requests": 0, "running-requests": state.running,
            "layers": state.held_layers(),
        });
        plain(200, report.to_string())
    }

    /// Loads all layers of a version from what is staged, as an order would have it.
    pub fn obey(&self, version: u64) {
        let mut state = self.state();
        state.orders += 1;
        state.load(version, (0, LAYERS));
    }

    pub(super) fn order(&self, body: &[u8]) -> Response<Body> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state();
        let (Some("start"), Some(version)) =
            (order["operation"].as_str(), order["version"].as_u64())
        else {
            return plain(400, "");
        };
        if order["expect"].as_u64().is_some_and(|expected| expected != state.orders) {
            return plain(409, "");
        }
        let layer = |name: &str, usual: u64| order[name].as_u64().unwrap_or(usual);
        let layers = (layer("from", 0), layer("to", LAYERS));
        if state.version == version && state.layers == layers {
            return plain(200, "");
        }
        state.orders += 1;
        state.load(version, layers);
        plain(202, "")
    }

    pub(super) fn stage(&self, path: &str, query: &str, body: Bytes) -> Response<Body> {
        let number = query.split('&').find_map(|pair| pair.strip_prefix("number="));
        let Some(number) = number.and_then(|number| number.parse::<u32>().ok()) else {
            return plain(400, "");
        };
        let mut state = self.state();
        if path.starts_with("/stage-put/") {
            state.staged.insert(number, body);
            return plain(200, "");
        }
        match state.staged.get(&number) {
            Some(bytes) => plain(200, bytes.clone()),
            None => plain(404, ""),
        }
    }
}
