//! Selection of the upstream that serves a request.

use super::{answer_length, bounds, caller_time, forecast, pace};

/// An upstream that may serve a request, as one entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Open requests of this entry.
    pub open: u32,
    /// Estimated open requests of other entries.
    pub peer_open: f64,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is in this entry's availability zone.
    pub same_zone: bool,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// Prefill time of this entry's prompts that have no first event yet, in milliseconds. A new
    /// request waits for them.
    pub prefill_ms: f64,
    /// The same for the prompts of other entries, estimated.
    pub peer_prefill_ms: f64,
    /// How much longer than usual its work takes now.
    pub pace: pace::Expected,
    /// Recent mean delay of first events beyond their forecast, in milliseconds.
    pub excess_delay_ms: f64,
    /// Time within which the first event must come, in milliseconds, if the engine's weights are
    /// superseded.
    pub start_within_ms: Option<f64>,
    /// Whether it has just come back and others are to use it first.
    pub ramping_up: bool,
}

impl Candidate {
    /// Whether prompts of other requests are still to be read.
    pub fn has_unread(&self) -> bool {
        self.prefill_ms + self.peer_prefill_ms > 0.0
    }
}

/// Load difference, in requests, up to which an upstream in the same zone is preferred to one in
/// another zone. The cost of traffic between zones is worth a wait of about that many requests.
const SAME_ZONE_REQUESTS: f64 = 4.0;

/// Load penalty, in requests, of an upstream that always fails.
const FAILING_REQUESTS: f64 = 24.0;

/// Prefill time that counts as one more request: about that of a mean prompt, by which it delays
/// all requests behind it.
const PREFILL_MS_PER_REQUEST: f64 = 35.0;

/// Requests that may wait beyond the slots, as a fraction of the slots. Requests further back are
/// answered too late for their callers.
const WAITING_FRACTION: f64 = 0.15;

/// Delay penalty of an engine that others are to use first. It is taken only if no other engine would
/// answer in time.
const RAMP_UP_MS: f64 = 10_000.0;

/// Load of an upstream in requests, as far as known.
pub fn load(candidate: &Candidate) -> f64 {
    f64::from(candidate.open) + candidate.peer_open
}

/// The upstream as a request finds it that goes before a part of those that wait there. `share` is
/// the fraction of the others that go before it.
pub fn ahead_of(candidate: &Candidate, share: f64) -> Candidate {
    let waiting = (load(candidate) - f64::from(candidate.slots)).max(0.0);
    Candidate { peer_open: candidate.peer_open - waiting * (1.0 - share), ..*candidate }
}

/// Whether one more request would get a slot at once.
pub fn has_slot(candidate: &Candidate) -> bool {
    load(candidate) + 1.0 <= f64::from(candidate.slots)
}

/// Whether one more request would wait too long.
pub fn is_full(candidate: &Candidate) -> bool {
    let slots = f64::from(candidate.slots.max(1));
    load(candidate) >= slots * (1.0 + WAITING_FRACTION)
}

/// The upstream with the least load, with a preference for the same zone. `draw` breaks ties, so
/// that entries with equal views do not all select the same one.
pub fn least_loaded(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|step| (start + step) % count);
    let open = order.filter(|&index| !is_full(&candidates[index]));
    let costs = open.map(|index| (index, cost(&candidates[index])));
    cheapest(costs, candidates, draw)
}

/// The candidate with the least cost. `costs` begin at a candidate drawn by `draw`.
///
/// The first one of several with equal costs would be selected twice as often if it came after one
/// that is slow at the moment, so where paces are reported the draw decides among all of them.
fn cheapest(
    costs: impl Iterator<Item = (usize, f64)>,
    candidates: &[Candidate],
    draw: u64,
) -> Option<usize> {
    let costs: Vec<_> = costs.collect();
    let least = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
    let tied = costs.iter().filter(|(_, cost)| cost.total_cmp(&least).is_eq());
    let tied: Vec<_> = tied.map(|(index, _)| *index).collect();
    let is_usual = |candidate: &Candidate| candidate.pace == pace::Expected::default();
    let drawn = match candidates.iter().all(is_usual) {
        true => 0,
        false => draw / candidates.len() as u64 % tied.len() as u64,
    };
    tied.get(usize::try_from(drawn).unwrap_or(0)).copied()
}

/// Requirements of a request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Prefill time of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Length of the answer, as far as it is still to be written.
    pub answer: answer_length::Tokens,
    /// Time of the caller.
    pub time: caller_time::CallerTime,
    /// Mean error of forecasts, in milliseconds.
    pub error_ms: f64,
    /// Longest pause that the prefill may cause in the streams of other requests at the engine, in
    /// milliseconds.
    pub pause_max_ms: f64,
    /// Most requests that may wait at an engine.
    pub waiting_max: f64,
}

/// The engine with the earliest first event, or `None` if none meets the requirements.
///
/// Forecasts that differ by less than their error do not differ, and then an engine in the same zone
/// is better for the caller: no link to another zone can be cut or congested meanwhile. Engines at
/// which other streams pause no longer than is promised go before slow ones, where they cannot.
pub fn fastest_engine(
    candidates: &[Candidate],
    latency_model: &forecast::LatencyModel,
    prompt: &Prompt,
    draw: u64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|step| (start + step) % count);
    let is_within =
        |candidate: &Candidate| !bounds::Exceeded::at(candidate, latency_model, prompt).any();
    let within: Vec<_> = order.filter(|&index| is_within(&candidates[index])).collect();
    let keeps_pause = |candidate: &Candidate| {
        let pause_ms = latency_model.pause_ms(candidate, prompt.prefill_ms);
        load(candidate) < 1.0 || pause_ms <= prompt.pause_max_ms
    };
    let pauses_kept = within.iter().any(|&index| keeps_pause(&candidates[index]));
    let preferred =
        within.into_iter().filter(|&index| !pauses_kept || keeps_pause(&candidates[index]));
    let cost = |candidate: &Candidate| {
        let first_ms = latency_model.first_event_ms(candidate, prompt.prefill_ms);
        let zone_ms = if candidate.same_zone { 0.0 } else { prompt.error_ms };
        let ramp_up_ms = if candidate.ramping_up { RAMP_UP_MS } else { 0.0 };
        let shared_ms = latency_model.shared_steps_ms(load(candidate), prompt.answer.expected);
        // A failed attempt is repeated once, which takes the time of an answer again.
        let answer_ms = first_ms + latency_model.rest_ms(candidate, prompt.answer.expected);
        let repeated_ms = answer_ms * candidate.failure_rate;
        first_ms + zone_ms + ramp_up_ms + shared_ms + repeated_ms
    };
    let costs = preferred.map(|index| (index, cost(&candidates[index])));
    cheapest(costs, candidates, draw)
}

fn cost(candidate: &Candidate) -> f64 {
    let zone = if candidate.same_zone { 0.0 } else { SAME_ZONE_REQUESTS };
    let prefill = candidate.prefill_ms / PREFILL_MS_PER_REQUEST;
    // The new request takes longer at a slow upstream as well, even if it is the only one there.
    let pace = candidate.pace.now();
    let load = load(candidate) * pace + (pace - 1.0);
    load + zone + prefill + candidate.failure_rate * FAILING_REQUESTS
}
