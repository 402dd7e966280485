//! A zone's relay tree that passes on the real configuration, on a perfect network.

use std::collections;

use ragwortdeal_core::{
    config::{change, delta, object, state},
    labels, name,
    relay::{self, node, topology},
};
use ragwortdeal_node::relay as node_relay;

use crate::{meter, zones};

const STEP_MS: u64 = 100;
/// Steps in one delta while the tree is filled.
const STEPS_PER_DELTA: u64 = 500;
const SOURCE: &str = "voter-0";

/// A zone below one source.
pub struct Tree {
    now_ms: u64,
    config: state::State,
    relays: collections::BTreeMap<name::InstanceName, node::Relay<node_relay::Configuration>>,
    /// Cost by process since the last reset.
    pub costs: collections::BTreeMap<name::InstanceName, zones::Cost>,
    queue: collections::VecDeque<(name::InstanceName, name::InstanceName, Vec<u8>)>,
    changes: u64,
}

fn name_of(text: &str) -> name::InstanceName {
    name::InstanceName::new(text).expect("a valid name")
}

/// An accepted change of one instance's labels, as operators make them all day.
pub fn change(number: u64, instances: u64) -> change::Change {
    let key = object::ObjectKey::Instance(name_of(&format!("instance-{:05}", number % instances)));
    let label = |key: &str, value: &str| {
        (name::LabelKey::new(key).expect("valid"), name::LabelValue::new(value).expect("valid"))
    };
    let number = number.to_string();
    let labels = [label("pool", "match"), label("stage", "live"), label("round", &number)];
    let object = Some(object::Object::Labels(labels::Labels::from(labels)));
    let id = name::ChangeId::new(&format!("change-{number}")).expect("valid");
    change::Change { id, key, expected_revision: None, object }
}

impl Tree {
    /// A zone of `members` and a configuration of `objects` objects.
    pub fn new(members: usize, objects: u64) -> Self {
        let zone = name::ZoneName::new("zone-00").expect("valid");
        let names: Vec<_> = (0..members).map(|n| name_of(&format!("member-{n:05}"))).collect();
        let mut relays = collections::BTreeMap::new();
        let state = node_relay::Configuration::default;
        for own in &names {
            let mut relay = node::Relay::new(own.clone(), 1, 0, state());
            let view = topology::View::compute(&zone, own, names.iter().cloned());
            relay.set_view(view, vec![name_of(SOURCE)]);
            relays.insert(own.clone(), relay);
        }
        let source = name_of(SOURCE);
        relays.insert(source.clone(), node::Relay::for_voter(source, 1, 0, state()));
        let costs = relays.keys().map(|name| (name.clone(), zones::Cost::default())).collect();
        let queue = collections::VecDeque::new();
        let config = state::State::default();
        let mut tree = Self { now_ms: 0, config, relays, costs, queue, changes: 0 };
        while tree.config.revision() < objects {
            let before = tree.config.revision();
            for _ in before..objects.min(before + STEPS_PER_DELTA) {
                tree.accept(objects);
            }
            tree.publish(before);
            tree.run(STEP_MS);
        }
        tree
    }

    fn accept(&mut self, instances: u64) {
        self.changes += 1;
        self.config.apply(&change(self.changes, instances));
    }

    /// Accepts one more change and passes it on.
    pub fn change(&mut self, instances: u64) {
        let before = self.config.revision();
        self.accept(instances);
        self.publish(before);
    }

    fn publish(&mut self, since: relay::Revision) {
        let Some(delta::Update::Delta(delta)) = self.config.update_since(since) else { return };
        let source = self.relays.get_mut(SOURCE).expect("the source never goes");
        let sends = source.publish(node_relay::step(&delta));
        self.send(&name_of(SOURCE), sends);
    }

    /// Lets the time pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            let names: Vec<_> = self.relays.keys().cloned().collect();
            for name in names {
                let started_ns = meter::thread_cpu_ns();
                let relay = self.relays.get_mut(&name).expect("it is a key");
                if &*name == SOURCE {
                    relay.confirm_current(now_ms);
                }
                let sends = relay.tick(now_ms);
                self.send(&name, sends);
                self.spent(&name, started_ns);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, bytes)) = self.queue.pop_front() {
            let started_ns = meter::thread_cpu_ns();
            let cost = self.costs.get_mut(&to).expect("known");
            cost.messages += 1;
            cost.received_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
            let relay = self.relays.get_mut(&to).expect("known");
            let sends = relay.receive(self.now_ms, &from, meter::decode(&bytes));
            self.send(&to, sends);
            self.spent(&to, started_ns);
        }
    }

    fn spent(&mut self, name: &name::InstanceName, started_ns: u64) {
        let spent_ns = meter::thread_cpu_ns() - started_ns;
        self.costs.get_mut(name).expect("known").cpu_ns += spent_ns;
    }

    fn send(&mut self, from: &name::InstanceName, sends: Vec<node::Outgoing>) {
        let cost = self.costs.get_mut(from).expect("known");
        for send in sends {
            let bytes = meter::encode(&send.message);
            cost.messages += 1;
            cost.sent_bytes += bytes.len() as u64 + meter::MESSAGE_OVERHEAD_BYTES;
            self.queue.push_back((from.clone(), send.to, bytes));
        }
    }

    /// Forgets what was counted.
    pub fn reset(&mut self) {
        self.costs.values_mut().for_each(|cost| *cost = zones::Cost::default());
    }

    /// Members that serve the newest revision.
    pub fn serving(&self) -> usize {
        let newest = self.config.revision();
        let serves = |relay: &&node::Relay<_>| {
            relay.may_serve() && relay::State::position(relay.state()).revision == newest
        };
        self.relays.values().filter(serves).count() - 1
    }

    /// Average and greatest cost of the members.
    pub fn member_cost(&self) -> (zones::Cost, zones::Cost) {
        let members = self.costs.iter().filter(|(name, _)| &***name != SOURCE);
        let costs: Vec<_> = members.map(|(_, cost)| *cost).collect();
        let busiest = costs.iter().max_by_key(|cost| cost.bytes()).copied().unwrap_or_default();
        (zones::average(&costs), busiest)
    }

    /// Cost of the source.
    pub fn source_cost(&self) -> zones::Cost {
        self.costs[SOURCE]
    }
}
