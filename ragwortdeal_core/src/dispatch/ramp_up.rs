//! Ramp-up of an engine that has come back.
//!
//! All entries hear at the same moment that an engine accepts requests again, and to each of them it
//! is the idlest. Before the first load report tells of the others, each has sent it a request or
//! two, and most of these wait for the prefill of the rest until they are late. So the entries begin
//! to prefer it one after the other, at the pace at which it prefills a mean prompt.

use crate::spread::owners;

/// Entries that may use an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entries {
    /// In the engine's availability zone. They begin first, because it is nearest to them.
    pub same_zone: f64,
    /// In all zones.
    pub all: f64,
}

/// Milliseconds after an engine's return from which on one entry treats it like any other.
///
/// `seed` differs by entry and return. `same_zone` tells whether this entry is in the engine's zone.
pub fn delay_ms(entries: &Entries, mean_prefill_ms: f64, same_zone: bool, seed: u64) -> f64 {
    let draw = (owners::mix(seed) >> 32) as f64 / 4_294_967_296.0;
    let near = entries.same_zone.clamp(0.0, entries.all);
    let place = if same_zone { draw * near } else { near + draw * (entries.all - near) };
    place * mean_prefill_ms
}
