//! Room that engines keep for more urgent requests.

use super::{
    choice::{self, Candidate},
    forecast,
};

/// Fraction of the engines that keep room, as a multiple of the level's share in the requested engine
/// time. Other entries take room at the same time, and more requests come at some times than at
/// others.
const ENGINES_PER_SHARE: f64 = 2.0;

/// Requests that an engine keeps room for beyond the first, if the level asks for all engine time.
const MORE_REQUESTS: f64 = 2.0;

/// Room for one more urgent level.
#[derive(Clone, Copy, Debug)]
pub struct Reserve {
    /// Latency model of the engines.
    pub latency_model: forecast::LatencyModel,
    /// A mean request of the level.
    pub prompt: choice::Prompt,
    /// Fraction of the recently requested engine time that it and more urgent levels asked for.
    pub share: f64,
}

impl Reserve {
    /// Which engines are closed to a less urgent request with this prefill time.
    ///
    /// It may take an engine if a more urgent request would still be in time behind it, or if
    /// enough other engines have room for one.
    pub fn kept(&self, engines: &[Candidate], prefill_ms: f64) -> Vec<bool> {
        let has_room: Vec<_> = engines.iter().map(|engine| self.has_room(engine)).collect();
        let with_room = has_room.iter().filter(|has_room| **has_room).count();
        let needed = (ENGINES_PER_SHARE * self.share * engines.len() as f64).ceil() as usize;
        let is_kept = |(engine, has_room): (&Candidate, bool)| {
            let others_with_room = with_room - usize::from(has_room);
            let behind = Candidate {
                open: engine.open + 1,
                peer_open: engine.peer_open + MORE_REQUESTS * self.share,
                prefill_ms: engine.prefill_ms + prefill_ms,
                ..*engine
            };
            others_with_room < needed && !self.has_room(&behind)
        };
        engines.iter().zip(has_room).map(is_kept).collect()
    }

    fn has_room(&self, engine: &Candidate) -> bool {
        let engines = std::slice::from_ref(engine);
        choice::fastest_engine(engines, &self.latency_model, &self.prompt, 0).is_some()
    }
}
