//! Checks of what engines ask for in their answers.

use std::collections;

use super::DRAIN_MS;
use crate::history::{Arrived, History, Sent, WINDOW_MS, Who};

/// Milliseconds after its request arrived from which on an entry counts as told by an answer.
const TOLD_MS: u64 = 600;
/// Milliseconds in which the requests at an engine that names a rate are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Factor of a rate that is borne in such a window.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests that are borne beyond it.
const LIMIT_BORNE: f64 = 5.0;
/// Requests of one entry that are borne in a pause.
const PAUSE_BORNE: usize = 2;

type AtEngine<'h> = Vec<(&'h Arrived, &'h Sent)>;

fn by_engine(history: &History) -> collections::BTreeMap<&str, AtEngine<'_>> {
    let mut engines = collections::BTreeMap::<&str, AtEngine<'_>>::new();
    for (arrived, sent) in history.arrivals() {
        engines.entry(&arrived.engine).or_default().push((arrived, sent));
    }
    engines.values_mut().for_each(|arrivals| arrivals.sort_by_key(|(it, _)| it.at_ms));
    engines
}

/// Whether an entry was told by an engine, and undisturbed since then.
fn was_told(
    history: &History,
    arrivals: &AtEngine<'_>,
    (arrived, sent): (&Arrived, &Sent),
    tells: impl Fn(&Arrived) -> bool,
) -> bool {
    let told = arrivals.iter().find(|(it, by)| by.entry == sent.entry && tells(it));
    told.is_some_and(|(it, _)| {
        let since_ms = history.reached_since(sent.entry, arrived.place, arrived.at_ms);
        since_ms <= it.at_ms && it.at_ms + TOLD_MS <= arrived.at_ms
    })
}

/// Requests from one time on for as long as the engine names a rate, first of them the one at it.
fn limited_from<'a, 'h>(arrivals: &'a AtEngine<'h>, first: usize) -> &'a [(&'h Arrived, &'h Sent)] {
    let named = |(it, _): &(&Arrived, &Sent)| it.asked.limit_per_s.is_some();
    let lasts = arrivals[first..].iter().take_while(|it| named(it)).count();
    &arrivals[first..first + lasts]
}

pub(super) fn limited(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for (engine, arrivals) in by_engine(history) {
        let mut first = 0;
        while first < arrivals.len() {
            let limited = limited_from(&arrivals, first);
            found.extend(over_the_rate(history, engine, &arrivals, limited));
            first += limited.len().max(1);
        }
    }
    found
}

fn over_the_rate(
    history: &History,
    engine: &str,
    arrivals: &AtEngine<'_>,
    limited: &[(&Arrived, &Sent)],
) -> Option<String> {
    let named_ms = limited.first()?.0.at_ms;
    let judged: Vec<_> = limited
        .iter()
        .filter(|(it, _)| it.at_ms >= named_ms + WINDOW_MS)
        .filter(|it| {
            let tells = |by: &Arrived| by.at_ms >= named_ms;
            was_told(history, arrivals, **it, tells)
        })
        .collect();
    judged.iter().enumerate().find_map(|(first, (begins, _))| {
        let window = judged[first..].iter();
        let window: Vec<_> =
            window.take_while(|(it, _)| it.at_ms < begins.at_ms + LIMIT_WINDOW_MS).collect();
        let rates = window.iter().filter_map(|(it, _)| it.asked.limit_per_s);
        let rate = rates.fold(0.0, f64::max);
        let allowed = rate * LIMIT_FACTOR * LIMIT_WINDOW_MS as f64 / 1_000.0 + LIMIT_BORNE;
        let (count, at_ms) = (window.len(), begins.at_ms);
        (count as f64 > allowed).then(|| {
            format!("{engine} got {count} requests from {at_ms} ms on, {allowed:.0} allowed")
        })
    })
}

pub(super) fn paused(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for (engine, arrivals) in by_engine(history) {
        let refusals = arrivals.iter().filter(|(it, _)| it.ran_on.is_none());
        found.extend(refusals.filter_map(|(asked, by)| {
            let pause_ms = (asked.asked.pause_s? * 1_000.0) as u64;
            let pause = asked.at_ms + TOLD_MS..asked.at_ms + pause_ms;
            let within = arrivals.iter().filter(|(it, sent)| {
                sent.entry == by.entry
                    && pause.contains(&it.at_ms)
                    && history.reached_since(by.entry, it.place, it.at_ms) <= asked.at_ms
            });
            let count = within.count();
            (count > PAUSE_BORNE)
                .then(|| format!("{engine} got {count} in its pause from {} ms on", asked.at_ms))
        }));
    }
    found
}

pub(super) fn left(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for (engine, arrivals) in by_engine(history) {
        let late = arrivals.iter().filter(|(_, sent)| {
            let told = arrivals.iter().find(|(it, by)| by.entry == sent.entry && it.asked.leaving);
            told.is_some_and(|(it, _)| {
                sent.at_ms > it.at_ms + DRAIN_MS && !was_down(history, sent.entry, it.at_ms)
            })
        });
        found.extend(late.map(|(it, sent)| {
            format!(
                "{} by entry {} reached {engine}, which had said that it leaves",
                it.id, sent.entry
            )
        }));
    }
    found
}

/// Whether an entry was stopped, killed or frozen since a time, or the machine was late.
fn was_down(history: &History, entry: u8, since_ms: u64) -> bool {
    let down = |who: Who| matches!(who, Who::Machine) || who == Who::Entry(entry);
    let ends_later = |to_ms: Option<u64>| to_ms.is_none_or(|to_ms| to_ms >= since_ms);
    history.disturbances.iter().any(|it| down(it.who) && ends_later(it.to_ms))
}
