//! What ends a stand-in for an upstream.

use std::time;

use hyper::http::request;

/// Header with the parts of a prompt.
const PARTS_HEADER: &str = "x-prompt-prefix";

/// What a request holds on which an upstream ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// A part of the prompt that other requests may hold too.
    SharedPart(String),
    /// The last part of the prompt, which belongs to the request.
    OwnPart(String),
    /// A path with this in it.
    Path(String),
}

impl Trigger {
    /// Whether a request holds it.
    pub fn is_in(&self, head: &request::Parts) -> bool {
        let list = head.headers.get(PARTS_HEADER).and_then(|list| list.to_str().ok());
        let mut names: Vec<_> = list.unwrap_or_default().split(',').map(name).collect();
        let own = names.pop().unwrap_or_default();
        match self {
            Self::SharedPart(part) => names.contains(&part.as_str()),
            Self::OwnPart(part) => own == part,
            Self::Path(fragment) => head.uri.path().contains(fragment),
        }
    }
}

/// Name of a part in a list of parts with their lengths.
fn name(part: &str) -> &str {
    part.split(':').next().unwrap_or_default()
}

/// How far an upstream is with a request when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// It has begun to run, and writes nothing for so long.
    BeforeAnswer(time::Duration),
    /// It has sent the event with this number, or the first one of a resumed stream behind it.
    Event(u64),
}

/// When an upstream ends by what it is asked, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fatal {
    /// What ends it.
    pub trigger: Trigger,
    /// When.
    pub moment: Moment,
    /// How long it is down.
    pub down: time::Duration,
}

impl Fatal {
    /// The time after which it ends, if that is before its answer.
    pub(super) fn ends_after(&self) -> Option<time::Duration> {
        match self.moment {
            Moment::BeforeAnswer(after) => Some(after),
            Moment::Event(_) => None,
        }
    }

    /// Whether it ends after the event with this number.
    pub(super) fn ends_at_event(&self, number: u64) -> bool {
        matches!(self.moment, Moment::Event(first) if number >= first)
    }
}
