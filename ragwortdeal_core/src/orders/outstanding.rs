//! Orders to an engine that may still be accepted.
//!
//! An order without an answer may be accepted at any later time: the engine may have stood still, or
//! the answer was lost. An engine takes what is staged at that moment, so nothing may be staged and no
//! other order may be given until it is settled whether and when that happened.
//!
//! Only the engine's count of accepted orders settles it. Each order names the count that it expects,
//! and an engine accepts one order for each count: once the count is higher, this order or one with
//! the same expectation was accepted, and all others are refused. Time settles nothing, and neither
//! does the end of a connection. `docs/design/weights.md` tells how an agent uses it.

/// How many orders an engine has accepted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCount {
    /// Start of the engine in Unix milliseconds, 0 if it does not tell.
    pub born_ms: u64,
    /// Orders that it has accepted since.
    pub accepted: u64,
}

impl OrderCount {
    /// Whether the engine has started again since it told another count.
    fn is_restarted_since(self, earlier: Self) -> bool {
        let both_told = self.born_ms > 0 && earlier.born_ms > 0;
        (both_told && self.born_ms != earlier.born_ms) || self.accepted < earlier.accepted
    }
}

/// Permission to change what is staged, and to give one order: no order that this process gave before
/// can be accepted any more. An order of an earlier process may be; it is another load then, and has
/// to be proven anew ([`super::load_proof`]).
///
/// ```compile_fail
/// use ragwortdeal_core::orders::outstanding;
///
/// // Only an engine's report on which nothing is outstanding gives it.
/// let settled = outstanding::Settled { count: outstanding::OrderCount::default() };
/// ```
#[derive(Debug)]
pub struct Settled {
    count: OrderCount,
}

impl Settled {
    /// The count that the next order has to expect.
    pub fn count(&self) -> OrderCount {
        self.count
    }
}

/// What came back for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine has begun it, or it is in effect.
    Accepted,
    /// The engine will not carry it out.
    Refused,
    /// Nothing that tells.
    Nothing,
}

impl Answer {
    /// What an HTTP status of the engine tells, or none where no answer came.
    pub fn of_status(status: Option<u16>) -> Self {
        match status {
            Some(200..=299) => Self::Accepted,
            Some(400..=499) => Self::Refused,
            _ => Self::Nothing,
        }
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The engine accepted it, or one like it with the same expectation.
    Accepted,
    /// The engine refused it.
    Refused,
    /// The engine to which it was sent is gone.
    EngineRestarted,
}

/// An order that is settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended<O> {
    /// The order.
    pub order: O,
    /// How it ended.
    pub end: End,
    /// The count that it expected.
    pub expected: OrderCount,
    /// When it was given first, in milliseconds of the agent's clock.
    pub given_at_ms: u64,
    /// How often it was given once more.
    pub repeats: u32,
}

/// An order that is not settled.
#[derive(Clone, Debug)]
struct Outstanding<O> {
    order: O,
    expected: OrderCount,
    given_at_ms: u64,
    repeats: u32,
    /// The engine refused it when it was given once more.
    repeat_refused: bool,
}

impl<O> Outstanding<O> {
    fn end(self, end: End) -> Ended<O> {
        let Self { order, expected, given_at_ms, repeats, .. } = self;
        Ended { order, end, expected, given_at_ms, repeats }
    }
}

/// The orders of an agent to its engine, of which one at most is outstanding.
#[derive(Debug)]
pub struct OrderBook<O> {
    outstanding: Option<Outstanding<O>>,
}

impl<O> Default for OrderBook<O> {
    fn default() -> Self {
        Self { outstanding: None }
    }
}

impl<O: Clone> OrderBook<O> {
    /// Takes what the engine reports. Returns permission for the next step unless an order is still
    /// outstanding, and how the last one ended if this report settles it.
    pub fn report(&mut self, count: OrderCount, busy: bool) -> (Option<Settled>, Option<Ended<O>>) {
        let settled = |ended| (Some(Settled { count }), ended);
        let Some(outstanding) = self.outstanding.take() else {
            return settled(None);
        };
        let end = if count.is_restarted_since(outstanding.expected) {
            End::EngineRestarted
        } else if count.accepted > outstanding.expected.accepted {
            End::Accepted
        } else if outstanding.repeat_refused && !busy {
            // An engine that carries out an order refuses others for as long.
            End::Refused
        } else {
            // An engine that was busy may have refused the repeat for that alone.
            let repeat_refused = false;
            self.outstanding = Some(Outstanding { repeat_refused, ..outstanding });
            return (None, None);
        };
        settled(Some(outstanding.end(end)))
    }

    /// Notes that an order is about to be sent, and returns the count that it has to expect. Returns
    /// none while another order is outstanding, which was given after this permission.
    pub fn give(&mut self, settled: Settled, order: O, now_ms: u64) -> Option<OrderCount> {
        if self.outstanding.is_some() {
            return None;
        }
        let expected = settled.count;
        self.outstanding = Some(Outstanding {
            order,
            expected,
            given_at_ms: now_ms,
            repeats: 0,
            repeat_refused: false,
        });
        Some(expected)
    }

    /// The outstanding order and the count that it expects, to be sent once more as it is: whichever
    /// of the two is accepted, the other one cannot be.
    pub fn repeat(&mut self) -> Option<(O, OrderCount)> {
        let outstanding = self.outstanding.as_mut()?;
        outstanding.repeats += 1;
        outstanding.repeat_refused = false;
        Some((outstanding.order.clone(), outstanding.expected))
    }

    /// Takes what came back when the outstanding order was sent last. Returns how it ended, if that
    /// is settled.
    pub fn answer(&mut self, answer: Answer) -> Option<Ended<O>> {
        let outstanding = self.outstanding.as_mut()?;
        let end = match answer {
            Answer::Accepted => End::Accepted,
            // Of a repeat, this may be because the order itself was accepted.
            Answer::Refused if outstanding.repeats > 0 => {
                outstanding.repeat_refused = true;
                return None;
            }
            Answer::Refused => End::Refused,
            Answer::Nothing => return None,
        };
        self.outstanding.take().map(|outstanding| outstanding.end(end))
    }
}
