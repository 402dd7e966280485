//! Equal shares of accounts in the capacity that one level of requests gets.
//!
//! Refused requests of accounts within their share are a debt in engine time. Accounts above their
//! share pay it: some of their requests are refused, which leaves room for the others. So no more
//! is refused than is needed, and an account may use what the others leave.

use std::collections;

use super::decaying::DecayingSum;
use crate::document;

/// Half-life of the engine time that accounts requested. It covers the requests of small accounts,
/// which come seconds apart.
const DEMAND_HALF_LIFE_MS: f64 = 4_000.0;

/// Half-life of the debt: a few passes of an engine, so that it ends soon after an overload.
const DEBT_HALF_LIFE_MS: f64 = 500.0;

/// Engine time that larger accounts give up for each millisecond refused to others. The debt decays
/// before it is paid in full.
const DEBT_FACTOR: f64 = 4.0;

/// Engine time in milliseconds below which an account is forgotten.
const FORGOTTEN_MS: f64 = 1.0;

/// Recent use of one level by accounts.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    accounts: collections::HashMap<Option<document::Text>, Usage>,
    all: DecayingSum,
    debt: DecayingSum,
    sweep_at_ms: u64,
}

/// Recent use by one account.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demand: DecayingSum,
    /// Fractions of requests that were due as payment and not refused yet, below 1.
    due: f64,
}

impl FairShare {
    /// Records a request for so much engine time.
    pub fn record_request(
        &mut self,
        account: Option<&document::Text>,
        engine_ms: f64,
        now_ms: u64,
    ) {
        self.sweep(now_ms);
        let usage = self.accounts.entry(account.cloned()).or_default();
        usage.demand.add(engine_ms, DEMAND_HALF_LIFE_MS, now_ms);
        self.all.add(engine_ms, DEMAND_HALF_LIFE_MS, now_ms);
    }

    /// Records a refusal for lack of room.
    pub fn record_refusal(
        &mut self,
        account: Option<&document::Text>,
        engine_ms: f64,
        now_ms: u64,
    ) {
        if self.excess_fraction(account, now_ms) <= 0.0 {
            self.debt.add(engine_ms * DEBT_FACTOR, DEBT_HALF_LIFE_MS, now_ms);
        }
    }

    /// Whether a request is to be refused as the account's payment, which reduces the debt.
    pub fn take_payment(
        &mut self,
        account: Option<&document::Text>,
        engine_ms: f64,
        now_ms: u64,
    ) -> bool {
        if self.debt.current(DEBT_HALF_LIFE_MS, now_ms) < engine_ms {
            return false;
        }
        let excess_fraction = self.excess_fraction(account, now_ms);
        let Some(usage) = self.accounts.get_mut(&account.cloned()) else {
            return false;
        };
        usage.due += excess_fraction;
        if usage.due < 1.0 {
            return false;
        }
        usage.due -= 1.0;
        self.debt.add(-engine_ms, DEBT_HALF_LIFE_MS, now_ms);
        true
    }

    /// Fraction of an account's recent demand that is above an equal share, 0 within the share.
    fn excess_fraction(&self, account: Option<&document::Text>, now_ms: u64) -> f64 {
        let Some(usage) = self.accounts.get(&account.cloned()) else {
            return 0.0;
        };
        let demand_ms = usage.demand.current(DEMAND_HALF_LIFE_MS, now_ms);
        let all_ms = self.all.current(DEMAND_HALF_LIFE_MS, now_ms);
        let share_ms = all_ms / self.accounts.len() as f64;
        if demand_ms > share_ms { 1.0 - share_ms / demand_ms } else { 0.0 }
    }

    /// Forgets accounts without recent requests, once in a half-life.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.sweep_at_ms {
            return;
        }
        self.sweep_at_ms = now_ms + DEMAND_HALF_LIFE_MS as u64;
        self.accounts
            .retain(|_, usage| usage.demand.current(DEMAND_HALF_LIFE_MS, now_ms) >= FORGOTTEN_MS);
    }
}
