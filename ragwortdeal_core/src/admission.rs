//! Admission control for callers' requests: fair shares, queues bounded by time, typed refusals.
//!
//! One [`Admission`] controls one kind of work at one entry: a model, or a plain service with
//! limits of its own. The entries of a deployment exchange the calls that each account has in
//! flight and waiting. From that, each computes the same shares and uses the part that corresponds
//! to its own demand. `docs/design/limits.md` compares the alternatives.

pub mod account;
pub mod peers;
pub mod refusal;
pub mod shares;

use std::collections;

use crate::name;

/// Admission settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest wait in a queue in milliseconds. Queues are bounded by time, because the same length
    /// is negligible for short calls and ruinous for long ones.
    pub queue_max_ms: u64,
    /// Time in milliseconds over which an account may accumulate unused share for a burst.
    pub burst_ms: u64,
    /// How far bursts may exceed the entry's part of the capacity, in percent.
    pub burst_over_percent: u32,
    /// Age in milliseconds at which another entry's summary expires.
    pub summary_max_age_ms: u64,
    /// Calls admitted per hundred slots of the upstreams. A few more calls than slots keep all
    /// upstreams busy although the selection among them is not perfect.
    pub fill_percent: u32,
    /// Duration of a call that is assumed until the first one has ended, in milliseconds.
    pub assumed_service_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue_max_ms: 500,
            burst_ms: 2_000,
            burst_over_percent: 10,
            summary_max_age_ms: 2_000,
            fill_percent: 110,
            assumed_service_ms: 200,
        }
    }
}

/// Priority of a request among those of its own account. It has no effect on other accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// For interactive requests.
    High,
    /// The default.
    #[default]
    Normal,
    /// For work that can wait.
    Low,
}

/// Identifier of a queued or running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The account that makes it.
    pub account: name::AccountName,
    /// Its priority within the account.
    pub priority: Priority,
    /// When its caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// A random value, the jitter for the retry time of a refused caller.
    pub draw: u64,
}

/// Immediate decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Admitted(Ticket),
    /// It waits. An [`Action`] follows.
    Queued(Ticket),
    /// It did not run and will not.
    Refused(refusal::Refusal),
}

/// Later decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It runs now.
    Start(Ticket),
    /// It is dropped from the queue. Its caller is to be told at once.
    Refuse(Ticket, refusal::Refusal),
}

#[derive(Clone, Debug)]
struct Waiting {
    account: name::AccountName,
    priority: Priority,
    expires_at_ms: u64,
    draw: u64,
}

#[derive(Clone, Debug)]
struct Running {
    account: name::AccountName,
    started_at_ms: u64,
}

/// Admission control for one kind of work at one entry.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    capacity: f64,
    local_capacity: f64,
    entries: usize,
    active_weight: u32,
    accounts: collections::BTreeMap<name::AccountName, account::Account>,
    peers: peers::Peers,
    waiting: collections::BTreeMap<Ticket, Waiting>,
    expiry_times: collections::BTreeSet<(u64, Ticket)>,
    running: collections::BTreeMap<Ticket, Running>,
    next_ticket: u64,
    last_tick_ms: u64,
}

impl Admission {
    /// Creates the admission control for upstreams with this many slots in the whole deployment.
    pub fn new(settings: Settings, capacity_slots: u32) -> Self {
        let mut admission = Self {
            settings,
            capacity: 0.0,
            local_capacity: 0.0,
            entries: 1,
            active_weight: 0,
            accounts: collections::BTreeMap::new(),
            peers: peers::Peers::default(),
            waiting: collections::BTreeMap::new(),
            expiry_times: collections::BTreeSet::new(),
            running: collections::BTreeMap::new(),
            next_ticket: 0,
            last_tick_ms: 0,
        };
        admission.set_capacity(capacity_slots);
        admission.local_capacity = admission.capacity;
        admission
    }

    /// Changes the deployment's capacity, with effect from the next tick.
    pub fn set_capacity(&mut self, capacity_slots: u32) {
        self.capacity = f64::from(capacity_slots) * f64::from(self.settings.fill_percent) / 100.0;
    }

    /// Sets an account's weight from the committed configuration. Unknown accounts have weight 1.
    pub fn set_weight(&mut self, name: &name::AccountName, weight: u32) {
        self.account(name).weight = weight.max(1);
    }

    /// Calls running at this entry.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests queued at this entry.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a new request.
    pub fn offer(&mut self, request: Request, now_ms: u64) -> Decision {
        if self.capacity <= 0.0 {
            return Decision::Refused(self.refusal(refusal::Reason::NoCapacity, 0, request.draw));
        }
        let guaranteed_here = self.guaranteed_here(&request.account);
        let account = self.account(&request.account);
        account.set_guaranteed(guaranteed_here);
        let service_ms = account.service_ms();
        let wait_ms = account.wait_ms(account.queued(request.priority));
        let starts_now = account.queue_is_empty() && self.may_start(&request.account);
        let wait_ms = if starts_now { 0 } else { wait_ms };
        if now_ms + wait_ms + service_ms > request.deadline_ms {
            let reason = refusal::Reason::Deadline;
            return Decision::Refused(self.refusal(reason, wait_ms, request.draw));
        }
        if starts_now {
            let ticket = self.new_ticket();
            self.start(ticket, request.account, now_ms);
            return Decision::Admitted(ticket);
        }
        if wait_ms > self.settings.queue_max_ms {
            let reason = refusal::Reason::AccountShare;
            return Decision::Refused(self.refusal(reason, wait_ms, request.draw));
        }
        Decision::Queued(self.enqueue(request, service_ms, now_ms))
    }

    /// Records the end of a call and starts queued requests in its place.
    pub fn finish(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if let Some(running) = self.running.remove(&ticket) {
            let account = self.account(&running.account);
            account.ended(now_ms.saturating_sub(running.started_at_ms));
        }
        self.start_waiting(now_ms)
    }

    /// Removes a queued or running request whose caller went away.
    pub fn cancel(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if let Some(running) = self.running.remove(&ticket) {
            self.account(&running.account).cancelled();
        }
        self.dequeue(ticket);
        self.start_waiting(now_ms)
    }

    /// Recomputes the shares. To be called ten times a second and at [`Self::next_wake_ms`].
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.peers.expire(self.settings.summary_max_age_ms, now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        self.update_shares();
        let burst_ms = self.settings.burst_ms;
        for account in self.accounts.values_mut() {
            account.advance(elapsed_ms, burst_ms);
        }
        let mut actions = self.start_waiting(now_ms);
        self.refuse_expired(now_ms, &mut actions);
        self.accounts.retain(|_, account| !account.can_drop(burst_ms));
        actions
    }

    /// When the next queued request expires, in milliseconds. A caller that is refused late waits
    /// for nothing meanwhile and retries late.
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.expiry_times.first().map(|&(expires_at_ms, _)| expires_at_ms)
    }

    /// Demand at this entry, to be sent to the other entries about twice a second.
    pub fn summary(&self) -> peers::Summary {
        let demands = self.accounts.iter().filter(|(_, account)| account.wanted() > 0);
        let demands = demands.map(|(name, account)| peers::Demand {
            account: name.clone(),
            weight: account.weight,
            wanted: account.wanted(),
        });
        peers::Summary { demands: demands.collect() }
    }

    /// Records the demand at another entry.
    pub fn update_peer(
        &mut self,
        entry: &name::InstanceName,
        summary: peers::Summary,
        now_ms: u64,
    ) {
        self.peers.update(entry, summary, now_ms);
    }

    /// Drops an entry that announced its leave or whose lease ended.
    pub fn entry_left(&mut self, entry: &name::InstanceName) {
        self.peers.remove(entry);
    }

    fn account(&mut self, name: &name::AccountName) -> &mut account::Account {
        let assumed_ms = self.settings.assumed_service_ms;
        let new = || account::Account::new(assumed_ms);
        self.accounts.entry(name.clone()).or_insert_with(new)
    }

    /// Share of an account at this entry regardless of the demand of others. The capacity is
    /// divided among the accounts that had any demand at the last tick, and this one.
    fn guaranteed_here(&mut self, name: &name::AccountName) -> f64 {
        let account = self.account(name);
        let weight = account.weight;
        let uncounted = if account.counted { 0 } else { weight };
        let weights = (self.active_weight + uncounted).max(1);
        self.capacity * f64::from(weight) / f64::from(weights) / self.entries as f64
    }

    fn may_start(&self, name: &name::AccountName) -> bool {
        let Some(account) = self.accounts.get(name) else { return false };
        let running = self.running.len() as f64;
        let burst_limit =
            self.local_capacity * f64::from(100 + self.settings.burst_over_percent) / 100.0;
        account.is_below_share()
            || running < self.local_capacity
            || (account.may_burst() && running < burst_limit)
    }

    /// Recomputes the shares. All entries compute the same shares from the same summaries, so no
    /// entry grants anything to others, and none is missed when it dies.
    fn update_shares(&mut self) {
        self.entries = 1 + self.peers.count();
        let requests = self.share_requests();
        let shares = shares::max_min_shares(self.capacity, requests.values());
        self.active_weight = requests.values().map(|request| request.weight).sum();
        let mut total_share = 0.0;
        let mut local_share = 0.0;
        for account in self.accounts.values_mut() {
            account.share_here = 0.0;
            account.counted = false;
        }
        for ((name, request), share) in requests.iter().zip(shares) {
            total_share += share;
            let Some(account) = self.accounts.get_mut(name) else { continue };
            let part = f64::from(account.wanted()) / request.wanted;
            account.share_here = share * part;
            account.counted = true;
            local_share += account.share_here;
        }
        self.local_capacity =
            local_share + (self.capacity - total_share).max(0.0) / self.entries as f64;
        self.set_guaranteed_shares();
    }

    /// Demand of all accounts in the whole deployment, without those that have none.
    fn share_requests(&self) -> collections::BTreeMap<name::AccountName, shares::ShareRequest> {
        let mut requests = collections::BTreeMap::new();
        for demand in self.peers.demands().filter(|demand| demand.wanted > 0) {
            let wanted = f64::from(demand.wanted);
            requests.insert(
                demand.account.clone(),
                shares::ShareRequest { weight: demand.weight, wanted },
            );
        }
        for (name, account) in self.accounts.iter().filter(|(_, account)| account.wanted() > 0) {
            let no_demand = shares::ShareRequest { weight: account.weight, wanted: 0.0 };
            let request = requests.entry(name.clone()).or_insert(no_demand);
            request.weight = account.weight;
            request.wanted += f64::from(account.wanted());
        }
        requests
    }

    fn set_guaranteed_shares(&mut self) {
        let names: Vec<_> = self.accounts.keys().cloned().collect();
        for name in names {
            let guaranteed_here = self.guaranteed_here(&name);
            self.account(&name).set_guaranteed(guaranteed_here);
        }
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn start(&mut self, ticket: Ticket, account: name::AccountName, now_ms: u64) {
        self.account(&account).in_flight += 1;
        self.running.insert(ticket, Running { account, started_at_ms: now_ms });
    }

    fn enqueue(&mut self, request: Request, service_ms: u64, now_ms: u64) -> Ticket {
        let ticket = self.new_ticket();
        let last_start_ms = request.deadline_ms.saturating_sub(service_ms);
        let expires_at_ms = last_start_ms.min(now_ms + self.settings.queue_max_ms);
        let Request { account, priority, draw, .. } = request;
        self.account(&account).push(priority, ticket);
        self.expiry_times.insert((expires_at_ms, ticket));
        self.waiting.insert(ticket, Waiting { account, priority, expires_at_ms, draw });
        ticket
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiry_times.remove(&(waiting.expires_at_ms, ticket));
        self.account(&waiting.account).withdraw(waiting.priority, ticket);
        Some(waiting)
    }

    /// Starts queued requests, those of the account furthest below its share first.
    fn start_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(name) = self.next_account() {
            let Some(ticket) = self.account(&name).first() else { break };
            self.dequeue(ticket);
            self.start(ticket, name, now_ms);
            actions.push(Action::Start(ticket));
        }
        actions
    }

    fn next_account(&self) -> Option<name::AccountName> {
        let waiting = self.accounts.iter().filter(|(_, account)| !account.queue_is_empty());
        let startable = waiting.filter(|(name, _)| self.may_start(name));
        let most_below_share = startable
            .min_by(|(_, left), (_, right)| left.share_used().total_cmp(&right.share_used()));
        most_below_share.map(|(name, _)| name.clone())
    }

    /// Refuses requests that have waited too long, or will have before they can start.
    ///
    /// After a loss of capacity the queue holds requests that cannot start in time. Without the
    /// second rule each of them would wait until its time is up before it is refused.
    fn refuse_expired(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut expired: Vec<_> = self.expiry_times.iter().copied().collect();
        expired.retain(|&(expires_at_ms, ticket)| {
            let waiting = &self.waiting[&ticket];
            let account = &self.accounts[&waiting.account];
            let ahead = account.ahead_of(waiting.priority, ticket);
            expires_at_ms <= now_ms || now_ms + account.wait_ms(ahead) > expires_at_ms
        });
        for (_, ticket) in expired {
            let Some(waiting) = self.dequeue(ticket) else { continue };
            let account = self.account(&waiting.account);
            let wait_ms = account.wait_ms(account.queued(waiting.priority));
            let refusal = self.refusal(refusal::Reason::QueueTime, wait_ms, waiting.draw);
            actions.push(Action::Refuse(ticket, refusal));
        }
    }

    fn refusal(&self, reason: refusal::Reason, wait_ms: u64, draw: u64) -> refusal::Refusal {
        refusal::Refusal::new(reason, wait_ms, draw)
    }
}
