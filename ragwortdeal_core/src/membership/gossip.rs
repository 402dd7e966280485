//! Push-pull gossip by which the entries of a zone agree on its upstreams.
//!
//! Every entry pulls from a few others in each round. A reply states for each known entry how long
//! ago it was last known to be alive, and by sequence numbers which changes the puller lacks. Ages
//! accumulate over the hops and count from the puller's own clock, so they are never too low:
//! entries that relay the records of a dead entry to each other cannot keep them alive.

mod peers;

use std::{cmp, net};

use crate::{
    membership::{
        self, Stamp, leases,
        origin::{self, OriginId},
        summary, view,
    },
    name,
};

/// Unit of ages in messages, with which most ages are encoded in one or two bytes.
const AGE_UNIT_MS: u64 = 50;

/// Summaries that one pull requests, so that the cost does not grow with the number of zones.
const SUMMARIES_PER_PULL: usize = 1;

/// Interval between two pulls of another zone's summary.
const SUMMARY_PULL_EVERY_MS: u64 = 2_000;

/// Records in one message at most, about 60 KB; the remaining ones follow with the next pull.
const RECORDS_PER_MESSAGE_MAX: usize = 256;

/// Random entries listed in the answer to an announcement, in addition to those that should hold
/// the upstream's lease.
const RANDOM_ENTRIES_PER_ACK: usize = 2;

/// One answer in this many to announcements without a description lists entries.
const ACKS_PER_ENTRY_LIST: u64 = 8;

/// One round of pulls in this many includes an entry from the settings, so that the parts of a
/// healed network partition find each other again.
const SEED_PULL_EVERY: u64 = 8;

/// An origin with its sequence number and age (in units of 50 ms) as known at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress(pub OriginId, pub u32, pub u16);

/// The body of a reply to a pull, in the shortest form that the common state of both sides allows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ReplyBody {
    /// Both sides hold the same changes: ages alone, in the order of the origins' identifiers.
    Same(Vec<u16>),
    /// Both sides know the same entries: sequence numbers and ages.
    Numbers(Vec<u32>, Vec<u16>),
    /// The progress of every entry that the sender knows.
    Roster(Vec<Progress>),
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Requests the sender's progress.
    Pull {
        /// The puller's clock.
        stamp: Stamp,
        /// Hash over the entries that the puller knows.
        roster: u64,
        /// Hash over the sequence numbers of their last changes.
        state: u64,
        /// Zones whose summaries the puller requests.
        wants: Vec<name::ZoneName>,
    },
    /// Answers a pull.
    Reply {
        /// The stamp of the pull.
        echo: Stamp,
        /// Hash over the entries that the sender knows.
        roster: u64,
        /// Progress of these entries.
        body: ReplyBody,
        /// Requested summaries, with their ages in units of 50 ms.
        summaries: Vec<(summary::Summary, u16)>,
    },
    /// Requests the changes of some entries after the given sequence numbers.
    Fetch(Vec<(OriginId, u32)>),
    /// Answers a fetch.
    Deltas(Vec<origin::Delta>),
    /// Urgent changes, which every receiver to which they are new forwards.
    Push(Vec<origin::Delta>),
    /// Requests the summary of the receiver's zone.
    SummaryPull(Stamp),
    /// Answers with the summary of the sender's zone.
    SummaryReply(Stamp, summary::Summary),
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving entry.
    pub to: name::InstanceName,
    /// Address at which it listens.
    pub address: net::SocketAddr,
    /// The message.
    pub message: Message,
}

/// What an entry knows of itself and of others when it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry itself.
    pub own: origin::Origin,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Entries of its zone that the settings name.
    pub seeds: Vec<(name::InstanceName, net::SocketAddr)>,
    /// Entries of other zones that the settings name.
    pub gateways: Vec<(name::ZoneName, name::InstanceName, net::SocketAddr)>,
    /// Seed for the random choices of peers.
    pub seed: u64,
}

/// The membership state of one entry.
#[derive(Debug)]
pub struct Members {
    settings: membership::Settings,
    config: Config,
    leases: leases::LeaseTable,
    own_log: origin::Log,
    pushed_seq: u32,
    peers: peers::Peers,
    zones: summary::ZoneSummaries,
    view: Option<view::View>,
    picks: u64,
    next_pull_ms: u64,
    next_summary_ms: u64,
}

impl Members {
    /// Membership of an entry that knows only its settings.
    pub fn new(settings: membership::Settings, config: Config) -> Self {
        let leases = leases::LeaseTable::new(settings.clone(), config.own.incarnation);
        let own_log = origin::Log::new(config.own.clone());
        let peers = peers::Peers::new(config.own.id(), settings.entry_lease_ms);
        let zones = summary::ZoneSummaries::new(config.gateways.iter().cloned());
        Self {
            settings,
            config,
            leases,
            own_log,
            pushed_seq: 0,
            peers,
            zones,
            view: None,
            picks: 0,
            next_pull_ms: 0,
            next_summary_ms: 0,
        }
    }

    /// Expires leases and entries, and returns the messages that are due. To be called every 100 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.expire(now_ms);
        let mut sends = self.push_own();
        if now_ms >= self.next_pull_ms {
            self.next_pull_ms = now_ms + self.settings.pull_every_ms;
            sends.extend(self.pulls(now_ms));
        }
        if now_ms >= self.next_summary_ms {
            self.next_summary_ms = now_ms + SUMMARY_PULL_EVERY_MS;
            sends.extend(self.summary_pulls(now_ms));
        }
        sends
    }

    /// Handles an upstream's announcement and returns the answer.
    pub fn receive_announce(&mut self, now_ms: u64, announce: &leases::Announce) -> leases::Ack {
        self.expire(now_ms);
        let known = self.view().incarnation(&announce.name);
        let (outcome, change) = self.leases.receive_announce(now_ms, announce, known);
        self.record(change);
        // The list of entries is most of an answer. An agent needs it at its start, and from time
        // to time afterwards.
        let listed = announce.upstream.is_some() || self.pick().is_multiple_of(ACKS_PER_ENTRY_LIST);
        let entries = if listed { self.entries_for(&announce.name) } else { Vec::new() };
        let described = (announce.incarnation, announce.description);
        let stamp = self.stamp(now_ms);
        leases::Ack { echo: announce.sent, stamp, outcome, described, entries }
    }

    /// Handles a message of another entry and returns the messages to send.
    pub fn receive(&mut self, now_ms: u64, from: &Sender, message: Message) -> Vec<Outgoing> {
        self.expire(now_ms);
        match message {
            Message::Pull { stamp, roster, state, wants } => {
                self.peers.record_pull(now_ms, &from.name);
                let reply = self.reply(now_ms, stamp, (roster, state), &wants);
                [Some(from.answer(reply)), self.pull_unknown(now_ms, from)]
                    .into_iter()
                    .flatten()
                    .collect()
            }
            Message::Reply { echo, roster, body, summaries } => {
                self.receive_reply(now_ms, from, echo, (roster, body), summaries)
            }
            Message::Fetch(wants) => vec![from.answer(Message::Deltas(self.deltas(&wants)))],
            Message::Deltas(deltas) => {
                self.apply(deltas);
                Vec::new()
            }
            Message::Push(deltas) => self.receive_push(deltas),
            Message::SummaryPull(stamp) => {
                let summary = self.summarise();
                vec![from.answer(Message::SummaryReply(stamp, summary))]
            }
            Message::SummaryReply(echo, summary) => {
                if let Some(asked_ms) = echo.reading_of(self.config.own.incarnation, now_ms) {
                    self.zones.update(summary, asked_ms);
                }
                Vec::new()
            }
        }
    }

    /// The zone's upstreams, merged from the records of all its live entries.
    pub fn upstreams(&mut self, now_ms: u64) -> &view::View {
        self.expire(now_ms);
        self.view()
    }

    /// The live entries of the zone, this one included.
    pub fn entries(&mut self, now_ms: u64) -> Vec<name::InstanceName> {
        self.expire(now_ms);
        self.live_entries()
    }

    /// Address at which a live entry of the zone listens.
    pub fn address(&self, entry: &name::InstanceName) -> Option<net::SocketAddr> {
        self.peers.address(entry)
    }

    /// The summary of another zone with its age in milliseconds, unless it is too old.
    pub fn zone_summary(
        &self,
        zone: &name::ZoneName,
        now_ms: u64,
    ) -> Option<(&summary::Summary, u64)> {
        self.zones.get(zone, now_ms).map(|(s, current_ms)| (s, now_ms - current_ms))
    }

    /// Announces that this entry shuts down, so that others drop its records at once.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.own_log.close();
        self.push_own()
    }

    fn expire(&mut self, now_ms: u64) {
        for change in self.leases.expire(now_ms) {
            self.record(Some(change));
        }
        if self.peers.expire(now_ms) {
            self.view = None;
        }
    }

    fn record(&mut self, change: Option<leases::Change>) {
        if let Some(change) = change {
            self.own_log.record(change);
            self.view = None;
        }
    }

    fn view(&mut self) -> &view::View {
        let records = || self.own_log.records().chain(self.peers.records());
        self.view.get_or_insert_with(|| view::View::merge(records()))
    }

    fn live_entries(&self) -> Vec<name::InstanceName> {
        let own = self.config.own.name.clone();
        self.peers.live().map(|peer| peer.name.clone()).chain([own]).collect()
    }

    /// The entries that an upstream should choose, and some others that differ each time: an agent
    /// that knew only the former could reach no entry after the loss of their rack.
    fn entries_for(&mut self, owner: &str) -> Vec<(name::InstanceName, net::SocketAddr)> {
        let pick = self.pick();
        let own = &self.config.own;
        let mut entries: Vec<_> = self
            .peers
            .live()
            .chain([own])
            .map(|entry| (membership::rendezvous_weight(owner, &entry.name), entry))
            .collect();
        entries.sort_by_key(|(weight, _)| cmp::Reverse(*weight));
        entries.truncate(self.settings.entries_per_upstream);
        let best = entries.into_iter().map(|(_, entry)| (entry.name.clone(), entry.address));
        best.chain(peers::sample(self.peers.targets(), pick, RANDOM_ENTRIES_PER_ACK)).collect()
    }

    fn stamp(&self, now_ms: u64) -> Stamp {
        Stamp { incarnation: self.config.own.incarnation, at_ms: now_ms }
    }

    fn summarise(&mut self) -> summary::Summary {
        let own = (self.config.own.name.clone(), self.config.own.address);
        let others = self.peers.live().map(|peer| (peer.name.clone(), peer.address));
        let gateways = others.take(summary::GATEWAYS_MAX - 1).chain([own]).collect();
        let zone = self.config.zone.clone();
        summary::summarise(&zone, self.view().eligible(), gateways)
    }

    /// The next pseudo-random number for choosing peers, replayable from the seed.
    fn pick(&mut self) -> u64 {
        self.picks += 1;
        membership::splitmix64(self.config.seed ^ membership::splitmix64(self.picks))
    }

    /// Pushes the own changes if one of them is urgent. Other changes wait for the next pulls, which
    /// cost less because each entry receives a change once.
    fn push_own(&mut self) -> Vec<Outgoing> {
        if self.own_log.seq() == self.pushed_seq {
            return Vec::new();
        }
        let delta = self.own_log.delta_since(self.pushed_seq);
        self.pushed_seq = self.own_log.seq();
        if delta.is_urgent() { self.push(vec![delta]) } else { Vec::new() }
    }

    fn push(&mut self, deltas: Vec<origin::Delta>) -> Vec<Outgoing> {
        let pick = self.pick();
        let partners = self.peers.partners(&self.config.own.name);
        let targets = peers::sample(partners, pick, self.settings.push_fanout);
        targets.iter().map(|peer| send(peer, Message::Push(deltas.clone()))).collect()
    }

    fn receive_push(&mut self, deltas: Vec<origin::Delta>) -> Vec<Outgoing> {
        let mut fresh = self.apply(deltas);
        fresh.retain(origin::Delta::is_urgent);
        if fresh.is_empty() { Vec::new() } else { self.push(fresh) }
    }

    /// Applies deltas and returns those that were new.
    fn apply(&mut self, deltas: Vec<origin::Delta>) -> Vec<origin::Delta> {
        let fresh: Vec<_> = deltas.into_iter().filter(|d| self.peers.apply(d)).collect();
        if !fresh.is_empty() {
            self.view = None;
        }
        fresh
    }

    fn pulls(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let pick = self.pick();
        let partners = self.peers.partners(&self.config.own.name);
        let mut targets = peers::sample(partners, pick, self.settings.pull_fanout);
        if targets.is_empty() || pick.is_multiple_of(SEED_PULL_EVERY) {
            targets.extend(self.pick_seed(pick));
        }
        let message = self.pull(now_ms);
        targets.into_iter().map(|peer| send(&peer, message.clone())).collect()
    }

    fn pull(&mut self, now_ms: u64) -> Message {
        Message::Pull {
            stamp: self.stamp(now_ms),
            roster: self.peers.roster_hash(),
            state: self.peers.state_hash(self.own_log.seq()),
            wants: self.zones.next_wanted(SUMMARIES_PER_PULL),
        }
    }

    /// Pulls from a puller that is unknown here. Otherwise the entries listed in the settings would
    /// know only each other, and the zone's upstreams would be lost together with them.
    fn pull_unknown(&mut self, now_ms: u64, from: &Sender) -> Option<Outgoing> {
        let unknown = self.peers.address(&from.name).is_none();
        // Without this limit, two entries that do not know each other would pull from each other
        // without pause until their records arrive.
        let due = self.peers.may_pull_back(now_ms, &from.name, self.settings.pull_every_ms);
        (unknown && due).then(|| from.answer(self.pull(now_ms)))
    }

    fn pick_seed(&self, pick: u64) -> Option<peers::Target> {
        let own = &self.config.own.name;
        let seeds: Vec<_> = self.config.seeds.iter().filter(|(name, _)| name != own).collect();
        let index = (pick >> 32) as usize % seeds.len().max(1);
        seeds.get(index).map(|(name, address)| (name.clone(), *address))
    }

    fn summary_pulls(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let pick = self.pick();
        let live = self.live_entries();
        let target = self.zones.next_pull_target(&self.config.own.name, &live, pick);
        let stamp = self.stamp(now_ms);
        target.iter().map(|target| send(target, Message::SummaryPull(stamp))).collect()
    }

    fn reply(
        &mut self,
        now_ms: u64,
        echo: Stamp,
        asked: (u64, u64),
        wants: &[name::ZoneName],
    ) -> Message {
        let own_seq = self.own_log.seq();
        let roster = self.peers.roster_hash();
        let progress = self.peers.progress(now_ms, own_seq);
        let ages = || progress.iter().map(|p| p.2).collect();
        let body = if asked == (roster, self.peers.state_hash(own_seq)) {
            ReplyBody::Same(ages())
        } else if asked.0 == roster {
            ReplyBody::Numbers(progress.iter().map(|p| p.1).collect(), ages())
        } else {
            ReplyBody::Roster(progress)
        };
        let wanted = wants.iter().take(SUMMARIES_PER_PULL);
        let aged = wanted.filter_map(|zone| self.zone_summary(zone, now_ms));
        let summaries = aged.map(|(s, age_ms)| (s.clone(), age_units(age_ms))).collect();
        Message::Reply { echo, roster, body, summaries }
    }

    fn receive_reply(
        &mut self,
        now_ms: u64,
        from: &Sender,
        echo: Stamp,
        (roster, body): (u64, ReplyBody),
        summaries: Vec<(summary::Summary, u16)>,
    ) -> Vec<Outgoing> {
        let Some(asked_ms) = echo.reading_of(self.config.own.incarnation, now_ms) else {
            return Vec::new();
        };
        for (summary, age) in summaries {
            if let Some(current_ms) = asked_ms.checked_sub(u64::from(age) * AGE_UNIT_MS) {
                self.zones.update(summary, current_ms);
            }
        }
        let Some(progress) = self.peers.expand(roster, body) else { return Vec::new() };
        let wants = self.peers.record_progress(now_ms, asked_ms, &progress);
        if wants.is_empty() { Vec::new() } else { vec![from.answer(Message::Fetch(wants))] }
    }

    fn deltas(&self, wants: &[(OriginId, u32)]) -> Vec<origin::Delta> {
        let mut room = RECORDS_PER_MESSAGE_MAX;
        let mut deltas = Vec::new();
        for (id, from) in wants {
            let own = *id == self.config.own.id();
            let log = if own { Some(&self.own_log) } else { self.peers.log(*id) };
            let Some(delta) = log.map(|log| log.delta_since(*from)) else { continue };
            // A delta is never split: the receiver would take a part of it for the whole.
            if delta.put.len() > room && !deltas.is_empty() {
                break;
            }
            room = room.saturating_sub(delta.put.len());
            deltas.push(delta);
        }
        deltas
    }
}

/// The process that sent a message, as identified by the link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its instance.
    pub name: name::InstanceName,
    /// Address at which it listens.
    pub address: net::SocketAddr,
}

impl Sender {
    fn answer(&self, message: Message) -> Outgoing {
        Outgoing { to: self.name.clone(), address: self.address, message }
    }
}

fn send(to: &peers::Target, message: Message) -> Outgoing {
    Outgoing { to: to.0.clone(), address: to.1, message }
}

/// An age in whole units, rounded up so that no hop makes an age lower.
fn age_units(age_ms: u64) -> u16 {
    u16::try_from(age_ms.div_ceil(AGE_UNIT_MS)).unwrap_or(u16::MAX)
}
