//! Parameters of an engine that spends most of its time on decoding, as in a document.

use ragwortdeal_core::document;

pub fn engine() -> document::Engine {
    document::Engine {
        slots: 16,
        steps_per_pass: 6,
        models: Vec::new(),
        step_ms: 6.73,
        step_per_request_ms: 0.0219,
        step_per_context_ms: 0.0068,
        prefill_tokens_per_s: 30_600.0,
        prefill_pairs_ms: 0.647,
        prefill_chunk_tokens: 2_048,
        memory_tokens: 1_640_000,
        mean_request: document::MeanRequest { prompt_tokens: 964.0, answer_tokens: 119.0 },
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
    }
}
