//! Lifecycle of a call: admission, selection, service, retry, end.

use ragwortdeal_core::{admission, retry, routing, routing::choice};
use rand::Rng as _;

use super::{Call, Event, FAILED_ATTEMPT_US, Model, account, setup};

impl Model {
    pub(super) fn offer(&mut self, call: usize) {
        let now_ms = self.now_ms();
        let (entry, caller) = (self.calls[call].entry, self.calls[call].caller);
        let request = admission::Request {
            account: account(&self.setup.callers[caller]),
            priority: admission::Priority::Normal,
            deadline_ms: now_ms + self.setup.deadline_ms,
            draw: self.rng.next_u64(),
        };
        let Some(admission) = self.entries[entry].admission.as_mut() else {
            return self.send(call);
        };
        match admission.offer(request, now_ms) {
            admission::Decision::Admitted(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.send(call);
            }
            admission::Decision::Queued(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.entries[entry].tickets.insert(ticket, call);
            }
            admission::Decision::Refused(_) => self.outcome.callers[caller].refused += 1,
        }
    }

    pub(super) fn act(&mut self, entry: usize, actions: Vec<admission::Action>) {
        for action in actions {
            match action {
                admission::Action::Start(ticket) => {
                    let call = self.entries[entry].tickets.remove(&ticket).unwrap();
                    self.send(call);
                }
                admission::Action::Refuse(ticket, _) => {
                    let call = self.entries[entry].tickets.remove(&ticket).unwrap();
                    self.outcome.callers[self.calls[call].caller].refused += 1;
                }
            }
        }
    }

    fn choose(&mut self, call: usize) -> Option<usize> {
        let draw = self.rng.next_u64();
        let random = self.below(self.setup.upstreams);
        let now_ms = self.now_ms();
        let call = &self.calls[call];
        let entry = &mut self.entries[call.entry];
        let affinity = self.setup.choosing == setup::Choosing::Affinity;
        match self.setup.choosing {
            setup::Choosing::Random => Some(random),
            setup::Choosing::RoundRobin => {
                entry.next = (entry.next + 1) % self.setup.upstreams;
                Some(entry.next)
            }
            setup::Choosing::LeastReported => {
                (0..self.setup.upstreams).min_by_key(|&index| entry.reported[index])
            }
            setup::Choosing::TwoChoices | setup::Choosing::Affinity => {
                let prefix = call.prefix.filter(|_| affinity);
                let excluded = &call.excluded;
                let wanted = choice::Call { prefix, excluded, draw, now_ms };
                let id = entry.router.choose(entry.pool, &wanted)?.id;
                entry.ids.iter().position(|&other| other == id)
            }
        }
    }

    fn send(&mut self, call: usize) {
        let Some(at) = self.choose(call) else { return self.end(call, None) };
        let now_ms = self.now_ms();
        let entry = &mut self.entries[self.calls[call].entry];
        entry.router.begin(entry.ids[at], self.calls[call].prefix, now_ms);
        if self.calls[call].attempts == 0 {
            entry.budgets.first_attempt(entry.ids[at]);
        }
        self.calls[call].attempts += 1;
        self.calls[call].at = Some(at);
        self.outcome.attempts += 1;
        if self.servers[at].failing {
            return self.at(self.now_us + FAILED_ATTEMPT_US, Event::AttemptFailed(call));
        }
        self.servers[at].queue.push_back(call);
        self.servers[at].by_entry[self.calls[call].entry] += 1;
        self.serve(at);
    }

    /// Sends a copy of a slow call to another upstream. The first answer counts.
    pub(super) fn hedge(&mut self, call: usize) {
        let (Some(at), false) = (self.calls[call].at, self.calls[call].over) else { return };
        let twin = self.calls.len();
        let excluded = vec![self.entries[self.calls[call].entry].ids[at]];
        let copy = Call { twin: Some(call), excluded, at: None, ..self.calls[call].clone() };
        self.calls[call].twin = Some(twin);
        self.calls.push(copy);
        self.send(twin);
    }

    fn serve(&mut self, at: usize) {
        while self.servers[at].running < self.setup.slots && !self.servers[at].failing {
            let Some(call) = self.servers[at].queue.pop_front() else { return };
            let waited_ms = (self.now_us - self.calls[call].arrived_us) / 1_000;
            if self.calls[call].over || waited_ms > self.setup.deadline_ms {
                self.servers[at].by_entry[self.calls[call].entry] -= 1;
            }
            if self.calls[call].over {
                continue;
            }
            if waited_ms > self.setup.deadline_ms {
                self.end(call, Some(false));
                continue;
            }
            self.servers[at].running += 1;
            let mut mean_us = self.setup.service_ms * 1_000.0;
            if self.calls[call].prefix.is_some_and(|prefix| self.cache_hit(at, prefix)) {
                mean_us /= 2.0;
            }
            let service_us = self.exponential_us(mean_us);
            self.at(self.now_us + service_us, Event::Done { upstream: at, call });
        }
    }

    fn cache_hit(&mut self, at: usize, prefix: u64) -> bool {
        let cached = &mut self.servers[at].cached;
        let held = cached.iter().position(|&other| other == prefix);
        held.map(|position| cached.remove(position));
        cached.push_back(prefix);
        if cached.len() > self.setup.prefixes_kept {
            cached.pop_front();
        }
        self.outcome.sent += 1;
        self.outcome.hits += u64::from(held.is_some());
        held.is_some()
    }

    pub(super) fn done(&mut self, at: usize, call: usize) {
        if self.servers[at].failing {
            return;
        }
        self.servers[at].running -= 1;
        self.servers[at].by_entry[self.calls[call].entry] -= 1;
        if !self.calls[call].over {
            self.end(call, Some(true));
        }
        self.serve(at);
    }

    /// Ends a call that ran (`Some(true)`), timed out (`Some(false)`), or had no upstream (`None`).
    fn end(&mut self, call: usize, ran: Option<bool>) {
        self.calls[call].over = true;
        if let Some(twin) = self.calls[call].twin {
            if ran != Some(true) && !self.calls[twin].over {
                return;
            }
            self.calls[twin].over = true;
        }
        let Call { caller, entry, arrived_us, ticket, at, .. } = self.calls[call].clone();
        let now_ms = self.now_ms();
        let second = self.second();
        let took_ms = (self.now_us - arrived_us) / 1_000;
        let tally = &mut self.outcome.callers[caller];
        match ran {
            Some(true) if took_ms <= self.setup.deadline_ms => {
                tally.good += 1;
                tally.good_each_s[second] += 1;
                self.outcome.response_ms.push(took_ms);
            }
            Some(_) => tally.late += 1,
            None => tally.failed += 1,
        }
        let entry_index = entry;
        let entry = &mut self.entries[entry_index];
        if let (Some(at), Some(_)) = (at, ran) {
            entry.router.finish(entry.ids[at], routing::Outcome::Answered, now_ms);
        }
        if let (Some(ticket), Some(admission)) = (ticket, entry.admission.as_mut()) {
            let actions = admission.finish(ticket, now_ms);
            self.act(entry_index, actions);
        }
    }

    pub(super) fn attempt_failed(&mut self, call: usize) {
        let now_ms = self.now_ms();
        let known = self.calls[call].clone();
        if known.over {
            return;
        }
        let entry = &mut self.entries[known.entry];
        let failed_at = entry.ids[known.at.unwrap()];
        entry.router.finish(failed_at, routing::Outcome::Failed, now_ms);
        let attempted = retry::FailedCall {
            idempotent: true,
            attempts: known.attempts,
            failure: retry::Failure::NoAnswer,
            resumable_on: None,
            deadline_ms: known.arrived_us / 1_000 + self.setup.deadline_ms,
            min_answer_ms: 0,
        };
        let again = retry::decide(&attempted, now_ms) == retry::Decision::Retry;
        let again = again
            && match self.setup.retrying {
                setup::Retrying::Never => false,
                setup::Retrying::Unbounded => true,
                setup::Retrying::Budgeted => entry.budgets.spend(failed_at).is_ok(),
            };
        if again {
            self.calls[call].excluded.push(failed_at);
            self.send(call);
        } else {
            self.end(call, None);
        }
    }
}
