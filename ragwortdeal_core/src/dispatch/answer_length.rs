//! Expected length of answers.
//!
//! Callers tell the largest number of tokens that they allow, and most answers are much shorter. A
//! request must not be refused for the time of an answer that hardly any request gets. The document
//! tells the mean of the answers, so the mean of what is told shows how far beyond them the bounds
//! are. `docs/design/overload.md` compares the ways.

/// Requests for which the documented mean counts in the mean of the bounds.
const DOCUMENTED_REQUESTS: f64 = 10.0;

/// Requests over which the mean of the bounds is taken at most.
const AVERAGED_REQUESTS: f64 = 1_000.0;

/// Length of an answer in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tokens {
    /// Expected number.
    pub expected: f64,
    /// Largest number that the caller allows.
    pub longest: f64,
}

/// What callers of a service tell of their answers, compared with what the answers are.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLength {
    /// Mean of the logarithms of the bounds, in documented means of the answers. A few bounds
    /// without measure hardly move it.
    told_ln: f64,
    /// Requests that count in the mean.
    requests: f64,
}

impl Default for AnswerLength {
    fn default() -> Self {
        Self { told_ln: 0.0, requests: DOCUMENTED_REQUESTS }
    }
}

impl AnswerLength {
    /// Records the bound of a request, if it has one. `mean_tokens` is the documented mean of the
    /// answers.
    pub fn record(&mut self, told_tokens: f64, mean_tokens: f64) {
        if told_tokens <= 0.0 {
            return;
        }
        self.requests = (self.requests + 1.0).min(AVERAGED_REQUESTS);
        let told_ln = (told_tokens / mean_tokens.max(1.0)).ln();
        self.told_ln += (told_ln - self.told_ln) / self.requests;
    }

    /// Length of an answer with this bound.
    pub fn tokens(&self, told_tokens: f64) -> Tokens {
        Tokens { expected: told_tokens / self.told_ln.max(0.0).exp(), longest: told_tokens }
    }
}
