//! What became of requests for chunks: how agents tell each other that one is not there yet, and
//! what a call without an answer means.

use gotham::hyper::{header, http::response};
use ragwortdeal_core::spread::event;

use crate::http;

/// Header that tells how many chunks an agent holds that lacks the one it was asked for.
const HELD: &str = "x-ragwortdeal-held";

/// Header of an agent that lacks a chunk because the origin fails it. Without it, those that wait
/// would take the agent for stalled and draw its chunks themselves, all at once.
const ORIGIN_FAILS: &str = "x-ragwortdeal-origin-fails";

/// Answers that a chunk is not here yet.
pub fn not_yet(held: u32, origin_fails: bool) -> http::Response {
    let mut response = http::respond(404, "text/plain", http::full(""));
    let headers = response.headers_mut();
    headers.insert(HELD, header::HeaderValue::from(held));
    if origin_fails {
        headers.insert(ORIGIN_FAILS, header::HeaderValue::from_static("1"));
    }
    response
}

/// Reads such an answer. None where it is another one.
pub fn read_not_yet(head: &response::Parts) -> Option<event::Failure> {
    let held = head.headers.get(HELD)?.to_str().ok()?.parse().ok()?;
    let origin_fails = head.headers.contains_key(ORIGIN_FAILS);
    (head.status.as_u16() == 404).then_some(event::Failure::NotYet { held, origin_fails })
}

/// What it means for a chunk that a call for it failed.
pub fn failure_of(error: &http::HttpError) -> event::Failure {
    if error.is_late() { event::Failure::Timeout } else { event::Failure::Error }
}
