//! Which upstream serves a request.

use super::forecast;

/// An upstream that may serve a request, as one entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests that this entry has open there.
    pub open: u32,
    /// Requests of other entries there, by the last word of the upstream.
    pub peer_open: f64,
    /// Requests that it works on together.
    pub slots: u32,
    /// Whether it stands in this entry's availability zone.
    pub same_zone: bool,
    /// How often it failed lately, from 0 to 1.
    pub failure_rate: f64,
    /// Milliseconds that it needs to read the prompts which this entry sent and which have no first
    /// event yet. A new request waits behind them.
    pub prefill_ms: f64,
    /// The same for the prompts of other entries, by the last word of the upstream.
    pub peer_prefill_ms: f64,
    /// Milliseconds by which first events came later than forecast, of late.
    pub excess_delay_ms: f64,
}

/// How much fuller, in slots, a near upstream may be before a far one is taken: what a request
/// costs on the links between zones is worth a wait of about that many requests.
const NEAR_SLOTS: f64 = 4.0;

/// Slots that an upstream which always fails is taken to have filled.
const FAILING_SLOTS: f64 = 24.0;

/// Milliseconds of prompts to read that count like one more request: about what one usual prompt
/// takes, by which the first event of all that wait comes later.
const READING_MS_PER_SLOT: f64 = 35.0;

/// Requests beyond the slots that may wait at an upstream, as a part of its slots. What waits
/// longer comes too late for its caller.
const WAITING_SHARE: f64 = 0.15;

/// How much later the first event may come from an engine in the own zone before one behind a link
/// between zones is taken. Such links are narrow and dear.
const FAR_MS: f64 = 100.0;

/// Milliseconds of waiting that count like one more open request. It spreads requests over engines
/// that would all begin at once, so that their slots fill evenly.
const OPEN_MS: f64 = 6.0;

/// Milliseconds that an engine which always fails is taken to lose.
const FAILING_MS: f64 = 800.0;

/// Load of an upstream in requests, as far as known.
pub fn load(candidate: &Candidate) -> f64 {
    f64::from(candidate.open) + candidate.peer_open
}

/// Whether one more request would have a slot at once.
fn has_slot(candidate: &Candidate) -> bool {
    load(candidate) + 1.0 <= f64::from(candidate.slots)
}

/// Whether one more request would only wait in vain.
pub fn is_full(candidate: &Candidate) -> bool {
    let slots = f64::from(candidate.slots.max(1));
    load(candidate) >= slots * (1.0 + WAITING_SHARE)
}

/// The upstream with the smallest load, near ones first among equals. `draw` breaks ties, so that
/// entries with equal views do not all choose the same one.
pub fn least_loaded(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|step| (start + step) % count);
    let open = order.filter(|&index| !is_full(&candidates[index]));
    open.min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}

/// What a request to an engine asks for.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Milliseconds that an engine takes to read it.
    pub prefill_ms: f64,
    /// Milliseconds to the first event beyond which it is not worth the engine's time.
    pub first_event_max_ms: f64,
    /// Milliseconds that others at the engine may wait for their next event because of it.
    pub pause_max_ms: f64,
    /// Whether it may take a free slot only. It is late, and must not keep others waiting.
    pub needs_slot: bool,
}

/// The engine at which the first event comes soonest, near ones first, if any gives it in time.
pub fn fastest_engine(
    candidates: &[Candidate],
    latency_model: &forecast::LatencyModel,
    prompt: &Prompt,
    draw: u64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|step| (start + step) % count);
    let is_open = |candidate: &Candidate| {
        let keeps_waiting =
            latency_model.pause_ms(candidate, prompt.prefill_ms) > prompt.pause_max_ms;
        (!prompt.needs_slot || has_slot(candidate)) && (load(candidate) < 1.0 || !keeps_waiting)
    };
    let offered = order.filter(|&index| is_open(&candidates[index]));
    let forecasts = offered.map(|index| {
        let candidate = &candidates[index];
        (index, candidate, latency_model.first_event_ms(candidate, prompt.prefill_ms))
    });
    let in_time = forecasts.filter(|(_, _, first_ms)| *first_ms <= prompt.first_event_max_ms);
    let cost = |candidate: &Candidate, first_ms: f64| {
        let far_ms = if candidate.same_zone { 0.0 } else { FAR_MS };
        first_ms + far_ms + load(candidate) * OPEN_MS + candidate.failure_rate * FAILING_MS
    };
    let costs = in_time.map(|(index, candidate, first_ms)| (index, cost(candidate, first_ms)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

fn cost(candidate: &Candidate) -> f64 {
    let far = if candidate.same_zone { 0.0 } else { NEAR_SLOTS };
    let reading = candidate.prefill_ms / READING_MS_PER_SLOT;
    load(candidate) + far + reading + candidate.failure_rate * FAILING_SLOTS
}
