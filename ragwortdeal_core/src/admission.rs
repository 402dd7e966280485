//! Fair shares, queues bounded by time, and typed refusals for callers' requests.
//!
//! One [`Admission`] guards one kind of work at one entry: a model, or a plain service with limits
//! of its own. The entries of a deployment tell each other what each account has in flight and
//! waiting; from that, each works out the same shares and takes the part that its own demand has
//! in them. `docs/design/limits.md` tells what was weighed and measured.

pub mod account;
pub mod peers;
pub mod refusal;
pub mod shares;

use std::collections;

use crate::name;

/// How an entry admits requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest wait in a queue in milliseconds. Queues are bounded by time, because the same
    /// length is nothing to a short call and ruin to a long one.
    pub queue_max_ms: u64,
    /// Time in milliseconds for which an account may save up unused share for a burst.
    pub burst_ms: u64,
    /// How far bursts may take the entry over its part of the capacity, in percent.
    pub burst_over_percent: u32,
    /// Age at which another entry's summary no longer counts, in milliseconds.
    pub summary_max_age_ms: u64,
    /// Calls admitted for each hundred slots of the upstreams. A few more than slots keep all
    /// upstreams busy although no choice among them is perfect.
    pub fill_percent: u32,
    /// Duration of a call that is assumed until one has ended, in milliseconds.
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

/// Importance of a request among those of its own account; it never counts against others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Somebody is waiting at a desk.
    High,
    /// The usual one.
    #[default]
    Normal,
    /// Work that can wait.
    Low,
}

/// Identifier of a request that is queued or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The account on whose behalf it is made.
    pub account: name::AccountName,
    /// Its importance within the account.
    pub priority: Priority,
    /// When its caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// A random value, which spreads the times at which refused callers come back.
    pub draw: u64,
}

/// What becomes of a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Admitted(Ticket),
    /// It waits; an [`Action`] will tell.
    Queued(Ticket),
    /// It did not run and will not.
    Refused(refusal::Refusal),
}

/// What becomes of a queued request later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It runs now.
    Start(Ticket),
    /// It is given up; its caller is to be told at once.
    Refuse(Ticket, refusal::Refusal),
}

#[derive(Clone, Debug)]
struct Waiting {
    account: name::AccountName,
    priority: Priority,
    give_up_at_ms: u64,
    draw: u64,
}

#[derive(Clone, Debug)]
struct Running {
    account: name::AccountName,
    started_at_ms: u64,
}

/// Admission of one kind of work at one entry.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    capacity: f64,
    room_here: f64,
    entries: usize,
    active_weight: u32,
    accounts: collections::BTreeMap<name::AccountName, account::Account>,
    peers: peers::Peers,
    waiting: collections::BTreeMap<Ticket, Waiting>,
    give_up_times: collections::BTreeSet<(u64, Ticket)>,
    running: collections::BTreeMap<Ticket, Running>,
    next_ticket: u64,
    last_tick_ms: u64,
}

impl Admission {
    /// Admission to upstreams with this many slots in the whole deployment.
    pub fn new(settings: Settings, capacity_slots: u32) -> Self {
        let mut admission = Self {
            settings,
            capacity: 0.0,
            room_here: 0.0,
            entries: 1,
            active_weight: 0,
            accounts: collections::BTreeMap::new(),
            peers: peers::Peers::default(),
            waiting: collections::BTreeMap::new(),
            give_up_times: collections::BTreeSet::new(),
            running: collections::BTreeMap::new(),
            next_ticket: 0,
            last_tick_ms: 0,
        };
        admission.set_capacity(capacity_slots);
        admission.room_here = admission.capacity;
        admission
    }

    /// Changes the deployment's capacity; it counts from the next tick.
    pub fn set_capacity(&mut self, capacity_slots: u32) {
        self.capacity = f64::from(capacity_slots) * f64::from(self.settings.fill_percent) / 100.0;
    }

    /// Sets an account's weight, from the committed configuration. Unknown accounts weigh one.
    pub fn set_weight(&mut self, name: &name::AccountName, weight: u32) {
        self.account(name).weight = weight.max(1);
    }

    /// Calls running here.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting here.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a new request.
    pub fn offer(&mut self, request: Request, now_ms: u64) -> Decision {
        if self.capacity <= 0.0 {
            return Decision::Refused(self.refusal(refusal::Reason::NoCapacity, 0, request.draw));
        }
        let floor_here = self.floor_here(&request.account);
        let account = self.account(&request.account);
        account.note_floor(floor_here);
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

    /// Counts a call as ended, and starts what may start in its place.
    pub fn finish(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if let Some(running) = self.running.remove(&ticket) {
            let account = self.account(&running.account);
            account.ended(now_ms.saturating_sub(running.started_at_ms));
        }
        self.start_waiting(now_ms)
    }

    /// Forgets a request whose caller went away, be it queued or running.
    pub fn cancel(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if let Some(running) = self.running.remove(&ticket) {
            self.account(&running.account).cancelled();
        }
        self.unqueue(ticket);
        self.start_waiting(now_ms)
    }

    /// Works the shares out anew; to be called ten times a second and at [`Self::next_wake_ms`].
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.peers.expire(self.settings.summary_max_age_ms, now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        self.share_out();
        let burst_ms = self.settings.burst_ms;
        for account in self.accounts.values_mut() {
            account.pass_time(elapsed_ms, burst_ms);
        }
        let mut actions = self.start_waiting(now_ms);
        self.give_up(now_ms, &mut actions);
        self.accounts.retain(|_, account| !account.is_forgettable(burst_ms));
        actions
    }

    /// When the next queued request is given up, in milliseconds. A caller that is told late asks
    /// again late, and meanwhile waits for nothing.
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.give_up_times.first().map(|&(give_up_at_ms, _)| give_up_at_ms)
    }

    /// What this entry tells the others, about twice a second.
    pub fn summary(&self) -> peers::Summary {
        let demands = self.accounts.iter().filter(|(_, account)| account.wanted() > 0);
        let demands = demands.map(|(name, account)| peers::Demand {
            account: name.clone(),
            weight: account.weight,
            wanted: account.wanted(),
        });
        peers::Summary { demands: demands.collect() }
    }

    /// Takes in what another entry told.
    pub fn update_peer(
        &mut self,
        entry: &name::InstanceName,
        summary: peers::Summary,
        now_ms: u64,
    ) {
        self.peers.learn(entry, summary, now_ms);
    }

    /// Forgets an entry that said it is leaving or whose lease ended.
    pub fn entry_left(&mut self, entry: &name::InstanceName) {
        self.peers.forget(entry);
    }

    fn account(&mut self, name: &name::AccountName) -> &mut account::Account {
        let assumed_ms = self.settings.assumed_service_ms;
        let new = || account::Account::new(assumed_ms);
        self.accounts.entry(name.clone()).or_insert_with(new)
    }

    /// What an account gets here however much the others want. Only accounts that wanted anything
    /// at the last tick divide the capacity, and this one.
    fn floor_here(&mut self, name: &name::AccountName) -> f64 {
        let account = self.account(name);
        let weight = account.weight;
        let uncounted = if account.counted { 0 } else { weight };
        let weights = (self.active_weight + uncounted).max(1);
        self.capacity * f64::from(weight) / f64::from(weights) / self.entries as f64
    }

    fn may_start(&self, name: &name::AccountName) -> bool {
        let Some(account) = self.accounts.get(name) else { return false };
        let running = self.running.len() as f64;
        let burst_room = self.room_here * f64::from(100 + self.settings.burst_over_percent) / 100.0;
        account.is_below_share()
            || running < self.room_here
            || (account.may_burst() && running < burst_room)
    }

    /// Every entry works out the same shares from the same summaries, so no entry has to grant
    /// anything, and none is missed when it dies.
    fn share_out(&mut self) {
        self.entries = 1 + self.peers.count();
        let claims = self.claims();
        let filled = shares::max_min_shares(self.capacity, claims.values());
        self.active_weight = claims.values().map(|claim| claim.weight).sum();
        let mut given = 0.0;
        let mut given_here = 0.0;
        for account in self.accounts.values_mut() {
            account.share_here = 0.0;
            account.counted = false;
        }
        for ((name, claim), share) in claims.iter().zip(filled) {
            given += share;
            let Some(account) = self.accounts.get_mut(name) else { continue };
            let part = f64::from(account.wanted()) / claim.wanted;
            account.share_here = share * part;
            account.counted = true;
            given_here += account.share_here;
        }
        self.room_here = given_here + (self.capacity - given).max(0.0) / self.entries as f64;
        self.set_floors();
    }

    /// What every account wants in the whole deployment, those that want nothing left out.
    fn claims(&self) -> collections::BTreeMap<name::AccountName, shares::ShareRequest> {
        let mut claims = collections::BTreeMap::new();
        for demand in self.peers.demands().filter(|demand| demand.wanted > 0) {
            let wanted = f64::from(demand.wanted);
            claims.insert(
                demand.account.clone(),
                shares::ShareRequest { weight: demand.weight, wanted },
            );
        }
        for (name, account) in self.accounts.iter().filter(|(_, account)| account.wanted() > 0) {
            let unclaimed = shares::ShareRequest { weight: account.weight, wanted: 0.0 };
            let claim = claims.entry(name.clone()).or_insert(unclaimed);
            claim.weight = account.weight;
            claim.wanted += f64::from(account.wanted());
        }
        claims
    }

    fn set_floors(&mut self) {
        let names: Vec<_> = self.accounts.keys().cloned().collect();
        for name in names {
            let floor_here = self.floor_here(&name);
            self.account(&name).note_floor(floor_here);
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
        let give_up_at_ms = last_start_ms.min(now_ms + self.settings.queue_max_ms);
        let Request { account, priority, draw, .. } = request;
        self.account(&account).push(priority, ticket);
        self.give_up_times.insert((give_up_at_ms, ticket));
        self.waiting.insert(ticket, Waiting { account, priority, give_up_at_ms, draw });
        ticket
    }

    fn unqueue(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.give_up_times.remove(&(waiting.give_up_at_ms, ticket));
        self.account(&waiting.account).withdraw(waiting.priority, ticket);
        Some(waiting)
    }

    /// Starts queued requests, those of the account furthest below its share first.
    fn start_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(name) = self.next_account() {
            let Some(ticket) = self.account(&name).first() else { break };
            self.unqueue(ticket);
            self.start(ticket, name, now_ms);
            actions.push(Action::Start(ticket));
        }
        actions
    }

    fn next_account(&self) -> Option<name::AccountName> {
        let waiting = self.accounts.iter().filter(|(_, account)| !account.queue_is_empty());
        let startable = waiting.filter(|(name, _)| self.may_start(name));
        let neediest = startable
            .min_by(|(_, left), (_, right)| left.share_used().total_cmp(&right.share_used()));
        neediest.map(|(name, _)| name.clone())
    }

    /// Refuses what has waited too long, and what will have by the time that it could start.
    ///
    /// After a loss of capacity the queue holds requests that cannot make it. Without the second
    /// rule each of them would wait for its refusal until its time was up.
    fn give_up(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut hopeless: Vec<_> = self.give_up_times.iter().copied().collect();
        hopeless.retain(|&(give_up_at_ms, ticket)| {
            let waiting = &self.waiting[&ticket];
            let account = &self.accounts[&waiting.account];
            let ahead = account.ahead_of(waiting.priority, ticket);
            give_up_at_ms <= now_ms || now_ms + account.wait_ms(ahead) > give_up_at_ms
        });
        for (_, ticket) in hopeless {
            let Some(waiting) = self.unqueue(ticket) else { continue };
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
