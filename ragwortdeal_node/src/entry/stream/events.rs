//! Splits a stream into whole events, counts its tokens and finds its end mark.

/// The event that ends a stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// Largest event. An upstream that never ends one must not fill the entry's memory.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Events of one answer as they arrive.
///
/// Only whole events are passed on. If the connection is lost in the middle of one, the rest of it
/// can be asked for again with the token that it carries.
#[derive(Debug, Default)]
pub(super) struct Events {
    pending: Vec<u8>,
    tokens: u64,
    ended: bool,
    id: Option<String>,
}

#[derive(serde::Deserialize)]
struct Named {
    id: Option<String>,
}

impl Events {
    /// Takes a piece and returns the events that are whole now. An error means that the stream is
    /// not what it claims to be.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<bytes::Bytes, &'static str> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(piece);
        let Some(end) = last_end(&self.pending[searched..]) else {
            let too_large = self.pending.len() > EVENT_MAX_BYTES;
            return if too_large { Err("an event is too large") } else { Ok(bytes::Bytes::new()) };
        };
        let rest = self.pending.split_off(searched + end);
        let whole = std::mem::replace(&mut self.pending, rest);
        let text = str::from_utf8(&whole).map_err(|_| "an event is no text")?;
        for event in text.split("\n\n").flat_map(|event| event.split("\r\n\r\n")) {
            self.note(event)?;
        }
        Ok(whole.into())
    }

    fn note(&mut self, event: &str) -> Result<(), &'static str> {
        let event = event.trim();
        let Some(data) = event.strip_prefix("data:") else { return Ok(()) };
        if self.ended {
            return Err("something came after the end mark");
        }
        if event.as_bytes() == END_MARK {
            self.ended = true;
            return Ok(());
        }
        self.tokens += 1;
        // Every event of an answer names the same completion. Another name is another answer.
        let named = serde_json::from_str::<Named>(data).ok().and_then(|event| event.id);
        match (&self.id, named) {
            (Some(known), Some(named)) if *known != named => Err("an event of another answer"),
            (None, named) => {
                self.id = named;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Forgets the event that the lost connection cut.
    pub(super) fn reconnect(&mut self) {
        self.pending.clear();
    }

    /// Tokens that were passed on.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the end mark was the last that came.
    pub(super) fn ended(&self) -> bool {
        self.ended && self.pending.is_empty()
    }
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let ends = |separator: &[u8]| {
        let at = bytes.windows(separator.len()).rposition(|window| window == separator);
        at.map(|at| at + separator.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    const TOKEN: &str = "data: {\"id\":\"a\"}\n\n";
    const END: &str = "data: [DONE]\n\n";

    macro_rules! streams {
        ($($case:ident: $pieces:expr => $tokens:expr, $ended:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                let mut events = Events::default();
                for piece in $pieces {
                    events.push(str::as_bytes(piece)).unwrap();
                }
                expect_that!(events.tokens(), eq($tokens));
                expect_that!(events.ended(), eq($ended));
            }
        )*};
    }

    streams! {
        an_end_mark_in_one_piece: [TOKEN, END] => 1, true,
        an_end_mark_in_two_pieces: [TOKEN, "data: [DO", "NE]\n", "\n"] => 1, true,
        carriage_returns: ["data: {\"id\":\"a\"}\r\n\r", "\ndata: [DONE]\r\n\r\n"] => 1, true,
        no_end_mark: [TOKEN, TOKEN] => 2, false,
        a_cut_event_is_not_counted: [TOKEN, "data: {\"id\""] => 1, false,
        a_comment_is_no_token: [": waiting\n\n", TOKEN] => 1, false,
        a_half_end_mark: [TOKEN, "data: [DONE]\n"] => 1, false,
        nothing_at_all: [""] => 0, false,
    }

    macro_rules! refused {
        ($($case:ident: $pieces:expr,)*) => {$(
            #[googletest::test]
            fn $case() {
                let mut events = Events::default();
                let failed = $pieces.iter().any(|piece| events.push(str::as_bytes(piece)).is_err());
                expect_that!(failed, eq(true));
            }
        )*};
    }

    refused! {
        an_event_of_another_answer: [TOKEN, "data: {\"id\":\"b\"}\n\n"],
        a_token_after_the_end_mark: [TOKEN, END, TOKEN],
        an_endless_event: ["x".repeat(EVENT_MAX_BYTES + 1).as_str()],
    }

    /// A connection dies in the middle of an event. If its half were passed on, the resumed event
    /// would be garbled for the caller.
    #[googletest::test]
    fn a_cut_event_is_dropped_and_comes_whole_from_the_resume() {
        let mut events = Events::default();
        let passed = events.push(format!("{TOKEN}data: {{\"id\"").as_bytes()).unwrap();
        expect_that!(&passed[..], eq(TOKEN.as_bytes()));
        events.reconnect();
        let passed = events.push(format!("{TOKEN}{END}").as_bytes()).unwrap();
        expect_that!(&passed[..], eq(format!("{TOKEN}{END}").as_bytes()));
        expect_that!(events.ended(), eq(true));
    }
}
