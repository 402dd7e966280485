//! Zones of real membership parts on a perfect network in virtual time.

use std::{collections, net};

use ragwortdeal_core::{
    digest, labels,
    membership::{self, announcer, gossip, leases, origin},
    name,
};

use crate::meter;

const STEP_MS: u64 = 20;
const TICK_MS: u64 = 100;

/// What one process cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Processor time, encoding and decoding included.
    pub cpu_ns: u64,
}

impl Cost {
    /// Bytes of the busier direction.
    pub fn bytes(&self) -> u64 {
        self.sent_bytes.max(self.received_bytes)
    }
}

enum Process {
    Entry(Box<gossip::Members>),
    Agent(Box<announcer::Announcer<announcer::Serving>>),
}

/// Size of a deployment: zones, and entries and upstreams in each.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Availability zones.
    pub zones: usize,
    /// Entries in each.
    pub entries: usize,
    /// Upstreams in each.
    pub upstreams: usize,
}

impl Size {
    fn per_zone(self) -> usize {
        self.entries + self.upstreams
    }

    fn is_entry(self, node: usize) -> bool {
        node % self.per_zone() < self.entries
    }

    fn entries_of(self, zone: usize) -> std::ops::Range<usize> {
        let first = zone * self.per_zone();
        first..first + self.entries
    }
}

/// A deployment in virtual time.
pub struct Zones {
    size: Size,
    now_ms: u64,
    processes: Vec<Process>,
    /// Cost by process since the last reset.
    pub costs: Vec<Cost>,
    queue: collections::VecDeque<(usize, usize, Vec<u8>)>,
}

fn name_of(node: usize) -> name::InstanceName {
    name::InstanceName::new(&format!("instance-{node:05}")).expect("a valid name")
}

fn address_of(node: usize) -> net::SocketAddr {
    let [_, _, high, low] = (node as u32).to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], 7102))
}

fn node_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else { return 0 };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn zone_name(zone: usize) -> name::ZoneName {
    name::ZoneName::new(&format!("zone-{zone:02}")).expect("a valid name")
}

/// An upstream as an engine of the target's size describes itself.
pub fn upstream(node: usize) -> membership::Upstream {
    let label = |key: &str, value: &str| {
        (name::LabelKey::new(key).expect("valid"), name::LabelValue::new(value).expect("valid"))
    };
    let labels = [label("accelerators", "8"), label("rack", "rack-17"), label("pool", "match")];
    membership::Upstream {
        name: name_of(node),
        incarnation: 1_764_000_000_000_000 + node as u64,
        description: 0,
        address: address_of(node),
        model: Some(name::ModelName::new("match-proposals").expect("valid")),
        version: Some(digest::Digest::of(b"version")),
        capacity: 64,
        labels: labels::Labels::from(labels),
    }
}

impl Zones {
    /// Starts everything at once.
    pub fn new(size: Size) -> Self {
        let nodes = size.zones * size.per_zone();
        let processes = (0..nodes).map(|node| start(size, node)).collect();
        let costs = vec![Cost::default(); nodes];
        Self { size, now_ms: 0, processes, costs, queue: collections::VecDeque::new() }
    }

    /// Lets the time pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for node in 0..self.processes.len() {
                if (self.now_ms / STEP_MS + node as u64).is_multiple_of(TICK_MS / STEP_MS) {
                    self.tick(node);
                }
            }
            // Messages of this step arrive within it; answers to them do as well.
            while let Some((from, to, bytes)) = self.queue.pop_front() {
                self.deliver(from, to, &bytes);
            }
        }
    }

    /// Forgets what was counted.
    pub fn reset(&mut self) {
        self.costs.fill(Cost::default());
    }

    /// Changes the description of some upstreams of the first zone, spread over `duration_ms`.
    pub fn run_with_changes(&mut self, duration_ms: u64, changes: usize) {
        for change in 0..changes {
            let node = self.size.entries + change % self.size.upstreams;
            if let Process::Agent(agent) = &mut self.processes[node] {
                agent.update_description(|upstream| upstream.capacity += 1);
            }
            self.run(duration_ms / changes as u64);
        }
    }

    /// Average cost of the entries of the first zone.
    pub fn entry_cost(&self) -> Cost {
        average(&self.costs[self.size.entries_of(0)])
    }

    /// Average cost of the agents of the first zone.
    pub fn agent_cost(&self) -> Cost {
        average(&self.costs[self.size.entries..self.size.per_zone()])
    }

    /// Upstreams that each entry of the first zone knows, the least of all.
    pub fn least_known(&mut self) -> usize {
        let now_ms = self.now_ms;
        let entries = self.size.entries_of(0);
        let known = |process: &mut Process| match process {
            Process::Entry(members) => members.upstreams(now_ms).eligible().count(),
            Process::Agent(_) => usize::MAX,
        };
        self.processes[entries].iter_mut().map(known).min().unwrap_or(0)
    }

    fn tick(&mut self, node: usize) {
        let started_ns = meter::thread_cpu_ns();
        let now_ms = self.now_ms;
        let sends: Vec<(usize, Vec<u8>)> = match &mut self.processes[node] {
            Process::Entry(members) => encoded(members.tick(now_ms)),
            Process::Agent(agent) => {
                let sends = agent.tick(now_ms).into_iter();
                sends.map(|s| (node_of(s.address), meter::encode(&s.announce))).collect()
            }
        };
        self.send(node, sends);
        self.costs[node].cpu_ns += meter::thread_cpu_ns() - started_ns;
    }

    fn send(&mut self, from: usize, sends: Vec<(usize, Vec<u8>)>) {
        for (to, bytes) in sends {
            self.costs[from].messages += 1;
            self.costs[from].sent_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
            self.queue.push_back((from, to, bytes));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.costs[to].messages += 1;
        self.costs[to].received_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
        let started_ns = meter::thread_cpu_ns();
        let now_ms = self.now_ms;
        let from_entry = self.size.is_entry(from);
        let sends = match &mut self.processes[to] {
            Process::Entry(members) if from_entry => {
                let sender = gossip::Sender { name: name_of(from), address: address_of(from) };
                encoded(members.receive(now_ms, &sender, meter::decode(bytes)))
            }
            Process::Entry(members) => {
                let announce: leases::Announce = meter::decode(bytes);
                vec![(from, meter::encode(&members.receive_announce(now_ms, &announce)))]
            }
            Process::Agent(agent) => {
                agent.receive_ack(now_ms, &name_of(from), &meter::decode(bytes));
                Vec::new()
            }
        };
        self.send(to, sends);
        self.costs[to].cpu_ns += meter::thread_cpu_ns() - started_ns;
    }
}

fn encoded(sends: Vec<gossip::Outgoing>) -> Vec<(usize, Vec<u8>)> {
    sends.into_iter().map(|s| (node_of(s.address), meter::encode(&s.message))).collect()
}

/// The average of some costs.
pub fn average(costs: &[Cost]) -> Cost {
    let count = costs.len() as u64;
    let sum = |field: fn(&Cost) -> u64| costs.iter().map(field).sum::<u64>() / count;
    Cost {
        messages: sum(|c| c.messages),
        sent_bytes: sum(|c| c.sent_bytes),
        received_bytes: sum(|c| c.received_bytes),
        cpu_ns: sum(|c| c.cpu_ns),
    }
}

fn start(size: Size, node: usize) -> Process {
    let zone = node / size.per_zone();
    let settings = membership::Settings::default();
    let seeds: Vec<_> =
        size.entries_of(zone).take(3).map(|n| (name_of(n), address_of(n))).collect();
    if !size.is_entry(node) {
        let incarnation = node as u64 + 1;
        let agent = announcer::Announcer::new(settings, incarnation, upstream(node), seeds);
        return Process::Agent(Box::new(agent));
    }
    let gateway = |zone| {
        let node = size.entries_of(zone).start;
        (zone_name(zone), name_of(node), address_of(node))
    };
    let own = origin::Origin {
        name: name_of(node),
        incarnation: 1_764_000_000_000_000 + node as u64,
        address: address_of(node),
    };
    let start = gossip::Config {
        own,
        zone: zone_name(zone),
        seeds,
        gateways: (0..size.zones).filter(|z| *z != zone).map(gateway).collect(),
        seed: node as u64,
    };
    Process::Entry(Box::new(gossip::Members::new(settings, start)))
}
