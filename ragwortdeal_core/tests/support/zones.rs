//! Simulated availability zones of entries and upstreams on the seeded network.

use std::{collections, net};

use ragwortdeal_core::{
    membership::{self, announcer, gossip, leases, origin},
    name,
};

use super::network;

/// Step of the simulated time.
pub const STEP_MS: u64 = 10;
const TICK_MS: u64 = 100;

/// A message between nodes.
#[derive(Clone, Debug)]
pub enum Wire {
    /// An upstream's announcement.
    Announce(leases::Announce),
    /// An entry's answer to an announcement.
    Ack(leases::Ack),
    /// A message between entries.
    Gossip(gossip::Message),
}

/// An agent in either phase.
pub enum Agent {
    /// It accepts calls.
    Serving(announcer::Announcer<announcer::Serving>),
    /// It leaves.
    Leaving(announcer::Announcer<announcer::Leaving>),
}

/// One process.
pub enum Process {
    /// An entry.
    Entry(Box<gossip::Members>),
    /// An upstream's agent.
    Agent(Box<Agent>),
    /// A crashed process.
    Dead,
}

/// Counts of what one node has received so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Received {
    /// Messages.
    pub messages: u64,
    /// Items in them that grow with the state: ages, numbers, records, summaries.
    pub items: u64,
}

/// Several zones, with `entries` entries and `upstreams` upstreams each.
pub struct Zones {
    /// The network.
    pub network: network::Network<Wire>,
    /// Simulated time.
    pub now_ms: u64,
    /// All processes by node number: zone by zone, entries first.
    pub processes: Vec<Process>,
    /// Paused processes and the time at which they resume.
    pub paused: collections::BTreeMap<usize, u64>,
    /// A fault injected into every message on its arrival, to show that the checks detect it.
    pub injected_fault: Option<fn(&mut Wire, u64)>,
    /// What each node received.
    pub received: Vec<Received>,
    entries: usize,
    upstreams: usize,
    starts: u64,
}

/// Instance name of a node.
pub fn name_of(node: usize) -> name::InstanceName {
    name::InstanceName::new(&format!("instance-{node:04}")).expect("a valid name")
}

fn address_of(node: usize) -> net::SocketAddr {
    let node = u16::try_from(node).expect("a small number");
    net::SocketAddr::from(([127, 0, 0, 1], 10_000 + node))
}

fn node_of(address: net::SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> name::ZoneName {
    name::ZoneName::new(&format!("zone-{zone:02}")).expect("a valid name")
}

impl Zones {
    /// Starts all processes of the zones at time zero.
    pub fn new(seed: u64, zones: usize, (entries, upstreams): (usize, usize)) -> Self {
        let nodes = zones * (entries + upstreams);
        let mut this = Self {
            network: network::Network::new(seed, network::Faults::NONE),
            now_ms: 0,
            processes: Vec::new(),
            paused: collections::BTreeMap::new(),
            injected_fault: None,
            received: vec![Received::default(); nodes],
            entries,
            upstreams,
            starts: 0,
        };
        for node in 0..nodes {
            let process = this.start(node);
            this.processes.push(process);
        }
        this
    }

    /// Zone of a node.
    pub fn zone_of(&self, node: usize) -> usize {
        node / (self.entries + self.upstreams)
    }

    /// Nodes of the zone's entries.
    pub fn entries_of(&self, zone: usize) -> std::ops::Range<usize> {
        let first = zone * (self.entries + self.upstreams);
        first..first + self.entries
    }

    /// Nodes of the zone's upstreams.
    pub fn upstreams_of(&self, zone: usize) -> std::ops::Range<usize> {
        let first = self.entries_of(zone).end;
        first..first + self.upstreams
    }

    fn zones(&self) -> usize {
        self.received.len() / (self.entries + self.upstreams)
    }

    /// A new incarnation of a node's process, without any state.
    pub fn start(&mut self, node: usize) -> Process {
        self.starts += 1;
        let zone = self.zone_of(node);
        // The settings name two entries of the zone and one of each other zone.
        let seeds = self.entries_of(zone).take(2).map(|n| (name_of(n), address_of(n)));
        if !self.entries_of(zone).contains(&node) {
            return self.start_agent(node, seeds.collect());
        }
        let other = |z: &usize| *z != zone;
        let gateway = |z| {
            let node = self.entries_of(z).start;
            (zone_name(z), name_of(node), address_of(node))
        };
        let own = origin::Origin {
            name: name_of(node),
            incarnation: self.starts,
            address: address_of(node),
        };
        let start = gossip::Config {
            own,
            zone: zone_name(zone),
            seeds: seeds.collect(),
            gateways: (0..self.zones()).filter(other).map(gateway).collect(),
            seed: self.starts,
        };
        let members = gossip::Members::new(membership::Settings::default(), start);
        Process::Entry(Box::new(members))
    }

    fn start_agent(
        &self,
        node: usize,
        seeds: Vec<(name::InstanceName, net::SocketAddr)>,
    ) -> Process {
        let upstream = membership::Upstream {
            name: name_of(node),
            incarnation: self.starts,
            description: 0,
            address: address_of(node),
            model: Some(name::ModelName::new("model").expect("a valid name")),
            version: None,
            capacity: 8,
            labels: collections::BTreeMap::new(),
        };
        let settings = membership::Settings::default();
        let announcer = announcer::Announcer::new(settings, self.starts, upstream, seeds);
        Process::Agent(Box::new(Agent::Serving(announcer)))
    }

    /// Tells an upstream to leave.
    pub fn leave(&mut self, node: usize) {
        let process = std::mem::replace(&mut self.processes[node], Process::Dead);
        let Process::Agent(agent) = process else { panic!("node {node} is no upstream") };
        let Agent::Serving(announcer) = *agent else { panic!("node {node} leaves already") };
        let leaving = Agent::Leaving(announcer.leave(self.now_ms));
        self.processes[node] = Process::Agent(Box::new(leaving));
    }

    /// Whether the upstream's agent would start a call now.
    pub fn may_start(&self, node: usize) -> bool {
        match &self.processes[node] {
            Process::Agent(agent) => match &**agent {
                Agent::Serving(announcer) => announcer.may_start(self.now_ms),
                Agent::Leaving(announcer) => announcer.may_start(self.now_ms),
            },
            _ => false,
        }
    }

    /// The upstreams that an entry would choose from now, or none if it is dead or paused.
    pub fn eligible(&mut self, entry: usize) -> collections::BTreeSet<name::InstanceName> {
        let now_ms = self.now_ms;
        let paused = self.paused.contains_key(&entry);
        match &mut self.processes[entry] {
            Process::Entry(members) if !paused => {
                members.upstreams(now_ms).eligible().map(|u| u.name.clone()).collect()
            }
            _ => collections::BTreeSet::new(),
        }
    }

    /// The entries that a live entry knows.
    pub fn known_entries(&mut self, entry: usize) -> collections::BTreeSet<name::InstanceName> {
        let now_ms = self.now_ms;
        match &mut self.processes[entry] {
            Process::Entry(members) => members.entries(now_ms).into_iter().collect(),
            _ => collections::BTreeSet::new(),
        }
    }

    /// Capacity of another zone according to an entry's summary of it, with the summary's age.
    pub fn capacity_of(&self, zone: usize, entry: usize) -> Option<(u64, u64)> {
        let Process::Entry(members) = &self.processes[entry] else { return None };
        let (summary, age_ms) = members.zone_summary(&zone_name(zone), self.now_ms)?;
        Some((summary.groups.iter().map(|group| group.capacity).sum(), age_ms))
    }

    /// Advances the simulated time, calling `check` after each step.
    pub fn run(&mut self, duration_ms: u64, mut check: impl FnMut(&mut Self)) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            self.paused.retain(|_, until_ms| *until_ms > now_ms);
            self.deliver();
            for node in 0..self.processes.len() {
                // Ticks of different processes fall at different times.
                if (now_ms / STEP_MS + node as u64).is_multiple_of(TICK_MS / STEP_MS) {
                    self.tick(node);
                }
            }
            check(self);
        }
    }

    fn deliver(&mut self) {
        while let Some(arrival) = self.network.next(self.now_ms) {
            match self.paused.get(&arrival.to) {
                Some(&until_ms) => self.network.deliver_at(until_ms, arrival),
                None => self.receive(arrival),
            }
        }
    }

    fn tick(&mut self, node: usize) {
        if self.paused.contains_key(&node) {
            return;
        }
        let now_ms = self.now_ms;
        match &mut self.processes[node] {
            Process::Entry(members) => {
                let sends = members.tick(now_ms);
                self.send_gossip(node, sends);
            }
            Process::Agent(agent) => {
                let sends = match &mut **agent {
                    Agent::Serving(announcer) => announcer.tick(now_ms),
                    Agent::Leaving(announcer) => announcer.tick(now_ms),
                };
                for send in sends {
                    let to = node_of(send.address);
                    self.network.send(now_ms, node, to, Wire::Announce(send.announce));
                }
            }
            Process::Dead => {}
        }
    }

    fn send_gossip(&mut self, node: usize, sends: Vec<gossip::Outgoing>) {
        for send in sends {
            let to = node_of(send.address);
            self.network.send(self.now_ms, node, to, Wire::Gossip(send.message));
        }
    }

    fn receive(&mut self, mut arrival: network::Arrival<Wire>) {
        let now_ms = self.now_ms;
        if let Some(inject) = self.injected_fault {
            inject(&mut arrival.message, now_ms);
        }
        let (from, to) = (arrival.from, arrival.to);
        self.received[to].messages += 1;
        match (&mut self.processes[to], arrival.message) {
            (Process::Entry(members), Wire::Announce(announce)) => {
                let ack = members.receive_announce(now_ms, &announce);
                self.network.send(now_ms, to, from, Wire::Ack(ack));
            }
            (Process::Entry(members), Wire::Gossip(message)) => {
                self.received[to].items += items(&message);
                let sender = gossip::Sender { name: name_of(from), address: address_of(from) };
                let sends = members.receive(now_ms, &sender, message);
                self.send_gossip(to, sends);
            }
            (Process::Agent(agent), Wire::Ack(ack)) => match &mut **agent {
                Agent::Serving(announcer) => announcer.receive_ack(now_ms, &name_of(from), &ack),
                Agent::Leaving(announcer) => announcer.receive_ack(now_ms, &name_of(from), &ack),
            },
            _ => {}
        }
    }
}

fn items(message: &gossip::Message) -> u64 {
    let deltas = |deltas: &[origin::Delta]| deltas.iter().map(|d| 1 + d.put.len()).sum();
    let count = match message {
        gossip::Message::Reply { body, summaries, .. } => {
            let ages = match body {
                gossip::ReplyBody::Same(ages) => ages.len(),
                gossip::ReplyBody::Numbers(numbers, ages) => numbers.len() + ages.len(),
                gossip::ReplyBody::Roster(progress) => 3 * progress.len(),
            };
            ages + summaries.len()
        }
        gossip::Message::Fetch(wants) => wants.len(),
        gossip::Message::Deltas(d) | gossip::Message::Push(d) => deltas(d),
        _ => 1,
    };
    count as u64
}
